"""Which nodes watch a group: a few, spread over the availability zones.

With thousands of nodes and groups, ranking every node for every group would take
seconds of processor time at each change of the list. So each zone's nodes are laid
out on a ring of hashes, and a group takes the node that follows its own hash. Every
node computes the same watchers from the same list; a node that comes or goes moves
only the groups next to it on its ring.
"""

from bisect import bisect
from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

from lavenderstack.core.rendezvous import rank
from lavenderstack.core.view import Vm

WATCHERS = 3
POINTS = 16


def _hash(text: str) -> bytes:
    return blake2b(text.encode(), digest_size=8).digest()


@lru_cache(maxsize=100_000)
def _points(name: str) -> tuple[tuple[bytes, str], ...]:
    return tuple((_hash(f"{name}\0{number}"), name) for number in range(POINTS))


@lru_cache(maxsize=20_000)
def _order(group: str, zones: tuple[str, ...]) -> tuple[bytes, list[str]]:
    """Return a group's place on every ring and its order of zones."""
    duty = f"watch/{group}"
    return _hash(duty), rank(duty, zones)


class Watchers:
    """The watchers of every group under one list of nodes."""

    def __init__(self, nodes: Iterable[Vm]) -> None:
        by_zone: dict[str, list[tuple[bytes, str]]] = {}
        for vm in nodes:
            by_zone.setdefault(vm.zone, []).extend(_points(vm.name))
        self._rings = {zone: sorted(points) for zone, points in by_zone.items()}
        self._zones = tuple(sorted(by_zone))

    def of(self, group: str) -> list[str]:
        """Return the names of a group's watchers, the one that goes first first.

        Each is of another zone as long as there are zones left.
        """
        at, zones = _order(group, self._zones)
        chosen: list[str] = []
        for turn in range(WATCHERS):
            for zone in zones:
                if name := self._pick(zone, at, turn):
                    chosen.append(name)
                if len(chosen) == WATCHERS:
                    return chosen
        return chosen

    def _pick(self, zone: str, at: bytes, turn: int) -> str | None:
        """Return the node that is number ``turn`` after a place on a zone's ring."""
        ring = self._rings[zone]
        start = bisect(ring, (at,))
        found: list[str] = []
        for offset in range(len(ring)):
            name = ring[(start + offset) % len(ring)][1]
            if name not in found:
                found.append(name)
            if len(found) > turn:
                return name
        return None
