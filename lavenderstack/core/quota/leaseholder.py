"""What a quota coordinator knows of one process that holds a share of a plan.

Until a process has confirmed which share it holds, either the share that it held or
the one that was offered last may be in force, so the larger one counts.
"""

import math
from dataclasses import dataclass


@dataclass(slots=True)
class Lease:
    """A share that is in force, or may become so, until ``ends_at``.

    ``rate`` is in tokens/s, ``capacity`` in tokens. ``basis_rate`` and ``basis_burst``
    are the largest rate and burst that the plan has had since the grant.
    """

    seq: int
    rate: float
    capacity: float
    basis_rate: float
    basis_burst: float
    ends_at: float

    def size_under_plan(self, rate: float, burst: float) -> tuple[float, float]:
        """Return the rate and capacity to which the process scales it under a plan."""
        rate_factor = min(1.0, rate / self.basis_rate) if self.basis_rate else 0.0
        burst_factor = min(1.0, burst / self.basis_burst) if self.basis_burst else 0.0
        return self.rate * rate_factor, self.capacity * burst_factor


@dataclass(slots=True)
class Leaseholder:
    """The leases and the latest request numbers of one process.

    ``held`` is the confirmed share, ``offered`` the one in the latest answer.
    ``inherited`` is the size of a share from the previous owner that this owner has
    extended. ``drawn`` tokens may be in use until ``drawn_ends_at``.
    """

    number: int = 0
    held: Lease | None = None
    offered: Lease | None = None
    inherited: tuple[float, float] = (0.0, 0.0)
    demand: float = 0.0
    draw_number: int = 0
    drawn: float = 0.0
    drawn_ends_at: float = -math.inf
    last_seen_at: float = -math.inf

    def max_in_force(self) -> tuple[float, float]:
        """Return the rate and capacity that may be in force at this process."""
        leases = [lease for lease in (self.held, self.offered) if lease is not None]
        rate = max((lease.rate for lease in leases), default=0.0)
        capacity = max((lease.capacity for lease in leases), default=0.0)
        return rate, capacity + self.drawn

    def expire(self, now: float) -> None:
        """Remove the leases and drawn tokens that must have ended by now."""
        if self.held is not None and now >= self.held.ends_at:
            self.held = None
        if self.offered is not None and now >= self.offered.ends_at:
            self.offered = None
        if now >= self.drawn_ends_at:
            self.drawn = 0.0

    def confirm(self, seq: int, granted: float) -> None:
        """Keep only the share that the process reports to hold.

        ``granted`` is its capacity, which a recall may have reduced since the grant.
        """
        leases = (self.held, self.offered)
        self.held = next((e for e in leases if e is not None and e.seq == seq), None)
        self.offered = None
        if self.held is not None:
            self.held.capacity = min(self.held.capacity, granted)
