"""Load control at the holder of one target: what is refused, and what is logged of it.

The decisions are in ``core/queue/load_shedding.py``; this module translates a statement
into what they need, and counts what was refused.
"""

import math
from contextlib import AbstractAsyncContextManager

import structlog

from lavenderstack.core import clock
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.queue.load_shedding import Admission
from lavenderstack.core.queue.statement_order import Kind, Urgency
from lavenderstack.core.view import DEFAULT_PRIORITY
from lavenderstack.core.work_messages import Work
from lavenderstack.node.directory import Directory
from lavenderstack.node.targets.slots import Slots

log = structlog.get_logger()

LOG_INTERVAL_S = 1.0


class TargetLoadControl:
    """Load control of one target."""

    def __init__(self, target: str, slots: Slots, directory: Directory) -> None:
        self._target = target
        self._slots = slots
        self._directory = directory
        self._logged_at = float("-inf")

    def slot(self, work: Work, max_queued: int) -> AbstractAsyncContextManager[None]:
        """Return a context that holds a slot for a new statement.

        Raises ``Refused`` if the statement can't be expected to be served in time.
        """
        urgency = self._urgency(work)
        shedder, free = self._slots.shedder, self._slots.free
        now = clock.now()
        decision = shedder.decide(work.organisation, urgency, free, now)
        if decision.admission is Admission.REFUSED:
            self._log_refusal(work, decision.wait_s, now)
            raise Refused(
                Reason.CROWDED,
                "no slot would be free in time for an answer, concurrency limit "
                f"{self._slots.slots}",
                decision.retry_after_s,
            )
        late = decision.admission is Admission.LATE
        return self._slots.acquire_by_urgency(
            work.organisation, urgency, late, max_queued
        )

    def expected_wait_s(self, work: Work) -> float:
        """Return the wait of a statement like ``work`` that arrives now."""
        urgency, slots = self._urgency_of_new(work), self._slots
        return slots.shedder.expected_wait_s(urgency, slots.free, clock.now())

    def full_s(self, work: Work) -> float:
        """Return for how long statements like ``work`` will be refused."""
        urgency, slots = self._urgency_of_new(work), self._slots
        return slots.shedder.full_s(urgency, slots.free, clock.now())

    def _urgency_of_new(self, work: Work) -> Urgency:
        """Return the urgency of a statement of the same kind with its whole goal left.

        What is left of ``work`` itself says nothing about those that arrive next.
        """
        goal_s, now = work.latency_goal_s or math.inf, clock.now()
        goal_at, deadline = now + goal_s, now + max(goal_s, work.left_s)
        kind = Kind(work.priority, goal_s)
        return Urgency(kind, goal_at, deadline, DEFAULT_PRIORITY)

    def _urgency(self, work: Work) -> Urgency:
        now = clock.now()
        goal_s, goal_left_s = work.latency_goal_s, work.latency_goal_left_s
        if not goal_s:
            goal_s, goal_left_s = math.inf, work.left_s
        plan = self._directory.catalog.plans.get(work.organisation)
        return Urgency(
            kind=Kind(work.priority, goal_s),
            goal_at=now + goal_left_s,
            deadline=now + work.left_s,
            organisation_priority=plan.priority if plan else DEFAULT_PRIORITY,
        )

    def _log_refusal(self, work: Work, wait_s: float, now: float) -> None:
        if now < self._logged_at + LOG_INTERVAL_S:
            return
        self._logged_at = now
        log.info(
            "executor: statements shed",
            target=self._target,
            organisation=work.organisation,
            priority=work.priority,
            wait_s=round(wait_s, 3),
            waiting=self._slots.waiting,
            refused=self._slots.shedder.refused,
        )
