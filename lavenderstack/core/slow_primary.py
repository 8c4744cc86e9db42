"""Decides when a primary that has become slow is worth a planned failover.

A planned failover stops writes for a moment, and moving back and forth would cost more
than a slow primary does. How long the primary stays slow isn't known. So it is replaced
once the time lost by its slowness exceeds what a failover costs.
"""

from collections.abc import Collection
from dataclasses import dataclass

# How many times as long as at the slowest other target statements must take. Less is
# common between servers of different size.
MIN_RATIO = 2.0
# A primary counts as permanently slow only if it was so for this long.
MIN_SLOW_S = 5.0
# Without a slow observation for this long, it is no longer slow.
RECOVERED_AFTER_S = 2.0
# Writes wait for about this long during a planned failover.
FAILOVER_S = 1.0
# Statements fail in a failover that would only have been late.
COST_FACTOR = 3.0
MIN_INTERVAL_S = 30.0


@dataclass(slots=True)
class SlowPrimary:
    """The slowness of one group's primary; times are in seconds on the clock.

    >>> slow = SlowPrimary()
    >>> for number in range(60):
    ...     slow.observe("t1", 0.040, [0.008, 0.010], now=number / 10)
    >>> slow.is_due("t1", now=6.0), slow.is_due("t2", now=6.0)
    (True, False)
    """

    _primary: str = ""
    _since: float | None = None
    _slow_at: float = 0.0
    _lost_s: float = 0.0
    _replaced_at: float = float("-inf")

    def observe(
        self, primary: str, primary_s: float, others_s: Collection[float], now: float
    ) -> None:
        """Record mean times of comparable statements at the primary and the others.

        The slowest of the others counts, since any of them may take over. Without
        others nothing follows.
        """
        other_s = max(others_s, default=0.0)
        is_slow = other_s > 0.0 and primary_s >= MIN_RATIO * other_s
        if primary != self._primary or now - self._slow_at > RECOVERED_AFTER_S:
            self._primary, self._since, self._lost_s = primary, None, 0.0
        if not is_slow:
            return
        if self._since is None:
            self._since = self._slow_at = now
        # The part of a statement's time that it wouldn't take elsewhere.
        self._lost_s += (now - self._slow_at) * (1.0 - other_s / primary_s)
        self._slow_at = now

    def is_due(self, primary: str, now: float) -> bool:
        """Return whether to replace this primary now."""
        if primary != self._primary or self._since is None:
            return False
        if now - self._slow_at > RECOVERED_AFTER_S:
            return False
        if now - self._replaced_at < MIN_INTERVAL_S:
            return False
        is_permanent = self._slow_at - self._since >= MIN_SLOW_S
        return is_permanent and self._lost_s >= COST_FACTOR * FAILOVER_S

    def record_failover(self, now: float) -> None:
        """Record a failover of the group, for whatever reason."""
        self._replaced_at = now
        self._primary, self._since = "", None
