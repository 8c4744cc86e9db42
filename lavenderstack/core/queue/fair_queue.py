"""A queue that shares the slots of a target fairly between organisations.

It uses start-time fair queueing. Each organisation with waiting items has a start tag,
and the one with the smallest tag is served next. Serving an item advances the tag by
the item's cost divided by the organisation's weight. So organisations with waiting
items are served in proportion to their weights, however many items one of them sends.

The virtual time is the start tag that was served last. A tag lags behind it by at most
the cost of ``CREDIT_ITEMS`` items, so idle time earns credit for no more than these.
Without this credit, an organisation with a small weight would wait long whenever two
of its requests arrive together.

An item that was removed or has expired stays in the containers as a dead entry until
it is reached, or until there are more dead entries than live ones.
"""

import heapq
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from itertools import count

# Containers with fewer dead entries than this beyond the live ones aren't compacted.
MAX_DEAD_ENTRIES = 64
# The most items for which an idle organisation earns credit.
CREDIT_ITEMS = 4


class QueueFull(Exception):
    """The organisation has as many items waiting as its plan allows."""


@dataclass(slots=True, eq=False)
class _Waiting:
    item: Hashable
    queue: "_OrganisationQueue"
    cost_per_weight: float
    deadline: float
    live: bool = True


@dataclass(slots=True, eq=False)
class _OrganisationQueue:
    """The items of one organisation in order of arrival.

    ``length`` counts the live ones. ``finish`` is the finish tag of the item served
    last. ``tagged`` is true while the queue is in the heap of start tags. ``debt`` is
    what served items cost beyond the expected cost; the next item is charged for it.
    """

    items: deque[_Waiting] = field(default_factory=deque)
    length: int = 0
    finish: float = 0.0
    tagged: bool = False
    debt: float = 0.0

    def advance(self, start: float, cost: float) -> None:
        """Advance the finish tag past an item that is served now."""
        self.finish = start + cost + self.debt
        self.debt = 0.0


