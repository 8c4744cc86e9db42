"""The slots of one target: how many requests may run there at once, and who is next.

A request that finds a slot free and nobody waiting starts at once. Otherwise it
joins the fair queue. Whoever gives up a slot passes it on to the next in the queue,
so a slot is always held by a running request or free, also when a waiting request
is cancelled at the moment at which it is given one.

The cost of a request is the time for which it holds its slot. It is charged by the
average of the organisation's earlier requests and corrected when it ends, so an
organisation with slow statements gets no more slot time than others. Time beyond
``LONGEST_COST_S`` isn't charged: a target that hangs is not the organisation's fault.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from lavenderstack.core import clock
from lavenderstack.core.fair_queue import FairQueue, QueueFull
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.queue_load import QueueLoad

FIRST_COST_S = 0.01
LONGEST_COST_S = 1.0
COST_WEIGHT = 0.1
SHORTEST_RETRY_S = 0.05


class Slots:
    """The ``slots`` of one target. ``now`` returns seconds, for deadlines and costs.

    >>> slots = Slots(5)
    >>> slots.free
    5
    """

    def __init__(self, slots: int, now: Callable[[], float] = clock.now):
        self.free = slots
        self.slots = slots
        self.queue = FairQueue()
        self._now = now
        self._costs: dict[str, float] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    @asynccontextmanager
    async def acquire(
        self, organisation: str, weight: float, deadline: float, longest: int = 200
    ) -> AsyncIterator[None]:
        """Hold a slot inside the ``async with``.

        ``deadline`` is the latest moment at which the request may start, ``longest``
        the most requests of the organisation that may wait. Raises ``Refused`` with
        ``DEADLINE`` or ``CROWDED``; nothing has run then.
        """
        cost = self._costs.get(organisation, FIRST_COST_S)
        await self._enter(organisation, weight, deadline, longest, cost)
        started = self._now()
        try:
            yield
        finally:
            held_s = min(LONGEST_COST_S, self._now() - started)
            self._costs[organisation] = cost + COST_WEIGHT * (held_s - cost)
            self.queue.correct_cost(organisation, weight, held_s - cost)
            self._leave()

    async def _enter(
        self,
        organisation: str,
        weight: float,
        deadline: float,
        longest: int,
        cost: float,
    ) -> None:
        now = self._now()
        if now >= deadline:
            raise Refused(Reason.DEADLINE, "no time left")
        if self.free and not len(self.queue):
            self.free -= 1
            self.queue.serve_directly(organisation, weight, cost)
            return
        fut = asyncio.get_running_loop().create_future()
        try:
            self.queue.push(organisation, weight, fut, deadline, longest, cost)
        except QueueFull:
            retry_s = max(SHORTEST_RETRY_S, longest * cost / self.slots)
            retry_s *= random.uniform(0.5, 1.5)
            raise Refused(Reason.CROWDED, "queue full", retry_s) from None
        self._arm(deadline)
        self._serve()
        try:
            await fut
        except asyncio.CancelledError:
            self._give_up(fut)
            raise

    def _give_up(self, fut: asyncio.Future) -> None:
        """Undo the wait of a cancelled request, which may have its slot already."""
        if self.queue.remove(fut):
            return
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self._leave()

    @asynccontextmanager
    async def acquire_immediately(self) -> AsyncIterator[None]:
        """Hold a slot without waiting, beyond the number of slots if need be.

        For statements of open transactions: while one waits, it keeps a connection
        and the locks of its transaction, so letting it pass frees both sooner.
        """
        self.free -= 1
        try:
            yield
        finally:
            self._leave()

    def queue_load(self, organisation: str) -> QueueLoad:
        """Return the queue as a request of the organisation finds it now."""
        costs = self._costs.values()
        mean_s = sum(costs) / len(costs) if costs else FIRST_COST_S
        own = self.queue.length_of(organisation)
        organisation_count = self.queue.organisation_count + (0 if own else 1)
        waiting = len(self.queue)
        return QueueLoad(
            waiting, own, organisation_count, self.free, self.slots, mean_s
        )

    def resize(self, slots: int) -> None:
        """Follow a change of the target's slots; running requests keep theirs."""
        self.free += slots - self.slots
        self.slots = slots
        self._serve()

    def _leave(self) -> None:
        self.free += 1
        self._serve()

    def _serve(self) -> None:
        now = self._now()
        while self.free > 0:
            fut = self.queue.pop(now)
            if fut is None:
                return
            if not fut.done():
                self.free -= 1
                fut.set_result(None)

    def _arm(self, deadline: float) -> None:
        """See to it that late requests are refused when their deadline comes."""
        if self._timer is not None:
            if self._timer_at <= deadline:
                return
            self._timer.cancel()
        self._timer_at = deadline
        delay_s = max(0.0, deadline - self._now())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._expire)

    def _expire(self) -> None:
        self._timer = None
        for fut in self.queue.expire(self._now()):
            if not fut.done():
                fut.set_exception(Refused(Reason.DEADLINE, "no slot in time"))
        deadline = self.queue.next_deadline()
        if deadline is not None:
            self._arm(deadline)
