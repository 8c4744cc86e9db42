"""A queue that shares the slots of a target fairly between organisations.

Start-time fair queueing: each organisation with work waiting has a start tag, and
the one with the smallest tag is served next. Serving an item advances the tag by
the item's cost over the organisation's weight, so while several have work waiting
they are served in proportion to their weights, however much more one of them sends.
A tag never lies far before the virtual time, which is the start tag served last. So
idle time earns no more credit than for a few items, however long it lasts. Without
those few, an organisation with a small weight would wait long when two of its
requests happen to come together.

An item that was removed or is late stays as a dead mark in the containers until it
is reached or the marks outnumber the living.
"""

import heapq
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, field
from itertools import count

MOST_MARKS = 64
CREDIT_ITEMS = 4


class QueueFull(Exception):
    """The organisation has as many items waiting as its plan allows."""


@dataclass(slots=True, eq=False)
class _Waiting:
    item: Hashable
    line: "_Line"
    step: float
    deadline: float
    live: bool = True


@dataclass(slots=True, eq=False)
class _Line:
    """One organisation's items in order; ``finish`` is the tag after the last served.

    ``tagged`` tells whether the line is in the heap of start tags. ``debt`` is what
    served items cost beyond what was expected, charged with the next one.
    """

    items: deque[_Waiting] = field(default_factory=deque)
    length: int = 0
    finish: float = 0.0
    tagged: bool = False
    debt: float = 0.0

    def advance(self, start: float, cost: float) -> None:
        """Move the tag past an item that is served now."""
        self.finish = start + cost + self.debt
        self.debt = 0.0


class FairQueue:
    """Items of many organisations; an item is hashable and waits only once at a time.

    Deadlines and ``now`` are in seconds of one clock. Every operation costs
    O(log n) for n waiting items, averaged over many.

    >>> queue = FairQueue()
    >>> for item in ("a1", "a2", "b1"):
    ...     queue.push(item[0], 1.0, item, deadline=9.0, longest=10)
    >>> [queue.pop(now=0.0) for _ in range(3)]
    ['a1', 'b1', 'a2']
    """

    def __init__(self) -> None:
        self._lines: dict[str, _Line] = {}
        self._tags: list[tuple[float, int, _Line]] = []
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
        return sum(1 for line in self._lines.values() if line.length)

    def length_of(self, organisation: str) -> int:
        """Return how many items of the organisation wait."""
        return self._line(organisation).length

    def _line(self, organisation: str) -> _Line:
        line = self._lines.get(organisation)
        if line is None:
            line = self._lines[organisation] = _Line()
        return line

    def push(
        self,
        organisation: str,
        weight: float,
        item: Hashable,
        deadline: float,
        longest: int,
        cost: float = 1.0,
    ) -> None:
        """Add an item that must be served before ``deadline``.

        Raises ``QueueFull`` if ``longest`` items of the organisation wait already.
        """
        line = self._line(organisation)
        if line.length >= longest:
            raise QueueFull(organisation)
        waiting = _Waiting(item, line, cost / weight, deadline)
        self._waiting[item] = waiting
        heapq.heappush(self._deadlines, (deadline, next(self._order), waiting))
        line.items.append(waiting)
        line.length += 1
        self._tag(line)

    def _tag(self, line: _Line) -> None:
        if line.tagged or not line.length:
            return
        while not line.items[0].live:
            line.items.popleft()
        line.tagged = True
        start = self._start(line, line.items[0].step)
        heapq.heappush(self._tags, (start, next(self._order), line))

    def _start(self, line: _Line, step: float) -> float:
        """Return the tag at which the line's next item starts."""
        start = max(self._virtual - CREDIT_ITEMS * step, line.finish + line.debt)
        line.debt = 0.0
        return start

    def pop(self, now: float) -> Hashable | None:
        """Return the item to serve next, or None; late items are left to ``expire``."""
        while self._tags:
            start, _, line = heapq.heappop(self._tags)
            line.tagged = False
            waiting = _first(line, now)
            if waiting is None:
                continue
            self._remove(waiting)
            self._virtual = max(self._virtual, start)
            line.advance(start, waiting.step)
            self._tag(line)
            return waiting.item
        return None

    def serve_directly(self, organisation: str, weight: float, cost: float) -> None:
        """Account for an item that is served without waiting while nothing waits."""
        for _, _, line in self._tags:
            line.tagged = False
        self._tags.clear()
        line = self._line(organisation)
        start = self._start(line, cost / weight)
        self._virtual = max(self._virtual, start)
        line.advance(start, cost / weight)

    def correct_cost(self, organisation: str, weight: float, cost: float) -> None:
        """Charge what a served item cost beyond, or short of, what was expected."""
        self._line(organisation).debt += cost / weight

    def expire(self, now: float) -> list[Hashable]:
        """Remove and return the items whose deadline has come."""
        late = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, waiting = heapq.heappop(self._deadlines)
            if self._waiting.get(waiting.item) is waiting:
                self._remove(waiting)
                late.append(waiting.item)
        return late

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of a waiting item."""
        while self._deadlines:
            deadline, _, waiting = self._deadlines[0]
            if self._waiting.get(waiting.item) is waiting:
                return deadline
            heapq.heappop(self._deadlines)
        return None

    def remove(self, item: Hashable) -> bool:
        """Remove an item that nobody waits for any more; False if it is not here."""
        waiting = self._waiting.get(item)
        if waiting is None:
            return False
        self._remove(waiting)
        return True

    def _remove(self, waiting: _Waiting) -> None:
        del self._waiting[waiting.item]
        line = waiting.line
        if waiting.live:
            waiting.live = False
            line.length -= 1
        if len(line.items) > 2 * line.length + MOST_MARKS:
            line.items = deque(one for one in line.items if one.live)
        if len(self._deadlines) > 2 * len(self._waiting) + MOST_MARKS:
            kept = self._deadlines
            self._deadlines = [
                one for one in kept if self._waiting.get(one[2].item) is one[2]
            ]
            heapq.heapify(self._deadlines)


def _first(line: _Line, now: float) -> _Waiting | None:
    """Return the first item that can be served; late ones leave the line."""
    while line.items:
        waiting = line.items.popleft()
        if not waiting.live:
            continue
        if waiting.deadline > now:
            return waiting
        waiting.live = False
        line.length -= 1
    return None
