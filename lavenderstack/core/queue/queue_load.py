"""Decides whether a statement is queued at a target or refused at once.

The queue is fair between organisations. So the wait of a statement depends mainly on
how many statements of its own organisation wait before it, not on the length of the
queue: an organisation within its share hardly waits while another one floods the queue.

While the queue is loaded, a statement that is expected to be answered later than its
latency goal is refused. All slots are busy then in any case, so throughput stays the
same, and the statements that are served are answered in time. The refusal tells the
caller when to retry, and a read is tried at another target at once.
"""

from dataclasses import dataclass

# A statement that has used up its latency goal at other targets may still wait for this
# fraction of the goal.
LATE_WAIT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """The load of a target's queue at the arrival of a new statement.

    ``own_waiting`` counts the waiting statements of its organisation,
    ``organisation_count`` the organisations with waiting statements, including its
    own. ``cost_s`` is the mean time of a statement in a slot, in seconds.
    """

    waiting: int
    own_waiting: int
    organisation_count: int
    free: int
    slots: int
    cost_s: float

    @property
    def wait_s(self) -> float:
        """The expected time until a slot is free for a new statement, in seconds."""
        if self.free > 0 and not self.waiting:
            return 0.0
        ahead_count = min(
            self.waiting,
            self.own_waiting * max(1, self.organisation_count)
            + self.organisation_count,
        )
        return (ahead_count + 1) * self.cost_s / max(1, self.slots)


def refusal_retry_after_s(
    load: QueueLoad, latency_goal_left_s: float, latency_goal_s: float, left_s: float
) -> float | None:
    """Return the retry delay in seconds if the statement is refused, else None.

    ``latency_goal_left_s`` is what is left of the latency goal ``latency_goal_s``, and
    ``left_s`` the time left until the statement's deadline.

    >>> idle = QueueLoad(
    ...     waiting=0, own_waiting=0, organisation_count=0, free=1, slots=5, cost_s=0.03
    ... )
    >>> refusal_retry_after_s(
    ...     idle, latency_goal_left_s=0.2, latency_goal_s=0.2, left_s=1.0
    ... )
    """
    wait_s = load.wait_s
    if wait_s <= 0.0:
        return None
    needed_s = wait_s + load.cost_s
    allowed_s = min(left_s, max(latency_goal_left_s, latency_goal_s * LATE_WAIT_SHARE))
    if needed_s <= allowed_s:
        return None
    return needed_s - allowed_s + load.cost_s
