"""Admission of requests by their organisation's plan, on a target's connection holder.

Most requests take a token that the node already has, without waiting. The others wait
for one round trip to the quota coordinator. Shares are renewed in the background, all
those from one coordinator in one message. While the coordinator can't be reached, the
node uses its shares until they expire and refuses requests beyond them.
"""

import asyncio
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable, Mapping

import structlog

from lavenderstack.core import clock
from lavenderstack.core.messages import Message
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.queue.admission_queue import AdmissionQueue, AdmissionResult
from lavenderstack.core.quota.bucket import Bucket
from lavenderstack.core.quota.shard import owner_of, shard_of
from lavenderstack.core.quota.share import Share
from lavenderstack.core.quota.share_messages import (
    DrawReply,
    DrawRequest,
    RecallReply,
    RecallRequest,
    SharesReply,
    SharesRequest,
)
from lavenderstack.core.unique_id import process_name
from lavenderstack.core.view import View
from lavenderstack.node.peers import CallVm
from lavenderstack.node.streams import NotSent, StreamLost

RENEW_INTERVAL_S = 0.25
DRAW_TIMEOUT_S = 0.1
RENEW_TIMEOUT_S = 1.0
OPEN_RATE_PER_S = 20.0
OPEN_BURST = 20.0
# Share of the advised wait added at random, so that clients don't retry in step.
RETRY_JITTER = 0.5

log = structlog.get_logger()


