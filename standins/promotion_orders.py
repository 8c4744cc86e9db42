"""A stand-in of the platform's call that makes a target the primary of its group.

Orders carry an epoch; one that is lower than an epoch already used for the group is
refused. An order takes effect some time after its answer.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from aiohttp import web

from lavenderstack.core import clock
from lavenderstack.platform.orders import FENCE_HEADER, HOLDER_HEADER
from standins.line_group import LineGroup
from standins.web_app import serving_app

EFFECT_DELAY_S = (0.1, 0.4)
LATE_ORDER_S = (1.0, 4.0)


@dataclass(frozen=True, slots=True)
class Order:
    """An order that reached the platform, and whether it was accepted."""

    at: float
    group: str
    target: str
    holder: str
    epoch: int
    accepted: bool


@dataclass
class PromotionOrders:
    """``down`` answers every order with 503, ``late`` carries it out unanswered."""

    groups: Mapping[str, LineGroup]
    rng: random.Random = field(default_factory=random.Random)
    orders: list[Order] = field(default_factory=list)
    newest: dict[str, int] = field(default_factory=dict)
    down: bool = False
    late: bool = False
    _tasks: set[asyncio.Task] = field(default_factory=set)

    async def promote(self, req: web.Request) -> web.Response:
        """Handle an order."""
        if self.down:
            raise web.HTTPServiceUnavailable
        late = self.late
        if late:
            await asyncio.sleep(self.rng.uniform(*LATE_ORDER_S))
        body = await req.json()
        group = self.groups[body["service"]]
        epoch, holder = int(req.headers[FENCE_HEADER]), req.headers[HOLDER_HEADER]
        target = group.targets[body["id"]]
        accepted = epoch >= self.newest.get(group.name, 0) and target.up
        now = clock.now()
        order = Order(now, group.name, target.name, holder, epoch, accepted)
        self.orders.append(order)
        if not accepted:
            raise web.HTTPConflict
        self.newest[group.name] = epoch
        task = asyncio.ensure_future(self._carry_out(group, target.name))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if late:
            req.transport.abort()
        return web.json_response({})

    async def _carry_out(self, group: LineGroup, name: str) -> None:
        await asyncio.sleep(self.rng.uniform(*EFFECT_DELAY_S))
        if group.targets[name].up:
            group.promote(name)


@asynccontextmanager
async def serving(orders: PromotionOrders) -> AsyncIterator[int]:
    """Serve the call on a free port of loopback; yield the port."""
    app = web.Application()
    app.router.add_post("/promote", orders.promote)
    async with serving_app(app) as port:
        yield port
