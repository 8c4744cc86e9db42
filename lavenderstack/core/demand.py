"""How many requests a second an organisation sends to a node."""

import math
from dataclasses import dataclass

DEMAND_WINDOW_S = 3.0
SHORTEST_FOLD_S = 0.02

_NEVER = -math.inf


@dataclass(slots=True)
class Demand:
    """An exponential average of requests/s since the first request.

    ``arrivals`` counts since ``at``; ``weight`` is how much of the average has been
    seen, so that a new organisation's demand isn't taken for a small one.
    """

    total: float = 0.0
    weight: float = 0.0
    arrivals: int = 0
    at: float = _NEVER

    @property
    def per_s(self) -> float:
        """The average as of the last ``fold``."""
        return self.total / self.weight if self.weight else 0.0

    def count_arrival(self, now: float) -> None:
        """Count one request."""
        if self.at == _NEVER:
            self.at = now
        self.arrivals += 1

    def fold(self, now: float) -> float:
        """Take the arrivals since the last call into the average and return it."""
        passed_s = now - self.at
        if passed_s < SHORTEST_FOLD_S or self.at == _NEVER:
            return self.per_s
        kept = math.exp(-passed_s / DEMAND_WINDOW_S)
        self.total = self.total * kept + self.arrivals / passed_s * (1 - kept)
        self.weight = self.weight * kept + (1 - kept)
        self.arrivals = 0
        self.at = now
        return self.per_s
