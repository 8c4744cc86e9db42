"""Gives a target its slots back step by step after it was out of use or cold.

All that waits would reach it at once otherwise, with empty caches.
"""

import math

import structlog

from lavenderstack.core.catalog import TargetState
from lavenderstack.core.evacuation.evacuation import Use
from lavenderstack.core.targets.cold_start import RAMP_S, ramped_slots
from lavenderstack.node.directory import Directory

log = structlog.get_logger()


class SlowStart:
    """The slots of one target that may be used now."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._reported_at = -math.inf

    def slots(self, state: TargetState, now: float) -> int:
        """Return how many of the target's slots may be used at ``now``."""
        directory, target = self._directory, state.target
        if directory.is_evacuated(target.zone):
            in_use = directory.may_send(target.zone, Use.PRIMARY, now)
            return target.slots if in_use else 1
        began_at = directory.returned_at.get(target.zone, -math.inf)
        if state.cold_until <= now and directory.cold_limit(state.group) is not None:
            began_at = max(began_at, state.cold_until)
        if now - began_at >= RAMP_S:
            return target.slots
        self._log_begin(target.name, target.slots, began_at)
        return ramped_slots(target.slots, now - began_at)

    def _log_begin(self, target: str, slots: int, began_at: float) -> None:
        if began_at > self._reported_at:
            self._reported_at = began_at
            log.info("executor: slots return step by step", target=target, slots=slots)
