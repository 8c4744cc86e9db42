"""Whether a statement is put in the queue of a target, or refused at once.

The queue is fair between organisations, so how long a statement waits depends on how
many of its own organisation wait before it, far more than on the length of the queue:
an organisation that keeps to its share hardly waits while another one floods the queue.

A statement that would be answered after its aim is refused while the queue is crowded.
The slots are busy then in any case, so refusing it serves as many, and those that are
served get their answers in time. Its caller is told when to come back, and a read is
tried at another target at once.
"""

from dataclasses import dataclass

# A statement that is past its aim already, by trying elsewhere, may still wait so long.
LATE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """A target's queue as a new statement finds it.

    ``own`` statements of its organisation wait already, and ``organisation_count`` organisations
    have some waiting, its own counted. ``cost_s`` is the mean time of one in a slot.
    """

    waiting: int
    own: int
    organisation_count: int
    free: int
    slots: int
    cost_s: float

    @property
    def wait_s(self) -> float:
        """The expected time until a slot is free for a new statement, in seconds."""
        if self.free > 0 and not self.waiting:
            return 0.0
        before = min(
            self.waiting,
            self.own * max(1, self.organisation_count) + self.organisation_count,
        )
        return (before + 1) * self.cost_s / max(1, self.slots)


def refusal_retry_after_s(
    crowding: QueueLoad,
    latency_goal_left_s: float,
    latency_goal_s: float,
    left_s: float,
) -> float | None:
    """Return after how long to come back if the statement is refused, else None.

    ``latency_goal_left_s`` is what is left of the aim and ``left_s`` of the time in which an
    answer is of any use.

    >>> idle = Crowding(waiting=0, own=0, lines=0, free=1, slots=5, cost_s=0.03)
    >>> refused_for_s(idle, aim_left_s=0.2, aim_s=0.2, left_s=1.0)
    """
    wait_s = crowding.wait_s
    if wait_s <= 0.0:
        return None
    needed_s = wait_s + crowding.cost_s
    allowed_s = min(left_s, max(latency_goal_left_s, latency_goal_s * LATE_SHARE))
    if needed_s <= allowed_s:
        return None
    return needed_s - allowed_s + crowding.cost_s
