"""Rings of hashes: which of many nodes holds which of many duties.

Ranking every node for every duty takes seconds of processor time once there are
thousands of both. Here nodes are laid out on a ring of hashes once for each list of
nodes, and a duty takes the node that follows its own hash. Every node computes the
same from the same list; one that comes or goes moves only the duties next to it.
"""

from bisect import bisect
from collections.abc import Callable, Iterable, Iterator, Mapping
from functools import lru_cache
from hashlib import blake2b
from typing import Generic, TypeVar

POINTS_PER_NODE = 16

Made = TypeVar("Made")


def hash_position(text: str) -> bytes:
    """Return the place of a duty on every ring."""
    return blake2b(text.encode(), digest_size=8).digest()


@lru_cache(maxsize=100_000)
def _points(name: str) -> tuple[tuple[bytes, str], ...]:
    return tuple(
        (hash_position(f"{name}\0{number}"), name) for number in range(POINTS_PER_NODE)
    )


class HashRing:
    """The nodes of one list, by name.

    >>> list(Ring(["n1"]).after(place("duty")))
    ['n1']
    """

    def __init__(self, names: Iterable[str]) -> None:
        self._points = sorted(point for name in names for point in _points(name))

    def nodes_after(self, at: bytes) -> Iterator[str]:
        """Yield every node once, in the order in which they follow a place."""
        points = self._points
        start = bisect(points, (at,))
        found = set()
        for offset in range(len(points)):
            name = points[(start + offset) % len(points)][1]
            if name not in found:
                found.add(name)
                yield name


class CachedByIdentity(Generic[Made]):
    """What was made from the mapping that was seen last; made anew for another one.

    Views are replaced whole and share the mappings that did not change, so the
    mapping's identity tells whether it changed.
    """

    def __init__(self, make: Callable[[Mapping], Made]) -> None:
        self._make = make
        self._of: Mapping | None = None
        self._made: Made | None = None

    def value_for(self, mapping: Mapping) -> Made:
        """Return what is made from a mapping."""
        if mapping is not self._of:
            self._made = self._make(mapping)
            self._of = mapping
        return self._made
