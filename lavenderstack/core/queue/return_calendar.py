"""When the statements that a target refused should come back.

Each refused statement is told a time of its own, at which the room that it needs is
expected to be there. Room is given out by level, the most valuable first: what a level
books comes before everything that lower levels book from then on. Within a level, an
organisation gets no more than its part of the room, so one with many refused statements
doesn't send away the others for longer.

This answers a burst at a target. ``core/queue/return_schedule.py`` does it for an
organisation above the rate of its plan.
"""

import heapq
from collections import Counter
from dataclasses import dataclass, field

# A level is the route's priority and that of the organisation; 0 is the highest.
Level = tuple[int, int]

# Longest time that is told. Callers with a later deadline may come back once more.
MAX_RETRY_AFTER_S = 2.0
# Shortest time that is told: a caller that comes back at once finds no room.
MIN_RETRY_AFTER_S = 0.01


@dataclass(slots=True)
class ReturnCalendar:
    """The room of one target that has been given out to refused statements.

    It holds for each level, and for each organisation at a level, until when its room
    is booked, in seconds on the clock. Organisations are counted by level while they
    have room, and forgotten afterwards.
    """

    _levels: dict[Level, float] = field(default_factory=dict)
    _organisations: dict[tuple[Level, str], float] = field(default_factory=dict)
    _counts: Counter[Level] = field(default_factory=Counter)
    # For each organisation a time that is no later than the end of its room.
    _ends: list[tuple[float, tuple[Level, str]]] = field(default_factory=list)

    def book(
        self,
        level: Level,
        organisation: str,
        now: float,
        first_s: float,
        room_s: float,
        left_s: float,
    ) -> float:
        """Return in how many seconds a refused statement should come back.

        ``first_s`` is the time until there is room at all, ``room_s`` how long it takes
        until there is room for one more. Times are wrapped around within ``left_s``,
        the time until the statement's deadline: a later one would be of no use to it.
        """
        self._forget_past(now)
        first_s = max(first_s, MIN_RETRY_AFTER_S)
        first_at = now + first_s
        own_until = self._organisations.get((level, organisation), first_at)
        level_s = max(0.0, self._levels.get(level, 0.0) - first_at)
        own_s = max(0.0, own_until - first_at)
        at = first_at + self._booked_above(level, first_at) + min(level_s, own_s)
        self._levels[level] = max(first_at, self._levels.get(level, 0.0)) + room_s
        is_new = (level, organisation) not in self._organisations
        part_s = room_s * (self._counts[level] + is_new)
        until = max(first_at, own_until) + part_s
        self._organisations[level, organisation] = until
        if is_new:
            self._counts[level] += 1
            heapq.heappush(self._ends, (until, (level, organisation)))
        span_s = min(left_s, MAX_RETRY_AFTER_S) - first_s
        if span_s <= 0.0:
            return min(first_s, MAX_RETRY_AFTER_S)
        return first_s + (at - first_at) % span_s

    def _booked_above(self, level: Level, first_at: float) -> float:
        """Return the room after ``first_at`` that more valuable levels have booked."""
        return sum(
            max(0.0, until - first_at)
            for other, until in self._levels.items()
            if other < level
        )

    def _forget_past(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            _, key = self._ends[0]
            until = self._organisations[key]
            if until > now:
                heapq.heapreplace(self._ends, (until, key))
                continue
            heapq.heappop(self._ends)
            del self._organisations[key]
            self._counts[key[0]] -= 1
