"""Whether a holder may send work to its target now.

A statement may wait in the queue, so the holder asks when the work arrives and again
just before it is sent.
"""

from collections.abc import Callable

from lavenderstack.core import clock
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import NO_PRIMARY_RETRY_S, Reason, Refused
from lavenderstack.core.view import Target
from lavenderstack.core.work_messages import Work
from lavenderstack.node.directory import Directory
from lavenderstack.node.evacuation.evacuation_guard import EvacuationGuard
from lavenderstack.node.targets.active_connections import failure
from lavenderstack.node.targets.cold_target import ColdTarget


def drain_refusal() -> Failed:
    """Return the refusal of a statement whose target has left, and was not replaced."""
    return Failed(
        run=False,
        reason=Reason.LEAVING,
        detail="the target has left and is not replaced yet",
        retry_after_s=NO_PRIMARY_RETRY_S,
    )


class WorkGuard:
    """Refuses work for one target that its holder may not send.

    ``target`` returns the target with its present limits.
    """

    def __init__(
        self,
        target: Callable[[], Target],
        directory: Directory,
        evacuation: EvacuationGuard,
        cold: ColdTarget,
    ) -> None:
        self._target = target
        self._directory = directory
        self._evacuation = evacuation
        self._cold = cold

    def refusal(self, work: Work) -> Failed | None:
        """Return why the work may not be sent to the target now, or None."""
        now = clock.now()
        if self._directory.unproved(bool(work.organisation), now):
            return failure(False, Reason.STALE_VIEW)
        known = self._directory.is_work_allowed(
            work.organisation, work.key_digest, work.version, now
        )
        if not known:
            return failure(False, Reason.KEY_REFUSED)
        state = self._directory.targets.get(self._target().name)
        if state is not None and not work.tx and not state.takes_new_work(now):
            return drain_refusal()
        return self._evacuation.refusal(self._target(), work, now)

    def require_allowed(self, work: Work) -> None:
        """Raise ``Refused`` if the work may not be sent to the target now."""
        refusal = self.refusal(work)
        if refusal is not None:
            reason = Reason(refusal.reason)
            raise Refused(reason, refusal.detail, refusal.retry_after_s)

    def refusal_to_send(self, work: Work) -> Failed | None:
        """Return why the statement may not be sent now; else it counts as sent."""
        return self.refusal(work) or self._cold.count_sent(work, clock.now())
