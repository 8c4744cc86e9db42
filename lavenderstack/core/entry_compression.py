"""Compresses large values of the store that one node sends to another.

The store has its values as base64 text. A catalog of thousands of routes is close to a
megabyte of it, and shrinks to a small part of that. A node gets compressed values only
if it said that it knows them (``ChangesRequest.compressed``).
"""

import base64
import zlib
from collections.abc import Sequence
from functools import lru_cache

from lavenderstack.core.change_messages import ChangesReply, Entry

# Smaller values are sent as they are.
MIN_COMPRESSED_B = 10_000
LEVEL = 1
# The longest value that is accepted, before base64; the store holds up to 1 MiB.
MAX_VALUE_B = 2 * 1024 * 1024
# The catalog is the only large value. Nodes that are behind ask for several versions of
# it while they come in quick succession.
CACHED_VALUES = 4


class BadValue(ValueError):
    """A compressed value that can't be expanded or is too long."""


@lru_cache(maxsize=CACHED_VALUES)
def _compress(text: str) -> bytes:
    """Return a base64 text compressed, empty if it isn't in the standard form."""
    try:
        value = base64.b64decode(text, validate=True)
    except ValueError:
        return b""
    if len(value) > MAX_VALUE_B or base64.b64encode(value).decode() != text:
        return b""
    return zlib.compress(value, LEVEL)


def compress(entries: Sequence[Entry]) -> tuple[list[Entry], dict[int, bytes]]:
    """Return entries without their large values, and those compressed, by index.

    Two of the entries may be changes of the same key.
    """
    remaining, compressed = list(entries), {}
    for index, entry in enumerate(entries):
        value = _compress(entry.data) if len(entry.data) >= MIN_COMPRESSED_B else b""
        if value:
            compressed[index] = value
            remaining[index] = Entry(entry.key, entry.revision, "", entry.deleted)
    return remaining, compressed


def expand(value: bytes) -> str:
    """Return a compressed value as base64 text; raises ``BadValue``.

    >>> _, compressed = compress([Entry("op/x", 7, "bGFiZWw=" * 2000)])
    >>> expand(compressed[0]) == "bGFiZWw=" * 2000
    True
    """
    expander = zlib.decompressobj()
    try:
        data = expander.decompress(value, MAX_VALUE_B)
    except zlib.error as exc:
        raise BadValue(str(exc)) from exc
    if not expander.eof:
        raise BadValue(f"longer than {MAX_VALUE_B} B, or cut off")
    return base64.b64encode(data).decode()


def expanded(reply: ChangesReply) -> list[Entry]:
    """Return the entries of a reply with all their values; raises ``BadValue``."""
    entries = list(reply.entries)
    for index, value in reply.compressed.items():
        if not 0 <= index < len(entries):
            raise BadValue(f"a value for entry {index} of {len(entries)}")
        one = entries[index]
        entries[index] = Entry(one.key, one.revision, expand(value), one.deleted)
    return entries
