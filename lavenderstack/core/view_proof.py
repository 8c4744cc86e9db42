"""Limits how long a node may act on its knowledge of the store.

The proof counts from the moment at which a question was sent to the store whose answer
contained nothing that this node lacked. A key that was withdrawn before that moment is
known to be withdrawn. So requests with a key may be sent to a target for as long after
that moment as a withdrawn key is allowed to keep working, less a margin.

Everything else that the catalog says, its routes above all, must be in force after a
time of its own, also for requests without a key. That time may be shorter. A node then
acts on an older proof only as long as the store has answered it nothing since: a store
that is away accepts no change, but one that answers may have accepted some that this
node has not read yet.
"""

import math
from dataclasses import dataclass

# Covers the delay between this node's check and the first byte at a target.
MARGIN_S = 0.25


@dataclass(slots=True)
class ViewProof:
    """When the view was last proved current, and for how many seconds that is valid.

    ``limit_s`` is how long a withdrawn key may keep working, ``catalog_limit_s`` the
    time in seconds after its acknowledgement by which a catalog must be in force, by
    default the same. ``answered_at`` is when the store last answered any call.
    """

    limit_s: float
    catalog_limit_s: float | None = None
    at: float = -math.inf
    answered_at: float = -math.inf

    def prove(self, at: float) -> None:
        """Record that the view held everything accepted before ``at``."""
        self.at = max(self.at, at)

    def record_store_answer(self, now: float) -> None:
        """Record that the store answered a call, whatever the call was."""
        self.answered_at = max(self.answered_at, now)

    def age_s(self, now: float) -> float:
        """Return the age of the proof in seconds."""
        return now - self.at

    def holds(self, now: float) -> bool:
        """Return whether requests with a key may still be sent to a target."""
        return self.age_s(now) <= self.limit_s - MARGIN_S

    def catalog_holds(self, now: float) -> bool:
        """Return whether requests may still be handled as the catalog says.

        >>> proof = ViewProof(limit_s=5.0, catalog_limit_s=3.0, at=10.0)
        >>> proof.catalog_holds(12.7), proof.catalog_holds(14.7)
        (True, True)
        >>> proof.record_store_answer(13.0)
        >>> proof.catalog_holds(14.7)
        False
        """
        limit_s = self.limit_s if self.catalog_limit_s is None else self.catalog_limit_s
        if self.age_s(now) <= limit_s - MARGIN_S:
            return True
        answered_since = self.answered_at - self.at > limit_s - MARGIN_S
        return self.holds(now) and not answered_since
