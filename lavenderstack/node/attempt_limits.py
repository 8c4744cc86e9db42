"""Limits what an entry node sends to groups under load control.

A statement is refused here, without a message to the holder, while all targets that it
may run on report that they are full. Attempts beyond the first take from the group's
retry budget. For groups without load control, nothing is limited.
"""

import random
from collections import defaultdict
from collections.abc import Iterable

import structlog

from lavenderstack.core import clock
from lavenderstack.core.catalog import Route, TargetState
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.queue.retry_budget import GroupRetryBudget
from lavenderstack.core.targets.full_targets import FullTargets, NoReports
from lavenderstack.core.work_messages import Access
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.read_choices import full_kind

log = structlog.get_logger()

# Callers refused here come back over this part of their latency goal, after a target
# accepts statements again. Those of urgent routes have the shorter goals.
SPREAD_GOAL_SHARE = 0.5
LOG_INTERVAL_S = 1.0

# Refusals by which a holder says that it has no room; the caller comes back when told.
_OVERLOADED = frozenset({Reason.CROWDED, Reason.DEADLINE})
# Refusals by which a target that works says that another one must run the statement.
# The next attempt adds no load to a group that has none to spare.
_REDIRECTED = frozenset(
    {
        Reason.BEHIND,
        Reason.NOT_PRIMARY,
        Reason.LEAVING,
        Reason.EVACUATED,
        Reason.WRONG_TARGET,
    }
)

Choice = tuple[TargetState, Access]


class AttemptLimits:
    """The retry budgets of this entry node, and which targets it knows to be full."""

    def __init__(
        self,
        directory: Directory,
        counters: Counters,
        full_targets: FullTargets | None = None,
    ) -> None:
        self.full_targets = full_targets or NoReports()
        self.refused = 0
        self._directory = directory
        self._retries = counters.retries
        self._budgets: defaultdict[str, GroupRetryBudget] = defaultdict(
            GroupRetryBudget
        )
        self._logged_at: dict[str, float] = {}

    def count_statement(self, route: Route) -> None:
        """Count a statement whose first attempt follows."""
        if self._directory.is_load_controlled(route.group):
            self._budgets[route.group].count_statement()

    def accepting(self, route: Route, choices: Iterable[Choice]) -> list[Choice]:
        """Return the choices without targets that report that they are full."""
        if not self._directory.is_load_controlled(route.group):
            return list(choices)
        now = clock.now()
        return [choice for choice in choices if not self._is_full(choice, route, now)]

    def _is_full(self, choice: Choice, route: Route, now: float) -> bool:
        name = choice[0].target.name
        return self.full_targets.full_until(name, full_kind(route)) > now

    def refusal(self, route: Route, choices: Iterable[Choice]) -> Failed:
        """Return the answer to a statement for which no target accepts statements."""
        names = [state.target.name for state, _ in choices]
        kind = full_kind(route)
        untils = [self.full_targets.full_until(name, kind) for name in names]
        wait_s = max(0.0, min(untils) - clock.now())
        wait_s += random.uniform(0.0, SPREAD_GOAL_SHARE * route.latency_goal_s)
        self.refused += 1
        self._log_refusal(route, wait_s)
        return Failed(
            run=False,
            reason=Reason.CROWDED,
            detail="all targets have reported that they are full",
            retry_after_s=wait_s,
        )

    def _log_refusal(self, route: Route, wait_s: float) -> None:
        now = clock.now()
        if now < self._logged_at.get(route.group, float("-inf")) + LOG_INTERVAL_S:
            return
        self._logged_at[route.group] = now
        log.info(
            "dispatch: group full",
            group=route.group,
            priority=route.priority,
            retry_after_s=round(wait_s, 3),
            refused=self.refused,
        )

    def may_send_again(self, route: Route, after: Message | None = None) -> bool:
        """Return whether an attempt beyond the first may be sent, and count it.

        ``after`` is the answer that it follows, None for a hedge or a further round. An
        attempt after a redirection takes nothing from the budget. None is sent while
        all targets of the group report that they are full.
        """
        if not self._directory.is_load_controlled(route.group):
            return True
        if isinstance(after, Failed) and after.reason in _REDIRECTED:
            self._retries.labels("redirected").inc()
            return True
        now = clock.now()
        states = self._directory.group(route.group)
        choices = [(state, Access.WRITE) for state in states]
        if choices and all(self._is_full(one, route, now) for one in choices):
            self._retries.labels("full").inc()
            return False
        sent = self._budgets[route.group].take()
        self._retries.labels("sent" if sent else "over_budget").inc()
        return sent

    def is_final(self, route: Route, answer: Message) -> bool:
        """Return whether the caller, not this node, is to try again later."""
        return (
            isinstance(answer, Failed)
            and answer.reason in _OVERLOADED
            and self._directory.is_load_controlled(route.group)
        )
