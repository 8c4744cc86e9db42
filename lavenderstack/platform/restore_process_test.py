"""Tests of node processes whose store comes back from an older copy, under load."""

import asyncio
import json
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

from aiohttp import web

from lavenderstack.core import clock
from lavenderstack.platform.documents_test import CONFIG, REPORT
from lavenderstack.platform.node_test import (
    NodeHarness,
    config,
    node_settings,
    start_process,
)
from lavenderstack.platform.orders import FENCE_HEADER
from standins import line_target, metadata_store
from standins.line_target import LineTarget
from standins.metadata_store import MetadataStore
from standins.sockets import free_port

NODES = ("n1", "n2")
SETTLE_TIMEOUT_S = 12.0


def config_with_keys(version, *keys):
    tenants = [{**CONFIG["tenants"][0], "api_keys": list(keys)}]
    return config(version=version, tenants=tenants)


@dataclass
class Group:
    """A group of two targets whose primary is replaced by order of the nodes.

    ``orders`` lists the target and the epoch of each accepted order.
    """

    store: MetadataStore
    targets: dict[str, LineTarget]
    ports: dict[str, int] = field(default_factory=dict)
    orders: list[tuple[str, int]] = field(default_factory=list)

    @property
    def primary(self):
        return next(name for name, target in self.targets.items() if target.leads)

    def report(self, name, state="ready"):
        fields = {
            "addr": f"127.0.0.1:{self.ports[name]}",
            "db_role": "primary" if self.targets[name].leads else "replica",
            "state": state,
        }
        self.store.put(f"servers/{name}", json.dumps({**REPORT, **fields}).encode())

    async def promote(self, req):
        body, epoch = await req.json(), int(req.headers[FENCE_HEADER])
        if self.orders and epoch < self.orders[-1][1]:
            raise web.HTTPConflict
        self.orders.append((body["id"], epoch))
        newest = max(target.seq for target in self.targets.values())
        for name, target in self.targets.items():
            target.leads = name == body["id"]
            target.term += 1
            target.seq = newest
            target.paused_term = 0
            target.replicas = [
                other for other in self.targets.values() if other is not target
            ]
        for name in self.targets:
            self.report(name)
        return web.json_response({})

    async def replace_primary(self):
        """Let the primary leave; wait until another target leads."""
        leaving = self.primary
        count = len(self.orders)
        self.report(leaving, "draining")
        await wait_until(lambda: len(self.orders) > count)
        assert self.primary != leaving


async def wait_until(condition, timeout_s=SETTLE_TIMEOUT_S):
    deadline = clock.now() + timeout_s
    while not condition():
        assert clock.now() < deadline, "condition not met in time"
        await asyncio.sleep(0.02)


async def withdrawn(nodes):
    """Return whether the key ``k2`` is refused by every node."""
    refused = []
    for node in nodes:
        caller = await node.caller("CONNECT db2 k2")
        refused.append(caller.greeting[0].startswith("ERROR NOAUTH"))
        caller.writer.close()
    return all(refused)


async def wait_until_withdrawn(nodes):
    deadline = clock.now() + SETTLE_TIMEOUT_S
    while not await withdrawn(nodes):
        assert clock.now() < deadline, "key not withdrawn in time"
        await asyncio.sleep(0.05)


@asynccontextmanager
async def serve_orders(group):
    app = web.Application()
    app.router.add_post("/promote", group.promote)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    try:
        yield site._server.sockets[0].getsockname()[1]
    finally:
        await runner.cleanup()


async def _end(process):
    if process.returncode is None:
        process.kill()
    await process.communicate()


async def start_node(name, store_addr, orders_port, group, folder, stack):
    ports = [free_port() for _ in range(5)]
    path = folder / f"{name}.yaml"
    raw = node_settings(ports, store_addr)
    raw |= {"name": name, "orders": f"127.0.0.1:{orders_port}"}
    path.write_text(json.dumps(raw))
    process = await start_process(path, asyncio.subprocess.DEVNULL)
    stack.push_async_callback(_end, process)
    targets = list(group.targets.values())
    return NodeHarness(process, ports, group.store, targets, path)


