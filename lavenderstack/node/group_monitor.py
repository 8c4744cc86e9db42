"""Monitors one group: probes its targets and has a lost primary replaced.

``core/failover/failure_detector.py`` and ``core/failover/promotion.py`` make the
decisions. This module keeps the connections to the targets, asks the group's other
monitors, and executes the decisions.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Collection, Iterable

import structlog

from lavenderstack.core import clock
from lavenderstack.core.evacuation.evacuation_block import EvacuationBlock
from lavenderstack.core.failover.failure_detector import (
    Decision,
    FailureDetector,
    Verdict,
)
from lavenderstack.core.failover.group_messages import PrimaryReply
from lavenderstack.core.failover.promotion import (
    Action,
    Adopted,
    Event,
    Leading,
    PrimaryElected,
    ProposalFailed,
    Proposer,
    RefusedTerm,
    SendAdopt,
    SendFollow,
    SendLead,
    Stage,
    Tick,
    TimedOut,
    follow_actions,
)
from lavenderstack.core.routing import TermPrimary, targets_in_zones
from lavenderstack.core.view import Group
from lavenderstack.node.target_link import CommandResult, ProbeCommand, TargetLink

TICK_S = 0.1
IDLE_TICK_S = 0.25
CHECK_TIMEOUT_S = 0.25
CHECK_POLL_S = 0.02
FOLLOW_INTERVAL_S = 1.0

log = structlog.get_logger()

QueryMonitors = Callable[[Group], Awaitable[list[PrimaryReply]]]


class GroupMonitor:
    """One node's monitor of a group; ``rank`` is its place among the group's monitors.

    ``query_monitors`` returns the answers of the group's other monitors.
    """

    def __init__(self, group: Group, rank: int, query_monitors: QueryMonitors) -> None:
        names = [target.name for target in group.targets]
        targets = {target.name: target for target in group.targets}
        self.group = group
        self.detector = FailureDetector(names, rank, clock.now())
        self.proposer = Proposer(names, random.Random())
        self._query_monitors = query_monitors
        self._query_task: asyncio.Task | None = None
        self._next_follow_at = 0.0
        self._obstacle_logged = False
        self._block = EvacuationBlock()
        self._links = {
            name: TargetLink(group.name, target, targets, self._on_result)
            for name, target in targets.items()
        }

    def primary(self) -> TermPrimary | None:
        """Return the group's primary, or None if this monitor knows none."""
        return self.detector.primary()

    def blocked_term(self) -> int | None:
        """Return the term that only evacuated targets could lead, or None.

        A group has one while its primary is lost and an evacuation keeps all targets
        that have every commit from being promoted.
        """
        return self._block.term(self.detector.primary())

    def set_leaving(self, names: Iterable[str]) -> None:
        """Set which targets are leaving; other names are ignored."""
        self.detector.leaving = frozenset(names) & self._links.keys()

    def set_evacuated(self, zones: Collection[str]) -> None:
        """Set which zones are evacuated; none of their targets is made primary."""
        targets = self.group.targets
        evacuated = frozenset(targets_in_zones(self.group, zones))
        if evacuated == self.detector.evacuated:
            return
        self.detector.evacuated = evacuated
        self.proposer.exclude(evacuated)
        self._obstacle_logged = False
        self._block = EvacuationBlock()
        if len(evacuated) == len(targets):
            self._log_obstacle()

    def _log_obstacle(self) -> None:
        """Log, once for each change, that only evacuated targets might lead."""
        if not self._obstacle_logged:
            self._obstacle_logged = True
            log.warning(
                "monitor: no target may lead",
                group=self.group.name,
                obstacle="EVACUATED",
                evacuated=sorted(self.detector.evacuated),
            )

    async def check(self) -> bool:
        """Probe all targets; return whether a primary with a majority answers.

        Takes at most about ``CHECK_TIMEOUT_S``.
        """
        since = clock.now()
        self.detector.request_probes()
        while clock.now() - since < CHECK_TIMEOUT_S:
            self._probe(clock.now())
            await asyncio.sleep(CHECK_POLL_S)
            if self.detector.healthy(since):
                return True
            if self.detector.unreachable():
                return False
        return False

    async def run(self) -> None:
        """Monitor the group until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                for link in self._links.values():
                    tasks.create_task(link.run())
                while True:
                    self._step(clock.now())
                    await asyncio.sleep(self._pause_s())
        finally:
            if self._query_task is not None:
                self._query_task.cancel()

    def _pause_s(self) -> float:
        idle = self.proposer.stage is Stage.IDLE
        return IDLE_TICK_S if idle and not self.detector.in_doubt() else TICK_S

    def _step(self, now: float) -> None:
        self._probe(now)
        self._redirect_followers(now)
        if self.proposer.stage is not Stage.IDLE:
            self._execute(self.proposer.handle_event(Tick(), now))
            return
        decision = self.detector.decide(now)
        self._record_hold(decision)
        if decision.verdict is Verdict.ASK_OTHERS:
            self._start_query()
        elif decision.verdict is Verdict.PROPOSE:
            leaving, evacuated = self.detector.leaving, self.detector.evacuated
            self._execute(
                self.proposer.propose(
                    decision.term, now, decision.voters, leaving, evacuated
                )
            )

    def _record_hold(self, decision: Decision) -> None:
        was_held = self._block.held_term is not None
        is_held = decision.verdict is Verdict.EVACUATED
        self._block.record_decision(is_held, decision.term)
        if is_held:
            self._log_obstacle()
        elif was_held:
            self._obstacle_logged = False

    def _probe(self, now: float) -> None:
        due = self.detector.due(now)
        for name, link in self._links.items():
            if (name in due or link.broken) and not link.busy:
                self.detector.record_probe(name, now)
                link.send(ProbeCommand())

    def _redirect_followers(self, now: float) -> None:
        """Make targets that follow no primary, or an old one, follow the new one."""
        known = self.detector.primary()
        primary = self.detector.seen.get(known.target) if known else None
        if primary is None or not primary.leads or now < self._next_follow_at:
            return
        self._next_follow_at = now + FOLLOW_INTERVAL_S * (1 + self.detector.rank)
        self._execute(follow_actions(self.detector.seen, primary))

    def _start_query(self) -> None:
        if self._query_task is None or self._query_task.done():
            self._query_task = asyncio.create_task(self._query())

    async def _query(self) -> None:
        answers = await self._query_monitors(self.group)
        healthy = any(answer.healthy for answer in answers)
        self.detector.record_peer_opinion(healthy, clock.now())
        log.info(
            "monitor: other monitors asked", group=self.group.name, healthy=healthy
        )

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendAdopt() | SendLead() | SendFollow():
                    self._links[action.target].send(action)
                case PrimaryElected(term, primary):
                    log.info("monitor: primary established", primary=primary, term=term)
                    self.detector.request_probes()
                    self._obstacle_logged = False
                    self._block = EvacuationBlock()
                case ProposalFailed(term, _, all_excluded):
                    self._block.record_loss(term, all_excluded)
                    log.info("monitor: proposal lost", group=self.group.name, term=term)
                    if all_excluded:
                        self._log_obstacle()

    def _on_result(self, result: CommandResult) -> None:
        now = clock.now()
        if result.seen is not None:
            self.detector.record_observation(result.seen, now)
        elif result.refused:
            self.detector.record_answer(result.target, now)
        else:
            self.detector.record_failure(result.target, result.connection_refused)
        event = _proposer_event(result)
        if event is not None:
            self._execute(self.proposer.handle_event(event, now))


def _proposer_event(result: CommandResult) -> Event | None:
    """Return the proposer's event for a command's result, None for other commands."""
    command = result.command
    if not isinstance(command, SendAdopt | SendLead):
        return None
    if result.refused:
        return RefusedTerm(result.target, command.term)
    if result.seen is None:
        return TimedOut(result.target, command.term)
    if isinstance(command, SendLead):
        return Leading(result.target, command.term)
    return Adopted(result.target, command.term, result.seen.last)
