"""Applies the learned concurrency limit of one target to its slots.

The limit is learned in ``core/targets/concurrency_limit.py``, from the times between
sending a statement and its answer. Waiting for a slot or for a connection isn't part of
them. Where load control is off, the slots are those that the target declares.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import structlog

from lavenderstack.core import clock
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.reply import Reply
from lavenderstack.core.targets.concurrency_limit import ConcurrencyLimit, Sample
from lavenderstack.core.work_messages import Work
from lavenderstack.node.directory import Directory
from lavenderstack.node.targets.slots import Slots

log = structlog.get_logger()

# A change by more than this part of the limit that was logged last is logged.
LOGGED_CHANGE_SHARE = 0.25
LOG_INTERVAL_S = 5.0


@dataclass(slots=True)
class Measurement:
    """Whether the time that is being measured counts, and is that of a time-out."""

    counts: bool = False
    timed_out: bool = False


class TargetConcurrency:
    """The learned limit of one target, and its slots."""

    def __init__(self, state: TargetState, slots: Slots, directory: Directory) -> None:
        self._target = state.target.name
        self._group = state.group
        self._declared = state.target.slots
        # Fewer than declared after the target was out of use.
        self._available = slots.slots
        self._slots = slots
        self._directory = directory
        self._limit: ConcurrencyLimit | None = None
        self._logged_limit = self._declared
        self._logged_at = float("-inf")

    @property
    def service_s(self) -> float:
        """The mean time of a statement at the target; 0 if it isn't measured."""
        return self._limit.service_s if self._limit else 0.0

    def prepare(self, work: Work) -> None:
        """Start to learn before the first statement under load control."""
        if self._limit is None:
            self._limit = ConcurrencyLimit(self._declared)
            self._limit.resume(work.known_limit)
            self._logged_limit = self._limit.limit
        self._limit.resume(work.known_limit)
        self._apply()

    def resize(self, declared: int, available: int) -> None:
        """Apply the declared slots, of which ``available`` may be used now."""
        if declared != self._declared and self._limit is not None:
            self._limit.resize(declared)
        self._declared, self._available = declared, available
        self._apply()

    def sweep(self) -> None:
        """Return to the declared slots if load control was switched off."""
        if not self._directory.is_load_controlled(self._group):
            self._limit = None
        self._apply()

    @contextmanager
    def measured(self, work: Work) -> Iterator[Measurement]:
        """Measure the block as the time of a statement at the target."""
        began_at, began_with = clock.now(), self._slots.running
        measurement = Measurement()
        yield measurement
        if self._limit is None or not measurement.counts:
            return
        kind = (work.priority, work.latency_goal_s, work.access, work.opens)
        running = max(began_with, self._slots.running)
        ended_at, timed_out = clock.now(), measurement.timed_out
        self._limit.add(Sample(kind, began_at, ended_at, running, timed_out))
        self._apply()

    def _apply(self) -> None:
        learned = self._limit.limit if self._limit else self._declared
        limit = min(learned, self._available)
        if limit != self._slots.slots:
            self._slots.resize(limit)
        self._log_change(limit)

    def _log_change(self, limit: int) -> None:
        before, now = self._logged_limit, clock.now()
        if abs(limit - before) <= LOGGED_CHANGE_SHARE * before:
            return
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_limit, self._logged_at = limit, now
        log.info(
            "executor: concurrency limit changed",
            target=self._target,
            limit=limit,
            before=before,
            slots=self._declared,
            service_ms=round(1000 * self.service_s, 1),
        )


def is_completion(reply: Reply | Failed) -> bool:
    """Return whether the time to this reply says how fast the target is.

    A statement that fails may have ended early. One that timed out took at least as
    long.
    """
    if isinstance(reply, Failed):
        return reply.reason == Reason.TIMED_OUT
    return reply.reason is None
