"""Proof that a node's view is current; keys, operators' lists and ownership need it.

A node keeps one number: the latest time, on its own clock, as of which its view is
proved to hold every change accepted by then. The view is usable while that time is at
most ``USABLE_S`` ago. There are three kinds of proof:

- the store was queried at that time and had nothing that the view lacks;
- another node proved it, and all its changes have been applied here;
- a store outage is confirmed: a store reader in every availability zone reports that it
  can't reach the store, and its changes have been applied here. A change counts as
  accepted only after it was forwarded to the store readers of the zone where it was
  made, so no change that this node lacks can have been accepted.

A node that reaches neither the store nor every zone may be partitioned, so its view
expires and requests with a key are refused. All bounds hold without comparing the
clocks of two VMs: a node counts from the moment at which it sent its own question.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from lavenderstack.core.documents import Snapshot

# Longest time for which a view may be used without a new proof.
USABLE_S = 4.0
NEVER = -math.inf


@dataclass(frozen=True, slots=True)
class StoreReport:
    """A zone's store reader reports whether it could reach the store at ``at``."""

    at: float
    unreachable: bool


@dataclass(slots=True)
class ViewFreshness:
    """When the view was last proved current; ``zone`` is the node's own.

    ``failed_at`` is when the store last failed to answer this node, None if it has
    answered since. Times are in seconds on the clock of ``core.clock``.
    """

    zone: str
    current_at: float = NEVER
    failed_at: float | None = None
    reports: dict[str, StoreReport] = field(default_factory=dict)

    def age_s(self, now: float) -> float:
        """Return the seconds since the view was last proved current."""
        return now - self.current_at

    def usable(self, now: float) -> bool:
        """Return whether the view may be used for requests with a key."""
        return self.age_s(now) <= USABLE_S

    def prove(self, at: float) -> None:
        """Record that the view is current as of ``at``."""
        self.current_at = max(self.current_at, at)

    def store_answered(self) -> None:
        """Record that the store answered and is not older than the view."""
        self.failed_at = None

    def store_failed(self, now: float) -> None:
        """Record that the store did not answer, or is older than the view."""
        self.failed_at = now

    @property
    def unreachable(self) -> bool:
        """Whether the store failed when this node last queried it."""
        return self.failed_at is not None

    def record_report(self, zone: str, report: StoreReport) -> None:
        """Record a zone's store reader's report, after applying its changes."""
        known = self.reports.get(zone)
        if known is None or report.at >= known.at:
            self.reports[zone] = report

    def prove_from_outage(self, zones: Iterable[str]) -> None:
        """Prove the view current if every zone reports the store as unreachable."""
        if self.failed_at is None:
            return
        at = self.failed_at
        for zone in zones:
            if zone == self.zone:
                continue
            report = self.reports.get(zone)
            if report is None or not report.unreachable:
                return
            at = min(at, report.at)
        self.prove(at)


def is_complete(snapshot: Snapshot, revision: int, newest: int, count: int) -> bool:
    """Return whether a snapshot holds everything that a probe of the store has seen.

    The probe was answered at ``revision`` and saw ``count`` entries. ``newest`` is the
    latest of those entries that are later than the snapshot's revision when the probe
    was sent. A snapshot with the latest entry and the right number of entries lacks no
    deletion either, since each deletion lowers the number of entries in the store.
    """
    if snapshot.revision >= revision:
        return True
    if snapshot.newest > snapshot.revision:
        return False
    return snapshot.revision >= newest and snapshot.count == count
