"""The slots of one target: they limit how many requests run there concurrently.

A request starts immediately if a slot is free and no request is waiting. Otherwise it
joins the fair queue. A released slot goes to the next request in the queue, so a slot
is always either free or held by a running request, even if a waiting request is
cancelled while it is given a slot.

The cost of a request is the time for which it holds its slot, in seconds. The average
of the organisation's earlier requests is charged in advance and corrected when the
request ends, so an organisation with slow statements gets no more slot time than
others. Time beyond ``MAX_COST_S`` isn't charged, since a hanging target is not the
organisation's fault.

Where load control is enabled, requests wait in a ``LoadShedder`` instead. While load
control is being switched, requests of both queues wait; those of the queue to
which nothing is added any more go first.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from lavenderstack.core import clock
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.queue.fair_queue import FairQueue, QueueFull
from lavenderstack.core.queue.load_shedding import LoadShedder, Shed
from lavenderstack.core.queue.queue_load import QueueLoad
from lavenderstack.core.queue.statement_order import Urgency

# Cost assumed for an organisation before its first request has ended.
INITIAL_COST_S = 0.01
MAX_COST_S = 1.0
# Weight of the latest request in the moving average of an organisation's costs.
COST_SMOOTHING = 0.1
MIN_RETRY_S = 0.05


class Slots:
    """The ``slots`` of one target; ``now`` returns the current time in seconds.

    >>> slots = Slots(5)
    >>> slots.free
    5
    """

    def __init__(self, slots: int, now: Callable[[], float] = clock.now):
        self.free = slots
        self.slots = slots
        self.queue = FairQueue()
        self.shedder = LoadShedder(slots)
        # Whether the latest request is under load control.
        self._by_urgency = False
        self._now = now
        self._costs: dict[str, float] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    @asynccontextmanager
    async def acquire(
        self, organisation: str, weight: float, deadline: float, max_queued: int = 200
    ) -> AsyncIterator[None]:
        """Hold a slot for the duration of an ``async with`` block.

        ``deadline`` is the latest time, in seconds of ``now``, at which the request may
        start; ``max_queued`` limits the organisation's waiting requests. Raises
        ``Refused`` with ``DEADLINE`` or ``CROWDED`` before anything has run.
        """
        cost = self._costs.get(organisation, INITIAL_COST_S)
        await self._wait_for_slot(organisation, weight, deadline, max_queued, cost)
        started = self._now()
        try:
            yield
        finally:
            held_s = min(MAX_COST_S, self._now() - started)
            self._costs[organisation] = cost + COST_SMOOTHING * (held_s - cost)
            self.queue.correct_cost(organisation, weight, held_s - cost)
            self._release()

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a slot."""
        return len(self.queue) + len(self.shedder.order)

    @asynccontextmanager
    async def acquire_by_urgency(
        self, organisation: str, urgency: Urgency, late: bool, max_queued: int
    ) -> AsyncIterator[None]:
        """Hold a slot as ``acquire`` does, for a request under load control.

        ``late`` tells whether it is expected to miss its latency goal.
        """
        await self._wait_by_urgency(organisation, urgency, late, max_queued)
        started = self._now()
        try:
            yield
        finally:
            held_s = min(MAX_COST_S, self._now() - started)
            self.shedder.order.record_cost(organisation, urgency, held_s)
            self._release()

    async def _wait_by_urgency(
        self, organisation: str, urgency: Urgency, late: bool, max_queued: int
    ) -> None:
        if self._now() >= urgency.deadline:
            raise Refused(Reason.DEADLINE, "the deadline has passed")
        self._by_urgency = True
        order = self.shedder.order
        if self.free > 0 and not self.waiting:
            self.free -= 1
            order.serve_directly(organisation, urgency)
            return
        fut = asyncio.get_running_loop().create_future()
        try:
            order.push(organisation, urgency, fut, max_queued, late)
        except QueueFull:
            raise Refused(Reason.CROWDED, "queue full", MIN_RETRY_S) from None
        self._schedule_review()
        self._start_waiting()
        try:
            await fut
        except asyncio.CancelledError:
            self._withdraw(fut)
            raise

    async def _wait_for_slot(
        self,
        organisation: str,
        weight: float,
        deadline: float,
        max_queued: int,
        cost: float,
    ) -> None:
        self._by_urgency = False
        now = self._now()
        if now >= deadline:
            raise Refused(Reason.DEADLINE, "the deadline has passed")
        if self.free and not self.waiting:
            self.free -= 1
            self.queue.serve_directly(organisation, weight, cost)
            return
        fut = asyncio.get_running_loop().create_future()
        try:
            self.queue.push(organisation, weight, fut, deadline, max_queued, cost)
        except QueueFull:
            retry_s = max(MIN_RETRY_S, max_queued * cost / self.slots)
            retry_s *= random.uniform(0.5, 1.5)
            raise Refused(Reason.CROWDED, "queue full", retry_s) from None
        self._schedule_expiry(deadline)
        self._start_waiting()
        try:
            await fut
        except asyncio.CancelledError:
            self._withdraw(fut)
            raise

    def _withdraw(self, fut: asyncio.Future) -> None:
        """Withdraw a cancelled request; pass on its slot if it already has one."""
        if self.queue.remove(fut) or self.shedder.order.remove(fut):
            return
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self._release()

    @asynccontextmanager
    async def acquire_immediately(self) -> AsyncIterator[None]:
        """Hold a slot without waiting, even if this exceeds the number of slots.

        For statements of open transactions: while one waits, its transaction keeps a
        connection and locks, so running it immediately releases both sooner.
        """
        self.free -= 1
        started = self._now()
        try:
            yield
        finally:
            now = self._now()
            self.shedder.immediate.add(min(MAX_COST_S, now - started), now)
            self._release()

    def queue_load(self, organisation: str) -> QueueLoad:
        """Return the current queue load for a new request of the organisation."""
        costs = self._costs.values()
        mean_s = sum(costs) / len(costs) if costs else INITIAL_COST_S
        own = self.queue.length_of(organisation)
        organisation_count = self.queue.organisation_count + (0 if own else 1)
        waiting = len(self.queue)
        return QueueLoad(
            waiting, own, organisation_count, self.free, self.slots, mean_s
        )

    @property
    def running(self) -> int:
        """The number of requests that hold a slot, or run beyond the slots."""
        return self.slots - self.free

    def resize(self, slots: int) -> None:
        """Change the number of slots; running requests keep theirs."""
        self.free += slots - self.slots
        self.slots = self.shedder.slots = slots
        self._start_waiting()

    def _release(self) -> None:
        self.free += 1
        self._start_waiting()

    def _start_waiting(self) -> None:
        now = self._now()
        while self.free > 0:
            fut = self._pop(now)
            if fut is None:
                return
            if not fut.done():
                self.free -= 1
                fut.set_result(None)

    def _pop(self, now: float) -> asyncio.Future | None:
        if self._by_urgency:
            return self.queue.pop(now) or self.shedder.order.pop(now)
        return self.shedder.order.pop(now) or self.queue.pop(now)

    def _schedule_expiry(self, deadline: float) -> None:
        """Set the timer that refuses waiting requests at the earliest deadline."""
        if self._timer is not None:
            if self._timer_at <= deadline:
                return
            self._timer.cancel()
        self._timer_at = deadline
        delay_s = max(0.0, deadline - self._now())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._expire)

    def _schedule_review(self) -> None:
        """Set the timer that reviews the requests under load control."""
        at = self.shedder.next_review()
        if at is not None:
            self._schedule_expiry(at)

    def _expire(self) -> None:
        self._timer = None
        now = self._now()
        for fut in self.queue.expire(now):
            if not fut.done():
                fut.set_exception(Refused(Reason.DEADLINE, "no slot in time"))
        for shed in self.shedder.review(now):
            if not shed.item.done():
                shed.item.set_exception(_refusal(shed, self.slots))
        deadline = self.queue.next_deadline()
        if deadline is not None:
            self._schedule_expiry(deadline)
        self._schedule_review()


def _refusal(shed: Shed, limit: int) -> Refused:
    """Return why a waiting request is not run."""
    if shed.retry_after_s is None:
        return Refused(Reason.DEADLINE, "no slot in time")
    detail = (
        "more urgent statements came, so no slot would be free in time, "
        f"concurrency limit {limit}"
    )
    return Refused(Reason.CROWDED, detail, shed.retry_after_s)
