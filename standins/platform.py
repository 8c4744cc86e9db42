"""A small stand-in of the platform's key-value service, in memory.

    python -m standins.platform --port 0 [--seed-file FILE]

It speaks the part of etcd's JSON gateway that docs/ASSUMPTIONS.md lists, prints
``ready PORT`` and runs until it is stopped. The seed file (YAML or JSON) maps keys
to values, which are stored as JSON. Faults are switched by ``POST /fault``:

    {"kind": "outage"}                   connections are closed before any effect
    {"kind": "slow", "seconds": 2}       every call is delayed
    {"kind": "lost_answer", "times": 1}  writes take effect, then connections close
    {"kind": "stale_list"}               reads return the state at the time of this call
    {"kind": "rollback", "revision": 5}  restart with an older state
    {"kind": "new_cluster"}              restart as another cluster with the same state
    {"kind": "none"}                     no fault

``GET /calls`` returns how often each path was called.
"""

import argparse
import asyncio
import base64
import json
import time
from collections import Counter
from pathlib import Path

import yaml
from aiohttp import web

LEASE_SCAN_INTERVAL_S = 0.2
FIRST_LEASE = 1000


def _decode(raw: str) -> str:
    return base64.b64decode(raw).decode()


def _encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


class StoreData:
    """The entries, their history and the leases; values are base64 text."""

    def __init__(self, cluster: int = 77) -> None:
        self.cluster = cluster
        self.revision = 1
        self.entries: dict[str, dict] = {}
        self.events: list[dict] = []
        self.leases: dict[int, tuple[int, float]] = {}
        self._last_lease = FIRST_LEASE - 1

    def grant_lease(self, wanted: int, ttl_s: int, now: float) -> int:
        """Grant a lease and return its id, which no lease had before.

        ``wanted`` is the id that the caller asks for, or 0.
        """
        lease = wanted or self._last_lease + 1
        self._last_lease = max(self._last_lease, lease)
        self.leases[lease] = (ttl_s, now + ttl_s)
        return lease

    def header(self) -> dict:
        """Return the header that each answer carries."""
        return {"cluster_id": str(self.cluster), "revision": str(self.revision)}

    def put(self, key: str, value: str, lease: int = 0) -> None:
        """Write an entry at a new revision."""
        self.revision += 1
        old = self.entries.get(key)
        self.entries[key] = {
            "key": _encode(key),
            "value": value,
            "mod_revision": str(self.revision),
            "create_revision": old["create_revision"] if old else str(self.revision),
            "lease": str(lease),
        }
        self.events.append({"kv": self.entries[key]})

    def delete(self, key: str) -> None:
        """Delete an entry at a new revision, if there is one."""
        if self.entries.pop(key, None) is not None:
            self.revision += 1
            kv = {"key": _encode(key), "mod_revision": str(self.revision)}
            self.events.append({"type": "DELETE", "kv": kv})

    def keys(self, body: dict) -> list[str]:
        """Return the keys in the range of a request."""
        first = _decode(body["key"])
        if "range_end" not in body:
            return [first] if first in self.entries else []
        end = _decode(body["range_end"])
        return sorted(key for key in self.entries if first <= key < end)

    def range(self, body: dict) -> dict:
        """Answer a range request."""
        keys = self.keys(body)
        min_revision = int(body.get("min_mod_revision", 0))
        kvs = [self.entries[key] for key in keys]
        kvs = [kv for kv in kvs if int(kv["mod_revision"]) >= min_revision]
        if body.get("keys_only"):
            kvs = [{k: v for k, v in kv.items() if k != "value"} for kv in kvs]
        answer = {"header": self.header(), "count": str(len(keys))}
        return answer | ({"kvs": kvs} if kvs else {})

    def txn(self, body: dict) -> dict:
        """Answer a transaction of compares of mod_revision, puts and ranges."""
        condition_met = all(
            self._compare_holds(compare) for compare in body.get("compare", [])
        )
        steps = body.get("success" if condition_met else "failure", [])
        responses = [self._run_step(step) for step in steps]
        answer = {"header": self.header(), "responses": responses}
        return answer | ({"succeeded": True} if condition_met else {})

    def _compare_holds(self, compare: dict) -> bool:
        entry = self.entries.get(_decode(compare["key"]), {"mod_revision": "0"})
        return int(entry["mod_revision"]) == int(compare.get("mod_revision", 0))

    def _run_step(self, step: dict) -> dict:
        if put := step.get("request_put"):
            self.put(_decode(put["key"]), put["value"], int(put.get("lease", 0)))
            return {"response_put": {}}
        if delete := step.get("request_delete_range"):
            self.delete(_decode(delete["key"]))
            return {"response_delete_range": {}}
        return {"response_range": self.range(step["request_range"])}

    def rolled_back(self, revision: int) -> "StoreData":
        """Return a copy of the data at an older revision, without leases."""
        older = StoreData(self.cluster)
        older._last_lease = self._last_lease
        for event in self.events:
            kv = event["kv"]
            if int(kv["mod_revision"]) > revision:
                break
            older.revision = int(kv["mod_revision"]) - 1
            if event.get("type") == "DELETE":
                older.delete(_decode(kv["key"]))
            else:
                older.put(_decode(kv["key"]), kv["value"])
        return older

    def expire_leases(self, now: float) -> bool:
        """Delete the entries of expired leases; return whether any was deleted."""
        expired = {
            str(n) for n, (_, expires_at) in self.leases.items() if expires_at < now
        }
        self.leases = {n: v for n, v in self.leases.items() if str(n) not in expired}
        keys = [k for k, kv in self.entries.items() if kv["lease"] in expired]
        for key in keys:
            self.delete(key)
        return bool(keys)


