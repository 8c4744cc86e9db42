"""Until when what a node knows of the store may be acted on.

The proof counts from the moment at which a question to the store was sent whose
answer held nothing that this node lacks. A key that was withdrawn before that moment
is known to be withdrawn; so keyed work may be sent to a target until the longest time
for which a withdrawn key may go on working has passed since then, less a margin.
"""

import math
from dataclasses import dataclass

# Covers the delay between this node's check and the first byte at a target.
MARGIN_S = 0.25


@dataclass(slots=True)
class ViewProof:
    """When the view was last proved current; ``limit_s`` is how long that holds."""

    limit_s: float
    at: float = -math.inf

    def prove(self, at: float) -> None:
        """Note that the view held all that was accepted before ``at``."""
        self.at = max(self.at, at)

    def age_s(self, now: float) -> float:
        """Return the age of the proof in seconds."""
        return now - self.at

    def holds(self, now: float) -> bool:
        """Tell whether keyed work may still be sent to a target."""
        return self.age_s(now) <= self.limit_s - MARGIN_S
