"""Finds a target for a statement and repeats what may be repeated.

A write goes to the primary. A read that must be current goes there too. Other reads
go to a replica first. A read may run twice, so when a target is slow to answer another
one is asked beside it and the first answer counts; nothing is broken off. A write is
sent again only if it is certain that it did not run.
"""

import asyncio
import random
from dataclasses import dataclass, field

import structlog

from lavenderstack.core import clock
from lavenderstack.core.catalog import Route, TargetState
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START, Position
from lavenderstack.core.statement import Prepared, Statement
from lavenderstack.core.work_messages import Access, Opens, Work, WorkDone
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.peers import Peers
from lavenderstack.node.streams import NotSent, StreamLost

log = structlog.get_logger()

# A holder that gives no answer in this time beyond the statement's own is given up.
ANSWER_MARGIN_S = 0.3
# Part of the aim after which a second target is asked for a read.
HEDGE_SHARE = 0.5
# How long a statement may wait for a primary to be replaced, as part of its time-out
# and in seconds: less than that is rarely enough, more is rarely of use to the caller.
PATIENCE_SHARE = 0.6
PATIENCE_S = 0.6
# A holder that is asked late may still wait so long for a primary's position.
SHORTEST_WAIT_S = 0.05
# Rounds over all targets come further and further apart: what is wrong lasts for a
# failover's time, and many callers wait for it at once.
SHORTEST_PAUSE_S = 0.02
FIRST_PAUSE_S = 0.03
LONGEST_PAUSE_S = 0.25
HOLDERS_TRIED = 3
# One target may fail a read that another one answers; two are taken at their word.
FAILURES_BELIEVED = 2
# A session that wrote this recently reads at the primary: replicas rarely have it yet.
RECENT_WRITE_S = 0.15

# Failures that another target or a short wait may end; none of them has run.
_PASSING = frozenset(
    {
        Reason.BEHIND,
        Reason.NOT_PRIMARY,
        Reason.NO_PRIMARY,
        Reason.UNREACHABLE,
        Reason.WRONG_TARGET,
        Reason.NO_CONNECTION,
        Reason.NO_PREPARED,
        Reason.LEAVING,
        Reason.CROWDED,
        Reason.DEADLINE,
    }
)


# Failures that lie with the node which was asked: another one may do.
_NODE_UNFIT = frozenset({Reason.UNREACHABLE, Reason.STALE_VIEW})


@dataclass(slots=True)
class Call:
    """One statement of a session on its way to a target."""

    request: str
    route: Route
    organisation: str
    key_digest: str
    version: int
    statement: Statement
    access: Access
    deadline: float
    values: dict[str, str]
    prepared: Prepared | None = None
    min_position: Position = START
    wrote_at: float = 0.0
    opens: Opens = Opens.NOTHING
    began_at: float = field(default_factory=clock.now)

    @property
    def patient_until(self) -> float:
        """Until when it may be tried again, in seconds on the clock."""
        patience_s = min(self.route.timeout_s * PATIENCE_SHARE, PATIENCE_S)
        return self.began_at + patience_s

    @property
    def repeatable(self) -> bool:
        """Whether running it twice has the effect of running it once."""
        return not self.statement.writes


@dataclass(frozen=True, slots=True)
class Placed:
    """An answer, and the node and target that gave it."""

    answer: Message
    node: str = ""
    target: str = ""


@dataclass(frozen=True, slots=True)
class Place:
    """Where a transaction is open: a target, through a node."""

    node: str
    target: str


