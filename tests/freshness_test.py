"""Tests that running nodes apply changes of keys and refuse on a stale view."""

import asyncio
import json
from pathlib import Path

import pytest

from lavenderstack.core import keys
from lavenderstack.tools import admin
from standins.caller import Caller, http_session
from standins.cluster import Cluster, eventually, running
from standins.sizes import FLEET_SIZE

GROUP = "fleet"
NODES = ("n1", "n2", "n3")


class Operator:
    """Runs the operator's command-line tool against a node."""

    def __init__(self, cluster: Cluster, capsys, folder: Path) -> None:
        self.cluster, self.capsys = cluster, capsys
        self.key_file = folder / "operator-key"
        self.key_file.write_text(cluster.operator_key)

    async def run(self, node, *argv):
        url = f"http://127.0.0.1:{self.cluster.nodes[node].admin_port}"
        options = ["--json", "--url", url, "--key-file", str(self.key_file)]
        status = await asyncio.to_thread(admin.run, [*options, *argv])
        out = self.capsys.readouterr().out
        return status, json.loads(out) if out else {}


async def read(cluster, caller, node):
    port = cluster.nodes[node].callers_port
    return await caller.run(port, GROUP, "get", "t", "k")


async def expect_outcome(cluster, caller, nodes, *expected):
    replies = []

    async def all_match():
        replies[:] = [await read(cluster, caller, node) for node in nodes]
        return all((r.outcome, r.reason) == expected for r in replies)

    try:
        await eventually(all_match)
    except TimeoutError:
        pytest.fail(f"expected {expected}, got {replies}")


class TestKeysOverNodes:
    async def test_a_key_is_granted_and_withdrawn_despite_outage_and_partition(
        self, tmp_path, capsys
    ):
        async with running(FLEET_SIZE, tmp_path) as cluster, http_session() as http:
            operator = Operator(cluster, capsys, tmp_path)
            # Shares of the rate are granted only after the nodes have started.
            existing_caller = Caller(http, cluster.keys["north"])
            await expect_outcome(cluster, existing_caller, NODES, "done", "")
            status, granted = await operator.run("n1", "keys", "grant", "north")
            assert status == admin.Exit.DONE
            caller = Caller(http, granted["key"])
            for node in NODES:
                # A node without the key reads the store before it refuses.
                reply = await read(cluster, caller, node)
                assert reply.outcome == "done", reply

            await cluster.set_platform_fault("outage")
            status, _ = await operator.run("n2", "keys", "grant", "north")
            assert status == admin.Exit.NOT_CHANGED
            cluster.network.isolate("ko-3", {"ko-1", "ko-2"})
            await expect_outcome(cluster, caller, NODES, "refused", "stale_view")
            cluster.network.heal()
            await expect_outcome(cluster, caller, NODES, "done", "")
            await cluster.set_platform_fault("none")

            cluster.isolate("ko-3")
            digest = keys.digest_of(granted["key"])

            async def withdrawn():
                return (await operator.run("n1", "keys", "withdraw", digest))[0] == 0

            await eventually(withdrawn)
            await expect_outcome(
                cluster, caller, ["n1", "n2"], "refused", "key_refused"
            )
            await expect_outcome(cluster, caller, ["n3"], "refused", "stale_view")
            cluster.network.heal()
            await expect_outcome(cluster, caller, NODES, "refused", "key_refused")
