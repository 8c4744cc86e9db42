"""Decides which statements a target under load control serves, and which it refuses.

A statement is refused when it arrives if, by the expected wait of its own kind and
organisation, it can't be answered in time. If it can't meet its latency goal, it is
still accepted where the slot time that is left over is enough to meet its deadline. It
then waits behind those that can meet theirs.

The expected wait counts what goes first: waiting statements of more urgent kinds, those
of its own kind by the fair order, and what more urgent kinds take of the slot time
meanwhile. Statements of open transactions never wait; what they take isn't available
either.

A burst of a more urgent kind may delay statements that were accepted before. Those that
have missed their goal are reviewed every ``REVIEW_S`` and refused as soon as they can't
be expected to meet their deadline, not when it passes.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum, auto

from lavenderstack.core.decayed_rate import DecayedRate
from lavenderstack.core.queue.return_calendar import ReturnCalendar
from lavenderstack.core.queue.statement_lane import Entry
from lavenderstack.core.queue.statement_order import (
    MIN_SHARE,
    KindQueue,
    StatementOrder,
    Urgency,
)

# Part of a latency goal that may be spent at the target. Callers of all zones get the
# same limit: with the whole goal, those nearest to the holder would fill the queue to
# their own limit, and those further away would always be refused.
ON_TIME_SHARE = 0.85
# Smallest part of the slot time that is assumed to be left over for late statements.
MIN_SPARE_SHARE = 0.02
REVIEW_S = 0.05
# Longest time for which a target is reported as full; it is estimated anew by then.
MAX_FULL_S = 0.5


class Admission(Enum):
    """What happens to a new statement.

    ``ON_TIME``: it is expected to meet its latency goal. ``LATE``: it is expected to
    meet its deadline only. ``REFUSED``: neither.
    """

    ON_TIME = auto()
    LATE = auto()
    REFUSED = auto()


@dataclass(frozen=True, slots=True)
class Decision:
    """What happens to a statement, and after what time it should come back if refused.

    ``wait_s`` is its expected wait for a slot. Times are in seconds.
    """

    admission: Admission
    wait_s: float = 0.0
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Shed:
    """A waiting statement that is refused.

    ``retry_after_s`` is None if its deadline has passed.
    """

    item: Hashable
    retry_after_s: float | None


@dataclass(slots=True)
class LoadShedder:
    """The waiting statements of one target, and who is refused.

    ``slots`` statements may run at once. ``immediate`` is the slot time of statements
    that didn't wait, ``refused`` counts the statements refused so far.
    """

    slots: int
    order: StatementOrder = field(default_factory=StatementOrder)
    immediate: DecayedRate = field(default_factory=DecayedRate)
    calendar: ReturnCalendar = field(default_factory=ReturnCalendar)
    refused: int = 0
    _reviewed_at: float = 0.0

    def decide(
        self, organisation: str, urgency: Urgency, free: int, now: float
    ) -> Decision:
        """Decide on a new statement; an accepted one must be pushed or served."""
        self.order.demote(now)
        queue = self.order.kind(urgency.kind)
        decision = self._assess(queue, organisation, urgency, free, now)
        if decision.admission is Admission.ON_TIME:
            queue.load.add(queue.cost_s, now)
        if decision.admission is not Admission.REFUSED:
            return decision
        wait_s = decision.wait_s
        retry_s = self._book_return(queue, organisation, urgency, wait_s, now)
        return Decision(Admission.REFUSED, wait_s, retry_s)

    def _assess(
        self,
        queue: KindQueue,
        organisation: str,
        urgency: Urgency,
        free: int,
        now: float,
    ) -> Decision:
        wait_s = 0.0
        if free <= 0 or len(self.order):
            ahead = queue.on_time.ahead(organisation, urgency.weight)
            wait_s = self._on_time_wait_s(queue, ahead, now)
        if wait_s + queue.cost_s <= _goal_left_s(urgency, now):
            return Decision(Admission.ON_TIME, wait_s)
        ahead = queue.late.ahead(organisation, urgency.weight)
        late_s = self._late_wait_s(queue, ahead, now) if wait_s else 0.0
        if late_s + queue.cost_s <= urgency.deadline - now:
            return Decision(Admission.LATE, late_s)
        return Decision(Admission.REFUSED, wait_s)

    def _on_time_wait_s(self, queue: KindQueue, ahead: float, now: float) -> float:
        """Return the expected wait of a statement with ``ahead`` of its kind."""
        ahead_s = ahead * queue.cost_s
        ahead_s += sum(
            len(other.on_time) * other.cost_s
            for other in self.order.kinds
            if other.kind < queue.kind
        )
        available = self.slots * self._available(queue, now)
        return (ahead_s + queue.cost_s) / available

    def _available(self, queue: KindQueue, now: float) -> float:
        """Return the share of the slot time that more urgent kinds leave to this one.

        Less urgent kinds take their minimum share while they wait.
        """
        taken_s = self.immediate.at(now)
        minimum = 0.0
        for other in self.order.kinds:
            if other.kind < queue.kind:
                taken_s += other.load.at(now)
            elif other is not queue and len(other):
                minimum += MIN_SHARE
        return max(MIN_SHARE, 1.0 - taken_s / max(1, self.slots) - minimum)

    def _late_wait_s(self, queue: KindQueue, ahead: float, now: float) -> float:
        """Return the expected wait of a late statement with ``ahead`` of its kind."""
        ahead_s = (ahead + 1) * queue.cost_s
        for other in self.order.kinds:
            ahead_s += len(other.on_time) * other.cost_s
            if other.kind < queue.kind:
                ahead_s += len(other.late) * other.cost_s
        return ahead_s / (self.slots * self._spare(now))

    def _spare(self, now: float) -> float:
        """Return the share of the slot time that statements on time leave over."""
        taken_s = self.immediate.at(now)
        taken_s += sum(queue.load.at(now) for queue in self.order.kinds)
        return max(MIN_SPARE_SHARE, 1.0 - taken_s / max(1, self.slots))

    def _book_return(
        self,
        queue: KindQueue,
        organisation: str,
        urgency: Urgency,
        wait_s: float,
        now: float,
    ) -> float:
        """Return after what time a refused statement should come back."""
        self.refused += 1
        goal_s = max(0.0, queue.kind.goal_s * ON_TIME_SHARE - queue.cost_s)
        first_s = wait_s - goal_s
        share = self._available(queue, now) - queue.load.at(now) / max(1, self.slots)
        room_s = queue.cost_s / (self.slots * max(MIN_SHARE, share))
        level = (queue.kind.priority, urgency.organisation_priority)
        left_s = urgency.deadline - now - queue.cost_s
        return self.calendar.book(level, organisation, now, first_s, room_s, left_s)

    def review(self, now: float) -> list[Shed]:
        """Remove and return the waiting statements that are refused now."""
        shed = [Shed(item, None) for item in self.order.expire(now)]
        if now < self._reviewed_at + REVIEW_S:
            return shed
        self._reviewed_at = now
        for queue in self.order.kinds:
            self._review_on_time(queue, now)
            shed.extend(self._review_late(queue, now))
        return shed

    def _review_on_time(self, queue: KindQueue, now: float) -> None:
        """Make those statements late that can't be expected to meet their goal."""

        def fits(entry: Entry, ahead: float) -> bool:
            wait_s = self._on_time_wait_s(queue, ahead, now)
            left_s = self.order.urgency(entry.item).latest_goal_at - now
            return wait_s + queue.cost_s <= left_s

        for entry in queue.on_time.unfit(fits):
            self.order.make_late(entry)

    def _review_late(self, queue: KindQueue, now: float) -> list[Shed]:
        """Remove and return those that can't be expected to meet their deadline."""

        def fits(entry: Entry, ahead: float) -> bool:
            wait_s = self._late_wait_s(queue, ahead, now)
            left_s = self.order.urgency(entry.item).deadline - now
            return wait_s + queue.cost_s <= left_s

        return [
            Shed(entry.item, self._refuse_waiting(queue, entry, now))
            for entry in queue.late.unfit(fits)
        ]

    def _refuse_waiting(self, queue: KindQueue, entry: Entry, now: float) -> float:
        urgency = self.order.urgency(entry.item)
        self.order.remove(entry.item)
        ahead = queue.on_time.ahead(entry.organisation, entry.weight)
        wait_s = self._on_time_wait_s(queue, ahead, now)
        return self._book_return(queue, entry.organisation, urgency, wait_s, now)

    def next_review(self) -> float | None:
        """Return when ``review`` is due, in seconds on the clock; None if it isn't."""
        at = self.order.next_deadline()
        return None if at is None else min(at, self._reviewed_at + REVIEW_S)

    def expected_wait_s(self, urgency: Urgency, free: int, now: float) -> float:
        """Return the wait of a statement like this one.

        This is that of an organisation with none waiting.
        """
        queue = self.order.kind(urgency.kind)
        return self._assess(queue, "", urgency, free, now).wait_s

    def full_s(self, urgency: Urgency, free: int, now: float) -> float:
        """Return for how long statements like this one are expected to be refused.

        This is that of an organisation with none waiting; it is 0 if one is accepted.
        """
        queue = self.order.kind(urgency.kind)
        decision = self._assess(queue, "", urgency, free, now)
        if decision.admission is not Admission.REFUSED:
            return 0.0
        excess_s = decision.wait_s + queue.cost_s - queue.kind.goal_s * ON_TIME_SHARE
        return min(MAX_FULL_S, max(0.0, excess_s))


def _goal_left_s(urgency: Urgency, now: float) -> float:
    """Return the time in which a statement must be answered to meet its goal."""
    left_s = min(urgency.goal_at, urgency.deadline) - now
    return min(left_s, urgency.kind.goal_s * ON_TIME_SHARE)
