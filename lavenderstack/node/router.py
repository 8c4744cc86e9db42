"""Routes requests to targets and retries failed attempts.

Reads that any replica may serve go to replicas and fall back to the primary. A failed
attempt is retried only where that is safe, within the deadline and the retry budget;
otherwise the caller gets the failure immediately.
"""

import asyncio
from collections.abc import Iterable

from lavenderstack.core import clock
from lavenderstack.core.messages import (
    Begin,
    Begun,
    End,
    Execute,
    Executed,
    Failed,
    Message,
    refusal_of,
)
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.position import START, Position
from lavenderstack.core.queue.retry import (
    RetryBudget,
    backoff_s,
    is_idempotent,
    is_transient,
    may_retry,
)
from lavenderstack.core.request import Answer, Caller, Request
from lavenderstack.core.routing import needs_primary, read_order
from lavenderstack.core.token import Watermark, later
from lavenderstack.core.view import Group, Target, View, Vm
from lavenderstack.node.evacuation.zone_evacuations import ZoneEvacuations
from lavenderstack.node.peers import Peers
from lavenderstack.node.primaries import Primaries
from lavenderstack.node.request_attempts import (
    RequestAttempts,
    final_exception,
    no_holder,
    no_primary,
    to_exception,
)
from lavenderstack.node.streams import InvalidRequest, NotSent, StreamLost
from lavenderstack.node.transactions import parse
from lavenderstack.node.usable_primaries import UsablePrimaries

# Added to the time left of a request when waiting for the holder's own answer.
REPLY_GRACE_S = 0.25
# How long a replica may wait until its log has reached the session's watermark.
REPLICA_WAIT_S = 0.15
# Share of the time left that the first attempt of a repeatable request may use.
FIRST_ATTEMPT_SHARE = 0.5

# Failures after which the target known as the primary may no longer be it.
_PRIMARY_DOUBTFUL_REASONS = frozenset(
    {
        Reason.NOT_PRIMARY,
        Reason.NO_PRIMARY,
        Reason.UNREACHABLE,
        Reason.LEAVING,
        Reason.CONNECTION_LOST,
        Reason.UNCONFIRMED,
    }
)


