"""How many log lines of each kind a process may write.

Lines of a process's life are always written; of the others so many a second, with
what was left out counted, so that a flood of failures neither costs the processor that
callers need nor hides the changes of belief that explain it.
"""

from collections import Counter
from dataclasses import dataclass, field

from lavenderstack.core.bucket import Bucket
from lavenderstack.core.events import EVENTS, LineKind

# Lines a second, and at once; a line has some 300 bytes.
LINES_PER_S = {
    LineKind.STATE: 100.0,
    LineKind.FAILURE: 200.0,
    LineKind.RETRY: 40.0,
    LineKind.SUCCESS: 10.0,
}
BURST_S = 2.0


def _buckets() -> dict[LineKind, Bucket]:
    return {
        kind: Bucket(rate, rate * BURST_S, rate * BURST_S)
        for kind, rate in LINES_PER_S.items()
    }


@dataclass(slots=True)
class LogRateLimiter:
    """Decides for each line whether it is written."""

    buckets: dict[LineKind, Bucket] = field(default_factory=_buckets)
    left_out: Counter[LineKind] = field(default_factory=Counter)

    def admits(self, text: str, now: float) -> bool:
        """Tell whether a line with this text is written; count it if not."""
        event = EVENTS.get(text)
        kind = event.kind if event is not None else LineKind.STATE
        bucket = self.buckets.get(kind)
        if bucket is None or bucket.take(now):
            return True
        self.left_out[kind] += 1
        return False

    def take_dropped(self) -> Counter[LineKind]:
        """Return the counts since the last call."""
        counted, self.left_out = self.left_out, Counter()
        return counted
