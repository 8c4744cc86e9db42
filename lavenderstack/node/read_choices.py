"""Selects targets for reads of groups under load control, and spreads lost retries."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random

import msgspec
import structlog
from prometheus_client import Counter

from lavenderstack.core import clock
from lavenderstack.core.catalog import Route, TargetState
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START
from lavenderstack.core.targets.load_view import LoadView, Sent
from lavenderstack.core.targets.target_choice import (
    Candidate,
    Choice,
    ChoiceReason,
    choose,
    retry_spread_s,
)
from lavenderstack.core.view import Vm
from lavenderstack.core.work_messages import Access, Work
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory

log = structlog.get_logger()

# Refusals of a read that the next reads would get as well.
_UNSERVED = frozenset({Reason.BEHIND, Reason.UNREACHABLE})
# A target that is passed over for its load is logged at most once in this time.
LOG_INTERVAL_S = 5.0

ReadChoice = tuple[TargetState, Access]


@dataclass(slots=True)
class ReadChoices:
    """The target selection of one entry node; ``loads`` is what it knows of targets."""

    directory: Directory
    counters: Counters
    loads: LoadView = field(init=False)
    _counts: dict[ChoiceReason, Counter] = field(init=False)
    _random: Random = field(default_factory=Random)
    _logged_at: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.loads = LoadView(self.directory.zone)
        choices = self.counters.target_choices
        self._counts = {reason: choices.labels(reason) for reason in ChoiceReason}
        self.counters.gauge(
            "known_target_loads",
            "Targets whose load is known from recent reports",
            lambda: self.loads.known(clock.now()),
        )

    def pop(self, route: Route, choices: list[ReadChoice]) -> ReadChoice:
        """Remove the target for the next attempt of a read from ``choices``.

        A primary that is first in the list, after a recent write, is kept unless it is
        full. One that may serve only what no replica did is last and not a candidate.
        """
        now = clock.now()
        first = choices[0]
        if len(choices) == 1 or (
            first[0].leads and not self._is_full(first[0], route, now)
        ):
            return choices.pop(0)
        found = {
            state.target.name: (state, access)
            for state, access in choices
            if not state.leads or access is Access.CURRENT_READ
        }
        candidates = [self._candidate(state, route, now) for state, _ in found.values()]
        choice = choose(candidates, _goal_s(route), self._random)
        self._record(route, choice, now)
        selected = found[choice.selected.target]
        choices.remove(selected)
        return selected

    def _is_full(self, state: TargetState, route: Route, now: float) -> bool:
        return self.loads.full_until(state.target.name, full_kind(route)) > now

    def _candidate(self, state: TargetState, route: Route, now: float) -> Candidate:
        target = state.target
        return Candidate(
            target=target.name,
            own_zone=target.zone == self.directory.zone,
            slots=target.slots,
            expectation=self.loads.expect(target.name, route.priority, now),
            distance_s=self.loads.distance_s(target.zone),
            primary=state.leads,
            full=self._is_full(state, route, now)
            or self.loads.is_avoided(target.name, route.max_age_s, now)
            or self.directory.is_cold(state, now),
        )

    def _record(self, route: Route, choice: Choice, now: float) -> None:
        selected, passed_over = choice.selected, choice.passed_over
        self._counts[selected.reason].inc()
        if passed_over is None or not passed_over.own_zone:
            return
        if now - self._logged_at.get(passed_over.target, 0.0) < LOG_INTERVAL_S:
            return
        self._logged_at[passed_over.target] = now
        goal_s = _goal_s(route)
        log.info(
            "dispatch: loaded target passed over",
            group=route.group,
            target=passed_over.target,
            selected=selected.target,
            expected_ms=round(1000 * passed_over.expected_s(goal_s)),
            selected_ms=round(1000 * selected.expected_s(goal_s)),
        )

    @contextmanager
    def in_flight(self, work: Work) -> Iterator[Sent]:
        """Count the work as in flight to its target during the block."""
        with self.loads.in_flight(work.target, clock.now()) as sent:
            yield sent

    def with_known_limit(self, work: Work, holder: str) -> Work:
        """Return the work with the target's limit as other holders reported it."""
        limit = self.loads.known_limit(work.target, holder, clock.now())
        return msgspec.structs.replace(work, known_limit=limit) if limit else work

    def record_answer(self, sent: Sent, vm: Vm, work: Work, answer: Message) -> None:
        """Store the report in a holder's answer, if it has one.

        A read that lacks its own session's writes says nothing about the target.
        """
        now = clock.now()
        if (
            isinstance(answer, Failed)
            and answer.reason in _UNSERVED
            and work.min_position == START
        ):
            self.loads.record_unserved(work.target, work.max_age_s, now)
        load = getattr(answer, "load", None)
        if load is not None:
            args = vm.name, vm.zone, work.priority, load, now, full_kind(work)
            self.loads.record(sent, *args)

    def retry_delay_s(self, route: Route, target: str) -> float:
        """Return the pause before a retry of what was lost with a target's holder."""
        drain_s = self.loads.drain_s(target, clock.now())
        return self._random.uniform(0.0, retry_spread_s(drain_s, _goal_s(route)))


def full_kind(statement: Route | Work) -> tuple[int, float]:
    """Return the kind of statements that a holder refuses or accepts alike."""
    return statement.priority, statement.latency_goal_s


def _goal_s(route: Route) -> float:
    return route.latency_goal_s or route.timeout_s
