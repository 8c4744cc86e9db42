"""Limits how long a node may act on its knowledge of the store.

The proof counts from the moment at which a question was sent to the store whose answer
contained nothing that this node lacked. A key that was withdrawn before that moment is
known to be withdrawn. So requests with a key may be sent to a target for as long after
that moment as a withdrawn key is allowed to keep working, less a margin.
"""

import math
from dataclasses import dataclass

# Covers the delay between this node's check and the first byte at a target.
MARGIN_S = 0.25


@dataclass(slots=True)
class ViewProof:
    """When the view was last proved current, and for how many seconds that is valid."""

    limit_s: float
    at: float = -math.inf

    def prove(self, at: float) -> None:
        """Record that the view held everything accepted before ``at``."""
        self.at = max(self.at, at)

    def age_s(self, now: float) -> float:
        """Return the age of the proof in seconds."""
        return now - self.at

    def holds(self, now: float) -> bool:
        """Return whether requests with a key may still be sent to a target."""
        return self.age_s(now) <= self.limit_s - MARGIN_S
