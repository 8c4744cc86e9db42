"""Applies evacuations at the connection holder of one target.

The holder decides at the moment of sending. Entry nodes use evacuations only to select
targets, and may learn of one later than the holder.
"""

import structlog

from lavenderstack.core.evacuation.evacuation import Use
from lavenderstack.core.evacuation.evacuation_routing import EVACUATED_RETRY_S, use_of
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.view import Target
from lavenderstack.core.work_messages import Work
from lavenderstack.node.directory import Directory
from lavenderstack.node.evacuation.evacuation_log import TargetUseLog
from lavenderstack.node.open_transactions import OpenTransactions
from lavenderstack.node.targets.target_connections import TargetConnections

log = structlog.get_logger()

# Idle connections kept to an evacuated primary, for the service's own probes: it stays
# the primary if nothing can replace it, and reads on replicas need its position.
KEPT_FOR_PROBES = 1


class EvacuationGuard:
    """Refuses callers' statements for a target in an evacuated zone.

    Ends what is open there once the grace period is over.
    """

    def __init__(
        self,
        directory: Directory,
        connections: TargetConnections,
        transactions: OpenTransactions,
    ) -> None:
        self._directory = directory
        self._connections = connections
        self._transactions = transactions
        self._use_log = TargetUseLog()

    def refusal(self, target: Target, work: Work, now: float) -> Failed | None:
        """Return why work may not be sent to the target now, or None."""
        if not self._directory.evacuations:
            return None
        use = use_of(work.access, work.opens, work.statement.kind, bool(work.tx))
        if self._directory.may_send(target.zone, use, now):
            return None
        detail = f"zone {target.zone} is evacuated"
        if work.tx:
            return Failed(run=False, reason=Reason.TRANSACTION_LOST, detail=detail)
        return Failed(
            run=False,
            reason=Reason.EVACUATED,
            detail=detail,
            retry_after_s=EVACUATED_RETRY_S,
        )

    def sweep(self, target: Target, now: float) -> None:
        """End open transactions and close idle connections that may not be used."""
        directory = self._directory
        out_of_use = not directory.may_send(target.zone, Use.OPEN, now)
        self._use_log.record(target, out_of_use)
        if not directory.is_evacuated(target.zone):
            return
        if out_of_use:
            ended = self._transactions.end_idle()
            if ended:
                log.info(
                    "executor: transactions ended, zone evacuated",
                    target=target.name,
                    ended=ended,
                )
        state = directory.targets.get(target.name)
        if state is None or not state.leads:
            self._connections.close_unused(keep=0)
        elif not directory.may_send(target.zone, Use.PRIMARY, now):
            self._connections.close_unused(keep=KEPT_FOR_PROBES)
