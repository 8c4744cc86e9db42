"""Assigns a few monitor nodes to each group, spread over the availability zones.

Each zone's nodes are on a separate hash ring; see ``hash_ring``.
"""

from collections.abc import Iterable
from functools import lru_cache
from itertools import islice

from lavenderstack.core.hash_ring import HashRing, hash_position
from lavenderstack.core.rendezvous import rank
from lavenderstack.core.view import Vm

# Monitors per group.
MONITORS = 3


@lru_cache(maxsize=20_000)
def _order(group: str, zones: tuple[str, ...]) -> tuple[bytes, list[str]]:
    """Return a group's position on every ring and its order of zones."""
    assignment = f"watch/{group}"
    return hash_position(assignment), rank(assignment, zones)


class MonitorAssignment:
    """The monitors of every group for one list of nodes."""

    def __init__(self, nodes: Iterable[Vm]) -> None:
        by_zone: dict[str, list[str]] = {}
        for vm in nodes:
            by_zone.setdefault(vm.zone, []).append(vm.name)
        self._rings = {zone: HashRing(names) for zone, names in by_zone.items()}
        self._zones = tuple(sorted(by_zone))

    def monitors_of(self, group: str) -> list[str]:
        """Return the names of a group's monitors, ordered by rank.

        Each is in another zone as long as there are unused zones.
        """
        at, zones = _order(group, self._zones)
        chosen: list[str] = []
        for offset in range(MONITORS):
            for zone in zones:
                if name := self._pick(zone, at, offset):
                    chosen.append(name)
                if len(chosen) == MONITORS:
                    return chosen
        return chosen

    def _pick(self, zone: str, at: bytes, offset: int) -> str | None:
        """Return the node at an offset after a position on a zone's ring, or None."""
        return next(islice(self._rings[zone].nodes_after(at), offset, None), None)