class Dispatcher:
    """Sends statements to the holders of targets."""

    def __init__(self, directory: Directory, peers: Peers, counters: Counters) -> None:
        self._counters = counters
        self._directory = directory
        self._peers = peers

    async def run(self, call: Call) -> Placed:
        """Run the first or only statement of an operation, waiting a little for news.

        A round asks all that may serve it; the next one follows when something has
        changed or a pause is over, as long as the call's patience lasts.
        """
        pause_s = FIRST_PAUSE_S
        while True:
            placed = await self._round(call)
            left_s = call.patient_until - clock.now()
            if left_s <= 0 or not _passing(call, placed.answer):
                return placed
            pause_s = await self._pause(pause_s, left_s)

    async def _round(self, call: Call) -> Placed:
        if call.access is Access.AGED_READ:
            return await self._hedged(call, self._choices(call))
        primary = self._directory.primary(call.route.group)
        if primary is None:
            return Placed(Failed(run=False, reason=Reason.NO_PRIMARY))
        if call.repeatable and not call.opens:
            return await self._hedged(call, [(primary, call.access)] * 2)
        return await self._attempt(call, primary, call.access)

    async def _pause(self, pause_s: float, left_s: float) -> float:
        """Wait for news, but not less than a little; return the next longest wait."""
        await asyncio.sleep(min(left_s, SHORTEST_PAUSE_S))
        await self._directory.wait_for_change(min(left_s, pause_s))
        return min(LONGEST_PAUSE_S, pause_s * 2)

    def _choices(self, call: Call) -> list[tuple[TargetState, Access]]:
        """Return the targets for an aged read, the best first."""
        group = call.route.group
        found = self._directory.replicas(group)
        random.shuffle(found)
        # A replica in the entry's own zone saves two crossings between zones.
        found.sort(key=lambda state: state.target.zone != self._directory.zone)
        choices = [(state, Access.AGED_READ) for state in found]
        primary = self._directory.primary(group)
        if primary is not None and call.opens is not Opens.READ_ONLY:
            at = len(choices)
            if clock.now() - call.wrote_at < RECENT_WRITE_S:
                at = 0
            choices.insert(at, (primary, Access.CURRENT_READ))
        elif primary is not None:
            choices.append((primary, Access.AGED_READ))
        return choices

    async def _hedged(
        self, call: Call, choices: list[tuple[TargetState, Access]]
    ) -> Placed:
        """Try targets in turn, the next one also when the last is slow to answer."""
        failure = Placed(Failed(run=False, reason=Reason.NO_PRIMARY))
        hedge_s = call.route.latency_goal_s * HEDGE_SHARE
        running: set[asyncio.Task] = set()
        left = list(choices)
        tried: list[str] = []
        failed: list[Placed] = []
        try:
            while left or running:
                if left:
                    state, access = left.pop(0)
                    skip = tried.count(state.target.name)
                    tried.append(state.target.name)
                    attempt = self._attempt(call, state, access, skip)
                    running.add(asyncio.ensure_future(attempt))
                done, running = await asyncio.wait(
                    running,
                    timeout=hedge_s if left else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    failure = task.result()
                    if isinstance(failure.answer, WorkDone):
                        return failure
                    if _failed_by_itself(failure.answer):
                        failed.append(failure)
                if len(failed) >= FAILURES_BELIEVED:
                    return failed[-1]
                if not running and not failed and not _passing(call, failure.answer):
                    return failure
                if call.patient_until <= clock.now():
                    left.clear()
        finally:
            for task in running:
                # It may go on: only its answer is not needed any more.
                task.add_done_callback(_collect)
        return failure

    async def _attempt(
        self, call: Call, state: TargetState, access: Access, skip: int = 0
    ) -> Placed:
        """Run the statement on one target, through whichever node reaches it.

        ``skip`` is how many nodes to leave for last, when they are being tried already.
        """
        target = state.target
        failure = Placed(Failed(run=False, reason=Reason.UNREACHABLE))
        holders = self._peers.holders(target)[:HOLDERS_TRIED]
        for vm in holders[skip:] + holders[:skip]:
            left_s = call.deadline - clock.now()
            if left_s <= 0:
                return Placed(Failed(run=False, reason=Reason.DEADLINE))
            if failure.node and call.patient_until <= clock.now():
                break
            answer = await self._ask(vm, self._work(call, target.name, access, left_s))
            failure = Placed(answer, vm.name, target.name)
            if not isinstance(answer, Failed):
                self._counters.attempts.labels("done").inc()
                return failure
            self._note_failed(call, failure)
            if answer.run or answer.reason not in _NODE_UNFIT:
                break
            if answer.reason == Reason.STALE_VIEW:
                self._peers.suspect(vm.name)
        if failure.answer.reason == Reason.NOT_PRIMARY:
            self._directory.record_not_primary(target.name)
        return failure

    def _note_failed(self, call: Call, placed: Placed) -> None:
        failed = placed.answer
        self._counters.attempts.labels(str(failed.reason)).inc()
        log.info(
            "dispatch: tried again",
            request=call.request,
            target=placed.target,
            holder=placed.node,
            reason=failed.reason,
            detail=failed.detail,
        )

    def _work(
        self, call: Call, target: str, access: Access, left_s: float, tx: str = ""
    ) -> Work:
        aged = access is Access.AGED_READ
        return Work(
            request=call.request,
            organisation=call.organisation,
            key_digest=call.key_digest,
            version=call.version,
            group=call.route.group,
            target=target,
            statement=call.statement,
            access=access,
            left_s=left_s,
            latency_goal_s=call.route.latency_goal_s,
            latency_goal_left_s=call.route.latency_goal_s
            - (clock.now() - call.began_at),
            patience_s=max(SHORTEST_WAIT_S, call.patient_until - clock.now()),
            priority=call.route.priority,
            prepared=call.prepared,
            values=call.values,
            min_position=call.min_position if aged else START,
            max_age_s=call.route.max_age_s if aged else 0.0,
            opens=call.opens,
            tx=tx,
        )

    async def _ask(self, vm, work: Work) -> Message:
        timeout_s = work.left_s + ANSWER_MARGIN_S
        try:
            return await self._peers.ask(vm, work, timeout_s)
        except NotSent as exc:
            return Failed(run=False, reason=Reason.UNREACHABLE, detail=str(exc))
        except StreamLost as exc:
            return Failed(run=True, reason=Reason.CONNECTION_LOST, detail=str(exc))
        except TimeoutError:
            return Failed(run=True, reason=Reason.TIMED_OUT, detail="holder silent")

    async def step(self, call: Call, at: Place, tx: str) -> Message:
        """Run a statement of an open transaction where the transaction is open."""
        vm = self._directory.view.vms.get(at.node)
        if vm is None:
            return Failed(run=False, reason=Reason.TRANSACTION_LOST, detail="node gone")
        left_s = call.deadline - clock.now()
        return await self._ask(vm, self._work(call, at.target, call.access, left_s, tx))


def _passing(call: Call, answer: Message) -> bool:
    """Tell whether the statement may be tried again after this answer."""
    if not isinstance(answer, Failed):
        return False
    if answer.run:
        return call.repeatable and answer.reason != Reason.STATEMENT_FAILED
    return answer.reason in _PASSING


def _failed_by_itself(answer: Message) -> bool:
    return isinstance(answer, Failed) and answer.reason == Reason.STATEMENT_FAILED


def _collect(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("dispatch: attempt failed", exc_info=task.exception())
