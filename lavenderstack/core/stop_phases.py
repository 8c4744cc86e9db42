"""What a node that stops as planned still accepts, by the time since the signal.

Whatever a node has read it must answer, so it stops to accept work before it stops to
run work: first new operations, then later statements of open transactions, and at last
it answers what still runs with what is known.
"""

from dataclasses import dataclass
from enum import IntEnum

# The load balancer probes once a second and removes a node after two failed probes.
BALANCER_REMOVAL_S = 2.2
# Shares of the time to stop. An open transaction has the first half of it to end; what
# is read in that half may take until the end.
REFUSING_SHARE = 1 / 2
FINISHING_SHARE = 2 / 3
# Part of the time that is reserved for delivering the last answers and for leaving.
ENDING_S = 0.7


class StopPhase(IntEnum):
    """What a node accepts; each phase accepts less than the one before.

    ``SERVING``: the node isn't stopping. ``LEAVING``: callers may not know yet, all is
    accepted. ``CLOSING``: sessions without an open operation are closed, all else is
    accepted. ``REFUSING``: new operations are refused. ``FINISHING``: so are later
    statements of transactions, which are rolled back. ``ENDED``: nothing may run any
    more.
    """

    SERVING = 0
    LEAVING = 1
    CLOSING = 2
    REFUSING = 3
    FINISHING = 4
    ENDED = 5


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """When the phases begin, in seconds after the signal."""

    closing_s: float
    refusing_s: float
    finishing_s: float
    ended_s: float

    def phase(self, elapsed_s: float) -> StopPhase:
        """Return the phase at a time after the signal.

        >>> stop_schedule(6.0).phase(3.5).name
        'REFUSING'
        """
        begins = (self.closing_s, self.refusing_s, self.finishing_s, self.ended_s)
        return StopPhase(
            StopPhase.LEAVING + sum(elapsed_s >= begin for begin in begins)
        )


def stop_schedule(limit_s: float) -> StopSchedule:
    """Return the schedule of a stop that must be over within ``limit_s`` seconds.

    >>> stop_schedule(6.0)
    StopSchedule(closing_s=2.2, refusing_s=3.0, finishing_s=4.0, ended_s=5.3)
    """
    ended_s = max(limit_s * FINISHING_SHARE, limit_s - ENDING_S)
    return StopSchedule(
        closing_s=min(BALANCER_REMOVAL_S, limit_s * REFUSING_SHARE),
        refusing_s=limit_s * REFUSING_SHARE,
        finishing_s=limit_s * FINISHING_SHARE,
        ended_s=ended_s,
    )
