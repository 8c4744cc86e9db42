"""Tests of node processes that lose a primary before its replica set is recorded."""

import base64
import json
import signal
from contextlib import AsyncExitStack, asynccontextmanager

from aiohttp import web

from lavenderstack.platform.documents_test import REPORT
from lavenderstack.platform.node_test import config
from lavenderstack.platform.restore_process_test import start_node, wait_until
from standins import line_server, metadata_store, promotion_orders
from standins.line_group import GroupTarget, LineGroup
from standins.metadata_store import MetadataStore
from standins.promotion_orders import PromotionOrders


class UnrecordingStore(MetadataStore):
    """A store in which no replica set gets recorded."""

    async def change(self, req):
        puts = (await req.json())["puts"]
        if any(put["key"].startswith("ls/replicas/") for put in puts):
            return web.json_response({"items": []}, status=412)
        return await super().change(req)

    def owner(self):
        """Return the name of the group's owner, empty if there is none."""
        item = self.items.get("ls/duties/g1")
        record = json.loads(base64.b64decode(item["value"])) if item else {"node": ""}
        return record["node"].partition("#")[0]


class Group(LineGroup):
    """A group whose targets report themselves to ``store`` at ``ports``."""

    def report(self, target):
        role = "primary" if target.leads else "replica"
        fields = {"addr": f"127.0.0.1:{self.ports[target.name]}", "db_role": role}
        data = json.dumps({**REPORT, **fields, "born": 1}).encode()
        self.store.put(f"servers/{target.name}", data)


@asynccontextmanager
async def run_fleet(folder):
    """Run three nodes and a group of three targets; yield the group and the nodes."""
    group = Group("g1", {name: GroupTarget(name, "z1") for name in "abc"})
    store = group.store = UnrecordingStore()
    group.ports, group.changed = {}, group.report
    store.put("op/config", config())
    orders = promotion_orders.serving(PromotionOrders({"g1": group}))
    async with AsyncExitStack() as stack:
        addr = await stack.enter_async_context(metadata_store.serving(store))
        for target in group.targets.values():
            serving = line_server.serving(group, target)
            group.ports[target.name] = await stack.enter_async_context(serving)
            group.report(target)
        port = await stack.enter_async_context(orders)
        nodes = {
            name: await start_node(name, addr, port, group, folder, stack)
            for name in ("n1", "n2", "n3")
        }
        for node in nodes.values():
            await node.wait_until_ready()
        yield group, nodes


class TestOwnerAndPrimaryLostTogether:
    async def test_a_replica_with_all_acknowledged_commits_takes_over(self, tmp_path):
        """Guards against a group that stays without a primary for ever.

        The new owner never had an answer of the primary, and no replica set is
        recorded. All nodes run, and both replicas have the acknowledged commit.
        """
        async with run_fleet(tmp_path) as (group, nodes):
            store, targets = group.store, group.targets
            await wait_until(store.owner)
            caller = await nodes["n2"].caller("CONNECT db2 k1")
            assert (await caller.query("WRITE x 1"))[0].startswith("DONE")
            await wait_until(lambda: all(t.end == group.end for t in targets.values()))
            former = store.owner()
            nodes[former].process.send_signal(signal.SIGSTOP)
            store.end_lease(store.items[f"ls/nodes/{former}"]["lease"])
            group.crash(targets["a"])
            store.delete("servers/a")
            await wait_until(lambda: store.owner() not in ("", former))
            nodes[former].process.send_signal(signal.SIGCONT)
            await wait_until(lambda: group.promotions)
            assert targets[group.leader].items == {"x": "1"}