class FairQueue:
    """A queue of items of many organisations.

    Items are hashable, and an item may be in the queue only once at a time. Deadlines
    and ``now`` are in seconds of the same clock. Every operation takes amortized
    O(log n) time for n waiting items.

    >>> queue = FairQueue()
    >>> for item in ("a1", "a2", "b1"):
    ...     queue.push(item[0], 1.0, item, deadline=9.0, max_waiting=10)
    >>> [queue.pop(now=0.0) for _ in range(3)]
    ['a1', 'b1', 'a2']
    """

    def __init__(self) -> None:
        self._queues: dict[str, _OrganisationQueue] = {}
        self._start_tags: list[tuple[float, int, _OrganisationQueue]] = []
        self._deadlines: list[tuple[float, int, _Waiting]] = []
        self._waiting: dict[Hashable, _Waiting] = {}
        self._virtual = 0.0
        self._order = count()

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, item: Hashable) -> bool:
        return item in self._waiting

    @property
    def organisation_count(self) -> int:
        """The number of organisations that have items waiting."""
        return sum(1 for queue in self._queues.values() if queue.length)

    def length_of(self, organisation: str) -> int:
        """Return the number of waiting items of the organisation."""
        return self._queue_of(organisation).length

    def _queue_of(self, organisation: str) -> _OrganisationQueue:
        queue = self._queues.get(organisation)
        if queue is None:
            queue = self._queues[organisation] = _OrganisationQueue()
        return queue

    def push(
        self,
        organisation: str,
        weight: float,
        item: Hashable,
        deadline: float,
        max_waiting: int,
        cost: float = 1.0,
    ) -> None:
        """Add an item that must be served before ``deadline``.

        Raises ``QueueFull`` if ``max_waiting`` items of the organisation wait already.
        """
        queue = self._queue_of(organisation)
        if queue.length >= max_waiting:
            raise QueueFull(organisation)
        waiting = _Waiting(item, queue, cost / weight, deadline)
        self._waiting[item] = waiting
        heapq.heappush(self._deadlines, (deadline, next(self._order), waiting))
        queue.items.append(waiting)
        queue.length += 1
        self._schedule(queue)

    def _schedule(self, queue: _OrganisationQueue) -> None:
        if queue.tagged or not queue.length:
            return
        while not queue.items[0].live:
            queue.items.popleft()
        queue.tagged = True
        start = self._start(queue, queue.items[0].cost_per_weight)
        heapq.heappush(self._start_tags, (start, next(self._order), queue))

    def _start(self, queue: _OrganisationQueue, cost_per_weight: float) -> float:
        """Return the start tag of the queue's next item."""
        start = max(
            self._virtual - CREDIT_ITEMS * cost_per_weight, queue.finish + queue.debt
        )
        queue.debt = 0.0
        return start

    def pop(self, now: float) -> Hashable | None:
        """Remove and return the item to serve next, or None if there is none.

        Items that are past their deadline are skipped; ``expire`` returns them.
        """
        while self._start_tags:
            start, _, queue = heapq.heappop(self._start_tags)
            queue.tagged = False
            waiting = _next_servable(queue, now)
            if waiting is None:
                continue
            self._remove(waiting)
            self._virtual = max(self._virtual, start)
            queue.advance(start, waiting.cost_per_weight)
            self._schedule(queue)
            return waiting.item
        return None

    def serve_directly(self, organisation: str, weight: float, cost: float) -> None:
        """Account for an item that is served at once because the queue is empty."""
        # The remaining start tags are those of queues without waiting items.
        for _, _, queue in self._start_tags:
            queue.tagged = False
        self._start_tags.clear()
        queue = self._queue_of(organisation)
        start = self._start(queue, cost / weight)
        self._virtual = max(self._virtual, start)
        queue.advance(start, cost / weight)

    def correct_cost(self, organisation: str, weight: float, cost: float) -> None:
        """Charge a served item's actual cost minus its expected cost.

        ``cost`` is this difference and may be negative.
        """
        self._queue_of(organisation).debt += cost / weight

    def expire(self, now: float) -> list[Hashable]:
        """Remove and return the items whose deadline has passed at ``now``."""
        late = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, waiting = heapq.heappop(self._deadlines)
            if self._waiting.get(waiting.item) is waiting:
                self._remove(waiting)
                late.append(waiting.item)
        return late

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of a waiting item, or None if none waits."""
        while self._deadlines:
            deadline, _, waiting = self._deadlines[0]
            if self._waiting.get(waiting.item) is waiting:
                return deadline
            heapq.heappop(self._deadlines)
        return None

    def remove(self, item: Hashable) -> bool:
        """Remove an item; return False if it is not in the queue."""
        waiting = self._waiting.get(item)
        if waiting is None:
            return False
        self._remove(waiting)
        return True

    def _remove(self, waiting: _Waiting) -> None:
        del self._waiting[waiting.item]
        queue = waiting.queue
        if waiting.live:
            waiting.live = False
            queue.length -= 1
        if len(queue.items) > 2 * queue.length + MAX_DEAD_ENTRIES:
            queue.items = deque(one for one in queue.items if one.live)
        if len(self._deadlines) > 2 * len(self._waiting) + MAX_DEAD_ENTRIES:
            kept = self._deadlines
            self._deadlines = [
                one for one in kept if self._waiting.get(one[2].item) is one[2]
            ]
            heapq.heapify(self._deadlines)


def _next_servable(queue: _OrganisationQueue, now: float) -> _Waiting | None:
    """Remove and return the first item that can be served.

    Expired items before it are removed from ``queue`` as well.
    """
    while queue.items:
        waiting = queue.items.popleft()
        if not waiting.live:
            continue
        if waiting.deadline > now:
            return waiting
        waiting.live = False
        queue.length -= 1
    return None
