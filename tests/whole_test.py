"""Whole processes on loopback, through the failures that the brief names.

Nothing here is timed: a test waits for a condition with a generous limit. After each
test the invariants are checked at the targets, which saw every call.
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

# How far a balancer's knowledge of a node lags behind.
READY_INTERVAL_S = 1.0
GROUPS = {"fleet": FLEET_SIZE, "studio": STUDIO_SIZE}


@dataclass
class Service:
    """A running service, a caller and what it was told of its writes."""

    cluster: Cluster
    group: str
    caller: Caller
    done: list[str] = field(default_factory=list)
    refused: list[Reply] = field(default_factory=list)
    refused_keys: list[str] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
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
        """Insert a key that is used once; note and return the outcome."""
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
            self.lost.append(key)
            return "lost"
        if reply.outcome == "done":
            self.done.append(key)
        elif reply.outcome == "refused":
            self.refused.append(reply)
            self.refused_keys.append(key)
        return reply.outcome

    async def booked(self, node: str) -> bool:
        return await self.book(node) == "done"

    async def get(self, node: str, key: str, **options) -> Reply:
        port = self.port(node)
        return await self.caller.run(port, self.group, "get", "bay", key, **options)

    async def log(self) -> list[str]:
        """Return the keys in the primary's log, one for each time it was written."""
        primary = await self.cluster.primary(self.group)
        entries = (await self.cluster.seen(primary))["entries"]
        return [change[1] for entry in entries for change in entry[2]]

    async def check(self) -> None:
        """Check what must hold of the writes and of what the targets saw."""
        log = await self.log()
        assert set(self.done) <= set(log), "an acknowledged write is lost"
        assert not set(self.refused_keys) & set(log), "a refused write was run"
        assert len(log) == len(set(log)), "a write was run twice"
        logs = [path.read_text() for path in self.cluster.folder.glob("*.log")]
        for key in self.cluster.keys.values():
            assert not any(key in text for text in logs), "a key is in a log"
        for target in self.cluster.target_ports:
            if self.cluster.processes[target].running:
                await self._check_target(target)

    async def _check_target(self, target: str) -> None:
        seen = await self.cluster.seen(target)
        assert seen["overlaps"] == 0, "calls overlapped on a connection"
        for key in self.cluster.keys.values():
            assert not any(key in text for text in seen["strings"]), "a key got through"
            assert digest(key) not in seen["strings"], "a digest got through"


@asynccontextmanager
async def service(tmp_path, group: str = "fleet") -> AsyncIterator[Service]:
    async with (
        running(GROUPS[group], tmp_path) as cluster,
        http_session() as http,
    ):
        made = Service(cluster, group, Caller(http, cluster.keys["north"]))
        for node in cluster.nodes:
            await eventually(lambda node=node: made.booked(node))
        yield made
        await made.check()


class TestSessions:
    async def test_a_session_reads_its_write_through_every_node(self, tmp_path):
        async with service(tmp_path, "studio") as made:
            primary = await made.cluster.primary(made.group)
            replicas = [t for t in made.cluster.target_ports if t != primary]
            for target, lag_ms in zip(replicas, (10, 300), strict=True):
                await made.cluster.target_fault(target, "lag_ms", lag_ms)
            names = made.nodes()
            for i in range(24):
                assert await made.book(names[i % len(names)]) == "done"
                reply = await made.get(names[(i + 1) % len(names)], made.done[-1])
                assert (reply.outcome, reply.result) == ("done", made.count)


class TestTransactions:
    async def test_a_killed_node_takes_its_transaction_with_it(self, tmp_path):
        async with service(tmp_path) as made:
            entry = made.nodes()[0]
            path = f"groups/{made.group}/transactions"
            reply = await made.caller.post(made.port(entry), path, {})
            assert reply.outcome == "done"
            name = reply.transaction
            holder = name.split("~")[2]
            put = {"statement": "put", "args": ["bay", "torn", 1], "write": True}
            path = f"transactions/{name}/statements"
            reply = await made.caller.post(made.port(entry), path, put)
            assert reply.outcome == "done"
            made.cluster.kill(holder)
            survivor = next(n for n in made.nodes() if n != holder)
            path = f"transactions/{name}/commit"
            reply = await made.caller.post(made.port(survivor), path, {})
            assert reply.outcome in ("refused", "unknown")
            await eventually(lambda: made.booked(survivor))
            assert (await made.get(survivor, "torn", fresh=True)).result is None
            assert "torn" not in await made.log()


class TestPauses:
    async def test_a_paused_holder_is_passed_by_and_comes_back(self, tmp_path):
        async with service(tmp_path) as made:
            primary = await made.cluster.primary(made.group)
            paused = made.node_in(made.zone_of(primary))
            other = next(n for n in made.nodes() if n != paused)
            made.cluster.pause(paused)
            await eventually(lambda: made.booked(other))
            made.cluster.resume(paused)
            await eventually(lambda: made.booked(paused))


async def cut_off(made: Service, store: str) -> tuple[str, str]:
    """Cut the primary's zone off; return the node beside it and another one."""
    primary = await made.cluster.primary(made.group)
    zone = made.zone_of(primary)
    beside = made.node_in(zone)
    made.cluster.isolate(zone, store=store == "store cut off")
    return beside, next(name for name in made.nodes() if name != beside)


