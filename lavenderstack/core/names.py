"""Which texts of operators and other writers can be a name in a message.

Messages to targets separate their fields by blanks and end at a line end, so a name
with one of these would be several fields, or begin a message of its own. Other blanks
and control characters are refused too, since a target may take them for separators.
"""

import re

MAX_NAME_CHARS = 200
NAME_PATTERN = rf"\A[^\s\x00-\x1f\x7f]{{1,{MAX_NAME_CHARS}}}\Z"

_NAME = re.compile(NAME_PATTERN)


def is_usable_name(text: str) -> bool:
    r"""Return whether a text is one field of a message wherever it stands.

    >>> is_usable_name("org"), is_usable_name("org i-9"), is_usable_name("")
    (True, False, False)
    """
    return _NAME.match(text) is not None
