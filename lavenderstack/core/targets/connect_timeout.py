"""How long a request waits for a connection to another node to open.

A request that waits for a connection has not been sent, so it may go to another node
instead, also if it is a write. A connection to a node that runs opens in about one
round trip. A node that has lost power, or whose zone is cut off, doesn't answer at all.
So the timeout follows the observed connect times, like the retransmission timeout of
TCP (RFC 6298), and the attempt to connect goes on after it.

This answers the load right after all nodes lost power, and that of a zone that is cut
off: the statements of a target whose first holder doesn't answer yet.
"""

from dataclasses import dataclass

# Timeout before the first connection has opened.
INITIAL_TIMEOUT_S = 0.08
# A busy node may take this long to process an answer that has arrived.
MIN_TIMEOUT_S = 0.03
# Weights of the latest connect time in the mean and in the deviation, as in RFC 6298.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0


@dataclass(slots=True)
class ConnectTimeout:
    """An estimate from the connect times of this node; all times are in seconds.

    >>> timeout = ConnectTimeout()
    >>> timeout.record(0.02)
    >>> timeout.current_s(limit_s=1.0)
    0.06
    """

    _mean_s: float | None = None
    _deviation_s: float = 0.0

    def record(self, took_s: float) -> None:
        """Record how long it took to open a connection."""
        if self._mean_s is None:
            self._mean_s = took_s
            self._deviation_s = took_s / 2
            return
        error_s = took_s - self._mean_s
        self._deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)
        self._mean_s += MEAN_WEIGHT * error_s

    def current_s(self, limit_s: float) -> float:
        """Return how long to wait now, at most ``limit_s``."""
        if self._mean_s is None:
            return min(limit_s, INITIAL_TIMEOUT_S)
        timeout_s = self._mean_s + DEVIATIONS * self._deviation_s
        return min(limit_s, max(MIN_TIMEOUT_S, timeout_s))
