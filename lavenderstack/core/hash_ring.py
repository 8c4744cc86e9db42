"""Consistent hashing: assigns many keys, such as targets, to many nodes.

Rendezvous hashing of every key over every node takes seconds of processor time when
there are thousands of both. Here the nodes are placed on a hash ring once for each
list of nodes, and a key belongs to the first node after its own hash. Every node
computes the same assignment from the same list. A node that joins or leaves moves
only the keys next to its points on the ring.
"""

from bisect import bisect
from collections.abc import Callable, Iterable, Iterator, Mapping
from functools import lru_cache
from hashlib import blake2b
from typing import Generic, TypeVar

# Several points per node even out the number of keys of each node.
POINTS_PER_NODE = 16

Value = TypeVar("Value")


def hash_position(text: str) -> bytes:
    """Return the position of a key on every ring: an 8-byte hash."""
    return blake2b(text.encode(), digest_size=8).digest()


@lru_cache(maxsize=100_000)
def _points(name: str) -> tuple[tuple[bytes, str], ...]:
    return tuple(
        (hash_position(f"{name}\0{number}"), name) for number in range(POINTS_PER_NODE)
    )


class HashRing:
    """The nodes of one list, by name, on a ring of hashes.

    >>> list(HashRing(["n1"]).nodes_after(hash_position("key")))
    ['n1']
    """

    def __init__(self, names: Iterable[str]) -> None:
        self._points = sorted(point for name in names for point in _points(name))

    def nodes_after(self, at: bytes) -> Iterator[str]:
        """Yield every node once, in the order in which they follow a position."""
        points = self._points
        start = bisect(points, (at,))
        found = set()
        for offset in range(len(points)):
            name = points[(start + offset) % len(points)][1]
            if name not in found:
                found.add(name)
                yield name


class CachedByIdentity(Generic[Value]):
    """Caches a value computed from the last mapping, and recomputes it for another.

    Views are immutable and share the mappings that did not change between them, so a
    mapping has changed exactly if it is a different object.
    """

    def __init__(self, make: Callable[[Mapping], Value]) -> None:
        self._make = make
        self._mapping: Mapping | None = None
        self._value: Value | None = None

    def value_for(self, mapping: Mapping) -> Value:
        """Return the value for a mapping, computed if it is not the last one."""
        if mapping is not self._mapping:
            self._value = self._make(mapping)
            self._mapping = mapping
        return self._value
