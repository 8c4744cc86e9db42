"""The evacuations that one node knows, and the turns of planned replacements.

Changes may arrive out of order, from a listing, a watch or another node. Positions of
the store decide: an older one never overrides a later one.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from lavenderstack.core.evacuation.evacuation import (
    PLANNED_SHARE,
    Evacuation,
    turn_delay_s,
)


@dataclass(slots=True)
class Evacuations:
    """Evacuations in force by zone, and at which position others were withdrawn."""

    in_force: dict[str, Evacuation] = field(default_factory=dict)
    withdrawn_at: dict[str, int] = field(default_factory=dict)

    def put(self, zone: str, revision: int, now: float, proved_before: float) -> bool:
        """Record an evacuation; return whether the zone was not evacuated before.

        A further request for an evacuated zone starts no new grace period.
        """
        if revision <= self.withdrawn_at.get(zone, 0):
            return False
        known = self.in_force.get(zone)
        if known is None:
            self.in_force[zone] = Evacuation(zone, revision, now, proved_before)
            return True
        if revision > known.revision:
            self.in_force[zone] = replace(known, revision=revision)
        return False

    def drop(self, zone: str, revision: int) -> bool:
        """Record that a request was deleted; return whether the zone was evacuated."""
        known = self.in_force.get(zone)
        if known is not None and known.revision > revision:
            return False
        self.withdrawn_at[zone] = max(self.withdrawn_at.get(zone, 0), revision)
        return self.in_force.pop(zone, None) is not None


@dataclass(slots=True)
class Turns:
    """When the primary of each group in an evacuated zone may be replaced.

    A group keeps its turn while others are replaced, else the later ones would move up
    and exceed the rate together. Groups of a zone that is evacuated meanwhile come
    after those that have a turn.
    """

    _turns: dict[str, tuple[float, float]] = field(default_factory=dict)
    _next_at: float = -math.inf

    def at(
        self,
        group: str,
        evacuation: Evacuation,
        groups: Callable[[], Mapping[str, Evacuation]],
        orders_per_s: float,
    ) -> float:
        """Return the clock time in seconds of a group's turn.

        ``evacuation`` is that of the zone of the group's primary. ``groups`` returns
        all groups whose primary is in an evacuated zone; it is only called for a group
        without a turn. ``orders_per_s`` is what the platform accepts from all nodes.
        """
        known = self._turns.get(group)
        if known is None or known[0] != evacuation.learned_at:
            self._assign({**groups(), group: evacuation}, orders_per_s)
        return self._turns[group][1]

    def _assign(self, groups: Mapping[str, Evacuation], orders_per_s: float) -> None:
        """Give a turn to the groups that have none under their zone's evacuation."""
        new = sorted(
            name
            for name, evacuation in groups.items()
            if self._turns.get(name, (None,))[0] != evacuation.learned_at
        )
        start = max(self._next_at, *(groups[name].learned_at for name in new))
        for name in new:
            at = start + turn_delay_s(name, new, orders_per_s)
            self._turns[name] = (groups[name].learned_at, at)
        self._next_at = start + len(new) / (PLANNED_SHARE * orders_per_s)
