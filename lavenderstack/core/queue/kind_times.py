"""Compares the times of statements of different kinds at one target.

A read of 40 ms and a write of 8 ms aren't one distribution. So each time is compared
with the usual time of its kind. Both are logarithms: a statement that takes seven times
as long as usual then counts as little as two that take 2.6 times as long.

The usual times follow only what sets one kind apart from the others. If all kinds take
longer at once, the target does, and the usual times stay.
"""

import math
from collections import defaultdict
from collections.abc import Hashable
from dataclasses import dataclass, field

# Statements from which the usual time of a new kind is taken.
FIRST_SAMPLES = 5
# Weight of the latest statements in the usual time of their kind, and in the variance.
USUAL_SMOOTHING = 0.1
VARIANCE_SMOOTHING = 0.1
# Variance of the logarithms before the first window: times vary by a half.
INITIAL_VARIANCE = 0.25
# Weight of the latest statement in the mean time that is reported.
MEAN_SMOOTHING = 0.05
SHORTEST_S = 1e-4


@dataclass(slots=True)
class Window:
    """Statements that started at or after ``began_at``, in seconds on the clock.

    ``add`` takes the logarithm of a statement's time over the usual one of its kind.
    """

    began_at: float = float("-inf")
    count: int = 0
    total: float = 0.0
    squares: float = 0.0
    running: int = 0
    kinds: dict[Hashable, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def add(self, kind: Hashable, excess: float, running: int) -> None:
        """Add a statement that ran with others, ``running`` with itself."""
        self.count += 1
        self.total += excess
        self.squares += excess * excess
        self.running += running
        self.kinds[kind].append(excess)

    @property
    def mean(self) -> float:
        """The mean; there must be a statement."""
        return self.total / self.count

    @property
    def mean_running(self) -> float:
        """The mean number of statements running; there must be a statement."""
        return self.running / self.count

    @property
    def variance(self) -> float:
        """The variance; there must be a statement."""
        return max(0.0, self.squares / self.count - self.mean**2)


@dataclass(slots=True)
class _Usual:
    value: float = 0.0
    count: int = 0


@dataclass(slots=True)
class KindTimes:
    """The usual times of the kinds; ``mean_s`` is the mean time of all statements.

    >>> times = KindTimes()
    >>> for _ in range(6):
    ...     excess = times.add("read", 0.04)
    >>> round(math.exp(times.add("read", 0.08)), 3)
    2.0
    """

    mean_s: float = 0.0
    count: int = 0
    _usual: dict[Hashable, _Usual] = field(default_factory=dict)
    _level: float = 0.0
    _variance: float = INITIAL_VARIANCE

    def add(self, kind: Hashable, took_s: float) -> float | None:
        """Return the logarithm of a time over the usual one of its kind.

        It is None for the first statements of a kind, from which its usual time is
        taken.
        """
        self.count += 1
        weight = max(MEAN_SMOOTHING, 1.0 / self.count)
        self.mean_s += weight * (took_s - self.mean_s)
        value = math.log(max(SHORTEST_S, took_s))
        usual = self._usual.setdefault(kind, _Usual())
        if usual.count >= FIRST_SAMPLES:
            return value - usual.value
        usual.count += 1
        usual.value += (value - self._level - usual.value) / usual.count
        return None

    def learn(self, window: Window) -> float:
        """Learn from a complete window, and return its mean.

        The usual times change only by what sets the kinds apart, so the mean of the
        next window is comparable with that of this one.
        """
        self._level = window.mean
        self._variance += VARIANCE_SMOOTHING * (window.variance - self._variance)
        for kind, values in window.kinds.items():
            apart = sum(values) - len(values) * window.mean
            self._usual[kind].value += USUAL_SMOOTHING * apart / window.count
        return window.mean

    def error(self, count: int) -> float:
        """Return the standard error of the mean of so many statements."""
        return math.sqrt(self._variance / count)
