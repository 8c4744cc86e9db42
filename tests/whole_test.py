"""Tests of a whole service, as processes on loopback, under failures.

No test measures time: each waits for a condition with a generous limit. After each
test the invariants are checked with the calls that the targets recorded.
"""

import asyncio
import base64
import itertools
import json
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import aiohttp
import pytest

from lavenderstack.core.view_freshness import USABLE_S
from standins.caller import Caller, Reply, http_session
from standins.cluster import Cluster, eventually, running
from standins.seeds import digest
from standins.sizes import FLEET_SIZE, STUDIO_SIZE

# How often the load balancer polls the readiness of the nodes.
READY_INTERVAL_S = 1.0
GROUPS = {"fleet": FLEET_SIZE, "studio": STUDIO_SIZE}


@dataclass
class Service:
    """A running service, a caller and the outcomes of its writes."""

    cluster: Cluster
    group: str
    caller: Caller
    done: list[str] = field(default_factory=list)
    refusals: list[Reply] = field(default_factory=list)
    refused_keys: list[str] = field(default_factory=list)
    unanswered: list[str] = field(default_factory=list)
    count: int = 0

    def port(self, name: str) -> int:
        return self.cluster.nodes[name].callers_port

    def node_in(self, zone: str) -> str:
        nodes = self.cluster.nodes.values()
        return next(node.name for node in nodes if node.zone == zone)

    def zone_of(self, target: str) -> str:
        targets = self.cluster.size.targets()
        return next(zone for name, _, zone in targets if name == target)

    def nodes(self) -> list[str]:
        processes = self.cluster.processes
        return [name for name in self.cluster.nodes if processes[name].running]

    async def book(self, node: str) -> str:
        """Insert a new key; record and return the outcome."""
        self.count += 1
        key = f"booking-{self.count}"
        try:
            reply = await self.caller.run(
                self.port(node),
                self.group,
                "insert",
                "bay",
                key,
                self.count,
                write=True,
                idempotent=False,
            )
        except (aiohttp.ClientError, TimeoutError):
            self.unanswered.append(key)
            return "lost"
        if reply.outcome == "done":
            self.done.append(key)
        elif reply.outcome == "refused":
            self.refusals.append(reply)
            self.refused_keys.append(key)
        return reply.outcome

    async def booked(self, node: str) -> bool:
        return await self.book(node) == "done"

    async def get(self, node: str, key: str, **options) -> Reply:
        port = self.port(node)
        return await self.caller.run(port, self.group, "get", "bay", key, **options)

    async def primary_log_keys(self) -> list[str]:
        """Return the key of each change in the primary's log, with repetitions."""
        primary = await self.cluster.primary(self.group)
        entries = (await self.cluster.target_snapshot(primary))["entries"]
        return [change[1] for entry in entries for change in entry[2]]

    async def check(self) -> None:
        """Check the invariants of the writes and of the targets' recorded calls."""
        logged_keys = await self.primary_log_keys()
        assert set(self.done) <= set(logged_keys), "an acknowledged write is lost"
        assert not set(self.refused_keys) & set(logged_keys), "a refused write was run"
        assert len(logged_keys) == len(set(logged_keys)), "a write was run twice"
        logs = [path.read_text() for path in self.cluster.folder.glob("*.log")]
        for key in self.cluster.keys.values():
            assert not any(key in text for text in logs), "a key is in a log"
        for target in self.cluster.target_ports:
            if self.cluster.processes[target].running:
                await self._check_target(target)

    async def _check_target(self, target: str) -> None:
        snapshot = await self.cluster.target_snapshot(target)
        assert snapshot["overlaps"] == 0, "calls overlapped on a connection"
        for key in self.cluster.keys.values():
            assert snapshot["strings_complete"], "the record covers only early calls"
            assert not any(key in text for text in snapshot["strings"]), (
                "a key reached a target"
            )
            assert digest(key) not in snapshot["strings"], "a digest reached a target"


@asynccontextmanager
async def service(tmp_path, group: str = "fleet") -> AsyncIterator[Service]:
    async with (
        running(GROUPS[group], tmp_path) as cluster,
        http_session() as http,
    ):
        svc = Service(cluster, group, Caller(http, cluster.keys["north"]))
        for node in cluster.nodes:
            await eventually(lambda node=node: svc.booked(node))
        yield svc
        await svc.check()


