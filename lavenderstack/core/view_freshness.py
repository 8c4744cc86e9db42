"""The proof that a node's view is current, on which keys, lists and duties rest.

A node keeps one number: the latest time, on its own clock, as of which its view is
proved to hold every change that had been accepted by then. The view is usable while
that time is no more than ``USABLE_S`` ago. There are three proofs:

- the store was asked at that time and had nothing that the view lacks;
- another node, whose changes have all been taken over, proved it;
- a store outage is attested: a reader in every availability zone says that it can't
  reach the store, and its changes have been taken over. A change counts as accepted
  only after the readers of the zone where it was made have been handed it, so none
  can have been accepted that this node lacks.

A node that can neither reach the store nor hear every zone may be cut off, so its
view grows old and keyed work is refused. All bounds hold without comparing clocks
of two VMs: a node counts from the moment at which it sent its own question.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from lavenderstack.core.documents import Snapshot

USABLE_S = 4.0
NEVER = -math.inf


@dataclass(frozen=True, slots=True)
class StoreReport:
    """What a reader of another zone said: at ``at`` it could not reach the store."""

    at: float
    unreachable: bool


@dataclass(slots=True)
class ViewFreshness:
    """When the view was last proved current; ``zone`` is the node's own.

    ``failed_at`` is when the store last failed this node, None since it answered.
    """

    zone: str
    current_at: float = NEVER
    failed_at: float | None = None
    statements: dict[str, StoreReport] = field(default_factory=dict)

    def age_s(self, now: float) -> float:
        """Return the seconds since the view was proved current."""
        return now - self.current_at

    def usable(self, now: float) -> bool:
        """Tell whether the view may be used for keyed work."""
        return self.age_s(now) <= USABLE_S

    def prove(self, at: float) -> None:
        """Note that the view is current as of ``at``."""
        self.current_at = max(self.current_at, at)

    def store_answered(self) -> None:
        """Note that the store answered with nothing older than the view."""
        self.failed_at = None

    def store_failed(self, now: float) -> None:
        """Note that the store did not answer, or is older than the view."""
        self.failed_at = now

    @property
    def unreachable(self) -> bool:
        """Tell whether the store failed when this node last asked it."""
        return self.failed_at is not None

    def record_report(self, zone: str, statement: StoreReport) -> None:
        """Note what a reader of a zone said, after its changes were taken over."""
        known = self.statements.get(zone)
        if known is None or statement.at >= known.at:
            self.statements[zone] = statement

    def prove_from_outage(self, zones: Iterable[str]) -> None:
        """Prove the view current if every zone says that the store is out of reach."""
        if self.failed_at is None:
            return
        at = self.failed_at
        for zone in zones:
            if zone == self.zone:
                continue
            statement = self.statements.get(zone)
            if statement is None or not statement.unreachable:
                return
            at = min(at, statement.at)
        self.prove(at)


def proof_time(sent: float, held_s: float, age_s: float) -> float:
    """Return as of when an answer proves the view current, on the asker's clock.

    The answer left at least ``held_s`` after the question was sent, and what it
    brings was ``age_s`` old then.

    >>> bound(sent=100.0, held_s=0.5, age_s=1.5)
    99.0
    """
    return sent + held_s - age_s


def is_complete(snapshot: Snapshot, revision: int, newest: int, count: int) -> bool:
    """Tell whether a snapshot holds all that a probe of the store has seen.

    The probe was answered at ``revision``, saw ``count`` entries, and of those that
    are later than the snapshot was when the probe was sent the latest is ``newest``.
    A snapshot that has the latest entry and the right number of entries lacks no
    deletion either, since each deletion would make the store's number lower.
    """
    if snapshot.revision >= revision:
        return True
    if snapshot.newest > snapshot.revision:
        return False
    return snapshot.revision >= newest and snapshot.count == count
