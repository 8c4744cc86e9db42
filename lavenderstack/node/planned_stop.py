"""The planned stop of a node, as its sessions and executors see it."""

from dataclasses import dataclass

from lavenderstack.core import clock
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.stop_phases import StopPhase, StopSchedule, stop_schedule
from lavenderstack.core.work_messages import Work

STOPPING_DETAIL = "the node is stopping, connect again"


@dataclass(slots=True)
class PlannedStop:
    """Whether this node is stopping, and in which phase of its stop it is.

    ``begun_at`` is the time of the signal on the clock, None before it.
    """

    begun_at: float | None = None
    _schedule: StopSchedule | None = None
    _ended: bool = False

    def begin(self, limit_s: float) -> None:
        """Begin a stop that must be over within ``limit_s`` seconds."""
        self.begun_at = clock.now()
        self._schedule = stop_schedule(limit_s)

    def end(self) -> None:
        """Accept nothing from now on, as nothing is open."""
        self._ended = True

    @property
    def phase(self) -> StopPhase:
        """The present phase."""
        if self._ended:
            return StopPhase.ENDED
        if self.begun_at is None:
            return StopPhase.SERVING
        return self._schedule.phase(clock.now() - self.begun_at)

    def accepts(self, *, in_transaction: bool) -> bool:
        """Return whether a statement is accepted now.

        Those of a transaction that is open at a target are accepted for longer.
        """
        last = StopPhase.REFUSING if in_transaction else StopPhase.CLOSING
        return self.phase <= last

    def refusal(self, work: Work) -> Failed | None:
        """Return why this node does not run work for a target now, or None.

        Another node may run it, unless it belongs to a transaction.
        """
        if self.accepts(in_transaction=bool(work.tx)):
            return None
        reason = Reason.TRANSACTION_LOST if work.tx else Reason.UNREACHABLE
        return Failed(run=False, reason=reason, detail=STOPPING_DETAIL)
