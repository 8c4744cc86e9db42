"""A stand-in of the platform's metadata store, over HTTP on loopback.

It implements the calls that ``lavenderstack.platform.store`` uses: paged listing,
watches, conditional changes and leases. Tests switch faults on by setting attributes.
"""

import asyncio
import base64
import copy
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from aiohttp import web

from standins.web_app import serving_app

DEFAULT_PAGE_SIZE = 50
MAX_KEY_B = 200


@dataclass
class MetadataStore:
    """The store's entries, history and leases, and the faults that are switched on.

    ``down`` answers every call with 503, ``silent`` delays it by 60 s, and
    ``lose_answers`` applies a change but delays its answer by 60 s. Each page of a
    listing removes the first function from ``between_pages`` and calls it.
    ``watching`` is the number of watches that wait. ``era`` is sent in every answer
    unless it is None. With ``keeps_leased`` a restore keeps entries bound to leases.
    ``change_times`` has the clock time of each conditional change.
    """

    rev: int = 7
    items: dict[str, dict] = field(default_factory=dict)
    history: list[dict] = field(default_factory=list)
    compacted_rev: int = 0
    leases: set[int] = field(default_factory=set)
    down: bool = False
    silent: bool = False
    lose_answers: bool = False
    page_size: int = DEFAULT_PAGE_SIZE
    between_pages: list = field(default_factory=list)
    calls: list[str] = field(default_factory=list)
    watching: int = 0
    era: int | None = None
    keeps_leased: bool = False
    change_times: list[float] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, key: str, data: bytes, lease: int = 0) -> int:
        """Write an entry, as the operator or a target does."""
        self.rev += 1
        previous = self.items.get(key)
        created = previous["created"] if previous else self.rev
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "rev": self.rev,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._record_event(item)
        return self.rev

    def delete(self, key: str) -> int:
        """Remove an entry."""
        self.rev += 1
        self.items.pop(key, None)
        self._record_event({"key": key, "rev": self.rev, "deleted": True})
        return self.rev

    def _record_event(self, event: dict) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self) -> None:
        """Drop the history, so that a watch from an older revision is refused."""
        self.compacted_rev = self.rev
        self.history.clear()
        self.changed.set()
        self.changed = asyncio.Event()

    def take_copy(self) -> "StoreCopy":
        """Return a copy of the entries, for ``restore``."""
        return StoreCopy(self.rev, copy.deepcopy(self.items))

    def restore(self, kept: "StoreCopy") -> None:
        """Come back from a copy, in the next era and without leases.

        Revisions are given again from that of the copy, and watches after a later one
        are refused.
        """
        self.era = (self.era or 0) + 1
        self.rev = kept.rev
        self.leases.clear()
        self.items = {
            key: dict(item)
            for key, item in kept.items.items()
            if self.keeps_leased or not item["lease"]
        }
        self.compact()

    def end_lease(self, lease: int) -> None:
        """End a lease and remove the entries bound to it."""
        self.leases.discard(lease)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def _apply_fault(self) -> None:
        if self.silent:
            await asyncio.sleep(60)
        if self.down:
            raise web.HTTPServiceUnavailable

    async def list(self, req: web.Request) -> web.Response:
        """Return a page of entries in the order of their keys."""
        self.calls.append("list")
        await self._apply_fault()
        prefix, after = req.query["prefix"], req.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[: self.page_size]]
        more = len(keys) > self.page_size
        body = {"items": page, "has_more": more, "as_of": self.rev}
        resp = web.json_response(body)
        self.add_era(resp)
        if self.between_pages:
            self.between_pages.pop(0)()
        return resp

    def add_era(self, resp: web.StreamResponse) -> None:
        """Add the present era to an answer that has none yet."""
        if self.era is not None:
            resp.headers.setdefault("Store-Era", str(self.era))

    async def watch(self, req: web.Request) -> web.Response:
        """Return the events after a revision, waiting up to ``wait_ms`` for one."""
        self.calls.append("watch")
        await self._apply_fault()
        after = int(req.query["after"])
        prefix = req.query["prefix"]
        deadline = asyncio.get_running_loop().time() + int(req.query["wait_ms"]) / 1000
        while True:
            if after < self.compacted_rev or after > self.rev:
                raise web.HTTPGone
            events = [
                item
                for item in self.history
                if item["rev"] > after and item["key"].startswith(prefix)
            ]
            left_s = deadline - asyncio.get_running_loop().time()
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
        """Change entries if each precondition names the revision of its entry."""
        self.calls.append("change")
        self.change_times.append(asyncio.get_running_loop().time())
        await self._apply_fault()
        body = await req.json()
        if any(len(put["key"].encode()) > MAX_KEY_B for put in body["puts"]):
            raise web.HTTPBadRequest
        for condition in body["precondition"]:
            found = self.items.get(condition["key"])
            if (found["rev"] if found else 0) != condition["rev"]:
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

    async def grant_lease(self, req: web.Request) -> web.Response:
        """Grant a lease."""
        await self._apply_fault()
        self.rev += 1
        self.leases.add(self.rev)
        ttl_ms = (await req.json())["ttl_ms"]
        return web.json_response({"lease": self.rev, "ttl_ms": ttl_ms})

    async def renew_lease(self, req: web.Request) -> web.Response:
        """Renew a lease."""
        await self._apply_fault()
        if int(req.match_info["id"]) not in self.leases:
            raise web.HTTPNotFound
        return web.json_response({"ttl_ms": 3000})

    async def revoke_lease(self, req: web.Request) -> web.Response:
        """Revoke a lease and remove the entries bound to it."""
        await self._apply_fault()
        self.end_lease(int(req.match_info["id"]))
        return web.json_response({})

    async def get(self, req: web.Request) -> web.Response:
        """Return one entry."""
        await self._apply_fault()
        item = self.items.get(req.query["key"])
        if item is None:
            raise web.HTTPNotFound
        return web.json_response(item)


@dataclass(frozen=True)
class StoreCopy:
    """The entries of a store at a revision."""

    rev: int
    items: dict[str, dict]


def _era_sender(store: MetadataStore):
    """Return a signal handler that adds the era to every answer."""

    async def send_era(_: web.Request, resp: web.StreamResponse) -> None:
        store.add_era(resp)

    return send_era


def make_app(store: MetadataStore, middlewares: Sequence = ()) -> web.Application:
    """Return an application with the calls of a store."""
    app = web.Application(middlewares=middlewares)
    app.on_response_prepare.append(_era_sender(store))
    app.router.add_get("/api/kv-key", store.get)
    app.router.add_get("/api/kv-range", store.list)
    app.router.add_get("/api/kv-watch", store.watch)
    app.router.add_post("/api/kv-txn", store.change)
    app.router.add_post("/api/kv-lease", store.grant_lease)
    app.router.add_post("/api/kv-keep/{id}", store.renew_lease)
    app.router.add_delete("/api/kv-lease-end/{id}", store.revoke_lease)
    return app


@asynccontextmanager
async def serving(store: MetadataStore) -> AsyncIterator[str]:
    """Serve a store on a free port of loopback; yield its ``host:port``."""
    async with serving_app(make_app(store)) as port:
        yield f"127.0.0.1:{port}"
