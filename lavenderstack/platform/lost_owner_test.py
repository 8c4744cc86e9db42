"""Tests of node processes that lose a primary before its replica set is recorded."""

import asyncio
import base64
import json
import signal
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

from aiohttp import web

from lavenderstack.core import clock
from lavenderstack.platform.documents_test import REPORT
from lavenderstack.platform.node_test import (
    NodeHarness,
    config,
    node_settings,
    start_process,
)
from standins import line_server, metadata_store, promotion_orders
from standins.line_group import GroupTarget, LineGroup
from standins.metadata_store import MetadataStore
from standins.promotion_orders import PromotionOrders
from standins.sockets import free_port

ZONES = {"n1": "z1", "n2": "z2", "n3": "z3"}
TARGETS = {"a": "z1", "b": "z2", "c": "z3"}
WAIT_S = 20.0


class UnrecordingStore(MetadataStore):
    """A store in which no replica set gets recorded."""

    async def change(self, req):
        puts = (await req.json())["puts"]
        if any(put["key"].startswith("ls/replicas/") for put in puts):
            return web.json_response({"items": []}, status=412)
        return await super().change(req)


@dataclass
class Fleet:
    """Three nodes and a group of three targets."""

    store: UnrecordingStore
    group: LineGroup
    ports: dict[str, int] = field(default_factory=dict)
    nodes: dict[str, NodeHarness] = field(default_factory=dict)

    def report(self, target):
        fields = {
            "addr": f"127.0.0.1:{self.ports[target.name]}",
            "zone": target.zone,
            "db_role": "primary" if target.leads else "replica",
            "born": 1,
        }
        self.store.put(f"servers/{target.name}", json.dumps(REPORT | fields).encode())

    def owner(self):
        """Return the name of the group's owner, empty if there is none."""
        item = self.store.items.get("ls/duties/g1")
        return json.loads(_value(item))["node"].partition("#")[0] if item else ""

    async def write(self, name, value):
        caller = await self.nodes[name].caller("CONNECT db2 k1")
        answer = await caller.query(f"WRITE x {value}", request=value)
        caller.writer.close()
        return answer[0].startswith("DONE")

    async def lose_owner_and_primary(self):
        """Let the owner's claim end and the primary crash; the owner runs on."""
        former = self.owner()
        process = self.nodes[former].process
        process.send_signal(signal.SIGSTOP)
        self.store.end_lease(self.store.items[f"ls/nodes/{former}"]["lease"])
        self.group.crash(self.group.targets["a"])
        self.store.delete("servers/a")
        await wait_until(lambda: self.owner() not in ("", former))
        process.send_signal(signal.SIGCONT)


def _value(item):
    return base64.b64decode(item["value"])


async def wait_until(condition):
    deadline = clock.now() + WAIT_S
    while not condition():
        assert clock.now() < deadline, "condition not met in time"
        await asyncio.sleep(0.02)


async def _end(process):
    if process.returncode is None:
        process.kill()
    await process.communicate()


@asynccontextmanager
async def run_fleet(folder):
    targets = {name: GroupTarget(name, zone) for name, zone in TARGETS.items()}
    group, store = LineGroup("g1", targets), UnrecordingStore()
    fleet = Fleet(store, group)
    group.changed = fleet.report
    store.put("op/config", config())
    async with AsyncExitStack() as stack:
        addr = await stack.enter_async_context(metadata_store.serving(store))
        for name, target in targets.items():
            serving = line_server.serving(group, target)
            fleet.ports[name] = await stack.enter_async_context(serving)
            fleet.report(target)
        orders = PromotionOrders({"g1": group})
        orders_port = await stack.enter_async_context(promotion_orders.serving(orders))
        for name, zone in ZONES.items():
            ports = [free_port() for _ in range(5)]
            path = folder / f"{name}.yaml"
            raw = node_settings(ports, addr)
            raw |= {"name": name, "availability_zone": zone}
            raw |= {"orders": f"127.0.0.1:{orders_port}"}
            path.write_text(json.dumps(raw))
            process = await start_process(path, asyncio.subprocess.DEVNULL)
            stack.push_async_callback(_end, process)
            fleet.nodes[name] = NodeHarness(process, ports, store, [], path)
        for node in fleet.nodes.values():
            await node.wait_until_ready()
        yield fleet


class TestOwnerAndPrimaryLostTogether:
    async def test_a_replica_with_all_acknowledged_commits_takes_over(self, tmp_path):
        """Guards against a group that stays without a primary for ever.

        The new owner never had an answer of the primary, and no replica set is
        recorded. All nodes run, and both replicas have the acknowledged commit.
        """
        async with run_fleet(tmp_path) as fleet:
            group = fleet.group
            await wait_until(fleet.owner)
            assert await fleet.write("n2", "1")
            followers = [group.targets["b"], group.targets["c"]]
            await wait_until(lambda: all(f.end == group.end for f in followers))
            await fleet.lose_owner_and_primary()
            await wait_until(lambda: group.promotions)
            assert group.targets[group.leader].items == {"x": "1"}