class Platform:
    """The HTTP service with its data, fault, call counts and open watches."""

    def __init__(self, data: StoreData | None = None) -> None:
        self.data = data or StoreData()
        self.fault: dict = {"kind": "none"}
        self.stale: StoreData | None = None
        self.calls: Counter[str] = Counter()
        self.changed = asyncio.Condition()
        self._watches: set[asyncio.Task] = set()
        self._expiry_task: asyncio.Task | None = None

    def app(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=4 * 1024 * 1024)
        app.router.add_post("/fault", self.set_fault)
        app.router.add_get("/calls", self.get_calls)
        app.router.add_post("/v3/watch", self.watch)
        for path, handler in {
            "/v3/kv/range": self.range,
            "/v3/kv/txn": self.txn,
            "/v3/kv/put": self.put,
            "/v3/lease/grant": self.grant,
            "/v3/lease/keepalive": self.keepalive,
        }.items():
            app.router.add_post(path, self._with_faults(handler))
        app.cleanup_ctx.append(self._expiring_leases)
        return app

    async def _expiring_leases(self, _: web.Application):
        self._expiry_task = asyncio.ensure_future(self._expire_leases())
        yield
        self._expiry_task.cancel()
        self.cancel_watches()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_SCAN_INTERVAL_S)
            if self.data.expire_leases(time.monotonic()):
                await self.notify()

    async def notify(self) -> None:
        """Wake the open watches."""
        async with self.changed:
            self.changed.notify_all()

    def cancel_watches(self) -> None:
        """Cancel every open watch."""
        for task in self._watches:
            task.cancel()

    async def set_fault(self, req: web.Request) -> web.Response:
        """Set the fault; it replaces the previous one."""
        self.fault = fault = await req.json()
        kind = fault["kind"]
        self.stale = None
        if kind == "stale_list":
            self.stale = self.data.rolled_back(self.data.revision)
        if kind == "rollback":
            self.data = self.data.rolled_back(fault["revision"])
        if kind == "new_cluster":
            self.data.cluster += 1
        if kind in ("outage", "rollback", "new_cluster"):
            self.cancel_watches()
        return web.json_response({})

    async def get_calls(self, _: web.Request) -> web.Response:
        """Return how often each path was called."""
        return web.json_response(self.calls)

    def _with_faults(self, handler):
        async def handle(req: web.Request) -> web.Response:
            self.calls[req.path] += 1
            await self._apply_fault(req)
            result = handler(await req.json())
            await self.notify()
            if self._loses_answer(req.path):
                _abort_connection(req)
            return web.json_response(result)

        return handle

    async def _apply_fault(self, req: web.Request) -> None:
        if self.fault["kind"] == "outage":
            _abort_connection(req)
        if self.fault["kind"] == "slow":
            await asyncio.sleep(self.fault["seconds"])

    def _loses_answer(self, path: str) -> bool:
        if self.fault["kind"] != "lost_answer" or path == "/v3/kv/range":
            return False
        times = self.fault.get("times", 1)
        self.fault["times"] = times - 1
        return times > 0

    def range(self, body: dict) -> dict:
        """Answer a range request."""
        return (self.stale or self.data).range(body)

    def txn(self, body: dict) -> dict:
        """Answer a transaction; a read-only one may return stale data."""
        reads_only = all("request_range" in step for step in body["success"])
        return (self.stale if self.stale and reads_only else self.data).txn(body)

    def put(self, body: dict) -> dict:
        """Write unconditionally, as the platform writes its own entries."""
        self.data.put(_decode(body["key"]), body["value"], int(body.get("lease", 0)))
        return {"header": self.data.header()}

    def grant(self, body: dict) -> dict:
        """Grant a lease."""
        ttl_s = int(body["TTL"])
        wanted = int(body.get("ID", 0))
        lease_id = self.data.grant_lease(wanted, ttl_s, time.monotonic())
        return {"header": self.data.header(), "ID": str(lease_id), "TTL": str(ttl_s)}

    def keepalive(self, body: dict) -> dict:
        """Renew a lease."""
        lease_id = int(body["ID"])
        ttl_s, _ = self.data.leases.get(lease_id, (0, 0.0))
        if ttl_s:
            self.data.leases[lease_id] = (ttl_s, time.monotonic() + ttl_s)
        result = {"header": self.data.header(), "ID": str(lease_id)}
        return {"result": result | ({"TTL": str(ttl_s)} if ttl_s else {})}

    async def watch(self, req: web.Request) -> web.StreamResponse:
        """Stream the events of a key range, starting at a revision."""
        self.calls[req.path] += 1
        await self._apply_fault(req)
        create = (await req.json())["create_request"]
        first, end = _decode(create["key"]), _decode(create["range_end"])
        sent_revision = int(create.get("start_revision", self.data.revision + 1)) - 1
        resp = web.StreamResponse()
        await resp.prepare(req)
        self._watches.add(task := asyncio.current_task())
        try:
            await self._send(resp, {"created": True})
            while True:
                events = [e for e in self.data.events if _revision(e) > sent_revision]
                sent_revision = max([sent_revision, *map(_revision, events)])
                events = [e for e in events if first <= _decode(e["kv"]["key"]) < end]
                if events:
                    await self._send(resp, {"events": events})
                async with self.changed:
                    if self.data.revision <= sent_revision:
                        await self.changed.wait()
        except (asyncio.CancelledError, ConnectionError):
            _abort_connection(req)
        finally:
            self._watches.discard(task)
        return resp

    async def _send(self, resp: web.StreamResponse, result: dict) -> None:
        line = json.dumps({"result": {"header": self.data.header()} | result})
        await resp.write(line.encode() + b"\n")


def _revision(event: dict) -> int:
    return int(event["kv"]["mod_revision"])


def _abort_connection(req: web.Request) -> None:
    if req.transport is not None:
        req.transport.abort()
    raise ConnectionResetError("connection closed by a fault")


def seeded_data(entries: dict) -> StoreData:
    """Return data with the entries of a seed file."""
    data = StoreData()
    for key, value in entries.items():
        data.put(key, _encode(json.dumps(value)))
    return data


async def _serve(port: int, data: StoreData) -> None:
    runner = web.AppRunner(Platform(data).app(), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", port)
    await site.start()
    print("ready", site._server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in until it is interrupted."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--seed-file", type=Path)
    options = parser.parse_args()
    file = options.seed_file
    entries = yaml.safe_load(file.read_text()) if file else {}
    asyncio.run(_serve(options.port, seeded_data(entries or {})))


if __name__ == "__main__":
    main()
