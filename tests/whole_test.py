"""Whole processes on loopback, through the failures that the brief names.

Nothing here is timed: a test waits for a condition with a generous limit. After each
test the invariants are checked at the targets, which saw every call.
"""

import asyncio
import base64
import json
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import aiohttp

from standins.caller import Caller, Reply, http_session
from standins.cluster import Cluster, eventually, running
from standins.seeds import digest
from standins.sizes import BRANDT, LIPA

GROUPS = {"fleet": BRANDT, "studio": LIPA}


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
            for target in made.cluster.target_ports:
                await made.cluster.target_fault(target, "lag_ms", 40)
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

    async def test_a_primary_cut_off_with_callers_acknowledges_nothing(self, tmp_path):
        async with service(tmp_path) as made:
            primary = await made.cluster.primary(made.group)
            zone = made.zone_of(primary)
            beside = made.node_in(zone)
            others = [n for n in made.nodes() if n != beside]
            made.cluster.isolate(zone)
            outcomes = [await made.book(beside) for _ in range(3)]
            assert "done" not in outcomes
            await eventually(lambda: made.booked(others[0]))
            assert await made.book(beside) != "done"
            assert (await made.get(beside, made.done[-1], fresh=True)).outcome != "done"
            made.cluster.network.mend()
            await eventually(lambda: made.booked(beside))

    async def test_it_needs_no_store(self, tmp_path):
        async with service(tmp_path) as made:
            await made.cluster.platform_fault("outage")
            names = made.nodes()
            for name in names:
                await eventually(lambda name=name: made.booked(name))
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


class TestPlannedStop:
    async def test_it_cuts_off_no_request_and_exits_cleanly(self, tmp_path):
        async with service(tmp_path, "studio") as made:
            name = made.nodes()[0]
            port = made.port(name)
            cut: list[str] = []
            answered = 0

            async def keep_asking(http):
                nonlocal answered
                caller = Caller(http, made.cluster.keys["south"])
                while True:
                    try:
                        await caller.run(port, made.group, "sleep", 20)
                        answered += 1
                    except aiohttp.ClientConnectorError:
                        return
                    except aiohttp.ClientError as exc:
                        cut.append(repr(exc))

            async with http_session() as http, asyncio.TaskGroup() as tasks:
                for _ in range(6):
                    tasks.create_task(keep_asking(http))

                async def some():
                    return answered >= 20

                await eventually(some)
                process = made.cluster.processes[name]
                process.signal(signal.SIGTERM)
                assert await process.ended() == 0
            assert cut == []
