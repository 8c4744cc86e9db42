"""Sends a statement to one target, through the nodes that can reach it.

A node that can't be reached is left out, and the next one is asked. A statement goes to
another node only if it was certainly not run.
"""

import asyncio

import structlog

from lavenderstack.core import clock
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.message_size import work_refusal
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START
from lavenderstack.core.work_messages import Access, Work
from lavenderstack.node.attempt_limits import AttemptLimits
from lavenderstack.node.call import (
    Call,
    DispatchResult,
    TransactionLocation,
    may_retry,
)
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.home_routing import (
    holders,
    homes_of,
    transaction_obstacle,
)
from lavenderstack.node.peers import Peers
from lavenderstack.node.read_choices import ReadChoices
from lavenderstack.node.streams import InvalidRequest, NotSent, StreamLost

log = structlog.get_logger()

# Part of a statement's time that its connection holder doesn't get, so that the answer
# of one that gives up at its own deadline arrives in time.
ANSWER_MARGIN_S = 0.05
# Shortest time granted to a holder to wait for the primary's position, also when the
# statement's retry time is over.
MIN_POSITION_WAIT_S = 0.05
MAX_HOLDERS_TRIED = 3

# Failures of the node that was asked; another node may reach the same target.
_NODE_FAILURES = frozenset({Reason.UNREACHABLE, Reason.STALE_VIEW})
# Failures of all statements at a holder at once, when it or its target is lost.
_LOST = frozenset({Reason.UNREACHABLE, Reason.CONNECTION_LOST})


class Attempts:
    """Attempts of this entry node at targets, through their connection holders."""

    def __init__(
        self,
        directory: Directory,
        peers: Peers,
        counters: Counters,
        read_choices: ReadChoices,
        limits: AttemptLimits,
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._counters = counters
        self._read_choices = read_choices
        self._limits = limits

    async def run(
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
            if result.node and not self._limits.may_send_again(call.route):
                break
            answer = await self._send_work(
                vm, self.build_work(call, target.name, access, left_s)
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
        lost = result.answer.reason in _LOST and may_retry(call, result.answer)
        if not lost or call.spread:
            return
        call.spread = True
        if self._directory.is_load_controlled(call.route.group):
            delay_s = self._read_choices.retry_delay_s(call.route, result.target)
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

    def build_work(
        self, call: Call, target: str, access: Access, left_s: float, tx: str = ""
    ) -> Work:
        """Return the message that asks a holder to run the statement on a target.

        ``left_s`` is the time until the deadline; ``tx`` names an open transaction.
        """
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
        refusal = work_refusal(work)
        if refusal is not None:
            return refusal
        if not self._directory.is_load_controlled(work.group):
            return await self._ask_holder(vm, work)
        work = self._read_choices.with_known_limit(work, vm.name)
        with self._read_choices.in_flight(work) as sent:
            answer = await self._ask_holder(vm, work)
        self._read_choices.record_answer(sent, vm, work, answer)
        return answer

    async def _ask_holder(self, vm, work: Work) -> Message:
        timeout_s = work.left_s + ANSWER_MARGIN_S
        try:
            return await self._peers.ask(vm, work, timeout_s)
        except InvalidRequest as exc:
            return Failed(run=False, reason=Reason.BAD_REQUEST, detail=str(exc))
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
            vm, self.build_work(call, location.target, call.access, left_s, tx)
        )
