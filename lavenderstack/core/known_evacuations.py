"""The evacuations that a node knows from its view, with the time it learned of each.

A view only says which zones are evacuated and since which revision of the store. The
grace period of ``core/evacuation.py`` counts from when a node learned of a request, so
that is kept here. All times are in seconds on the clock of ``core.clock``.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace

from lavenderstack.core.evacuation import Evacuation

LONG_AGO = -math.inf


@dataclass(frozen=True, slots=True)
class EvacuationChanges:
    """What an update changed: requests new or renewed, and zones returned."""

    evacuated: tuple[Evacuation, ...] = ()
    returned: tuple[str, ...] = ()


class KnownEvacuations:
    """The evacuations in force in the view of one node."""

    def __init__(self) -> None:
        self._by_zone: dict[str, Evacuation] = {}
        self._proved_at: float | None = None

    def of(self, zone: str) -> Evacuation | None:
        """Return the evacuation of a zone, None if it isn't evacuated."""
        return self._by_zone.get(zone)

    def zones(self) -> frozenset[str]:
        """Return the evacuated zones."""
        return frozenset(self._by_zone)

    def update(
        self, revisions: Mapping[str, int], now: float, proved_at: float
    ) -> EvacuationChanges:
        """Take over the evacuations of a view and return what changed.

        ``revisions`` maps each evacuated zone to the revision of its entry.
        ``proved_at`` is the time up to which the view is proved to be current.

        Requests in the first view were made at an unknown time before, so they get no
        grace period. Neither does one that is renewed without having been withdrawn in
        any view: its zone was evacuated all along.

        >>> known = KnownEvacuations()
        >>> known.update({}, now=1.0, proved_at=0.5)
        EvacuationChanges(evacuated=(), returned=())
        >>> known.update({"a": 7}, now=2.0, proved_at=1.9).evacuated
        (Evacuation(zone='a', revision=7, learned_at=2.0, proved_before=0.5),)
        """
        is_first = self._proved_at is None
        learned_at = LONG_AGO if is_first else now
        proved_before = LONG_AGO if is_first else self._proved_at
        evacuated = []
        for zone, revision in revisions.items():
            known = self._by_zone.get(zone)
            if known is not None and known.revision == revision:
                continue
            if known is None:
                known = Evacuation(zone, revision, learned_at, proved_before)
            self._by_zone[zone] = replace(known, revision=revision)
            evacuated.append(self._by_zone[zone])
        returned = tuple(zone for zone in self._by_zone if zone not in revisions)
        for zone in returned:
            del self._by_zone[zone]
        self._proved_at = proved_at
        return EvacuationChanges(tuple(evacuated), returned)
