"""Routes statements to targets, with retries and hedged reads.

Writes and reads that must be current go to the primary. Other reads go to a replica
first. Reads may run twice: when a target is slow, a second one is asked in parallel
and the first answer is used, without cancelling the other attempt. A write is sent
again only if it certainly did not run.
"""

import asyncio
import random
from dataclasses import dataclass, field

import structlog

from lavenderstack.core import clock
from lavenderstack.core.catalog import Route, TargetState
from lavenderstack.core.evacuation import Use
from lavenderstack.core.evacuation_routing import (
    EVACUATED_RETRY_S,
    Prospect,
    use_of,
)
from lavenderstack.core.homes import Regions
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START, Position
from lavenderstack.core.statement import Prepared, Statement
from lavenderstack.core.work_messages import (
    Access,
    EndWork,
    TransactionStart,
    Work,
    WorkDone,
)
from lavenderstack.node.attempt_limits import AttemptLimits
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.evacuation.evacuation_refusals import (
    evacuated,
    group_prospect,
    refusal_at_once,
)
from lavenderstack.node.home_routing import (
    holders,
    homes_of,
    in_homes,
    refusal_outside,
    transaction_obstacle,
)
from lavenderstack.node.peers import Peers
from lavenderstack.node.read_choices import ReadChoices
from lavenderstack.node.streams import NotSent, StreamLost

log = structlog.get_logger()

# Part of a statement's time that its connection holder doesn't get, so that the answer
# of one that gives up at its own deadline arrives in time.
ANSWER_MARGIN_S = 0.05
# Fraction of the route's latency goal after which a read is sent to a second target.
HEDGE_GOAL_SHARE = 0.5
# How long a statement is retried, mainly while a primary is replaced: a fraction of its
# timeout, and at most MAX_RETRY_S. Less is rarely enough for a replacement; a longer
# wait is rarely useful to the caller.
RETRY_TIMEOUT_SHARE = 0.6
MAX_RETRY_S = 0.6
# Shortest time granted to a holder to wait for the primary's position, also when the
# statement's retry time is over.
MIN_POSITION_WAIT_S = 0.05
# Pauses between rounds over all targets. The longest pause doubles after each round,
# because a failure lasts as long as a failover and many callers retry at once.
MIN_BACKOFF_S = 0.02
FIRST_MAX_BACKOFF_S = 0.03
MAX_BACKOFF_S = 0.25
MAX_HOLDERS_TRIED = 3
# How long the node that opened a transaction in vain may take to roll it back.
ROLLBACK_TIMEOUT_S = 0.5
# A read that fails at one target may succeed at another. After this many failures the
# error is returned.
FAILURES_TO_ACCEPT = 2
# A session reads from the primary for this long after a write, because replicas rarely
# have received the write by then.
RECENT_WRITE_S = 0.15

# Failures that may not recur at another target or after a short wait. The statement has
# not run in any of these cases.
_RETRYABLE = frozenset(
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
        Reason.EVACUATED,
    }
)


# Failures of the node that was asked; another node may reach the same target.
_NODE_FAILURES = frozenset({Reason.UNREACHABLE, Reason.STALE_VIEW})
# Failures of all statements at a holder at once, when it or its target is lost.
_LOST = frozenset({Reason.UNREACHABLE, Reason.CONNECTION_LOST})


@dataclass(slots=True)
class Call:
    """One statement of a session that is being routed to a target.

    ``version`` is the catalog version that the session used. ``deadline``,
    ``wrote_at`` (the session's last write) and ``began_at`` are in seconds on the
    clock. ``min_position`` is the log position that an aged read must see. ``spread``
    tells that a retry was delayed already, so that lost statements don't come at once.
    """

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
    opens: TransactionStart = TransactionStart.NONE
    began_at: float = field(default_factory=clock.now)
    spread: bool = False

    @property
    def retry_until(self) -> float:
        """Until when the statement may be retried, in seconds on the clock."""
        retry_s = min(self.route.timeout_s * RETRY_TIMEOUT_SHARE, MAX_RETRY_S)
        return self.began_at + retry_s

    @property
    def use(self) -> Use:
        """What the statement requires of its target."""
        return use_of(self.access, self.opens, self.statement.kind)

    @property
    def repeatable(self) -> bool:
        """Whether the statement may run twice, which is true for reads."""
        return not self.statement.writes


@dataclass(frozen=True, slots=True)
class DispatchResult:
    """An answer, with the node and target that gave it; empty if none was asked."""

    answer: Message
    node: str = ""
    target: str = ""