class TestSessions:
    async def test_a_session_reads_its_write_through_every_node(self, tmp_path):
        async with service(tmp_path, "studio") as svc:
            primary = await svc.cluster.primary(svc.group)
            replicas = [t for t in svc.cluster.target_ports if t != primary]
            for target, lag_ms in zip(replicas, (10, 300), strict=True):
                await svc.cluster.set_target_fault(target, "lag_ms", lag_ms)
            names = svc.nodes()
            for i in range(24):
                assert await svc.book(names[i % len(names)]) == "done"
                reply = await svc.get(names[(i + 1) % len(names)], svc.done[-1])
                assert (reply.outcome, reply.result) == ("done", svc.count)


class TestTransactions:
    async def test_a_killed_holder_loses_its_open_transaction(self, tmp_path):
        async with service(tmp_path) as svc:
            entry = svc.nodes()[0]
            path = f"groups/{svc.group}/transactions"
            reply = await svc.caller.post(svc.port(entry), path, {})
            assert reply.outcome == "done"
            name = reply.transaction
            holder = name.split("~")[2]
            put = {"statement": "put", "args": ["bay", "torn", 1], "write": True}
            path = f"transactions/{name}/statements"
            reply = await svc.caller.post(svc.port(entry), path, put)
            assert reply.outcome == "done"
            svc.cluster.kill(holder)
            survivor = next(n for n in svc.nodes() if n != holder)
            path = f"transactions/{name}/commit"
            reply = await svc.caller.post(svc.port(survivor), path, {})
            assert reply.outcome in ("refused", "unknown")
            await eventually(lambda: svc.booked(survivor))
            assert (await svc.get(survivor, "torn", fresh=True)).result is None
            assert "torn" not in await svc.primary_log_keys()


class TestPauses:
    async def test_a_suspended_holder_is_bypassed_and_used_again_later(self, tmp_path):
        async with service(tmp_path) as svc:
            primary = await svc.cluster.primary(svc.group)
            paused = svc.node_in(svc.zone_of(primary))
            other = next(n for n in svc.nodes() if n != paused)
            svc.cluster.pause(paused)
            await eventually(lambda: svc.booked(other))
            svc.cluster.resume(paused)
            await eventually(lambda: svc.booked(paused))


async def cut_off(svc: Service, store: str) -> tuple[str, str]:
    """Isolate the primary's zone; return its node and one in another zone."""
    primary = await svc.cluster.primary(svc.group)
    zone = svc.zone_of(primary)
    isolated = svc.node_in(zone)
    svc.cluster.isolate(zone, cut_store=store == "store cut off")
    return isolated, next(name for name in svc.nodes() if name != isolated)


class TestFailover:
    async def test_a_killed_primary_is_replaced_and_nothing_is_lost(self, tmp_path):
        async with service(tmp_path) as svc:
            primary = await svc.cluster.primary(svc.group)
            names = svc.nodes()
            for i in range(30):
                await svc.book(names[i % len(names)])
            svc.cluster.kill(primary)
            for name in names:
                await eventually(lambda name=name: svc.booked(name))
            assert await svc.cluster.primary(svc.group) != primary

    @pytest.mark.parametrize("store", ["store reachable", "store cut off"])
    async def test_a_primary_cut_off_with_callers_acknowledges_nothing(
        self, tmp_path, store
    ):
        async with service(tmp_path) as svc:
            isolated, other = await cut_off(svc, store)
            outcomes = [await svc.book(isolated) for _ in range(2)]
            await eventually(lambda: svc.booked(other))
            outcomes.append(await svc.book(isolated))
            assert "done" not in outcomes
            svc.cluster.network.heal()
            await eventually(lambda: svc.booked(isolated))

    async def test_a_primary_cut_off_serves_no_fresh_read(self, tmp_path):
        async with service(tmp_path) as svc:
            isolated, other = await cut_off(svc, "store reachable")
            await eventually(lambda: svc.booked(other))
            # A new session has no watermark for which the read would be refused.
            svc.caller = Caller(svc.caller.http, svc.caller.key)
            reply = await svc.get(isolated, svc.done[-1], fresh=True)
            assert reply.outcome == "refused"
            svc.cluster.network.heal()

            async def read():
                reply = await svc.get(isolated, svc.done[-1], fresh=True)
                return reply.result == svc.count

            await eventually(read)

    async def test_it_works_during_a_store_outage(self, tmp_path):
        async with service(tmp_path) as svc:
            await svc.cluster.set_platform_fault("outage")
            names = svc.nodes()
            # Longer than a view stays usable without a proof that it is current.
            await asyncio.sleep(1.5 * USABLE_S)
            for name in names:
                assert await svc.book(name) == "done"
            svc.cluster.kill(await svc.cluster.primary(svc.group))
            for name in names:
                await eventually(lambda name=name: svc.booked(name))
            await svc.cluster.set_platform_fault("none")


