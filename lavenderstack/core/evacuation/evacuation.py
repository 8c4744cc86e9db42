"""Evacuation of availability zones: when a caller's statement may still be sent there.

An operator evacuates a zone by an entry in the store, until it is deleted. Reads leave
the zone at once. What only the primary can run, and open transactions, get a short
grace period, in which the primary is replaced by a target outside of the zone.

The grace period ends early enough for the limit within which an evacuation must be in
force. That limit counts from the store's acknowledgement, whose time a node doesn't
know; but it came after the last proof that the node's view was current, since that view
did not contain the request.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum, auto

from lavenderstack.core.view_proof import MARGIN_S

# Longer than the planned replacement of a primary takes, so that writes are interrupted
# only by the replacement itself.
GRACE_S = 1.0
# Share of the accepted orders that planned replacements may use.
PLANNED_SHARE = 0.8


class Use(Enum):
    """What a caller's statement requires of its target.

    ``READ``: a read, or a transaction that only reads. ``PRIMARY``: anything that only
    the primary may run. ``OPEN``: a statement of an open transaction. ``FINISH``: the
    end of an open transaction.
    """

    READ = auto()
    PRIMARY = auto()
    OPEN = auto()
    FINISH = auto()


@dataclass(frozen=True, slots=True)
class Evacuation:
    """An evacuation in force, written to the store at ``revision``.

    ``learned_at`` is when this node learned of it, ``proved_before`` the time of the
    proof of its view that was in force then, both in seconds on the clock.
    """

    zone: str
    revision: int
    learned_at: float
    proved_before: float


def grace_until(evacuation: Evacuation, limit_s: float | None) -> float:
    """Return until when the primary and open transactions in the zone may be used.

    ``limit_s`` is the time in seconds after its acknowledgement by which an evacuation
    must be in force, None if there is no such limit.
    """
    until = evacuation.learned_at + GRACE_S
    if limit_s is None:
        return until
    return min(until, evacuation.proved_before + limit_s - MARGIN_S)


def may_send(
    evacuation: Evacuation | None, use: Use, now: float, limit_s: float | None
) -> bool:
    """Return whether a caller's statement may be sent to a target of a zone now.

    ``evacuation`` is that of the zone, None if it isn't evacuated.

    >>> evacuation = Evacuation("a", 7, learned_at=10.0, proved_before=9.0)
    >>> may_send(evacuation, Use.READ, now=10.0, limit_s=5.0)
    False
    >>> may_send(evacuation, Use.PRIMARY, now=10.5, limit_s=5.0)
    True
    """
    if evacuation is None:
        return True
    if use is Use.READ:
        return False
    return now < grace_until(evacuation, limit_s)


def turn_delay_s(group: str, groups: Collection[str], orders_per_s: float) -> float:
    """Return how long the owner of a group waits before it replaces its primary.

    ``groups`` are all groups whose primary is in an evacuated zone. Each owner sorts
    them alike, so the orders of all nodes are spread over time without messages.
    ``orders_per_s`` is what the platform accepts from all nodes together; a fifth of it
    is left for primaries that are lost.
    """
    rank = sorted(groups).index(group)
    return rank / (PLANNED_SHARE * orders_per_s)
