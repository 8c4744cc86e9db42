"""What an allotter knows of one process that holds shares of a plan.

Until a process has told which share it holds, both the one that it held and the one
that was offered last may be in force, so the larger one counts.
"""

import math
from dataclasses import dataclass


@dataclass(slots=True)
class Entry:
    """A share that is, or may come to be, in force until ``ends_at``.

    ``basis_rate`` and ``basis_burst`` are those of the largest plan since the grant.
    """

    seq: int
    rate: float
    capacity: float
    basis_rate: float
    basis_burst: float
    ends_at: float

    def in_force(self, rate: float, burst: float) -> tuple[float, float]:
        """Return what the process makes of it under the plan of now."""
        rate_part = min(1.0, rate / self.basis_rate) if self.basis_rate else 0.0
        burst_part = min(1.0, burst / self.basis_burst) if self.basis_burst else 0.0
        return self.rate * rate_part, self.capacity * burst_part


@dataclass(slots=True)
class Leaseholder:
    """What is known of one process; ``learned`` is the size taken over from before."""

    number: int = 0
    held: Entry | None = None
    offered: Entry | None = None
    learned: tuple[float, float] = (0.0, 0.0)
    demand: float = 0.0
    draw_number: int = 0
    drawn: float = 0.0
    drawn_ends_at: float = -math.inf
    heard_at: float = -math.inf

    def counted(self) -> tuple[float, float]:
        """Return the rate and capacity that may be in force at this process."""
        entries = [entry for entry in (self.held, self.offered) if entry is not None]
        rate = max((entry.rate for entry in entries), default=0.0)
        capacity = max((entry.capacity for entry in entries), default=0.0)
        return rate, capacity + self.drawn

    def expire(self, now: float) -> None:
        """Forget what must have ended by now."""
        if self.held is not None and now >= self.held.ends_at:
            self.held = None
        if self.offered is not None and now >= self.offered.ends_at:
            self.offered = None
        if now >= self.drawn_ends_at:
            self.drawn = 0.0

    def confirm(self, seq: int, granted: float) -> None:
        """Keep the share that the process says it holds, and only that.

        ``granted`` is its capacity, which is less than granted after a recall.
        """
        entries = (self.held, self.offered)
        self.held = next((e for e in entries if e is not None and e.seq == seq), None)
        self.offered = None
        if self.held is not None:
            self.held.capacity = min(self.held.capacity, granted)
