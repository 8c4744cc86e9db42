"""The order in which statements that wait at a target are served.

Statements are of a *kind*, which is the route's priority and latency goal. The next one
is taken

1. from a kind that got less than its minimum share of the slot time while it waited,
   so that no kind starves or is served only when it is late;
2. from those that can still meet their latency goal, by the route's priority, and with
   equal priorities by the time left;
3. from those that can only meet their deadline, in the same order. Their answers are
   worth less to callers, but not nothing.

Within a kind the order is fair between organisations, in proportion to the weights of
their priorities.
"""

import math
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import NamedTuple

from lavenderstack.core.decayed_rate import DecayedRate
from lavenderstack.core.queue.statement_lane import (
    Entry,
    StatementLane,
    organisation_weight,
)

# Share of the slot time that each waiting kind gets at least, and the most that all
# kinds together get that way.
MIN_SHARE = 0.1
MAX_MIN_SHARES = 0.5
# Statements for which a kind that got too little may catch up at once.
MAX_CREDIT_STATEMENTS = 2.0
# Cost assumed for a kind before its first statement has ended.
INITIAL_COST_S = 0.01
# Weight of the latest statement in the moving average of a kind's costs. One statement
# in thirty may take several times as long as the others.
COST_SMOOTHING = 0.05
# Part of a latency goal that is left for the way back and for statements that take
# longer than the mean; in a full queue all start at the last moment.
GOAL_MARGIN_SHARE = 0.05
NO_LIMIT = 1 << 30


class Kind(NamedTuple):
    """What statements are ordered by; kinds sort from the most to the least urgent.

    ``priority`` is the route's, 0 is the highest. ``goal_s`` is its latency goal in
    seconds, infinite if it has none.
    """

    priority: int
    goal_s: float


@dataclass(frozen=True, slots=True)
class Urgency:
    """Until when a statement must be answered, in seconds on the clock.

    ``goal_at`` is when its latency goal ends, ``deadline`` the latest time at which its
    answer is of use. ``organisation_priority`` is that of its organisation; 0 is the
    highest.
    """

    kind: Kind
    goal_at: float
    deadline: float
    organisation_priority: int

    @property
    def latest_goal_at(self) -> float:
        """When the answer must be ready at the target to arrive within the goal."""
        if math.isinf(self.kind.goal_s):
            return self.goal_at
        return self.goal_at - GOAL_MARGIN_SHARE * self.kind.goal_s

    @property
    def weight(self) -> float:
        """The weight of its organisation."""
        return organisation_weight(self.organisation_priority)


@dataclass(slots=True)
class KindQueue:
    """The waiting statements of one kind.

    ``cost_s`` is the mean time of a statement in a slot, ``served`` counts those that
    it rests on. ``load`` is the slot time of the statements accepted to be answered in
    time. ``credit_s`` is the slot time that the kind got less than its minimum share
    while it waited.
    """

    kind: Kind
    on_time: StatementLane = field(default_factory=StatementLane)
    late: StatementLane = field(default_factory=StatementLane)
    cost_s: float = INITIAL_COST_S
    served: int = 0
    load: DecayedRate = field(default_factory=DecayedRate)
    credit_s: float = 0.0

    def __len__(self) -> int:
        return len(self.on_time) + len(self.late)

    @property
    def is_due(self) -> bool:
        """Whether statements wait that the minimum share of slot time covers."""
        return len(self) > 0 and self.credit_s >= self.cost_s

    def earn(self, credit_s: float) -> None:
        """Add slot time that the kind should have got while others were served."""
        most_s = MAX_CREDIT_STATEMENTS * self.cost_s
        self.credit_s = min(most_s, self.credit_s + credit_s)

    def spend(self) -> None:
        """Account for a statement that is served."""
        self.credit_s = max(0.0, self.credit_s - self.cost_s)


