"""Tests of an owner of a group that never had an answer of the primary."""

import pytest
import structlog

from lavenderstack.core.failover.replica_set import TargetRun
from lavenderstack.core.statement import StatementKind
from lavenderstack.core.work_messages import GroupPosition
from lavenderstack.node.failover import replacer
from lavenderstack.node.failover.replacer_fake import ReplacerHarness


class TestOwnerThatNeverHeardThePrimary:
    """No set is recorded and no answer is known; the store's history may be."""

    def start(self):
        harness = ReplacerHarness()
        harness.directory.drop_replica_set("g", 2)
        history = harness.directory.history
        history.begin()
        harness.started_ms = {"t1": 1, "t2": 2, "t3": 3}
        for name, started_ms in harness.started_ms.items():
            harness.put_target(name)
            history.add_target("g", TargetRun(name, started_ms))
        for name in ("n1", "n2"):
            history.add_node(name, f"{name}#1")
        harness.commit_through("n2")
        harness.primary_answers = False
        self.let_tell(harness, "n1", "n2")
        return harness

    def let_tell(self, harness, *names):
        for name in names:
            position = harness.observed[name].position
            harness.observed[name] = GroupPosition(position, 60.0, f"{name}#1")

    async def blocked_by(self, harness):
        """Check twice; return why none took over."""
        with structlog.testing.capture_logs() as lines:
            await harness.check(2)
        assert harness.group.epochs == []
        found = [one for one in lines if one["event"].endswith("may take over")]
        return found[0]["obstacle"], found[0]["nodes"]

    async def test_what_all_nodes_tell_lets_a_replica_take_over(self):
        """Guards against a group that stays without a primary for ever."""
        harness = self.start()
        await harness.check(2)
        assert harness.primary != "t1"
        assert harness.group.incomplete == []

    async def test_a_replica_that_lacks_what_a_node_tells_does_not_take_over(self):
        harness = self.start()
        harness.targets["t2"].deaf = True
        harness.commit_through("n2")
        self.let_tell(harness, "n2")
        harness.drop_target("t3")
        assert await self.blocked_by(harness) == ("BEHIND", [])
        assert harness.orders(StatementKind.PAUSE) == []

    @pytest.mark.parametrize("node", ["n0", "n2"], ids=["gone", "started again"])
    async def test_a_former_run_of_a_node_may_have_acknowledged_more(self, node):
        harness = self.start()
        harness.drop_target("t3")
        harness.directory.history.add_node(node, f"{node}#0")
        assert await self.blocked_by(harness) == ("SILENT_NODE", [node])

    async def test_a_silent_node_may_have_acknowledged_more(self):
        harness = self.start()
        del harness.observed["n2"]
        assert await self.blocked_by(harness) == ("SILENT_NODE", ["n2"])

    async def test_a_gap_in_the_history_is_named(self):
        harness = self.start()
        harness.directory.history.end()
        assert await self.blocked_by(harness) == ("UNKNOWN_HISTORY", [])

    async def test_all_targets_ever_in_the_group_suffice_without_any_node(self):
        """The lost primary is back as a replica, and the nodes have started again."""
        harness = self.start()
        harness.targets["t1"].leads = False
        harness.put_target("t1")
        harness.observed.clear()
        assert harness.directory.primary("g") is None
        await harness.check(1 + replacer.MAX_UNKNOWN_CHECKS)
        assert len(harness.group.epochs) == 1
        assert harness.group.incomplete == []

    async def test_all_but_one_suffice_while_the_registered_nodes_tell(self):
        harness = self.start()
        harness.directory.history.add_node("n0", "n0#1")
        await harness.check(2)
        assert harness.primary != "t1"
        assert harness.group.incomplete == []

    async def test_a_target_that_leaves_during_the_check_counts_as_absent(self):
        harness = self.start()
        harness.directory.history.add_node("n0", "n0#1")
        send = harness.replacer._replicas.send

        async def send_and_lose(states, command):
            answers = await send(states, command)
            if "t3" in harness.directory.targets:
                harness.drop_target("t3")
            return answers

        harness.replacer._replicas.send = send_and_lose
        assert await self.blocked_by(harness) == ("SILENT_NODE", ["n0"])
