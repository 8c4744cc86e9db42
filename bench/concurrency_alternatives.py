"""Other ways to limit the concurrency of a target, for comparison in one table.

Each has ``limit`` and ``add``, as ``ConcurrencyLimit`` has. They are the known ones in
their simplest form, with windows and thresholds as the service's own limit has them.
"""

from dataclasses import dataclass, field

from lavenderstack.core.targets.concurrency_limit import STEP_SAMPLES, Sample


@dataclass
class Fixed:
    """The declared slots."""

    slots: int

    @property
    def limit(self) -> int:
        """The limit, which never changes."""
        return self.slots

    def add(self, sample: Sample) -> None:
        """Ignore a statement."""


@dataclass
class Adjusted:
    """A limit that changes in fractions, and is used rounded."""

    slots: int
    value: float = 0.0

    def __post_init__(self) -> None:
        self.value = float(self.slots)

    @property
    def limit(self) -> int:
        """The limit between one and the declared slots."""
        return max(1, min(self.slots, round(self.value)))

    def set(self, value: float) -> None:
        """Set the limit within its range."""
        self.value = max(1.0, min(float(self.slots), value))


@dataclass
class Aimd(Adjusted):
    """Additive increase, multiplicative decrease on time-outs.

    A statement counts as timed out after half of its goal, since the holder refuses
    those that would wait for longer.
    """

    def add(self, sample: Sample) -> None:
        """Learn from a statement."""
        took_s = sample.ended_at - sample.started_at
        timed_out = took_s > 0.5 * sample.kind.goal_s
        self.set(self.value * 0.7 if timed_out else self.value + 1 / self.value)


@dataclass
class Gradient(Adjusted):
    """The ratio of the long mean of the time to the recent one, with some spare."""

    long_s: dict = field(default_factory=dict)
    recent: float = 1.0

    def add(self, sample: Sample) -> None:
        """Learn from a statement."""
        took_s = sample.ended_at - sample.started_at
        long_s = self.long_s.setdefault(sample.kind, took_s)
        self.recent += (took_s / long_s - self.recent) / STEP_SAMPLES
        self.long_s[sample.kind] += (took_s - long_s) / 200
        gradient = max(0.5, min(1.0, 1.25 / self.recent))
        self.set(self.value + 0.2 * (self.value * gradient + 1 - self.value))


@dataclass
class Vegas(Adjusted):
    """The queue inside of the target by the shortest time of each kind."""

    shortest_s: dict = field(default_factory=dict)
    ratios: list = field(default_factory=list)

    def add(self, sample: Sample) -> None:
        """Learn from a statement."""
        took_s = sample.ended_at - sample.started_at
        shortest_s = min(took_s, self.shortest_s.get(sample.kind, took_s))
        self.shortest_s[sample.kind] = shortest_s
        self.ratios.append(shortest_s / took_s)
        if len(self.ratios) < STEP_SAMPLES:
            return
        queued = self.value * (1 - sum(self.ratios) / len(self.ratios))
        self.ratios.clear()
        self.set(self.value + (1 if queued < 1 else -1 if queued > 2 else 0))


@dataclass
class Probing(Adjusted):
    """Throughput against concurrency: a step is kept if it gave more throughput."""

    count: int = 0
    began_at: float = 0.0
    before: float = 0.0
    step: int = 1

    def add(self, sample: Sample) -> None:
        """Learn from a statement."""
        self.count += 1
        if self.count < 2 * STEP_SAMPLES:
            return
        rate = self.count / max(1e-6, sample.ended_at - self.began_at)
        if rate < self.before * (1 + 0.5 * self.step / self.value):
            self.step = -self.step
        self.before, self.count, self.began_at = rate, 0, sample.ended_at
        self.set(self.value + self.step)
