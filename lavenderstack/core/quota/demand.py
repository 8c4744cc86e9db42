"""Measures how many requests per second an organisation sends to a node."""

import math
from dataclasses import dataclass

DEMAND_TIME_CONSTANT_S = 3.0
# A shorter interval isn't averaged: a single request would count as a high rate.
MIN_UPDATE_INTERVAL_S = 0.02

_NEVER = -math.inf


@dataclass(slots=True)
class Demand:
    """An exponential average of requests per second since the first request.

    ``arrivals`` counts the requests since ``updated_at``. ``weight`` is the sum of the
    weights of all samples so far; dividing by it keeps the average of a new
    organisation from being too low.
    """

    total: float = 0.0
    weight: float = 0.0
    arrivals: int = 0
    updated_at: float = _NEVER

    @property
    def per_s(self) -> float:
        """The average in requests/s at the last ``update_average``."""
        return self.total / self.weight if self.weight else 0.0

    def count_arrival(self, now: float) -> None:
        """Count one request."""
        if self.updated_at == _NEVER:
            self.updated_at = now
        self.arrivals += 1

    def update_average(self, now: float) -> float:
        """Add the arrivals since the last update to the average and return it."""
        elapsed_s = now - self.updated_at
        if elapsed_s < MIN_UPDATE_INTERVAL_S or self.updated_at == _NEVER:
            return self.per_s
        decay = math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)
        self.total = self.total * decay + self.arrivals / elapsed_s * (1 - decay)
        self.weight = self.weight * decay + (1 - decay)
        self.arrivals = 0
        self.updated_at = now
        return self.per_s
