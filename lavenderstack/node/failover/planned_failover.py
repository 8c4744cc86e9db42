"""Decides when this node, as a group's owner, moves the primary out of its zone."""

import structlog

from lavenderstack.core import clock
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.evacuation.evacuation_routing import has_candidate
from lavenderstack.core.failover.replacement import Obstacle
from lavenderstack.node.directory import Directory
from lavenderstack.node.evacuation.evacuation_refusals import replacement_turn

log = structlog.get_logger()

OBSTACLE_LOG_INTERVAL_S = 10.0


class PlannedFailover:
    """The primaries of evacuated zones that this node replaces."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        # By group: when it was last logged that nothing outside can take over.
        self._logged_at: dict[str, float] = {}

    def is_due(self, group: str, primary: TargetState) -> bool:
        """Return whether to replace a group's primary now."""
        directory = self._directory
        if not directory.is_evacuated(primary.target.zone):
            self._logged_at.pop(group, None)
            return False
        now = clock.now()
        if not has_candidate(directory.group(group), directory.evacuations):
            self._log_obstacle(group, primary, now)
            return False
        return now >= replacement_turn(directory, group)

    def _log_obstacle(self, group: str, primary: TargetState, now: float) -> None:
        logged_at = self._logged_at.get(group)
        if logged_at is not None and now - logged_at < OBSTACLE_LOG_INTERVAL_S:
            return
        self._logged_at[group] = now
        log.warning(
            "replacer: evacuated primary not replaced",
            group=group,
            target=primary.target.name,
            obstacle=Obstacle.EVACUATED.name,
        )
