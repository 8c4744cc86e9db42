"""The recent rate of something that is counted in amounts."""

import math
from dataclasses import dataclass

# Half a second hides a burst as long as the shorter latency goals; several seconds
# would still show it long after its end.
TIME_CONSTANT_S = 1.0


@dataclass(slots=True)
class DecayedRate:
    """A rate per second, as a moving average that decays exponentially.

    >>> rate = DecayedRate()
    >>> rate.add(0.5, now=10.0)
    >>> rate.at(10.0)
    0.5
    """

    _rate: float = 0.0
    _updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount; ``now`` is in seconds on the clock."""
        self._rate = self.at(now) + amount / TIME_CONSTANT_S
        self._updated_at = now

    def at(self, now: float) -> float:
        """Return the rate per second."""
        if not self._rate:
            return 0.0
        elapsed_s = max(0.0, now - self._updated_at)
        return self._rate * math.exp(-elapsed_s / TIME_CONSTANT_S)
