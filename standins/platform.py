"""A small stand-in of the platform's key-value service, in memory.

    python -m standins.platform --port 0 [--seed-file FILE]

It speaks the part of etcd's JSON gateway that docs/ASSUMPTIONS.md lists, prints
``ready PORT`` and runs until it is stopped. The seed file (YAML or JSON) maps keys
to values, which are stored as JSON. Faults are switched by ``POST /fault``:

    {"kind": "outage"}                   connections are cut before anything is done
    {"kind": "slow", "seconds": 2}       every call waits first
    {"kind": "lost_answer", "times": 1}  writes take effect, then the connection is cut
    {"kind": "stale_list"}               reads answer from the state of this moment on
    {"kind": "rollback", "revision": 5}  restart with an older state
    {"kind": "new_cluster"}              restart as another cluster with the same state
    {"kind": "none"}                     all well again

``GET /calls`` tells how often each path was called.
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

LEASE_SCAN_S = 0.2


def _text(raw: str) -> str:
    return base64.b64decode(raw).decode()


def _raw(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


class Data:
    """The entries, their history and the leases; values stay base64 text."""

    def __init__(self, cluster: int = 77) -> None:
        self.cluster = cluster
        self.revision = 1
        self.entries: dict[str, dict] = {}
        self.events: list[dict] = []
        self.leases: dict[int, tuple[int, float]] = {}

    def header(self) -> dict:
        """Return the header that each answer carries."""
        return {"cluster_id": str(self.cluster), "revision": str(self.revision)}

    def put(self, key: str, value: str, lease: int = 0) -> None:
        """Write an entry at a new revision."""
        self.revision += 1
        old = self.entries.get(key)
        self.entries[key] = {
            "key": _raw(key),
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
            kv = {"key": _raw(key), "mod_revision": str(self.revision)}
            self.events.append({"type": "DELETE", "kv": kv})

    def keys(self, body: dict) -> list[str]:
        """Return the keys in the range of a request."""
        first = _text(body["key"])
        if "range_end" not in body:
            return [first] if first in self.entries else []
        end = _text(body["range_end"])
        return sorted(key for key in self.entries if first <= key < end)

    def range(self, body: dict) -> dict:
        """Answer a range request."""
        keys = self.keys(body)
        least = int(body.get("min_mod_revision", 0))
        kvs = [self.entries[key] for key in keys]
        kvs = [kv for kv in kvs if int(kv["mod_revision"]) >= least]
        if body.get("keys_only"):
            kvs = [{k: v for k, v in kv.items() if k != "value"} for kv in kvs]
        answer = {"header": self.header(), "count": str(len(keys))}
        return answer | ({"kvs": kvs} if kvs else {})

    def txn(self, body: dict) -> dict:
        """Answer a transaction of compares of mod_revision, puts and ranges."""
        held = all(self._holds(compare) for compare in body.get("compare", []))
        steps = body.get("success" if held else "failure", [])
        responses = [self._step(step) for step in steps]
        answer = {"header": self.header(), "responses": responses}
        return answer | ({"succeeded": True} if held else {})

    def _holds(self, compare: dict) -> bool:
        entry = self.entries.get(_text(compare["key"]), {"mod_revision": "0"})
        return int(entry["mod_revision"]) == int(compare.get("mod_revision", 0))

    def _step(self, step: dict) -> dict:
        if put := step.get("request_put"):
            self.put(_text(put["key"]), put["value"], int(put.get("lease", 0)))
            return {"response_put": {}}
        if delete := step.get("request_delete_range"):
            self.delete(_text(delete["key"]))
            return {"response_delete_range": {}}
        return {"response_range": self.range(step["request_range"])}

    def rolled_back(self, revision: int) -> "Data":
        """Return the data as they stood at an older revision."""
        older = Data(self.cluster)
        for event in self.events:
            kv = event["kv"]
            if int(kv["mod_revision"]) > revision:
                break
            older.revision = int(kv["mod_revision"]) - 1
            if event.get("type") == "DELETE":
                older.delete(_text(kv["key"]))
            else:
                older.put(_text(kv["key"]), kv["value"])
        return older

    def lapse(self, now: float) -> bool:
        """Delete the entries of lapsed leases; tell whether any was deleted."""
        gone = {str(n) for n, (_, until) in self.leases.items() if until < now}
        self.leases = {n: v for n, v in self.leases.items() if str(n) not in gone}
        keys = [k for k, kv in self.entries.items() if kv["lease"] in gone]
        for key in keys:
            self.delete(key)
        return bool(keys)


class Platform:
    """The service: data, faults, counts and the waiting watches."""

    def __init__(self, data: Data | None = None) -> None:
        self.data = data or Data()
        self.fault: dict = {"kind": "none"}
        self.stale: Data | None = None
        self.calls: Counter[str] = Counter()
        self.changed = asyncio.Condition()
        self._watches: set[asyncio.Task] = set()
        self._lapser: asyncio.Task | None = None

    def app(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=4 * 1024 * 1024)
        app.router.add_post("/fault", self.set_fault)
        app.router.add_get("/calls", self.get_calls)
        app.router.add_post("/v3/watch", self.watch)
        for path, answer in {
            "/v3/kv/range": self.range,
            "/v3/kv/txn": self.txn,
            "/v3/kv/put": self.put,
            "/v3/lease/grant": self.grant,
            "/v3/lease/keepalive": self.keepalive,
        }.items():
            app.router.add_post(path, self._faulty(answer))
        app.cleanup_ctx.append(self._lapsing)
        return app

    async def _lapsing(self, _: web.Application):
        self._lapser = asyncio.ensure_future(self._lapse())
        yield
        self._lapser.cancel()
        self.cut_watches()

    async def _lapse(self) -> None:
        while True:
            await asyncio.sleep(LEASE_SCAN_S)
            if self.data.lapse(time.monotonic()):
                await self.notify()

    async def notify(self) -> None:
        """Wake the watches."""
        async with self.changed:
            self.changed.notify_all()

    def cut_watches(self) -> None:
        """End every waiting watch."""
        for task in self._watches:
            task.cancel()

    async def set_fault(self, req: web.Request) -> web.Response:
        """Switch a fault."""
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
            self.cut_watches()
        return web.json_response({})

    async def get_calls(self, _: web.Request) -> web.Response:
        """Tell how often each path was called."""
        return web.json_response(self.calls)

    def _faulty(self, answer):
        async def handle(req: web.Request) -> web.Response:
            self.calls[req.path] += 1
            await self._hurt(req)
            result = answer(await req.json())
            await self.notify()
            if self._loses(req.path):
                _cut(req)
            return web.json_response(result)

        return handle

    async def _hurt(self, req: web.Request) -> None:
        if self.fault["kind"] == "outage":
            _cut(req)
        if self.fault["kind"] == "slow":
            await asyncio.sleep(self.fault["seconds"])

    def _loses(self, path: str) -> bool:
        if self.fault["kind"] != "lost_answer" or path == "/v3/kv/range":
            return False
        times = self.fault.get("times", 1)
        self.fault["times"] = times - 1
        return times > 0

    def range(self, body: dict) -> dict:
        """Answer a range request."""
        return (self.stale or self.data).range(body)

    def txn(self, body: dict) -> dict:
        """Answer a transaction; one that only reads may be stale."""
        reads_only = all("request_range" in step for step in body["success"])
        return (self.stale if self.stale and reads_only else self.data).txn(body)

    def put(self, body: dict) -> dict:
        """Write without a compare, for the platform's own entries."""
        self.data.put(_text(body["key"]), body["value"], int(body.get("lease", 0)))
        return {"header": self.data.header()}

    def grant(self, body: dict) -> dict:
        """Grant a lease."""
        number = int(body.get("ID", 0)) or len(self.data.leases) + 1000
        ttl_s = int(body["TTL"])
        self.data.leases[number] = (ttl_s, time.monotonic() + ttl_s)
        return {"header": self.data.header(), "ID": str(number), "TTL": str(ttl_s)}

    def keepalive(self, body: dict) -> dict:
        """Renew a lease."""
        number = int(body["ID"])
        ttl_s, _ = self.data.leases.get(number, (0, 0.0))
        if ttl_s:
            self.data.leases[number] = (ttl_s, time.monotonic() + ttl_s)
        result = {"header": self.data.header(), "ID": str(number)}
        return {"result": result | ({"TTL": str(ttl_s)} if ttl_s else {})}

    async def watch(self, req: web.Request) -> web.StreamResponse:
        """Stream the events of a range from a revision on."""
        self.calls[req.path] += 1
        await self._hurt(req)
        create = (await req.json())["create_request"]
        first, end = _text(create["key"]), _text(create["range_end"])
        told = int(create.get("start_revision", self.data.revision + 1)) - 1
        resp = web.StreamResponse()
        await resp.prepare(req)
        self._watches.add(task := asyncio.current_task())
        try:
            await self._send(resp, {"created": True})
            while True:
                later = [e for e in self.data.events if _revision(e) > told]
                told = max([told, *map(_revision, later)])
                later = [e for e in later if first <= _text(e["kv"]["key"]) < end]
                if later:
                    await self._send(resp, {"events": later})
                async with self.changed:
                    if self.data.revision <= told:
                        await self.changed.wait()
        except (asyncio.CancelledError, ConnectionError):
            _cut(req)
        finally:
            self._watches.discard(task)
        return resp

    async def _send(self, resp: web.StreamResponse, result: dict) -> None:
        line = json.dumps({"result": {"header": self.data.header()} | result})
        await resp.write(line.encode() + b"\n")


def _revision(event: dict) -> int:
    return int(event["kv"]["mod_revision"])


def _cut(req: web.Request) -> None:
    if req.transport is not None:
        req.transport.abort()
    raise ConnectionResetError("cut by a fault")


def seeded(entries: dict) -> Data:
    """Return data that hold the entries of a seed file."""
    data = Data()
    for key, value in entries.items():
        data.put(key, _raw(json.dumps(value)))
    return data


async def _serve(port: int, data: Data) -> None:
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
    asyncio.run(_serve(options.port, seeded(entries or {})))


if __name__ == "__main__":
    main()
