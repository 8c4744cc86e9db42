"""What a node knows of the era of the platform's store.

The store may lose its latest changes when it is restored from a copy; the era number in
its answers then rises by one. After that, two times must pass on this node's clock,
counted from the first answer of the new era that it saw:

- ``READ_HOLD_S``: the operators and the targets write their lost entries again. Until
  then the store may lack a withdrawn key or a later configuration, so what it holds is
  not taken over and proves nothing.
- ``CLAIM_HOLD_S``: a node that has not seen the new era yet may act under a lease of
  the old one. Its lease has ended by then, on its own clock.

A node that has waited for the second time records the era in the store as settled. A
node that starts later reads the record and does not wait.
"""

import math
from dataclasses import dataclass
from enum import Enum, auto

# The platform's writers are back within about two seconds of the store's return.
READ_HOLD_S = 2.5
# The lifetime of a node's lease in seconds.
CLAIM_HOLD_S = 3.0


class EraNews(Enum):
    """How the era of an answer compares with the one known before."""

    SAME = auto()
    NEWER = auto()
    OLDER = auto()


@dataclass(slots=True)
class StoreEra:
    """The latest era that this node has seen.

    ``number`` is None before the first answer, ``seen_at`` the time in seconds of the
    first answer of the era. ``settled`` tells that the waiting times of the era are
    known to be over. ``restores`` counts the changes of era that this node has seen.
    """

    number: int | None = None
    seen_at: float = -math.inf
    settled: bool = False
    restores: int = 0

    def observe(self, number: int, now: float) -> EraNews:
        """Record the era of an answer that arrived at ``now``.

        Era 0 is settled from the start: the store was never restored.
        """
        if self.number is None:
            self.number, self.seen_at, self.settled = number, now, number == 0
            return EraNews.SAME
        if number == self.number:
            return EraNews.SAME
        if number < self.number:
            return EraNews.OLDER
        self.number, self.seen_at, self.settled = number, now, False
        self.restores += 1
        return EraNews.NEWER

    def settle(self, number: int) -> None:
        """Record that the waiting times of an era are over for every node."""
        if number == self.number:
            self.settled = True

    def read_wait_s(self, now: float) -> float:
        """Return the seconds until what the store holds may be taken over."""
        return self._left_s(READ_HOLD_S, now)

    def claim_wait_s(self, now: float) -> float:
        """Return the seconds until a group may be claimed."""
        return self._left_s(CLAIM_HOLD_S, now)

    def _left_s(self, hold_s: float, now: float) -> float:
        if self.settled:
            return 0.0
        return max(0.0, self.seen_at + hold_s - now)
