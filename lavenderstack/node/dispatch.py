"""Routes statements to targets, with retries and hedged reads.

Writes and reads that must be current go to the primary. Other reads go to a replica
first. Reads may run twice: when a target is slow, a second one is asked in parallel
and the first answer is used, without cancelling the other attempt. A write is sent
again only if it certainly did not run.
"""

import asyncio
import random

import structlog

from lavenderstack.core import clock
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.evacuation.evacuation_routing import (
    EVACUATED_RETRY_S,
    Prospect,
)
from lavenderstack.core.evacuation.homes import Regions
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.work_messages import (
    Access,
    EndWork,
    TransactionStart,
    WorkDone,
)
from lavenderstack.node.attempt_limits import AttemptLimits
from lavenderstack.node.attempts import Attempts
from lavenderstack.node.call import Call, DispatchResult, TransactionLocation, may_retry
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.evacuation.evacuation_refusals import (
    evacuated,
    group_prospect,
    refusal_at_once,
)
from lavenderstack.node.home_routing import (
    homes_of,
    in_homes,
    refusal_outside,
)
from lavenderstack.node.peers import Peers
from lavenderstack.node.read_choices import ReadChoices
from lavenderstack.node.streams import NotSent, StreamLost
from lavenderstack.node.work_guard import drain_refusal

log = structlog.get_logger()

# Fraction of the route's latency goal after which a read is sent to a second target.
HEDGE_GOAL_SHARE = 0.5
# Pauses between rounds over all targets. The longest pause doubles after each round,
# because a failure lasts as long as a failover and many callers retry at once.
MIN_BACKOFF_S = 0.02
FIRST_MAX_BACKOFF_S = 0.03
MAX_BACKOFF_S = 0.25
# How long the node that opened a transaction in vain may take to roll it back.
ROLLBACK_TIMEOUT_S = 0.5
# A read that fails at one target may succeed at another. After this many failures the
# error is returned.
FAILURES_TO_ACCEPT = 2
# A session reads from the primary for this long after a write, because replicas rarely
# have received the write by then.
RECENT_WRITE_S = 0.15


class Dispatcher:
    """Sends statements to the connection holders of targets."""

    def __init__(self, directory: Directory, peers: Peers, counters: Counters) -> None:
        self._counters = counters
        self._directory = directory
        self._peers = peers
        self._endings: set[asyncio.Task] = set()
        self.read_choices = ReadChoices(directory, counters)
        self.limits = AttemptLimits(directory, counters, self.read_choices.loads)
        self.attempts = Attempts(
            directory, peers, counters, self.read_choices, self.limits
        )

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
            if not may_retry(call, result.answer):
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
        if not primary.takes_new_work(clock.now()):
            return DispatchResult(drain_refusal())
        choices = [(primary, call.access)]
        if not self.limits.accepting(call.route, choices):
            return DispatchResult(self.limits.refusal(call.route, choices))
        if call.repeatable and not call.opens:
            # A cold target has one holder, and a second read would count as well.
            cold = self._directory.is_cold(primary, clock.now())
            attempts = 1 if cold else 2
            return await self._run_hedged(call, [(primary, call.access)] * attempts)
        return await self.attempts.run(call, primary, call.access)

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
        if primary is not None and not (
            self._usable([primary], homes) and primary.takes_new_work(clock.now())
        ):
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
                    attempt = self.attempts.run(call, state, access, skip)
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
                if not running and not failed and not may_retry(call, result.answer):
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

    async def run_in_transaction(
        self, call: Call, location: TransactionLocation, tx: str
    ) -> Message:
        """Run a later statement of a transaction where the transaction is open."""
        return await self.attempts.run_in_transaction(call, location, tx)


def _is_statement_failure(answer: Message) -> bool:
    return isinstance(answer, Failed) and answer.reason == Reason.STATEMENT_FAILED


def _log_exception(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("dispatch: attempt raised an exception", exc_info=task.exception())
