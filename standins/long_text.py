"""Short forms of long texts, for records that are compared later."""

from hashlib import blake2b

# Texts of up to this many characters are kept as they are.
KEPT_CHARS = 300
HEAD_CHARS = 60
_MARK = " characters, digest "


def condensed(text: str) -> str:
    """Return a text that is equal for equal texts and has a bounded length.

    >>> condensed("READ a")
    'READ a'
    >>> len(condensed("READ " + "x" * 1_000_000)) < 200
    True
    """
    if len(text) <= KEPT_CHARS:
        return text
    digest = blake2b(text.encode(), digest_size=20).hexdigest()
    return f"{text[:HEAD_CHARS]}.. ({len(text)}{_MARK}{digest})"


def is_condensed(text: str) -> bool:
    """Return whether a text stands for a long one."""
    return _MARK in text
