"""A watcher's control connection to one target.

A link is a task that owns the connection. It takes one order at a time, a probe or
an action of the proposer, and reports what came of it. A probe that gets no answer
on an open connection is tried once more on a new one, because something between
the two ends may have lost track of the old one while the target is well.
"""

import asyncio
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from functools import singledispatchmethod

from lavenderstack.border.target import (
    State,
    TargetConn,
    TargetLost,
    TargetRefused,
    TargetUnreachable,
    connect,
)
from lavenderstack.core import clock
from lavenderstack.core.evidence import Observation
from lavenderstack.core.promotion import SendAdopt, SendFollow, SendLead
from lavenderstack.core.view import Target

PROBE_TIMEOUT_S = 0.3
LONGEST_OPENING_S = 2.4
ORDER_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a target for its state."""


Order = Probe | SendAdopt | SendLead | SendFollow


@dataclass(frozen=True, slots=True)
class Report:
    """What came of an order.

    ``seen`` is the target's answer, if it gave one; ``refused`` tells that the
    target answered with a refusal, ``closed`` that nobody listens at its address.
    """

    target: str
    order: Order
    seen: Observation | None = None
    refused: bool = False
    closed: bool = False


class TargetLink:
    """The control connection of one watcher to one target of a group.

    ``targets`` are all of the group's, by name, so that the target can be told the
    address of the primary to follow. ``report`` is called with each outcome.
    """

    def __init__(
        self,
        group: str,
        target: Target,
        targets: Mapping[str, Target],
        report: Callable[[Report], None],
    ) -> None:
        self.busy = False
        self._group = group
        self._target = target
        self._targets = targets
        self._report = report
        self._orders: asyncio.Queue[Order] = asyncio.Queue()
        self._conn: TargetConn | None = None
        self._opening_s = PROBE_TIMEOUT_S

    @property
    def broken(self) -> bool:
        """Whether the connection was closed from the other end while it was idle."""
        return not self.busy and self._conn is not None and self._conn.broken

    def send(self, order: Order) -> None:
        """Give an order; orders are carried out one after the other."""
        self.busy = True
        self._orders.put_nowait(order)

    async def run(self) -> None:
        """Carry out orders until cancelled; the connection is closed then."""
        try:
            while True:
                order = await self._orders.get()
                report = await self._carry_out(order)
                self.busy = not self._orders.empty()
                self._report(report)
        finally:
            self._close()

    async def _carry_out(self, order: Order) -> Report:
        name = self._target.name
        asked_at = clock.now()
        try:
            state = await self._answer(order)
        except TargetRefused:
            return Report(name, order, refused=True)
        except TargetUnreachable as exc:
            closed = isinstance(exc.__cause__, ConnectionRefusedError)
            return Report(name, order, closed=closed)
        except TargetLost:
            return Report(name, order)
        seen = Observation(
            name, state.term, state.last, asked_at, state.role, state.primary
        )
        return Report(name, order, seen)

    async def _answer(self, order: Order) -> State:
        if isinstance(order, Probe) and self._conn is not None:
            with suppress(TargetLost, TargetUnreachable):
                return await self._call(order, self._conn)
        if self._conn is None or self._conn.broken:
            self._close()
            self._conn = await self._open()
        return await self._call(order, self._conn)

    async def _open(self) -> TargetConn:
        """Open a connection, with more time at each try until one is there.

        A fixed limit would keep up for good the load under which it is too short.
        """
        target = self._target
        limit_s = self._opening_s
        self._opening_s = min(2 * limit_s, LONGEST_OPENING_S)
        conn = await connect(target.host, target.port, self._group, limit_s)
        self._opening_s = PROBE_TIMEOUT_S
        return conn

    @singledispatchmethod
    async def _call(self, order: Order, conn: TargetConn) -> State:
        raise TypeError(order)

    @_call.register
    async def _(self, order: Probe, conn: TargetConn) -> State:
        return await conn.state(PROBE_TIMEOUT_S)

    @_call.register
    async def _(self, order: SendAdopt, conn: TargetConn) -> State:
        return await conn.adopt(order.term, ORDER_TIMEOUT_S)

    @_call.register
    async def _(self, order: SendLead, conn: TargetConn) -> State:
        return await conn.lead(order.term, order.followers, ORDER_TIMEOUT_S)

    @_call.register
    async def _(self, order: SendFollow, conn: TargetConn) -> State:
        primary = self._targets[order.primary]
        return await conn.follow(
            order.term, primary.name, primary.host, primary.port, ORDER_TIMEOUT_S
        )

    def _close(self) -> None:
        if self._conn is not None:
            self._conn.close()
            self._conn = None