class Router:
    """Routes the requests that one node's entry accepts."""

    def __init__(
        self,
        zone: str,
        view,
        peers: Peers,
        primaries: Primaries,
        evacuations: ZoneEvacuations,
    ) -> None:
        self._zone = zone
        self._view = view
        self._peers = peers
        self._primaries = primaries
        self._usable_primaries = UsablePrimaries(primaries, evacuations)
        self._budget = RetryBudget()

    def _group(self, name: str) -> Group:
        view: View = self._view()
        group = view.groups.get(name)
        if group is None:
            raise Refused(Reason.UNKNOWN_GROUP, f"no database group {name!r}")
        return group

    async def run(self, req: Request) -> Answer:
        """Run one statement; raises ``Refused`` or ``Unknown``."""
        self._budget.count_request()
        attempts = RequestAttempts()
        while True:
            group = self._group(req.group)
            target = await self._choose(req, group, attempts)
            if target is not None:
                answer = await self._attempt(req, group, target, attempts)
                if answer is not None:
                    return answer
            await self._pause_or_raise(req, attempts)

    def reached_by_all(self, groups: Iterable[str]) -> dict[str, Position]:
        """Return for each known group a position that all its targets have reached."""
        found = {}
        for name in groups:
            group = self._view().groups.get(name)
            if group is not None:
                seen = self._primaries.of(name).seen
                found[name] = min(seen.get(t.name, START) for t in group.targets)
        return found

    # Choosing a target.

    async def _choose(
        self, req: Request, group: Group, attempts: RequestAttempts
    ) -> Target | None:
        if not needs_primary(req):
            replica = self._replica(req, group, attempts)
            if replica is not None:
                return replica
        return await self._primary(group, attempts)

    def _replica(
        self, req: Request, group: Group, attempts: RequestAttempts
    ) -> Target | None:
        group_status = self._primaries.of(group.name)
        view: View = self._view()
        leaving = {t.name for t in group.targets if view.is_leaving(t.name)}
        evacuated = self._usable_primaries.evacuated(group)
        avoid = attempts.avoid | leaving | evacuated
        order = read_order(group, req.watermark, self._zone, group_status, avoid)
        return order[0] if order else None

    async def _primary(self, group: Group, attempts: RequestAttempts) -> Target | None:
        try:
            target = await self._usable_primaries.find(group, attempts.evacuated)
        except Refused as exc:
            attempts.last = refusal_of(exc)
            raise final_exception(attempts) from exc
        if target is None:
            attempts.last = no_primary()
            attempts.count += 1
        return target

    # Sending one attempt and evaluating its reply.

    async def _attempt(
        self, req: Request, group: Group, target: Target, attempts: RequestAttempts
    ) -> Answer | None:
        msg = self._message(req, target, attempts)
        reply = await self._send(target, msg, msg.left_s)
        if isinstance(reply, Executed):
            return self._answer(req, target, reply)
        self._record_failure(group, target, reply, attempts, req.write)
        return None

    def _message(
        self, req: Request, target: Target, attempts: RequestAttempts
    ) -> Execute:
        left_s = req.deadline - clock.now()
        if left_s <= 0:
            raise final_exception(attempts)
        if is_idempotent(req) and attempts.count == 0:
            # Leave time for a second attempt in case the connection does not answer.
            left_s *= FIRST_ATTEMPT_SHARE
        return Execute(
            request=req.id,
            organisation=req.caller.organisation,
            key_digest=req.caller.digest,
            group=req.group,
            target=target.name,
            statement=req.statement,
            args=req.args,
            write=req.write,
            left_s=left_s,
            min_position=req.watermark.position,
            wait_s=min(REPLICA_WAIT_S, left_s),
            fresh=req.fresh or (not req.write and self._leads(req, target)),
            max_age_s=req.max_age_s,
            idempotency_key=req.idempotency_key,
            admitted=attempts.admitted,
        )

    def _leads(self, req: Request, target: Target) -> bool:
        return self._primaries.of(req.group).leads(target.name)

    async def _send(self, target: Target, msg: Message, left_s: float) -> Message:
        """Send to the target's holder, or to the next one if the message never left."""
        failed = no_holder(target)
        for vm in self._peers.holders(target)[:3]:
            try:
                return await self._peers.ask(vm, msg, left_s + REPLY_GRACE_S)
            except InvalidRequest as exc:
                return _invalid_request(exc)
            except NotSent:
                continue
            except (StreamLost, TimeoutError):
                return Failed(
                    run=True,
                    reason=Reason.CONNECTION_LOST,
                    detail="the stream to the holder was lost",
                )
        return failed

    def _answer(self, req: Request, target: Target, reply: Executed) -> Answer:
        group_status = self._primaries.of(req.group)
        for name in reply.holders:
            group_status.record_position(name, reply.position)
        group_status.record_position(target.name, reply.position)
        watermark = later(
            req.watermark,
            Watermark(reply.position, tuple(reply.holders or [target.name])),
        )
        replica = not group_status.leads(target.name)
        return Answer(reply.result, watermark, reply.age_s, replica, reply.repeated)

    def _record_failure(
        self,
        group: Group,
        target: Target,
        reply: Failed,
        attempts: RequestAttempts,
        write: bool,
    ) -> None:
        attempts.last = reply
        attempts.count += 1
        attempts.admitted |= reply.admitted
        attempts.may_have_run |= reply.run and write
        attempts.avoid.add(target.name)
        if reply.reason == Reason.EVACUATED:
            attempts.evacuated.add(target.name)
        group_status = self._primaries.of(group.name)
        if reply.reason in _PRIMARY_DOUBTFUL_REASONS and group_status.leads(
            target.name
        ):
            # The next attempt asks the monitors whether there is a new primary.
            group_status.primary_uncertain = True
        if reply.primary and not group_status.leads(reply.primary):
            group_status.record_primary(reply.term, reply.primary)

    async def _pause_or_raise(self, req: Request, attempts: RequestAttempts) -> None:
        """Pause before the next attempt, or raise the final outcome immediately."""
        failed = attempts.last
        if failed is None or not may_retry(req, failed):
            raise final_exception(attempts)
        if not self._budget.take():
            raise final_exception(attempts)
        is_elsewhere = failed.reason in (Reason.BEHIND, Reason.EVACUATED)
        pause = 0.0 if is_elsewhere else backoff_s(attempts.count)
        await _pause(attempts, pause, req.deadline)

    # Transactions.

    async def begin(self, request_id: str, caller: Caller, group_name: str, deadline):
        """Open a transaction on the group's primary and return its name.

        ``deadline`` is in seconds of the local clock. Raises ``Refused`` or
        ``Unknown``.
        """
        group = self._group(group_name)
        attempts = RequestAttempts()
        while True:
            target = await self._primary(group, attempts)
            if target is not None:
                reply = await self._begin_on(
                    request_id, caller, group, target, deadline
                )
                if isinstance(reply, Begun):
                    return reply.transaction
                self._record_failure(group, target, reply, attempts, write=False)
            if not is_transient(attempts.last):
                raise final_exception(attempts)
            await _pause(attempts, backoff_s(attempts.count), deadline)

    async def _begin_on(
        self, request_id: str, caller: Caller, group: Group, target: Target, deadline
    ) -> Message:
        left_s = deadline - clock.now()
        msg = Begin(
            request=request_id,
            organisation=caller.organisation,
            key_digest=caller.digest,
            group=group.name,
            target=target.name,
            left_s=left_s,
        )
        return await self._send(target, msg, left_s)

    async def run_in_transaction(self, req: Request, transaction: str) -> Answer:
        """Run one statement in an open transaction; every failure is ``Refused``."""
        location = parse(transaction)
        left_s = req.deadline - clock.now()
        msg = Execute(
            request=req.id,
            organisation=req.caller.organisation,
            key_digest=req.caller.digest,
            group=location.group,
            target=location.target,
            statement=req.statement,
            args=req.args,
            write=req.write,
            left_s=left_s,
            transaction=transaction,
        )
        reply = await self._send_to_holder(location.holder, msg, left_s)
        if isinstance(reply, Executed):
            return Answer(reply.result, req.watermark)
        # Nothing of a transaction takes effect before its commit.
        raise Refused(Reason(reply.reason), reply.detail, reply.retry_after_s)

    async def end(
        self,
        request_id: str,
        caller: Caller,
        transaction: str,
        commit: bool,
        deadline: float,
        idempotency_key: str,
    ) -> Watermark:
        """Commit a transaction or roll it back; return the watermark of its writes.

        ``deadline`` is in seconds of the local clock. Raises ``Refused``, or
        ``Unknown`` if the commit may have taken effect.
        """
        location = parse(transaction)
        left_s = deadline - clock.now()
        msg = End(
            request=request_id,
            organisation=caller.organisation,
            key_digest=caller.digest,
            transaction=transaction,
            commit=commit,
            left_s=left_s,
            idempotency_key=idempotency_key,
        )
        reply = await self._send_to_holder(location.holder, msg, left_s)
        if isinstance(reply, Executed):
            return Watermark(reply.position, tuple(reply.holders))
        raise to_exception(reply)

    async def _send_to_holder(self, name: str, msg: Message, left_s: float) -> Message:
        vm: Vm | None = self._view().vms.get(name)
        if vm is None:
            raise Refused(Reason.TRANSACTION_LOST, "the node that held it has left")
        try:
            return await self._peers.ask(vm, msg, left_s + REPLY_GRACE_S)
        except InvalidRequest as exc:
            return _invalid_request(exc)
        except NotSent as exc:
            raise Refused(
                Reason.TRANSACTION_LOST, "the node that holds it does not answer"
            ) from exc
        except (StreamLost, TimeoutError):
            return Failed(
                run=True,
                reason=Reason.CONNECTION_LOST,
                detail="the stream to the holder was lost",
            )


def _invalid_request(exc: InvalidRequest) -> Failed:
    """Return the refusal of a request that no node could receive."""
    return Failed(run=False, reason=Reason.BAD_REQUEST, detail=str(exc))


async def _pause(attempts: RequestAttempts, pause: float, deadline: float) -> None:
    """Wait ``pause`` seconds; raise the final outcome if the deadline is sooner."""
    if clock.now() + pause >= deadline:
        raise final_exception(attempts)
    await asyncio.sleep(pause)