class TestFailover:
    async def test_a_killed_primary_is_replaced_and_nothing_is_lost(self, tmp_path):
        async with service(tmp_path) as made:
            primary = await made.cluster.primary(made.group)
            names = made.nodes()
            for i in range(30):
                await made.book(names[i % len(names)])
            made.cluster.kill(primary)
            for name in names:
                await eventually(lambda name=name: made.booked(name))
            assert await made.cluster.primary(made.group) != primary

    @pytest.mark.parametrize("store", ["store in reach", "store cut off"])
    async def test_a_primary_cut_off_with_callers_acknowledges_nothing(
        self, tmp_path, store
    ):
        async with service(tmp_path) as made:
            beside, other = await cut_off(made, store)
            outcomes = [await made.book(beside) for _ in range(2)]
            await eventually(lambda: made.booked(other))
            outcomes.append(await made.book(beside))
            assert "done" not in outcomes
            made.cluster.network.heal()
            await eventually(lambda: made.booked(beside))

    async def test_a_primary_cut_off_serves_no_fresh_read(self, tmp_path):
        async with service(tmp_path) as made:
            beside, other = await cut_off(made, "store in reach")
            await eventually(lambda: made.booked(other))
            # Another session, which has seen nothing that would refuse it earlier.
            made.caller = Caller(made.caller.http, made.caller.key)
            reply = await made.get(beside, made.done[-1], fresh=True)
            assert reply.outcome == "refused"
            made.cluster.network.heal()

            async def read():
                reply = await made.get(beside, made.done[-1], fresh=True)
                return reply.result == made.count

            await eventually(read)

    async def test_it_needs_no_store(self, tmp_path):
        async with service(tmp_path) as made:
            await made.cluster.platform_fault("outage")
            names = made.nodes()
            # Longer than a view is usable that nothing proves current.
            await asyncio.sleep(1.5 * USABLE_S)
            for name in names:
                assert await made.book(name) == "done"
            made.cluster.kill(await made.cluster.primary(made.group))
            for name in names:
                await eventually(lambda name=name: made.booked(name))
            await made.cluster.platform_fault("none")


async def withdraw(cluster: Cluster, key: str) -> None:
    """Mark a key as withdrawn, as the operators' list has it."""

    def b64(text):
        return base64.b64encode(text.encode()).decode()

    value = json.dumps({"organisation": "north", "withdrawn": True})
    body = {"key": b64(f"lavenderstack/keys/{digest(key)}"), "value": b64(value)}
    url = f"http://127.0.0.1:{cluster.network.links['platform'].port}/v3/kv/put"
    async with cluster.http.post(url, json=body) as resp:
        resp.raise_for_status()


class TestKeys:
    async def test_a_withdrawn_key_stops_on_open_connections_for_good(self, tmp_path):
        async with service(tmp_path) as made:
            names = made.nodes()
            await withdraw(made.cluster, made.caller.key)

            async def refused_by(name):
                reply = await made.get(name, "booking-1")
                return reply.reason == "key_refused"

            for name in names:
                await eventually(lambda name=name: refused_by(name))
            for i in range(30):
                assert await refused_by(names[i % len(names)])
            other = Caller(made.caller.http, made.cluster.keys["south"])
            reply = await other.run(
                made.port(names[0]), made.group, "get", "bay", "booking-1"
            )
            assert reply.outcome == "done"


@dataclass
class Balancer:
    """Sends callers to the nodes that were ready when it last asked."""

    made: Service
    nodes: list[str]
    answered: int = 0
    cut: list[str] = field(default_factory=list)

    async def watch(self) -> None:
        names = list(self.nodes)
        while True:
            ready = [name for name in names if await self.made.cluster.ready(name)]
            self.nodes = ready
            await asyncio.sleep(READY_INTERVAL_S)

    async def keep_asking(self, http: aiohttp.ClientSession) -> None:
        caller = Caller(http, self.made.cluster.keys["south"])
        for i in itertools.count():
            port = self.made.port(self.nodes[i % len(self.nodes)])
            try:
                reply = await caller.run(port, self.made.group, "sleep", 20)
            except (aiohttp.ClientError, TimeoutError) as exc:
                self.cut.append(repr(exc))
            else:
                self.answered += reply.outcome == "done"

    async def reached(self, count: int) -> None:
        async def enough():
            return self.answered >= count

        await eventually(enough)


@asynccontextmanager
async def balanced(made: Service, callers: int) -> AsyncIterator[Balancer]:
    """Run callers behind a balancer for the length of the block."""
    balancer = Balancer(made, made.nodes())
    async with http_session() as http:
        tasks = [asyncio.create_task(balancer.watch())]
        for _ in range(callers):
            tasks.append(asyncio.create_task(balancer.keep_asking(http)))
        try:
            yield balancer
        finally:
            for task in tasks:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
        assert all(isinstance(r, asyncio.CancelledError) for r in results)


class TestPlannedStop:
    async def test_it_cuts_off_no_request_and_exits_cleanly(self, tmp_path):
        async with service(tmp_path, "studio") as made, balanced(made, 12) as balancer:
            for name in made.nodes()[:2]:
                await balancer.reached(balancer.answered + 50)
                process = made.cluster.processes[name]
                process.signal(signal.SIGTERM)
                assert await process.ended() == 0
            await balancer.reached(balancer.answered + 50)
            assert balancer.cut == []
