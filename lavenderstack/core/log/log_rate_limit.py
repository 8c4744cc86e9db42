"""Limits the rate of log lines of each kind that a process writes.

Lines about the process's life cycle are always written. Each other kind has a limit of
its own, and the lines dropped are counted. So a flood of failures neither takes the
processor time that callers need nor hides the state changes that explain it.
"""

from collections import Counter
from dataclasses import dataclass, field

from lavenderstack.core.log.events import EVENTS, LineKind
from lavenderstack.core.quota.bucket import Bucket

# Limits per second, and the burst as seconds of the limit. A line has about 300 bytes.
MAX_LINES_PER_S = {
    LineKind.STATE: 100.0,
    LineKind.FAILURE: 200.0,
    LineKind.RETRY: 40.0,
    LineKind.SUCCESS: 10.0,
}
BURST_S = 2.0


def _buckets() -> dict[LineKind, Bucket]:
    return {
        kind: Bucket(rate, rate * BURST_S, rate * BURST_S)
        for kind, rate in MAX_LINES_PER_S.items()
    }


@dataclass(slots=True)
class LogRateLimiter:
    """Decides for each log line whether it is written."""

    buckets: dict[LineKind, Bucket] = field(default_factory=_buckets)
    dropped: Counter[LineKind] = field(default_factory=Counter)

    def admits(self, text: str, now: float) -> bool:
        """Return whether a line with this text is written; count it if not.

        A text that is not in the catalogue counts as a state change.
        """
        event = EVENTS.get(text)
        kind = event.kind if event is not None else LineKind.STATE
        bucket = self.buckets.get(kind)
        if bucket is None or bucket.take(now):
            return True
        self.dropped[kind] += 1
        return False

    def take_dropped(self) -> Counter[LineKind]:
        """Return the numbers of lines dropped since the last call, by kind."""
        counts, self.dropped = self.dropped, Counter()
        return counts