class Admission:
    """Admits requests of all organisations on this node.

    ``vm`` is this VM's name, ``view`` returns the current view, and ``call`` sends a
    message to a VM by name and returns the answer (see ``peers``).
    """

    def __init__(
        self,
        vm: str,
        view: Callable[[], View],
        call: CallVm,
        now: Callable[[], float] = clock.now,
    ):
        self.process = process_name(vm)
        self.queues: dict[str, AdmissionQueue] = {}
        self._view = view
        self._call = call
        self._now = now
        self._revision = -1
        self._draw_tasks: dict[str, asyncio.Task] = {}
        self._open_route_bucket = Bucket(OPEN_RATE_PER_S, OPEN_BURST, OPEN_BURST, now())

    def handlers(self) -> Mapping[type, Callable[[Message], Awaitable[Message]]]:
        """Return the handlers of the messages that quota coordinators send."""
        return {RecallRequest: self.on_recall}

    async def on_recall(self, message: RecallRequest) -> Message:
        """Return the unused tokens of a share to the coordinator."""
        queue = self.queues.get(message.organisation)
        requests = [queue.share.recall(self._now())] if queue is not None else []
        return RecallReply(self.process, requests)

    def try_admit(self, organisation: str, now: float) -> bool:
        """Admit a request without waiting; if False, call ``admit`` instead."""
        queue = self.queues.get(organisation)
        return queue is not None and queue.share.try_admit(now)

    def admit_open(self, now: float) -> None:
        """Admit a request of an open route, or raise ``Refused`` with ``OVER_RATE``.

        Open routes have a token bucket of their own on each node, which doesn't count
        against any organisation's plan.
        """
        if not self._open_route_bucket.take(now):
            raise self._refusal(
                "too many requests on open routes", 1.0 / OPEN_RATE_PER_S
            )

    async def admit(self, organisation: str, deadline: float) -> None:
        """Admit a request or raise ``Refused``.

        The reason is ``OVER_RATE``, with the time after which a token is likely to be
        available, ``NOT_ALLOWED`` if the organisation has no plan, or ``DEADLINE``.
        """
        now = self._now()
        if now >= deadline:
            raise Refused(Reason.DEADLINE, "the deadline has passed")
        queue = self._queue_of(organisation, now)
        fut = asyncio.get_running_loop().create_future()
        verdict = queue.admit(fut, now)
        if verdict is AdmissionResult.ADMITTED:
            return
        if verdict is AdmissionResult.REFUSED:
            raise self._over_rate(queue, now)
        self._start_draw(organisation, queue)
        try:
            await fut
        except asyncio.CancelledError:
            queue.remove(fut)
            raise

    def _queue_of(self, organisation: str, now: float) -> AdmissionQueue:
        queue = self.queues.get(organisation)
        if queue is not None:
            return queue
        plan = self._view().plan_of(organisation)
        if plan is None:
            raise Refused(Reason.NOT_ALLOWED, "the organisation has no plan")
        queue = AdmissionQueue(Share(organisation, plan.rate, plan.burst))
        self.queues[organisation] = queue
        return queue

    def _over_rate(self, queue: AdmissionQueue, now: float) -> Refused:
        return self._refusal("over the plan's rate", queue.share.retry_after_s(now))

    def _refusal(self, detail: str, wait_s: float) -> Refused:
        wait_s *= random.uniform(1.0, 1.0 + RETRY_JITTER)
        return Refused(Reason.OVER_RATE, detail, wait_s)

    def _start_draw(self, organisation: str, queue: AdmissionQueue) -> None:
        if organisation not in self._draw_tasks:
            task = asyncio.ensure_future(self._draw(organisation, queue))
            self._draw_tasks[organisation] = task
            task.add_done_callback(lambda _: self._draw_tasks.pop(organisation, None))

    async def _draw(self, organisation: str, queue: AdmissionQueue) -> None:
        """Draw tokens from the coordinator while requests wait for them."""
        while queue.waiting:
            now = self._now()
            due_draw = queue.start_draw(now)
            if due_draw is None:
                await asyncio.sleep(max(0.001, queue.share.refuse_until - now))
                continue
            draw_number, tokens = due_draw
            demand = queue.share.demand.per_s
            request = DrawRequest(
                self.process, organisation, draw_number, tokens, demand
            )
            reply = await self._call_owner(organisation, request, DRAW_TIMEOUT_S)
            grant = reply if isinstance(reply, DrawReply) else None
            now = self._now()
            admitted, refused = queue.finish_draw(draw_number, grant, now)
            for fut in admitted:
                if not fut.done():
                    fut.set_result(None)
            for fut in refused:
                if not fut.done():
                    fut.set_exception(self._over_rate(queue, now))

    async def _call_owner(
        self, organisation: str, body: Message, timeout_s: float
    ) -> Message | None:
        owner = owner_of(shard_of(organisation), self._view())
        if owner is None:
            return None
        return await self._call_coordinator(owner, body, timeout_s)

    async def _call_coordinator(
        self, vm: str, body: Message, timeout_s: float
    ) -> Message | None:
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
                due = self._due_renewals()
                for owner, shares in due.items():
                    tasks.create_task(self._renew(owner, shares))
                await asyncio.sleep(RENEW_INTERVAL_S)

    def follow_plans(self) -> None:
        """Apply the plans of the current view to every share."""
        view = self._view()
        if view.revision == self._revision:
            return
        self._revision = view.revision
        now = self._now()
        for organisation, queue in list(self.queues.items()):
            plan = view.plan_of(organisation)
            rate, burst = (plan.rate, plan.burst) if plan else (0.0, 0.0)
            queue.share.set_plan(rate, burst, now)

    def _due_renewals(self) -> dict[str, list[Share]]:
        now = self._now()
        view = self._view()
        due = defaultdict(list)
        for organisation, queue in list(self.queues.items()):
            if queue.share.idle(now) and not queue.waiting:
                if view.plan_of(organisation) is None:
                    del self.queues[organisation]
                continue
            owner = owner_of(shard_of(organisation), view)
            if owner is not None and queue.share.request_due(now):
                due[owner].append(queue.share)
        return due

    async def _renew(
        self, owner: str, shares: list[Share], releasing: bool = False
    ) -> None:
        requests = [share.ask(self._now(), releasing) for share in shares]
        body = SharesRequest(self.process, requests)
        reply = await self._call_coordinator(owner, body, RENEW_TIMEOUT_S)
        if not isinstance(reply, SharesReply):
            return
        now = self._now()
        for grant in reply.grants:
            queue = self.queues.get(grant.organisation)
            if queue is not None:
                queue.share.adopt(grant, now)

    async def stop(self) -> None:
        """Release every share on a planned stop; later requests must draw tokens."""
        view = self._view()
        by_owner = defaultdict(list)
        for organisation, queue in self.queues.items():
            owner = owner_of(shard_of(organisation), view)
            if owner is not None:
                by_owner[owner].append(queue.share)
        renewals = [self._renew(vm, shares, True) for vm, shares in by_owner.items()]
        await asyncio.gather(*renewals)
