"""The stand-in of the metadata store with leases that end, and faults by node.

Each node calls the store at a port of its own, so faults can be limited to some nodes.
"""

import asyncio
import base64
import json
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from aiohttp import web

from lavenderstack.core import clock
from standins.metadata_store import MetadataStore, make_app
from standins.web_app import serving_app

SWEEP_INTERVAL_S = 0.05
LATE_CALL_S = (0.5, 4.0)
NODES_PREFIX = "ls/nodes/"


@dataclass
class FaultyStore(MetadataStore):
    """A store whose leases end, and which misbehaves as its attributes say.

    ``refusing`` maps a node to the status with which its calls are refused; 0 breaks
    its connections. ``slow_s`` delays every call. ``lost_share`` of the calls are
    carried out without an answer, ``late_share`` of them seconds later. ``link_ports``
    maps the port of a node to that of the link in front of it, which a registration
    then names instead.
    """

    rng: random.Random = field(default_factory=random.Random)
    refusing: dict[str, int] = field(default_factory=dict)
    slow_s: float = 0.0
    lost_share: float = 0.0
    late_share: float = 0.0
    link_ports: dict[int, int] = field(default_factory=dict)
    lease_ends: dict[int, float] = field(default_factory=dict)
    lease_ttl_s: dict[int, float] = field(default_factory=dict)

    def put(self, key: str, data: bytes, lease: int = 0) -> int:
        """Write an entry; a node's registration names the link in front of it."""
        if key.startswith(NODES_PREFIX):
            node = json.loads(data)
            node["port"] = self.link_ports.get(node["port"], node["port"])
            data = json.dumps(node).encode()
        return super().put(key, data, lease)

    async def grant_lease(self, req: web.Request) -> web.Response:
        """Grant a lease that ends unless it is renewed."""
        ttl_ms = (await req.json())["ttl_ms"]
        await self._apply_fault()
        self.rev += 1
        lease = self.rev
        self.leases.add(lease)
        self.lease_ttl_s[lease] = ttl_ms / 1000
        self.lease_ends[lease] = clock.now() + ttl_ms / 1000
        return web.json_response({"lease": lease, "ttl_ms": ttl_ms})

    async def renew_lease(self, req: web.Request) -> web.Response:
        """Renew a lease."""
        resp = await super().renew_lease(req)
        lease = int(req.match_info["id"])
        self.lease_ends[lease] = clock.now() + self.lease_ttl_s[lease]
        return resp

    async def end_leases(self) -> None:
        """End the leases that were not renewed, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = clock.now()
            for lease in [one for one in self.leases if self.lease_ends[one] < now]:
                self.end_lease(lease)

    def read(self, key: str) -> bytes | None:
        """Return the value of an entry."""
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def faults_for(self, node: str):
        """Return the middleware that applies the faults to the calls of a node."""

        @web.middleware
        async def apply(req: web.Request, handler) -> web.StreamResponse:
            status = self.refusing.get(node)
            if status == 0:
                req.transport.abort()
                return web.Response()
            if status:
                return web.Response(status=status)
            if self.slow_s:
                await asyncio.sleep(self.rng.uniform(0, self.slow_s))
            drawn = self.rng.random()
            if drawn < self.late_share:
                await asyncio.sleep(self.rng.uniform(*LATE_CALL_S))
            resp = await handler(req)
            if drawn < self.late_share + self.lost_share and req.transport is not None:
                req.transport.abort()
            return resp

        return apply


@asynccontextmanager
async def serving_node(store: FaultyStore, node: str) -> AsyncIterator[int]:
    """Serve the store to one node on a free port of loopback; yield the port."""
    async with serving_app(make_app(store, [store.faults_for(node)])) as port:
        yield port