@asynccontextmanager
async def run_fleet(folder):
    """Run two nodes on one store, in an era that began long ago."""
    store = MetadataStore(era=4)
    store.put("ls/era", b'{"era":4}')
    store.put("op/config", config_with_keys(1, "k1", "k2"))
    targets = {"i-1": LineTarget("i-1"), "i-2": LineTarget("i-2", leads=False)}
    targets["i-1"].replicas = [targets["i-2"]]
    group = Group(store, targets)
    async with AsyncExitStack() as stack:
        addr = await stack.enter_async_context(metadata_store.serving(store))
        for name, target in targets.items():
            port = await stack.enter_async_context(line_target.serving(target))
            group.ports[name] = port
            group.report(name)
        orders_port = await stack.enter_async_context(serve_orders(group))
        nodes = [
            await start_node(name, addr, orders_port, group, folder, stack)
            for name in NODES
        ]
        for node in nodes:
            await node.wait_until_ready()
        yield group, nodes


@dataclass
class Writer:
    """Writes one item after another through a node; ``done`` are the acknowledged."""

    node: NodeHarness
    name: str
    done: list[str] = field(default_factory=list)
    sent: int = 0

    async def run(self):
        while True:
            caller = await self.node.caller("CONNECT db2 k1")
            try:
                while caller.greeting[-1].startswith("READY"):
                    await self._write(caller)
                    await asyncio.sleep(0.03)
            except (IndexError, ConnectionError):
                # The session ended; the next one goes on.
                pass
            finally:
                caller.writer.close()
            await asyncio.sleep(0.05)

    async def _write(self, caller):
        self.sent += 1
        item = f"{self.name}-{self.sent}"
        answer = await caller.query(f"WRITE {item} x", request=item)
        if answer[0].startswith("DONE"):
            self.done.append(item)


class TestRestoreUnderLoad:
    async def test_writes_keys_and_epochs_survive_the_restore(self, tmp_path):
        async with run_fleet(tmp_path) as (group, nodes):
            store = group.store
            kept = store.take_copy()
            writers = [
                Writer(node, name) for node, name in zip(nodes, NODES, strict=True)
            ]
            tasks = [asyncio.ensure_future(writer.run()) for writer in writers]
            try:
                await wait_until(lambda: all(len(w.done) > 5 for w in writers))
                await group.replace_primary()
                store.put("op/config", config_with_keys(7, "k1"))
                await wait_until_withdrawn(nodes)
                for _ in range(300):
                    group.report("i-1")
                store.down = True
                await asyncio.sleep(0.7)
                store.restore(kept)
                store.down = False
                restored_at = clock.now()
                done_before = [len(writer.done) for writer in writers]
                await asyncio.sleep(0.3)
                for name in group.targets:
                    group.report(name)
                assert await withdrawn(nodes)
                await wait_until(lambda: "ls/duties/g1" in store.items)
                # No claim is made while an owner of the older era might act.
                assert clock.now() - restored_at >= 2.7
                assert await withdrawn(nodes)
                store.put("op/config", config_with_keys(7, "k1"))
                await group.replace_primary()
                await wait_until(
                    lambda: all(
                        len(writer.done) > before + 20
                        for writer, before in zip(writers, done_before, strict=True)
                    )
                )
            finally:
                for task in tasks:
                    task.cancel()
            self.check_writes(group, writers)
            epochs = [epoch for _, epoch in group.orders]
            assert epochs == sorted(set(epochs))
            assert len(epochs) >= 2

    def check_writes(self, group, writers):
        items, effects = group.targets[group.primary].items, []
        for target in group.targets.values():
            effects += target.effects
        assert len(effects) == len(set(effects))
        for writer in writers:
            for item in writer.done:
                assert item in items, f"acknowledged write {item} is lost"
                assert item in effects
