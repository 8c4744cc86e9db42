"""Measures the time of statements in the slots of a target, for reports of its load.

The mean time in a slot is measured over the latest statements of all organisations. The
mean that the queue keeps for each organisation follows a change only after several
statements of that organisation, which takes seconds where there are many of them.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import count
from statistics import median_low

# Weight of the latest statement in a mean. With 3 % of statements seven times as long
# as the others, the mean still varies by no more than about a sixth.
SMOOTHING = 0.05
# Time in a slot that is assumed before the first statement has ended.
INITIAL_MEAN_S = 0.01


@dataclass(slots=True)
class _Mean:
    """A moving average; the first values count equally."""

    value_s: float = INITIAL_MEAN_S
    _number: int = 0

    def add(self, latest_s: float) -> None:
        self._number += 1
        weight = max(SMOOTHING, 1.0 / self._number)
        self.value_s += weight * (latest_s - self.value_s)


@dataclass(slots=True)
class SlotTimes:
    """Times of statements in the slots of one target, by priority; in seconds.

    >>> times = SlotTimes()
    >>> times.add(priority=0, took_s=0.02)
    >>> times.mean_s(priority=0, now=5.0)
    0.02
    """

    _means: dict[int, _Mean] = field(default_factory=dict)
    _mean_of_all: _Mean = field(default_factory=_Mean)
    _started: dict[int, float] = field(default_factory=dict)
    _numbers: Iterator[int] = field(default_factory=count)

    @contextmanager
    def measured(self, priority: int, now) -> Iterator[None]:
        """Measure the block as one statement in a slot; ``now`` returns the time."""
        number = next(self._numbers)
        started = self._started[number] = now()
        try:
            yield
        finally:
            del self._started[number]
            self.add(priority, now() - started)

    def add(self, priority: int, took_s: float) -> None:
        """Add a statement that has ended."""
        self._means.setdefault(priority, _Mean()).add(took_s)
        self._mean_of_all.add(took_s)

    def mean_s(self, priority: int, now: float) -> float:
        """Return the mean time of a statement of this priority.

        If most running statements have already taken longer, the target has slowed
        down or hangs, and their time is returned.
        """
        known = self._means.get(priority, self._mean_of_all)
        return max(known.value_s, self._running_s(now))

    def mean_of_all_s(self, now: float) -> float:
        """Return the mean time of statements of all priorities."""
        return max(self._mean_of_all.value_s, self._running_s(now))

    def _running_s(self, now: float) -> float:
        if not self._started:
            return 0.0
        return now - median_low(sorted(self._started.values(), reverse=True))
