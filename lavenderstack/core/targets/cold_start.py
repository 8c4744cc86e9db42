"""Limits what a target gets shortly after its start, and its slots after a pause.

A target that has just started is cold: it answers slowly until its caches are filled,
and more load than it can take keeps it slow. Until then all nodes together may send it
only a limited number of statements in any one second, also while they can't reach each
other. So the node that is the target's first choice as its holder enforces the limit
alone.

Two nodes may both be first for a moment, since each follows the store by itself. A node
sends to a cold target only on a proof of its view that is at most ``MAX_PROOF_AGE_S``
old, so it stops that long after a change at the latest. The one that becomes first
waits ``TAKEOVER_WAIT_S``, which is longer by the second in which statements count. A
node whose ring went over another one and back, both in one answer of the store, doesn't
notice and never stops. Each node therefore uses at most half of the limit.

The load that this answers: a target that comes back from a crash or flaps while its
group is under full load.
"""

import math
from collections import deque
from dataclasses import dataclass, field

# The limit counts statements in any one second. The rest covers the delay between the
# check and the first byte, and clocks that don't run alike.
WINDOW_S = 1.05
# A node that follows the store has a younger proof: two answers come within 2 s.
MAX_PROOF_AGE_S = 2.5
TAKEOVER_WAIT_S = MAX_PROOF_AGE_S + WINDOW_S
# A node that didn't look at its ring for longer can't tell whether it was first all the
# time.
MAX_UNOBSERVED_S = 1.0
# A target that has restarted reports it within this time of its first connection.
REPORT_DELAY_S = 1.0
# Time over which a target gets its slots back.
RAMP_S = 2.0


@dataclass(frozen=True, slots=True)
class ColdLimits:
    """The deployment's limit: ``rate * excess + slack`` statements in any one second.

    ``rate`` is what a group declares for its cold targets, in statements/s.
    """

    excess: float
    slack: float

    def for_node(self, rate: float) -> int | None:
        """Return what one node may send in any one second, None if nothing limits it.

        >>> limits = ColdLimits(excess=1.5, slack=0.0)
        >>> [limits.for_node(rate) for rate in (0.0, 0.5, 1.0, 2.0, 10.0)]
        [None, 0, 1, 1, 7]
        """
        if rate <= 0:
            return None
        total = rate * self.excess + self.slack
        if math.isinf(total):
            return None
        total = math.floor(total)
        return max(min(1, total), total // 2)


@dataclass(slots=True)
class FirstChoice:
    """Since when this node is the first choice as the holder of one target.

    ``since`` is in seconds on the clock, None while it is not.
    """

    since: float | None = None
    _seen_at: float = -math.inf

    def observe(self, first: bool, changed_at: float, now: float) -> float | None:
        """Record whether this node is first at ``now``; return since when.

        ``changed_at`` is when anything last changed that the choice depends on.
        """
        observed = now - self._seen_at <= MAX_UNOBSERVED_S
        self._seen_at = now
        if not first:
            self.since = None
        elif observed and self.since is None:
            self.since = now
        elif not observed:
            before = -math.inf if self.since is None else self.since
            self.since = max(before, changed_at)
        return self.since


@dataclass(slots=True)
class SendWindow:
    """The statements sent to one target in the last ``WINDOW_S`` seconds.

    A permit is taken before a statement is prepared and counts until that statement is
    sent and ``WINDOW_S`` seconds have passed, or until it is given back. ``pending``
    are the permits of statements that were not sent yet.

    >>> window = SendWindow()
    >>> window.take(limit=1, now=5.0), window.take(limit=1, now=5.0)
    (True, False)
    """

    pending: int = 0
    _sent: deque[float] = field(default_factory=deque)

    def _forget(self, now: float) -> None:
        while self._sent and now - self._sent[0] >= WINDOW_S:
            self._sent.popleft()

    def take(self, limit: int, now: float) -> bool:
        """Take a permit; return False if there is none at ``now``."""
        self._forget(now)
        if self.pending + len(self._sent) >= limit:
            return False
        self.pending += 1
        return True

    def record_sent(self, now: float) -> None:
        """Record that a statement with a permit is sent at ``now``."""
        self.pending -= 1
        self._sent.append(now)

    def give_back(self) -> None:
        """Give back the permit of a statement that was not sent."""
        self.pending -= 1

    def is_unused(self, now: float) -> bool:
        """Return whether nothing counts any more."""
        self._forget(now)
        return not self.pending and not self._sent

    def expected_at(self, limit: int, ahead: int, now: float) -> float:
        """Return when a permit is expected for a statement with ``ahead`` before it.

        Pending statements are expected to be sent at ``now``. Without a limit above 0
        that is never.

        >>> window = SendWindow()
        >>> for at in (10.0, 10.5):
        ...     if window.take(limit=2, now=at):
        ...         window.record_sent(at)
        >>> [round(window.expected_at(2, ahead, 10.6), 2) for ahead in range(3)]
        [11.05, 11.55, 12.1]
        """
        if limit <= 0:
            return math.inf
        self._forget(now)
        used = [at + WINDOW_S for at in self._sent] + [now + WINDOW_S] * self.pending
        free = max(0, limit - len(used))
        windows, index = divmod(ahead, limit)
        # With a lowered limit, permits beyond it must be over first.
        free_at = now if index < free else used[-limit:][index - free]
        return free_at + windows * WINDOW_S


def may_send_from(first_since: float, proof_age_s: float) -> float | None:
    """Return from when on the first choice may send, None while its proof is too old.

    ``first_since`` is since when it is the first choice, in seconds on the clock.
    """
    if proof_age_s > MAX_PROOF_AGE_S:
        return None
    return first_since + TAKEOVER_WAIT_S


def may_have_restarted(suspected_at: float, proof_at: float) -> bool:
    """Return whether a target may have restarted without this node knowing its report.

    ``suspected_at`` is when a connection to it was opened after others had broken,
    ``proof_at`` the time of the proof of the node's view.

    >>> may_have_restarted(10.0, proof_at=10.9), may_have_restarted(10.0, proof_at=11.0)
    (True, False)
    """
    return proof_at < suspected_at + REPORT_DELAY_S


def ramped_slots(slots: int, elapsed_s: float) -> int:
    """Return how many slots of a target are used ``elapsed_s`` after its pause.

    >>> [ramped_slots(8, elapsed_s) for elapsed_s in (0.0, 0.5, 1.0, 2.0)]
    [1, 2, 4, 8]
    """
    if elapsed_s >= RAMP_S:
        return slots
    return max(1, math.floor(slots * max(0.0, elapsed_s) / RAMP_S))
