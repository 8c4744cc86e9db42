"""Finds the primary of a group that callers' statements may be sent to.

The primary in an evacuated zone is used until the grace period has passed. After that
the group's monitors are asked for the target that has replaced it.
"""

from collections.abc import Collection

from lavenderstack.core.evacuation import Use
from lavenderstack.core.routing import targets_in_zones
from lavenderstack.core.view import Group, Target
from lavenderstack.node.primaries import Primaries
from lavenderstack.node.zone_evacuations import ZoneEvacuations


class UsablePrimaries:
    """The primaries as an entry node knows them, without those out of use."""

    def __init__(self, primaries: Primaries, evacuations: ZoneEvacuations) -> None:
        self._primaries = primaries
        self._evacuations = evacuations

    def evacuated(self, group: Group) -> set[str]:
        """Return the names of a group's targets in evacuated zones."""
        return targets_in_zones(group, self._evacuations.zones())

    async def find(self, group: Group, refused: Collection[str]) -> Target | None:
        """Return a group's primary, None if it isn't known at the moment.

        ``refused`` are targets whose holder has answered that they are evacuated.
        Raises ``Refused`` if the primary is evacuated and the monitors know of no
        other: a planned replacement takes less time than the grace period that has
        passed.
        """
        target = await self._known(group)
        if target is None:
            if len(self.evacuated(group)) == len(group.targets):
                raise self._evacuations.refusal(group.targets[0].zone)
            return None
        if not self._is_out_of_use(target, refused):
            return target
        if len(self.evacuated(group)) < len(group.targets):
            self._primaries.of(group.name).primary_uncertain = True
            replacement = await self._known(group)
            if replacement and not self._is_out_of_use(replacement, refused):
                return replacement
        raise self._evacuations.refusal(target.zone)

    async def _known(self, group: Group) -> Target | None:
        primary = await self._primaries.find(group.name)
        return group.target(primary.target) if primary else None

    def _is_out_of_use(self, target: Target, refused: Collection[str]) -> bool:
        if target.name in refused:
            return True
        return not self._evacuations.may_send(target.zone, Use.PRIMARY)
