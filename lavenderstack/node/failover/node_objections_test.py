"""Tests that no promotion loses a commit that another node acknowledged."""

import pytest

from lavenderstack.core.position import START
from lavenderstack.core.view import Vm
from lavenderstack.core.work_messages import GroupPosition
from lavenderstack.node.failover.replacer_fake import ReplacerHarness


class TestObjectionOfANode:
    """A node has acknowledged more than the replica set would allow for."""

    async def commit_through_one_that_is_not_counted(self):
        harness = ReplacerHarness()
        await harness.check(2)
        harness.revision += 1
        harness.directory.drop_target("t3", harness.revision)
        harness.directory.as_of = harness.revision
        await harness.check()
        assert harness.replacer._sets.is_complete("g", "t1")
        harness.targets["t2"].deaf = True
        harness.commit_through("n2")
        return harness

    async def test_commits_of_a_replica_without_a_report_are_not_lost(self):
        harness = await self.commit_through_one_that_is_not_counted()
        harness.primary_answers = False
        await harness.check(2)
        assert harness.group.incomplete == []

    async def test_commits_of_a_replica_without_a_report_survive_a_planned_change(self):
        harness = await self.commit_through_one_that_is_not_counted()
        harness.put_target("t1", leaving=True)
        await harness.check()
        assert harness.group.incomplete == []

    async def test_a_restart_that_the_view_does_not_show_yet_loses_no_commit(self):
        harness = ReplacerHarness()
        await harness.check(2)
        harness.targets["t2"].deaf = True
        harness.commit_through("n2")
        harness.targets["t3"].received = 0
        harness.primary_answers = False
        await harness.check()
        assert harness.group.incomplete == []

    async def test_silent_nodes_do_not_stop_a_promotion_from_a_complete_set(self):
        harness = ReplacerHarness()
        await harness.check(2)
        harness.observed.clear()
        harness.primary_answers = False
        await harness.check()
        assert harness.primary != "t1"


class TestNodeWhoseRegistrationEnded:
    """It may serve on for some seconds without the store."""

    @pytest.mark.parametrize("back", [False, True])
    async def test_what_it_acknowledged_is_not_lost(self, back):
        harness = ReplacerHarness()
        node = Vm("n3", "z1", "10.0.0.3", 1)
        harness.directory.put_member(node)
        await harness.check(2)
        harness.directory.drop_member("n3")
        await harness.check()
        harness.targets["t2"].deaf = True
        harness.commit_through("n3")
        harness.drop_target("t3")
        if back:
            harness.observed["n3"] = GroupPosition(START, uptime_s=0.0)
            harness.directory.put_member(node)
        harness.primary_answers = False
        await harness.check()
        assert harness.group.incomplete == []