async def withdraw(cluster: Cluster, key: str) -> None:
    """Mark a key as withdrawn in the store, as the operator's tool does."""

    def b64(text):
        return base64.b64encode(text.encode()).decode()

    value = json.dumps({"organisation": "north", "withdrawn": True})
    body = {"key": b64(f"lavenderstack/keys/{digest(key)}"), "value": b64(value)}
    url = f"http://127.0.0.1:{cluster.network.links['platform'].port}/v3/kv/put"
    async with cluster.http.post(url, json=body) as resp:
        resp.raise_for_status()


class TestKeys:
    async def test_a_withdrawn_key_stays_refused_on_open_connections(self, tmp_path):
        async with service(tmp_path) as svc:
            names = svc.nodes()
            await withdraw(svc.cluster, svc.caller.key)

            async def refused_by(name):
                reply = await svc.get(name, "booking-1")
                return reply.reason == "key_refused"

            for name in names:
                await eventually(lambda name=name: refused_by(name))
            for i in range(30):
                assert await refused_by(names[i % len(names)])
            other = Caller(svc.caller.http, svc.cluster.keys["south"])
            reply = await other.run(
                svc.port(names[0]), svc.group, "get", "bay", "booking-1"
            )
            assert reply.outcome == "done"


@dataclass
class LoadBalancer:
    """Sends requests to the nodes that were ready at its last poll."""

    svc: Service
    nodes: list[str]
    answered: int = 0
    failures: list[str] = field(default_factory=list)

    async def poll_ready(self) -> None:
        names = list(self.nodes)
        while True:
            ready = [name for name in names if await self.svc.cluster.ready(name)]
            self.nodes = ready
            await asyncio.sleep(READY_INTERVAL_S)

    async def send_requests(self, http: aiohttp.ClientSession) -> None:
        caller = Caller(http, self.svc.cluster.keys["south"])
        for i in itertools.count():
            port = self.svc.port(self.nodes[i % len(self.nodes)])
            try:
                reply = await caller.run(port, self.svc.group, "sleep", 20)
            except (aiohttp.ClientError, TimeoutError) as exc:
                self.failures.append(repr(exc))
            else:
                self.answered += reply.outcome == "done"

    async def wait_for_answers(self, count: int) -> None:
        async def has_answers():
            return self.answered >= count

        await eventually(has_answers)


@asynccontextmanager
async def balanced(svc: Service, callers: int) -> AsyncIterator[LoadBalancer]:
    """Run callers behind a load balancer until the block ends."""
    balancer = LoadBalancer(svc, svc.nodes())
    async with http_session() as http:
        tasks = [asyncio.create_task(balancer.poll_ready())]
        for _ in range(callers):
            tasks.append(asyncio.create_task(balancer.send_requests(http)))
        try:
            yield balancer
        finally:
            for task in tasks:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
        assert all(isinstance(r, asyncio.CancelledError) for r in results)


class TestPlannedStop:
    async def test_it_fails_no_request_and_exits_with_status_0(self, tmp_path):
        async with service(tmp_path, "studio") as svc, balanced(svc, 12) as balancer:
            for name in svc.nodes()[:2]:
                await balancer.wait_for_answers(balancer.answered + 50)
                process = svc.cluster.processes[name]
                process.signal(signal.SIGTERM)
                assert await process.wait() == 0
            await balancer.wait_for_answers(balancer.answered + 50)
            assert balancer.failures == []
