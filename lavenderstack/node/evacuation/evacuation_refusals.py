"""Refuses statements at their entry for groups that an evacuation leaves without use.

They are refused without a hop and without waiting, with a time after which to retry.
"""

from lavenderstack.core import clock
from lavenderstack.core.evacuation.evacuation import Evacuation, Use
from lavenderstack.core.evacuation.evacuation_routing import (
    EVACUATED_RETRY_S,
    Prospect,
    prospect,
    zones_of,
)
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import NO_PRIMARY_RETRY_S, Reason
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory


def refusal_at_once(
    directory: Directory, counters: Counters, group: str, use: Use, until: float
) -> Failed | None:
    """Return why a statement can't be run by ``until``, on the clock, or None."""
    if not directory.evacuations:
        return None
    refusal = _refusal(directory, group, use, clock.now(), until)
    if refusal is not None:
        counters.evacuation_refusals.labels("entry").inc()
    return refusal


def _refusal(
    directory: Directory, group: str, use: Use, now: float, until: float
) -> Failed | None:
    match group_prospect(directory, group, use, now):
        case Prospect.REFUSE:
            return evacuated("no target outside can run it", EVACUATED_RETRY_S)
        case Prospect.WAIT:
            turn_at = replacement_turn(directory, group)
            if turn_at > until:
                retry_s = turn_at - now + NO_PRIMARY_RETRY_S
                return evacuated("its primary is replaced in turn", retry_s)
    return None


def group_prospect(directory: Directory, group: str, use: Use, now: float) -> Prospect:
    """Return what to do with a statement for a group."""
    if not directory.evacuations:
        return Prospect.SERVE
    return prospect(
        zones_of(directory.group(group), directory.primary(group)),
        directory.evacuations,
        use,
        now,
        directory.evacuation_limit_s,
    )


def evacuated(detail: str, retry_after_s: float) -> Failed:
    """Return the refusal of a statement that was not run."""
    return Failed(
        run=False,
        reason=Reason.EVACUATED,
        detail=f"the zone is evacuated, {detail}",
        retry_after_s=retry_after_s,
    )


def replacement_turn(directory: Directory, group: str) -> float:
    """Return when a group's primary in an evacuated zone is replaced, on the clock.

    That is minus infinity for a group whose primary is in no such zone.
    """
    evacuation = _evacuation_of_primary(directory, group)
    if evacuation is None:
        return float("-inf")
    return directory.turns.at(
        group,
        evacuation,
        lambda: _evacuated_groups(directory),
        directory.orders_per_s,
    )


def _evacuation_of_primary(directory: Directory, group: str) -> Evacuation | None:
    primary = directory.primary(group)
    return directory.evacuations.get(primary.target.zone) if primary else None


def _evacuated_groups(directory: Directory) -> dict[str, Evacuation]:
    """Return the groups whose primary is in an evacuated zone."""
    found = {
        group: _evacuation_of_primary(directory, group)
        for group in directory.catalog.groups
    }
    return {group: one for group, one in found.items() if one is not None}
