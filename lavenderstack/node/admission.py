"""Admission of requests by the plans, on the node that holds a target.

Most requests take a token that the node has at hand, without waiting. The rest wait
for one round trip to the allotter. Shares are renewed in the background, all those
of one allotter in one message. While the allotter can't be reached, the node goes on
with its shares until they end and refuses what goes beyond them.
"""

import asyncio
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable, Mapping
from uuid import uuid4

import structlog

from lavenderstack.core import clock
from lavenderstack.core.admission_queue import AdmissionQueue, AdmissionResult
from lavenderstack.core.bucket import Bucket
from lavenderstack.core.messages import Message
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.shard import owner_of, shard_of
from lavenderstack.core.share import Share
from lavenderstack.core.share_messages import (
    DrawReply,
    DrawRequest,
    RecallReply,
    RecallRequest,
    SharesReply,
    SharesRequest,
)
from lavenderstack.core.view import View
from lavenderstack.node.peers import Call
from lavenderstack.node.streams import NotSent, StreamLost

TICK_S = 0.25
DRAW_TIMEOUT_S = 0.1
ASK_TIMEOUT_S = 1.0
OPEN_RATE_PER_S = 20.0
OPEN_BURST = 20.0
JITTER = 0.5

log = structlog.get_logger()


class Admission:
    """Admits requests of all organisations on this node.

    ``vm`` is this VM's name, ``view`` returns the view in force, and ``call`` sends a
    message to a VM by name and returns the answer (see ``peers``).
    """

    def __init__(
        self,
        vm: str,
        view: Callable[[], View],
        call: Call,
        now: Callable[[], float] = clock.now,
    ):
        self.process = f"{vm}#{uuid4().hex[:8]}"
        self.gates: dict[str, AdmissionQueue] = {}
        self._view = view
        self._call = call
        self._now = now
        self._revision = -1
        self._draws: dict[str, asyncio.Task] = {}
        self._open = Bucket(OPEN_RATE_PER_S, OPEN_BURST, OPEN_BURST, now())

    def handlers(self) -> Mapping[type, Callable[[Message], Awaitable[Message]]]:
        """Return what answers the messages that allotters send."""
        return {RecallRequest: self.on_recall}

    async def on_recall(self, message: RecallRequest) -> Message:
        """Give back the tokens of a share."""
        gate = self.gates.get(message.organisation)
        requests = [gate.share.recall(self._now())] if gate is not None else []
        return RecallReply(self.process, requests)

    def try_admit(self, organisation: str, now: float) -> bool:
        """Admit a request without waiting, or return False: then use ``admit``."""
        gate = self.gates.get(organisation)
        return gate is not None and gate.share.try_admit(now)

    def admit_open(self, now: float) -> None:
        """Admit a request of an open route, whose budget no organisation shares."""
        if not self._open.take(now):
            raise self._refusal("open routes are crowded", 1.0 / OPEN_RATE_PER_S)

    async def admit(self, organisation: str, deadline: float) -> None:
        """Admit a request or raise ``Refused`` with ``OVER_RATE``.

        The refusal tells when a token is likely to be there.
        """
        now = self._now()
        if now >= deadline:
            raise Refused(Reason.DEADLINE, "no time left")
        gate = self._gate(organisation, now)
        fut = asyncio.get_running_loop().create_future()
        verdict = gate.admit(fut, now)
        if verdict is AdmissionResult.ADMITTED:
            return
        if verdict is AdmissionResult.REFUSED:
            raise self._over_rate(gate, now)
        self._start_draw(organisation, gate)
        try:
            await fut
        except asyncio.CancelledError:
            gate.forget(fut)
            raise

    def _gate(self, organisation: str, now: float) -> AdmissionQueue:
        gate = self.gates.get(organisation)
        if gate is not None:
            return gate
        plan = self._view().plan_of(organisation)
        if plan is None:
            raise Refused(Reason.NOT_ALLOWED, "the organisation has no plan")
        gate = AdmissionQueue(Share(organisation, plan.rate, plan.burst))
        self.gates[organisation] = gate
        return gate

    def _over_rate(self, gate: AdmissionQueue, now: float) -> Refused:
        return self._refusal("over the plan's rate", gate.share.retry_after_s(now))

    def _refusal(self, detail: str, wait_s: float) -> Refused:
        wait_s *= random.uniform(1.0, 1.0 + JITTER)
        return Refused(Reason.OVER_RATE, detail, wait_s)

    def _start_draw(self, organisation: str, gate: AdmissionQueue) -> None:
        if organisation not in self._draws:
            task = asyncio.ensure_future(self._draw(organisation, gate))
            self._draws[organisation] = task
            task.add_done_callback(lambda _: self._draws.pop(organisation, None))

    async def _draw(self, organisation: str, gate: AdmissionQueue) -> None:
        """Draw tokens as long as requests wait for them."""
        while gate.waiting:
            now = self._now()
            wanted = gate.start_draw(now)
            if wanted is None:
                await asyncio.sleep(max(0.001, gate.share.refuse_until - now))
                continue
            number, tokens = wanted
            demand = gate.share.demand.per_s
            ask = DrawRequest(self.process, organisation, number, tokens, demand)
            reply = await self._ask_owner(organisation, ask, DRAW_TIMEOUT_S)
            grant = reply if isinstance(reply, DrawReply) else None
            now = self._now()
            admitted, refused = gate.finish_draw(number, grant, now)
            for fut in admitted:
                if not fut.done():
                    fut.set_result(None)
            for fut in refused:
                if not fut.done():
                    fut.set_exception(self._over_rate(gate, now))

    async def _ask_owner(
        self, organisation: str, body: Message, timeout_s: float
    ) -> Message | None:
        owner = owner_of(shard_of(organisation), self._view())
        if owner is None:
            return None
        return await self._ask(owner, body, timeout_s)

    async def _ask(self, vm: str, body: Message, timeout_s: float) -> Message | None:
        try:
            return await self._call(vm, body, timeout_s)
        except (NotSent, StreamLost, TimeoutError) as exc:
            log.info("admission: quota coordinator silent", vm=vm, error=repr(exc))
            return None

    async def run(self) -> None:
        """Renew shares until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                self.follow_plans()
                due = self._due()
                for owner, shares in due.items():
                    tasks.create_task(self._renew(owner, shares))
                await asyncio.sleep(TICK_S)

    def follow_plans(self) -> None:
        """Bring every share in line with the plans of the view in force."""
        view = self._view()
        if view.revision == self._revision:
            return
        self._revision = view.revision
        now = self._now()
        for organisation, gate in list(self.gates.items()):
            plan = view.plan_of(organisation)
            rate, burst = (plan.rate, plan.burst) if plan else (0.0, 0.0)
            gate.share.set_plan(rate, burst, now)

    def _due(self) -> dict[str, list[Share]]:
        now = self._now()
        view = self._view()
        due = defaultdict(list)
        for organisation, gate in list(self.gates.items()):
            if gate.share.idle(now) and not gate.waiting:
                if view.plan_of(organisation) is None:
                    del self.gates[organisation]
                continue
            owner = owner_of(shard_of(organisation), view)
            if owner is not None and gate.share.ask_due(now):
                due[owner].append(gate.share)
        return due

    async def _renew(
        self, owner: str, shares: list[Share], releasing: bool = False
    ) -> None:
        requests = [share.ask(self._now(), releasing) for share in shares]
        body = SharesRequest(self.process, requests)
        reply = await self._ask(owner, body, ASK_TIMEOUT_S)
        if not isinstance(reply, SharesReply):
            return
        now = self._now()
        for grant in reply.grants:
            gate = self.gates.get(grant.organisation)
            if gate is not None:
                gate.share.adopt(grant, now)

    async def stop(self) -> None:
        """Give back every share on a planned stop; only draws are left after it."""
        view = self._view()
        by_owner = defaultdict(list)
        for organisation, gate in self.gates.items():
            owner = owner_of(shard_of(organisation), view)
            if owner is not None:
                by_owner[owner].append(gate.share)
        renewals = [self._renew(vm, shares, True) for vm, shares in by_owner.items()]
        await asyncio.gather(*renewals)
