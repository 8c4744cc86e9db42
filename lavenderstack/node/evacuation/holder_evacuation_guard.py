"""Keeps callers' statements from one target while its zone is evacuated.

The connection holder asks immediately before it sends a statement. Once the grace
period of the evacuation has passed, the target is out of use: the holder closes its
idle connections and rolls back transactions that are still open there.
"""

from lavenderstack.core.evacuation.evacuation import Use
from lavenderstack.core.messages import Execute
from lavenderstack.core.view import Target
from lavenderstack.node.evacuation.evacuation_log import TargetUseLog
from lavenderstack.node.evacuation.zone_evacuations import ZoneEvacuations


def use_of(msg: Execute) -> Use:
    """Return what a statement requires of its target."""
    if msg.transaction:
        return Use.OPEN
    return Use.PRIMARY if msg.write or msg.fresh else Use.READ


class HolderEvacuationGuard:
    """Decides for one target whether statements may be sent to it."""

    def __init__(self, target: Target, evacuations: ZoneEvacuations) -> None:
        self._target = target
        self._evacuations = evacuations
        self._use_log = TargetUseLog()

    def check(self, use: Use) -> None:
        """Raise ``Refused`` if the statement may not be sent now.

        No other task may run between this call and the first byte that is sent.
        """
        zone = self._target.zone
        if not self._evacuations.may_send(zone, use):
            raise self._evacuations.refusal(f"zone {zone} is evacuated")

    def is_out_of_use(self) -> bool:
        """Return whether no statement of any kind may be sent; log each change."""
        zone = self._target.zone
        out_of_use = not self._evacuations.may_send(zone, Use.FINISH)
        self._use_log.record(self._target, out_of_use)
        return out_of_use
