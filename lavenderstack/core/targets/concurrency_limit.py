"""Learns how many statements one target handles well at once, between 1 and its slots.

The limit rests on how much longer statements take than they do alone. Times are
compared as logarithms, relative to the usual time of their kind (``kind_times``). So
neither a changing mix of kinds nor a few statements that take several times as long
look like a slower target.

If statements take ``r`` times as long as alone, only ``limit / r`` of them make
progress; the others wait inside of the target. The limit follows this value plus
``SPARE``, so it rises again when ``r`` falls. Each step rests on statements that
started after the step before.

A target may also take longer for each statement, however few run. Then fewer at once
would only lose capacity. So before a large reduction, statements run one at a time for
a moment, and their time becomes the time alone.

Without statements nothing changes. All times are in seconds on the clock.
"""

import math
from collections.abc import Hashable
from dataclasses import dataclass, field

from lavenderstack.core.queue.kind_times import KindTimes, Window

# Statements on which a step rests.
STEP_SAMPLES = 10
# Statements that run one at a time before a large reduction; after CHECK_S fewer are
# enough. A long statement that still runs can delay the first of them.
CHECK_SAMPLES = 5
CHECK_S = 0.8
MIN_CHECK_SAMPLES = 2
# Smallest logarithm of the ratio of statements running before and during a check from
# which anything follows.
MIN_FEWER = 0.2
# Time between two checks.
CHECK_INTERVAL_S = 1.0
# A reduction below this part of the limit that was last checked is checked first.
CHECKED_SHARE = 0.7
# What is allowed beyond the estimated capacity: a number, or a share of the limit.
SPARE = 1.0
SPARE_SHARE = 0.2
# Ratio to the time alone from which the careful start doesn't double any more.
START_MAX_RATIO = 1.25
# Share of the slots at the careful start; never a single one if there are more.
START_SHARE = 0.25
MIN_START = 2
# Up to this mean number running, a step counts as statements alone. Single ones that
# met no other aren't used, since they are shorter than most.
MAX_ALONE_RUNNING = 1.5
# Weight of the latest such step in the time alone.
ALONE_SMOOTHING = 0.2
# By how many standard errors a mean must be below the time alone to lower it.
FASTER_ERRORS = 2.0


@dataclass(frozen=True, slots=True)
class Sample:
    """A statement that has ended at a target, or timed out there.

    ``kind`` groups statements whose times are comparable. ``running`` is the greater
    number of statements that ran when it started and when it ended, with itself.
    ``timed_out`` tells that it would have taken longer.
    """

    kind: Hashable
    started_at: float
    ended_at: float
    running: int
    timed_out: bool = False


@dataclass(slots=True)
class _Check:
    """A check that is under way: the state before it, with the number running."""

    limit: int
    level: float
    running: float


@dataclass(slots=True)
class ConcurrencyLimit:
    """The learned limit of one target; ``slots`` are those that it declares.

    >>> limit = ConcurrencyLimit(slots=8)
    >>> limit.limit
    2
    >>> for number in range(40):
    ...     limit.add(Sample("read", number, number + 0.04, running=2))
    >>> limit.limit
    8
    """

    slots: int
    limit: int = 0
    _times: KindTimes = field(default_factory=KindTimes)
    _window: Window = field(default_factory=Window)
    _alone: float | None = None
    _starting: bool = True
    _check: _Check | None = None
    _checked_limit: int = 0
    _checked_at: float = float("-inf")

    def __post_init__(self) -> None:
        start = self.limit or max(MIN_START, math.ceil(START_SHARE * self.slots))
        self._set(start)

    def resume(self, limit: int) -> None:
        """Start from what an entry node knows of another holder; 0 if nothing.

        It counts only before the first statement has ended here.
        """
        if limit > 0 and not self._times.count:
            self._starting = False
            self._set(limit)

    def resize(self, slots: int) -> None:
        """Apply a changed number of declared slots."""
        if slots > self.slots:
            self._starting = True
        self.slots = slots
        self._set(self.limit)

    @property
    def service_s(self) -> float:
        """The mean time of a statement on which the limit is based, 0 if unknown."""
        return self._times.mean_s

    def add(self, sample: Sample) -> None:
        """Learn from a statement that has ended."""
        took_s = sample.ended_at - sample.started_at
        excess = self._times.add(sample.kind, took_s)
        if excess is None:
            return
        if sample.timed_out and excess < (self._alone or 0.0):
            # It was sent shortly before its deadline, and says nothing.
            return
        if sample.started_at < self._window.began_at:
            return
        self._window.add(sample.kind, excess, sample.running)
        if self._check is not None:
            elapsed_s = sample.ended_at - self._window.began_at
            enough = CHECK_SAMPLES if elapsed_s < CHECK_S else MIN_CHECK_SAMPLES
            if self._window.count >= enough:
                self._conclude_check(self._check, sample.ended_at)
        elif self._window.count >= STEP_SAMPLES:
            self._step(sample.ended_at)

    def _step(self, now: float) -> None:
        """Set the limit by the statements since the last step."""
        window = self._window
        level = self._times.learn(window)
        error = self._times.error(window.count)
        if self._alone is None:
            self._alone = level
        if window.mean_running <= MAX_ALONE_RUNNING:
            self._alone += ALONE_SMOOTHING * (level - self._alone)
        self._alone = min(self._alone, level + FASTER_ERRORS * error)
        wanted = self._wanted(self.limit, level - self._alone - error)
        self._window = Window(now)
        is_large = wanted < CHECKED_SHARE * self._checked_limit
        if is_large and now - self._checked_at >= CHECK_INTERVAL_S:
            self._check = _Check(self.limit, level, window.mean_running)
            self.limit = 1
            return
        self._set(wanted)

    def _wanted(self, limit: int, rise: float) -> int:
        """Return the limit after ``limit``; ``rise`` is the logarithm of the ratio."""
        ratio = math.exp(max(0.0, rise))
        if self._starting and ratio < START_MAX_RATIO:
            return 2 * limit
        self._starting = False
        return round(limit / ratio + max(SPARE, SPARE_SHARE * limit))

    def _set(self, limit: int) -> None:
        self.limit = max(1, min(self.slots, limit))
        self._starting = self._starting and self.limit < self.slots
        self._checked_limit = max(self._checked_limit, self.limit)

    def _conclude_check(self, check: _Check, now: float) -> None:
        window = self._window
        self._alone = _level_alone(check, window)
        error = self._times.error(STEP_SAMPLES) + self._times.error(window.count)
        rise = check.level - self._alone - error
        if rise <= 0.0:
            # They took as long alone. The level rests on more statements, but some may
            # have run before a target slowed down.
            self._alone = max(self._alone, check.level)
        self._check, self._window = None, Window(now)
        self._checked_at, self._checked_limit = now, 0
        self._set(self._wanted(check.limit, rise))


def _level_alone(check: _Check, window: Window) -> float:
    """Return the level of a statement alone.

    Statements of open transactions run during a check, too. So it is extrapolated from
    how much of the time depended on the number running.
    """
    fewer = math.log(max(1.0, check.running / window.mean_running))
    if fewer < MIN_FEWER:
        return window.mean
    share = max(0.0, min(1.0, (check.level - window.mean) / fewer))
    return window.mean - share * math.log(window.mean_running)