class StatementOrder:
    """The waiting statements of a target, with the operations of ``FairQueue``.

    Items are hashable, and an item may wait only once at a time.

    >>> order = StatementOrder()
    >>> write, read = Kind(0, 0.2), Kind(2, 1.2)
    >>> order.push("org", Urgency(read, 1.2, 6.0, 2), "read", max_waiting=10)
    >>> order.push("org", Urgency(write, 0.2, 2.0, 2), "write", max_waiting=10)
    >>> order.pop(now=0.0), order.pop(now=0.0)
    ('write', 'read')
    """

    def __init__(self) -> None:
        self._kinds: dict[Kind, KindQueue] = {}
        self._urgencies: dict[Hashable, Urgency] = {}
        # Statements past their deadline that ``expire`` hasn't returned yet.
        self._expired: list[Hashable] = []

    def __len__(self) -> int:
        return len(self._urgencies)

    def __contains__(self, item: Hashable) -> bool:
        return item in self._urgencies

    @property
    def kinds(self) -> list[KindQueue]:
        """The kinds of statements so far, the most urgent first."""
        return list(self._kinds.values())

    def kind(self, kind: Kind) -> KindQueue:
        """Return the queue of a kind."""
        queue = self._kinds.get(kind)
        if queue is None:
            self._kinds[kind] = queue = KindQueue(kind)
            self._kinds = dict(sorted(self._kinds.items()))
        return queue

    def urgency(self, item: Hashable) -> Urgency:
        """Return the urgency of a waiting statement."""
        return self._urgencies[item]

    def length_of(self, organisation: str) -> int:
        """Return the number of waiting statements of the organisation."""
        return sum(
            lane.counts.get(organisation, 0)
            for queue in self._kinds.values()
            for lane in (queue.on_time, queue.late)
        )

    def push(
        self,
        organisation: str,
        urgency: Urgency,
        item: Hashable,
        max_waiting: int,
        late: bool = False,
    ) -> None:
        """Add a statement; ``late`` if it is expected to miss its latency goal.

        Raises ``QueueFull`` if ``max_waiting`` statements of its organisation and kind
        wait already.
        """
        queue = self.kind(urgency.kind)
        entry = Entry(item, organisation, urgency.weight)
        if late:
            until = urgency.deadline - queue.cost_s
            queue.late.push(entry, until, max_waiting, queue.cost_s)
        else:
            until = min(urgency.latest_goal_at, urgency.deadline) - queue.cost_s
            queue.on_time.push(entry, until, max_waiting, queue.cost_s)
        self._urgencies[item] = urgency

    def pop(self, now: float) -> Hashable | None:
        """Remove and return the statement to serve next, or None if there is none.

        Those that can't meet their deadline are skipped; ``expire`` returns them.
        """
        self.demote(now)
        queue = self._next_kind()
        if queue is None:
            return None
        lane = queue.on_time if queue.on_time else queue.late
        item = lane.pop(now)
        if item is None:
            return None
        del self._urgencies[item]
        self._account(queue)
        return item

    def demote(self, now: float) -> None:
        """Move statements that can no longer meet their goal behind those that can."""
        for queue in self._kinds.values():
            for entry in queue.on_time.expire(now):
                self._demote_one(queue, entry)
            self._expired.extend(entry.item for entry in queue.late.expire(now))

    def make_late(self, entry: Entry) -> None:
        """Move a statement that waits on time behind those that can meet their goal."""
        queue = self._kinds[self._urgencies[entry.item].kind]
        if queue.on_time.remove(entry.item):
            self._demote_one(queue, entry)

    def _demote_one(self, queue: KindQueue, entry: Entry) -> None:
        urgency = self._urgencies[entry.item]
        until = urgency.deadline - queue.cost_s
        queue.late.push(entry, until, NO_LIMIT, queue.cost_s)

    def _next_kind(self) -> KindQueue | None:
        waiting = [queue for queue in self._kinds.values() if len(queue)]
        due = next((queue for queue in waiting if queue.is_due), None)
        if due is not None:
            return due
        in_time = [queue for queue in waiting if queue.on_time]
        return min(in_time or waiting, key=_time_left_key, default=None)

    def _account(self, served: KindQueue) -> None:
        """Account for the slot time of a statement that is served now."""
        waiting = [queue for queue in self._kinds.values() if len(queue)]
        share = min(MIN_SHARE, MAX_MIN_SHARES / max(1, len(waiting)))
        for queue in waiting:
            if queue is not served:
                queue.earn(share * served.cost_s)
        served.spend()

    def serve_directly(self, organisation: str, urgency: Urgency) -> None:
        """Account for a statement that is served at once because none is waiting."""
        queue = self.kind(urgency.kind)
        fair = queue.on_time.queue
        fair.serve_directly(organisation, urgency.weight, queue.cost_s)

    def record_cost(self, organisation: str, urgency: Urgency, held_s: float) -> None:
        """Learn the time in a slot of a served statement, and charge the difference."""
        queue = self.kind(urgency.kind)
        difference_s = held_s - queue.cost_s
        fair = queue.on_time.queue
        fair.correct_cost(organisation, urgency.weight, difference_s)
        queue.served += 1
        # The first ones count equally, so that the initial cost is soon forgotten.
        queue.cost_s += max(COST_SMOOTHING, 1.0 / queue.served) * difference_s

    def remove(self, item: Hashable) -> bool:
        """Remove a statement; return False if it isn't waiting."""
        urgency = self._urgencies.pop(item, None)
        if urgency is None:
            return False
        queue = self._kinds[urgency.kind]
        return queue.on_time.remove(item) or queue.late.remove(item)

    def expire(self, now: float) -> list[Hashable]:
        """Remove and return the statements that can't meet their deadline."""
        self.demote(now)
        expired, self._expired = self._expired, []
        return [item for item in expired if self._urgencies.pop(item, None)]

    def next_deadline(self) -> float | None:
        """Return when the next statement becomes late or expires, None if none waits.

        A statement that becomes late must be reviewed, and one that expires refused.
        """
        times = [
            at
            for queue in self._kinds.values()
            for lane in (queue.on_time, queue.late)
            if (at := lane.queue.next_deadline()) is not None
        ]
        return min(times, default=None)


def _time_left_key(queue: KindQueue) -> tuple[int, float]:
    """Sort kinds by priority; of equal ones, that with the least time left is first."""
    lane = queue.on_time if queue.on_time else queue.late
    return queue.kind.priority, lane.queue.next_deadline() or 0.0
