"""Which texts of operators and other writers can be a name in a message.

Messages to targets separate their fields by blanks and end at a line end, so a name
with one of these would be several fields, or begin a message of its own. Entries of
targets, which anybody may write, are held to a narrower rule than operators' names.
"""

import re

MAX_NAME_CHARS = 200
NAME_PATTERN = rf"\A[^\s\x00-\x1f\x7f]{{1,{MAX_NAME_CHARS}}}\Z"

_NAME = re.compile(NAME_PATTERN)
_SEPARATORS = frozenset(" \r\n")


def is_one_field(text: str) -> bool:
    r"""Return whether a text is one field of a message wherever it stands.

    >>> is_one_field("org"), is_one_field("org i-9"), is_one_field("")
    (True, False, False)
    """
    return bool(text) and _SEPARATORS.isdisjoint(text)


def is_usable_name(text: str) -> bool:
    r"""Return whether an entry of a target may have a name.

    It is one field, of a bounded length and without any blank or control character.

    >>> is_usable_name("i-9"), is_usable_name("i\t9")
    (True, False)
    """
    return _NAME.match(text) is not None
