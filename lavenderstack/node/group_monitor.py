"""The watch of one group by one node: probes in, a new primary out when needed.

The decisions are those of ``core/failure_detector.py`` and ``core/promotion.py``; this
task keeps the links to the targets, asks the other watchers and carries out what
was decided.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable

import structlog

from lavenderstack.core import clock
from lavenderstack.core.failure_detector import FailureDetector, Verdict
from lavenderstack.core.group_messages import PrimaryReply
from lavenderstack.core.promotion import (
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
from lavenderstack.core.routing import Leader
from lavenderstack.core.view import Group
from lavenderstack.node.target_link import Probe, Report, TargetLink

TICK_S = 0.1
QUIET_TICK_S = 0.25
CHECK_TIMEOUT_S = 0.25
CHECK_TICK_S = 0.02
FOLLOW_INTERVAL_S = 1.0

log = structlog.get_logger()

AskOthers = Callable[[Group], Awaitable[list[PrimaryReply]]]


class GroupMonitor:
    """One node's watch of a group, as the watcher number ``rank``.

    ``ask_others`` returns the answers of the group's other watchers.
    """

    def __init__(self, group: Group, rank: int, ask_others: AskOthers) -> None:
        names = [target.name for target in group.targets]
        targets = {target.name: target for target in group.targets}
        self.group = group
        self.suspicion = FailureDetector(names, rank, clock.now())
        self.proposer = Proposer(names, random.Random())
        self._ask_others = ask_others
        self._asking: asyncio.Task | None = None
        self._follow_at = 0.0
        self._links = {
            name: TargetLink(group.name, target, targets, self._reported)
            for name, target in targets.items()
        }

    def leader(self) -> Leader | None:
        """Return the group's primary as far as this watcher knows."""
        return self.suspicion.leader()

    def set_leaving(self, names: Iterable[str]) -> None:
        """Take note of the targets that are leaving."""
        self.suspicion.leaving = frozenset(names) & self._links.keys()

    async def check(self) -> bool:
        """Probe all targets; tell whether a primary with a majority answers."""
        since = clock.now()
        self.suspicion.request_probes()
        while clock.now() - since < CHECK_TIMEOUT_S:
            self._probe(clock.now())
            await asyncio.sleep(CHECK_TICK_S)
            if self.suspicion.healthy(since):
                return True
            if self.suspicion.unreachable():
                return False
        return False

    async def run(self) -> None:
        """Watch the group until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                for link in self._links.values():
                    tasks.create_task(link.run())
                while True:
                    self._step(clock.now())
                    await asyncio.sleep(self._pause_s())
        finally:
            if self._asking is not None:
                self._asking.cancel()

    def _pause_s(self) -> float:
        idle = self.proposer.stage is Stage.IDLE
        return QUIET_TICK_S if idle and not self.suspicion.in_doubt() else TICK_S

    def _step(self, now: float) -> None:
        self._probe(now)
        self._make_follow(now)
        if self.proposer.stage is not Stage.IDLE:
            self._carry_out(self.proposer.handle_event(Tick(), now))
            return
        decision = self.suspicion.decide(now)
        if decision.verdict is Verdict.ASK_OTHERS:
            self._start_asking()
        elif decision.verdict is Verdict.PROPOSE:
            leaving = self.suspicion.leaving
            self._carry_out(
                self.proposer.propose(decision.term, now, decision.voters, leaving)
            )

    def _probe(self, now: float) -> None:
        due = self.suspicion.due(now)
        for name, link in self._links.items():
            if (name in due or link.broken) and not link.busy:
                self.suspicion.record_probe(name, now)
                link.send(Probe())

    def _make_follow(self, now: float) -> None:
        """Tell targets that follow no primary, or an old one, to follow this one."""
        leader = self.suspicion.leader()
        primary = self.suspicion.seen.get(leader.target) if leader else None
        if primary is None or not primary.leads or now < self._follow_at:
            return
        self._follow_at = now + FOLLOW_INTERVAL_S * (1 + self.suspicion.rank)
        self._carry_out(follow_actions(self.suspicion.seen, primary))

    def _start_asking(self) -> None:
        if self._asking is None or self._asking.done():
            self._asking = asyncio.create_task(self._ask())

    async def _ask(self) -> None:
        answers = await self._ask_others(self.group)
        healthy = any(answer.healthy for answer in answers)
        self.suspicion.record_peer_opinion(healthy, clock.now())
        log.info("watch: asked others", group=self.group.name, healthy=healthy)

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendAdopt() | SendLead() | SendFollow():
                    self._links[action.target].send(action)
                case PrimaryElected(term, primary):
                    log.info("watch: primary leads", primary=primary, term=term)
                    self.suspicion.request_probes()
                case ProposalFailed(term, _):
                    log.info("watch: proposal lost", group=self.group.name, term=term)

    def _reported(self, report: Report) -> None:
        now = clock.now()
        if report.seen is not None:
            self.suspicion.record_observation(report.seen, now)
        elif report.refused:
            self.suspicion.answered(report.target, now)
        else:
            self.suspicion.record_failure(report.target, report.closed)
        event = _event(report)
        if event is not None:
            self._carry_out(self.proposer.handle_event(event, now))


def _event(report: Report) -> Event | None:
    """Return what a report tells the proposer."""
    order = report.order
    if not isinstance(order, SendAdopt | SendLead):
        return None
    if report.refused:
        return RefusedTerm(report.target, order.term)
    if report.seen is None:
        return TimedOut(report.target, order.term)
    if isinstance(order, SendLead):
        return Leading(report.target, order.term)
    return Adopted(report.target, order.term, report.seen.last)
