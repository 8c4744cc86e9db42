"""What the evacuations that a node knows mean for a statement and its group."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum, auto

from lavenderstack.core.catalog import TargetState
from lavenderstack.core.evacuation.evacuation import Evacuation, Use, may_send
from lavenderstack.core.statement import StatementKind
from lavenderstack.core.view_proof import MARGIN_S
from lavenderstack.core.work_messages import Access, TransactionStart

# Told to callers as the time to retry. A planned replacement takes about this time;
# where only an operator or a new target can end the refusal, it is a guess.
EVACUATED_RETRY_S = 1.0


class Prospect(Enum):
    """What to do with a statement for a group.

    ``SERVE``: proceed as without an evacuation. ``WAIT``: its primary may not be used
    any more and will be replaced. ``REFUSE``: nothing outside of the evacuated zones
    can run it or take over.
    """

    SERVE = auto()
    WAIT = auto()
    REFUSE = auto()


def use_of(
    access: Access,
    opens: TransactionStart,
    kind: StatementKind,
    in_transaction: bool = False,
) -> Use:
    """Return what a statement requires of its target.

    ``opens`` is the transaction that it opens, ``in_transaction`` tells that it belongs
    to one that is open at the target already.
    """
    if in_transaction:
        return Use.FINISH if kind is StatementKind.COMMIT else Use.OPEN
    if opens is TransactionStart.READ_ONLY:
        return Use.READ
    if access is Access.AGED_READ and opens is TransactionStart.NONE:
        return Use.READ
    return Use.PRIMARY


def is_proof_recent(age_s: float, limit_s: float | None) -> bool:
    """Return whether callers' statements may be sent on a proof of this age.

    With an older one a zone may be evacuated without this node knowing it.

    >>> is_proof_recent(4.7, limit_s=5.0), is_proof_recent(4.8, limit_s=5.0)
    (True, False)
    """
    return limit_s is None or age_s <= limit_s - MARGIN_S


@dataclass(frozen=True, slots=True)
class GroupZones:
    """The zones of a group's targets, of its primary, and of what may take over.

    ``primary`` is None if the primary is unknown.
    """

    targets: Collection[str]
    primary: str | None
    candidates: Collection[str]


def prospect(
    zones: GroupZones,
    evacuations: Mapping[str, Evacuation],
    use: Use,
    now: float,
    limit_s: float | None,
) -> Prospect:
    """Return what to do with a statement for a group with targets in these zones."""
    if not evacuations or not zones.targets:
        return Prospect.SERVE
    if use is Use.READ or zones.primary is None:
        is_outside = _any_outside(zones.targets, evacuations)
        return Prospect.SERVE if is_outside else Prospect.REFUSE
    if may_send(evacuations.get(zones.primary), use, now, limit_s):
        return Prospect.SERVE
    can_move = _any_outside(zones.candidates, evacuations)
    return Prospect.WAIT if can_move else Prospect.REFUSE


def zones_of(
    targets: Collection[TargetState], primary: TargetState | None
) -> GroupZones:
    """Return the zones of a group; replicas that aren't leaving may take over."""
    return GroupZones(
        {one.target.zone for one in targets},
        primary.target.zone if primary else None,
        {one.target.zone for one in targets if not one.leads and not one.leaving},
    )


def _any_outside(zones: Collection[str], evacuations: Mapping[str, Evacuation]) -> bool:
    return any(zone not in evacuations for zone in zones)


def has_candidate(
    targets: Collection[TargetState], evacuations: Mapping[str, Evacuation]
) -> bool:
    """Return whether a replica outside of every evacuated zone could take over."""
    return _any_outside(zones_of(targets, None).candidates, evacuations)
