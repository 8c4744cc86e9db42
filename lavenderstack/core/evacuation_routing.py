"""What the evacuations that a node knows mean for a statement and its group."""

from collections.abc import Collection, Mapping
from enum import Enum, auto

from lavenderstack.core.catalog import TargetState
from lavenderstack.core.evacuation import Evacuation, Use, may_send
from lavenderstack.core.statement import StatementKind
from lavenderstack.core.view_proof import MARGIN_S
from lavenderstack.core.work_messages import Access, TransactionStart

# Told to callers when only an operator or a new target can end the refusal.
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


def prospect(
    targets: Collection[TargetState],
    primary: TargetState | None,
    evacuations: Mapping[str, Evacuation],
    use: Use,
    now: float,
    limit_s: float | None,
) -> Prospect:
    """Return what to do with a statement for a group with these targets.

    ``primary`` is the group's primary, None if it is unknown.
    """
    if not evacuations or not targets:
        return Prospect.SERVE
    outside = [one for one in targets if one.target.zone not in evacuations]
    if use is Use.READ or primary is None:
        return Prospect.SERVE if outside else Prospect.REFUSE
    evacuation = evacuations.get(primary.target.zone)
    if may_send(evacuation, use, now, limit_s):
        return Prospect.SERVE
    return Prospect.WAIT if has_candidate(outside, evacuations) else Prospect.REFUSE


def has_candidate(
    targets: Collection[TargetState], evacuations: Mapping[str, Evacuation]
) -> bool:
    """Return whether a replica outside of every evacuated zone could take over."""
    return any(
        not one.leads and not one.leaving and one.target.zone not in evacuations
        for one in targets
    )
