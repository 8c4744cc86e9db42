"""A token bucket whose rate and capacity may change while it is in use.

In any window of ``t`` seconds a bucket admits at most ``rate * t + capacity``
requests. Several buckets whose rates and capacities add up to those of a plan
together admit no more than one bucket of the plan would, provided that a change of
size never creates a token; ``resize`` keeps that rule.
"""

from dataclasses import dataclass

# Tolerance for rounding errors of floating-point levels.
ROUNDING_TOKENS = 1e-9


@dataclass(slots=True)
class Bucket:
    """A level of tokens that grows by ``rate`` per second up to ``capacity``.

    ``at`` is the time in seconds up to which the level has been refilled.

    >>> bucket = Bucket(rate=2.0, capacity=5.0)
    >>> bucket.take(now=0.5), bucket.take(now=0.5)
    (True, False)
    """

    rate: float = 0.0
    capacity: float = 0.0
    level: float = 0.0
    at: float = 0.0

    def refill(self, now: float) -> None:
        """Add the tokens accrued since the last call; none if the clock stepped back.

        ``now`` is in seconds of the clock that the bucket was created with.
        """
        if now > self.at:
            self.level = min(self.capacity, self.level + self.rate * (now - self.at))
            self.at = now

    def take(self, now: float) -> bool:
        """Take one token; return False if there is none."""
        self.refill(now)
        if self.level < 1.0 - ROUNDING_TOKENS:
            return False
        self.level = max(0.0, self.level - 1.0)
        return True

    def resize(self, now: float, rate: float, capacity: float) -> float:
        """Change rate and capacity; return the tokens that no longer fit.

        Added capacity starts empty.
        """
        self.refill(now)
        surplus = max(0.0, self.level - capacity)
        self.rate = rate
        self.capacity = capacity
        self.level -= surplus
        return surplus

    def add(self, tokens: float) -> float:
        """Add tokens up to the capacity; return how many were added."""
        fitting = max(0.0, min(tokens, self.capacity - self.level))
        self.level += fitting
        return fitting
