"""Keys of this service's records of groups in the platform's store.

A key is a prefix and the group's name. The store refuses keys of more than 200 bytes,
so a digest stands for a name that is too long; the record then has the name. Every
other name is in the key letter for letter, as builds without digests expect.
"""

import re
from hashlib import blake2b

import msgspec

from lavenderstack.platform.decoding import DECODE_ERRORS

MAX_KEY_B = 200
_DIGEST_B = 32
_DIGEST = re.compile(r"\Ablake2b-[0-9a-f]{64}\Z")


class _Named(msgspec.Struct):
    group: str = ""


def has_digest(prefix: str, group: str) -> bool:
    """Return whether the key of a group's record has a digest instead of its name."""
    is_long = len(prefix.encode()) + len(group.encode()) > MAX_KEY_B
    # A name that looks like a digest would be the key of another group.
    return is_long or _DIGEST.match(group) is not None


def key_of(prefix: str, group: str) -> str:
    """Return the key of a group's record.

    >>> key_of("ls/duties/", "g1")
    'ls/duties/g1'
    """
    if not has_digest(prefix, group):
        return prefix + group
    digest = blake2b(group.encode(), digest_size=_DIGEST_B).hexdigest()
    return f"{prefix}blake2b-{digest}"


def group_of(prefix: str, key: str, value: bytes) -> str | None:
    """Return the group of a record, None if its key is that of another group."""
    name = key.removeprefix(prefix)
    if not _DIGEST.match(name):
        return name
    try:
        group = msgspec.json.decode(value, type=_Named).group
    except DECODE_ERRORS:
        return None
    return group if key_of(prefix, group) == key else None
