"""Finds the primary of a group that callers' statements may be sent to.

The primary in an evacuated zone is used until the grace period has passed. After that
the group's monitors are asked for the target that has replaced it.
"""

from collections.abc import Collection

from lavenderstack.core import clock
from lavenderstack.core.evacuation.evacuation import Use
from lavenderstack.core.evacuation.evacuation_routing import (
    GroupZones,
    Prospect,
    prospect,
)
from lavenderstack.core.routing import targets_in_zones
from lavenderstack.core.view import Group, Target
from lavenderstack.node.evacuation.zone_evacuations import ZoneEvacuations
from lavenderstack.node.primaries import Primaries

BLOCKED_DETAIL = "only targets in evacuated zones could lead the group"


class UsablePrimaries:
    """The primaries as an entry node knows them, without those out of use."""

    def __init__(self, primaries: Primaries, evacuations: ZoneEvacuations) -> None:
        self._primaries = primaries
        self._evacuations = evacuations

    def evacuated(self, group: Group) -> set[str]:
        """Return the names of a group's targets in evacuated zones."""
        return targets_in_zones(group, self._evacuations.in_force())

    async def find(self, group: Group, refused: Collection[str]) -> Target | None:
        """Return a group's primary, None if it isn't known at the moment.

        ``refused`` are targets whose holder has answered that they are evacuated.
        Raises ``Refused`` if the primary is evacuated and the monitors know of no
        other: a planned replacement takes less time than the grace period that has
        passed. Raises it too if the primary is lost and only targets in evacuated zones
        could take over.
        """
        target = await self._known(group)
        outlook = self._prospect(group, target, refused)
        if outlook is Prospect.WAIT:
            self._primaries.of(group.name).primary_uncertain = True
            target = await self._known(group)
            outlook = self._prospect(group, target, refused)
        if self._primaries.of(group.name).blocked:
            raise self._evacuations.refusal(BLOCKED_DETAIL)
        if outlook is Prospect.SERVE:
            return target
        zone = target.zone if target else group.targets[0].zone
        raise self._evacuations.refusal(f"zone {zone} is evacuated")

    async def _known(self, group: Group) -> Target | None:
        primary = await self._primaries.find(group.name)
        return group.target(primary.target) if primary else None

    def _prospect(
        self, group: Group, primary: Target | None, refused: Collection[str]
    ) -> Prospect:
        evacuations = self._evacuations.in_force()
        zones = GroupZones(
            {target.zone for target in group.targets},
            primary.zone if primary else None,
            {target.zone for target in group.targets if target is not primary},
        )
        found = prospect(zones, evacuations, Use.PRIMARY, clock.now(), limit_s=None)
        if found is Prospect.SERVE and primary and primary.name in refused:
            return Prospect.WAIT
        return found
