"""Which nodes watch a group: a few, spread over the availability zones.

Each zone's nodes are on a ring of their own; see ``ring``.
"""

from collections.abc import Iterable
from functools import lru_cache
from itertools import islice

from lavenderstack.core.hash_ring import HashRing, hash_position
from lavenderstack.core.rendezvous import rank
from lavenderstack.core.view import Vm

WATCHERS = 3


@lru_cache(maxsize=20_000)
def _order(group: str, zones: tuple[str, ...]) -> tuple[bytes, list[str]]:
    """Return a group's place on every ring and its order of zones."""
    duty = f"watch/{group}"
    return hash_position(duty), rank(duty, zones)


class MonitorAssignment:
    """The watchers of every group under one list of nodes."""

    def __init__(self, nodes: Iterable[Vm]) -> None:
        by_zone: dict[str, list[str]] = {}
        for vm in nodes:
            by_zone.setdefault(vm.zone, []).append(vm.name)
        self._rings = {zone: HashRing(names) for zone, names in by_zone.items()}
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
        return next(islice(self._rings[zone].nodes_after(at), turn, None), None)
