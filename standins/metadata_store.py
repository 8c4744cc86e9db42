"""A stand-in of the platform's metadata store, over HTTP on loopback.

It keeps the published calls: listing in pages, watches, changes under conditions and
leases. Faults are switched on by attributes, for tests.
"""

import asyncio
import base64
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from aiohttp import web

PAGE = 50


@dataclass
class MetadataStore:
    """The store: entries, history, leases; and what is wrong with it."""

    rev: int = 7
    items: dict[str, dict] = field(default_factory=dict)
    history: list[dict] = field(default_factory=list)
    forgotten: int = 0
    leases: set[int] = field(default_factory=set)
    down: bool = False
    silent: bool = False
    lose_answers: bool = False
    page_size: int = PAGE
    between_pages: list = field(default_factory=list)
    calls: list[str] = field(default_factory=list)
    watching: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, key: str, data: bytes, lease: int = 0) -> int:
        """Write an entry, as the operator or a target does."""
        self.rev += 1
        before = self.items.get(key)
        created = before["created"] if before else self.rev
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "rev": self.rev,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._note(item)
        return self.rev

    def delete(self, key: str) -> int:
        """Remove an entry."""
        self.rev += 1
        self.items.pop(key, None)
        self._note({"key": key, "rev": self.rev, "deleted": True})
        return self.rev

    def _note(self, event: dict) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self) -> None:
        """Drop the history."""
        self.forgotten = self.rev
        self.history.clear()
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease: int) -> None:
        """End a lease and remove what is bound to it."""
        self.leases.discard(lease)
        for key in [k for k, one in self.items.items() if one["lease"] == lease]:
            self.delete(key)

    async def _fault(self) -> None:
        if self.silent:
            await asyncio.sleep(60)
        if self.down:
            raise web.HTTPServiceUnavailable

    async def list(self, req: web.Request) -> web.Response:
        """Answer a page of entries."""
        self.calls.append("list")
        await self._fault()
        prefix, after = req.query["prefix"], req.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page_size = [self.items[key] for key in keys[: self.page_size]]
        more = len(keys) > self.page_size
        body = {"items": page_size, "has_more": more, "as_of": self.rev}
        if self.between_pages:
            self.between_pages.pop(0)()
        return web.json_response(body)

    async def watch(self, req: web.Request) -> web.Response:
        """Answer what changed, once there is something."""
        self.calls.append("watch")
        await self._fault()
        after = int(req.query["after"])
        prefix = req.query["prefix"]
        until = asyncio.get_running_loop().time() + int(req.query["wait_ms"]) / 1000
        while True:
            if after < self.forgotten:
                raise web.HTTPGone
            events = [
                one
                for one in self.history
                if one["rev"] > after and one["key"].startswith(prefix)
            ]
            left_s = until - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return web.json_response({"events": events, "as_of": self.rev})
            self.watching += 1
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                continue
            finally:
                self.watching -= 1

    async def change(self, req: web.Request) -> web.Response:
        """Change entries if the conditions hold."""
        self.calls.append("change")
        await self._fault()
        body = await req.json()
        for want in body["precondition"]:
            found = self.items.get(want["key"])
            if (found["rev"] if found else 0) != want["rev"]:
                return web.json_response({"items": []}, status=412)
        if any(p["lease"] and p["lease"] not in self.leases for p in body["puts"]):
            raise web.HTTPNotFound
        for put in body["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["deletes"]:
            self.delete(key)
        if self.lose_answers:
            await asyncio.sleep(60)
        return web.json_response({"rev": self.rev})

    async def lease(self, req: web.Request) -> web.Response:
        """Give a lease."""
        await self._fault()
        self.rev += 1
        self.leases.add(self.rev)
        ttl_ms = (await req.json())["ttl_ms"]
        return web.json_response({"lease": self.rev, "ttl_ms": ttl_ms})

    async def keep(self, req: web.Request) -> web.Response:
        """Renew a lease."""
        await self._fault()
        if int(req.match_info["id"]) not in self.leases:
            raise web.HTTPNotFound
        return web.json_response({"ttl_ms": 3000})

    async def end(self, req: web.Request) -> web.Response:
        """End a lease."""
        await self._fault()
        self.end_lease(int(req.match_info["id"]))
        return web.json_response({})

    async def get(self, req: web.Request) -> web.Response:
        """Answer one entry."""
        await self._fault()
        item = self.items.get(req.query["key"])
        if item is None:
            raise web.HTTPNotFound
        return web.json_response(item)


@asynccontextmanager
async def serving(store: MetadataStore) -> AsyncIterator[str]:
    """Serve a store on a free port of loopback; yield its address."""
    app = web.Application()
    app.router.add_get("/api/kv-key", store.get)
    app.router.add_get("/api/kv-range", store.list)
    app.router.add_get("/api/kv-watch", store.watch)
    app.router.add_post("/api/kv-txn", store.change)
    app.router.add_post("/api/kv-lease", store.lease)
    app.router.add_post("/api/kv-keep/{id}", store.keep)
    app.router.add_delete("/api/kv-lease-end/{id}", store.end)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    try:
        yield f"127.0.0.1:{port}"
    finally:
        await runner.cleanup()