@dataclass(frozen=True, slots=True)
class TransactionLocation:
    """Where a transaction is open: the target and the node holding its connection."""

    node: str
    target: str


class Dispatcher:
    """Sends statements to the connection holders of targets."""

    def __init__(self, directory: Directory, peers: Peers, counters: Counters) -> None:
        self._counters = counters
        self._directory = directory
        self._peers = peers
        self._endings: set[asyncio.Task] = set()
        self.read_choices = ReadChoices(directory, counters)
        self.limits = AttemptLimits(directory, counters, self.read_choices.loads)

    async def run(self, call: Call) -> DispatchResult:
        """Run the first or only statement of an operation, with retries.

        Each round tries all suitable targets. The next round starts after a change of
        the directory or a pause, until ``call.retry_until``. Under load control it
        starts only if the retry budget allows it, and none follows a refusal by a
        holder without room.
        """
        backoff_s = FIRST_MAX_BACKOFF_S
        refusal = self._refusal_at_once(call)
        if refusal is not None:
            return DispatchResult(refusal)
        self.limits.count_statement(call.route)
        result = await self._run_round(call)
        sent = bool(result.node)
        while (left_s := call.retry_until - clock.now()) > 0:
            if not _may_retry(call, result.answer):
                break
            if self.limits.is_final(call.route, result.answer):
                break
            primary = self._directory.primary(call.route.group)
            backoff_s = await self._pause(backoff_s, left_s)
            refusal = self._refusal_at_once(call)
            if refusal is not None:
                return DispatchResult(refusal)
            replaced = self._directory.primary(call.route.group) is not primary
            if not sent or replaced or self.limits.may_send_again(call.route):
                result = await self._run_round(call)
                sent = sent or bool(result.node)
        return result

    def _refusal_at_once(self, call: Call) -> Failed | None:
        """Return the refusal if no target that may be used could run the statement.

        Those in evacuated zones and outside of the home regions may not.
        """
        return refusal_at_once(
            self._directory,
            self._counters,
            call.route.group,
            call.use,
            call.retry_until,
        ) or refusal_outside(
            self._directory,
            self._counters,
            call.route,
            call.organisation,
            call.use,
        )

    async def _run_round(self, call: Call) -> DispatchResult:
        outlook = group_prospect(
            self._directory, call.route.group, call.use, clock.now()
        )
        if outlook is Prospect.WAIT:
            detail = "its primary is being replaced"
            return DispatchResult(evacuated(detail, EVACUATED_RETRY_S))
        if call.access is Access.AGED_READ:
            choices = self._read_choices(call)
            accepting = self.limits.accepting(call.route, choices)
            if choices and not accepting:
                return DispatchResult(self.limits.refusal(call.route, choices))
            return await self._run_hedged(call, accepting)
        primary = self._directory.primary(call.route.group)
        if primary is None:
            return DispatchResult(Failed(run=False, reason=Reason.NO_PRIMARY))
        choices = [(primary, call.access)]
        if not self.limits.accepting(call.route, choices):
            return DispatchResult(self.limits.refusal(call.route, choices))
        if call.repeatable and not call.opens:
            # A cold target has one holder, and a second read would count as well.
            cold = self._directory.is_cold(primary, clock.now())
            attempts = 1 if cold else 2
            return await self._run_hedged(call, [(primary, call.access)] * attempts)
        return await self._attempt(call, primary, call.access)

    async def _pause(self, backoff_s: float, left_s: float) -> float:
        """Wait for a change of the directory, at least ``MIN_BACKOFF_S`` seconds.

        ``backoff_s`` limits the wait for a change. Returns the limit for the next
        pause.
        """
        await asyncio.sleep(min(left_s, MIN_BACKOFF_S))
        await self._directory.wait_for_change(min(left_s, backoff_s))
        return min(MAX_BACKOFF_S, backoff_s * 2)

    def _read_choices(self, call: Call) -> list[tuple[TargetState, Access]]:
        """Return the targets for an aged read and how to read there, best first."""
        group = call.route.group
        homes = homes_of(self._directory, call.route, call.organisation)
        replicas = self._usable(self._directory.replicas(group), homes)
        random.shuffle(replicas)
        # A replica in the entry's own zone avoids two messages between zones.
        replicas.sort(key=lambda state: state.target.zone != self._directory.zone)
        choices = [(state, Access.AGED_READ) for state in replicas]
        primary = self._directory.primary(group)
        if primary is not None and not self._usable([primary], homes):
            primary = None
        if primary is not None and call.opens is not TransactionStart.READ_ONLY:
            index = len(choices)
            if clock.now() - call.wrote_at < RECENT_WRITE_S:
                index = 0
            choices.insert(index, (primary, Access.CURRENT_READ))
        elif primary is not None:
            choices.append((primary, Access.AGED_READ))
        if self._directory.cold_limits is not None:
            now = clock.now()
            choices.sort(key=lambda choice: self._directory.is_cold(choice[0], now))
        return choices

    def _usable(
        self, states: list[TargetState], homes: Regions | None
    ) -> list[TargetState]:
        """Return the targets in the home regions outside of every evacuated zone."""
        is_evacuated = self._directory.is_evacuated
        usable = [state for state in states if not is_evacuated(state.target.zone)]
        return in_homes(self._directory, usable, homes)

    def _pop_choice(
        self, call: Call, choices: list[tuple[TargetState, Access]]
    ) -> tuple[TargetState, Access]:
        """Remove the next target to try from ``choices``, also for a hedged read."""
        aged = call.access is Access.AGED_READ
        if aged and self._directory.is_load_controlled(call.route.group):
            return self.read_choices.pop(call.route, choices)
        return choices.pop(0)

    async def _run_hedged(
        self, call: Call, choices: list[tuple[TargetState, Access]]
    ) -> DispatchResult:
        """Try targets in turn; start the next attempt early if one is slow.

        Returns the first success. Otherwise returns the failure that can't be retried,
        or the last one.
        """
        result = DispatchResult(Failed(run=False, reason=Reason.NO_PRIMARY))
        hedge_delay_s = call.route.latency_goal_s * HEDGE_GOAL_SHARE
        running: set[asyncio.Task] = set()
        remaining = list(choices)
        tried: list[str] = []
        failed: list[DispatchResult] = []
        try:
            while remaining or running:
                after = None if running else result.answer
                if (
                    tried
                    and remaining
                    and not self.limits.may_send_again(call.route, after)
                ):
                    remaining.clear()
                    if not running:
                        break
                if remaining:
                    state, access = self._pop_choice(call, remaining)
                    skip = tried.count(state.target.name)
                    tried.append(state.target.name)
                    attempt = self._attempt(call, state, access, skip)
                    running.add(asyncio.ensure_future(attempt))
                done, running = await asyncio.wait(
                    running,
                    timeout=hedge_delay_s if remaining else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    result = task.result()
                    if isinstance(result.answer, WorkDone):
                        running |= done - {task}
                        return result
                    if _is_statement_failure(result.answer):
                        failed.append(result)
                if len(failed) >= FAILURES_TO_ACCEPT:
                    return failed[-1]
                if not running and not failed and not _may_retry(call, result.answer):
                    return result
                if call.retry_until <= clock.now():
                    remaining.clear()
        finally:
            # These attempts continue, but their answers are no longer needed.
            for task in running:
                task.add_done_callback(self._abandon)
        return result

    def _abandon(self, task: asyncio.Task) -> None:
        """Roll back the transaction that an attempt opened after another one won.

        Else it would keep its connection until it has been idle for too long.
        """
        _log_exception(task)
        if task.cancelled() or task.exception() is not None:
            return
        result = task.result()
        if isinstance(result.answer, WorkDone) and result.answer.tx:
            ending = asyncio.ensure_future(self._roll_back(result))
            self._endings.add(ending)
            ending.add_done_callback(self._endings.discard)

    async def _roll_back(self, result: DispatchResult) -> None:
        try:
            await self._peers.call(
                result.node, EndWork(result.answer.tx), ROLLBACK_TIMEOUT_S
            )
        except (NotSent, StreamLost, TimeoutError) as exc:
            log.info(
                "session: rollback not delivered", holder=result.node, error=repr(exc)
            )

    async def _attempt(
        self, call: Call, state: TargetState, access: Access, skip: int = 0
    ) -> DispatchResult:
        """Run the statement on one target, through the nodes that can reach it.

        The first ``skip`` holders are tried last, because earlier attempts use them.
        """
        target = state.target
        result = DispatchResult(Failed(run=False, reason=Reason.UNREACHABLE))
        homes = homes_of(self._directory, call.route, call.organisation)
        vms = holders(self._directory, self._peers, state, homes, MAX_HOLDERS_TRIED)
        for vm in vms[skip:] + vms[:skip]:
            left_s = call.deadline - clock.now()
            if left_s <= 0:
                return DispatchResult(Failed(run=False, reason=Reason.DEADLINE))
            if result.node and call.retry_until <= clock.now():
                break
            if result.node and not self.limits.may_send_again(call.route):
                break
            answer = await self._send_work(
                vm, self._build_work(call, target.name, access, left_s)
            )
            result = DispatchResult(answer, vm.name, target.name)
            if not isinstance(answer, Failed):
                self._counters.attempts.labels("done").inc()
                return result
            self._record_failure(call, result)
            await self._spread_lost(call, result)
            if answer.run or answer.reason not in _NODE_FAILURES:
                break
            if answer.reason == Reason.STALE_VIEW:
                self._peers.suspect(vm.name)
        if result.answer.reason == Reason.NOT_PRIMARY:
            self._directory.record_not_primary(target.name)
        return result

    async def _spread_lost(self, call: Call, result: DispatchResult) -> None:
        """Pause before a retry of a statement that was lost with its holder.

        All statements that waited there come back at once. Once a statement is delayed,
        its later retries are apart from those of others. Under load control only.
        """
        lost = result.answer.reason in _LOST and _may_retry(call, result.answer)
        if not lost or call.spread:
            return
        call.spread = True
        if self._directory.is_load_controlled(call.route.group):
            delay_s = self.read_choices.retry_delay_s(call.route, result.target)
            left_s = max(0.0, call.retry_until - clock.now())
            await asyncio.sleep(min(delay_s, left_s))

    def _record_failure(self, call: Call, result: DispatchResult) -> None:
        failed = result.answer
        self._counters.attempts.labels(str(failed.reason)).inc()
        if failed.reason == Reason.EVACUATED:
            self._counters.evacuation_refusals.labels("holder").inc()
        log.info(
            "dispatch: target attempt failed",
            request=call.request,
            target=result.target,
            holder=result.node,
            reason=failed.reason,
            detail=failed.detail,
        )

    def _build_work(
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
            left_s=max(0.0, left_s - ANSWER_MARGIN_S),
            latency_goal_s=call.route.latency_goal_s,
            latency_goal_left_s=call.route.latency_goal_s
            - (clock.now() - call.began_at),
            position_wait_s=max(MIN_POSITION_WAIT_S, call.retry_until - clock.now()),
            priority=call.route.priority,
            prepared=call.prepared,
            values=call.values,
            min_position=call.min_position if aged else START,
            max_age_s=call.route.max_age_s if aged else 0.0,
            opens=call.opens,
            tx=tx,
        )

    async def _send_work(self, vm, work: Work) -> Message:
        if not self._directory.is_load_controlled(work.group):
            return await self._ask_holder(vm, work)
        work = self.read_choices.with_known_limit(work, vm.name)
        with self.read_choices.in_flight(work) as sent:
            answer = await self._ask_holder(vm, work)
        self.read_choices.record_answer(sent, vm, work, answer)
        return answer

    async def _ask_holder(self, vm, work: Work) -> Message:
        timeout_s = work.left_s + ANSWER_MARGIN_S
        try:
            return await self._peers.ask(vm, work, timeout_s)
        except NotSent as exc:
            return Failed(run=False, reason=Reason.UNREACHABLE, detail=str(exc))
        except StreamLost as exc:
            return Failed(run=True, reason=Reason.CONNECTION_LOST, detail=str(exc))
        except TimeoutError:
            return Failed(
                run=True, reason=Reason.TIMED_OUT, detail="holder did not answer"
            )

    async def run_in_transaction(
        self, call: Call, location: TransactionLocation, tx: str
    ) -> Message:
        """Run a later statement of a transaction where the transaction is open.

        It is sent once and never retried. ``tx`` names the transaction at that node.
        """
        vm = self._directory.view.vms.get(location.node)
        if vm is None:
            return Failed(
                run=False, reason=Reason.TRANSACTION_LOST, detail="the node has left"
            )
        homes = homes_of(self._directory, call.route, call.organisation)
        refusal = transaction_obstacle(self._directory, homes, vm, location.target)
        if refusal is not None:
            self._counters.homes_refusals.inc()
            return refusal
        left_s = call.deadline - clock.now()
        return await self._send_work(
            vm, self._build_work(call, location.target, call.access, left_s, tx)
        )


def _may_retry(call: Call, answer: Message) -> bool:
    """Return whether the statement may be tried again after this answer."""
    if not isinstance(answer, Failed):
        return False
    if answer.run:
        return call.repeatable and answer.reason != Reason.STATEMENT_FAILED
    return answer.reason in _RETRYABLE


def _is_statement_failure(answer: Message) -> bool:
    return isinstance(answer, Failed) and answer.reason == Reason.STATEMENT_FAILED


def _log_exception(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("dispatch: attempt raised an exception", exc_info=task.exception())
