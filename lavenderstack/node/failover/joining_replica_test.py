"""Tests of replicas that join while a primary that leaves is replaced."""

import asyncio
from dataclasses import replace

import pytest

from lavenderstack.core.position import Position
from lavenderstack.core.statement import StatementKind
from lavenderstack.node.backend_fake import FakeTarget
from lavenderstack.node.failover.replacer_fake import ReplacerHarness

# The queries and commands of a planned change, in their order.
STEPS = ("candidates asked", "others paused", "caught up", "held", "order under way")
CHOSEN = "t3"


class TestReplicaThatJoins:
    """It isn't paused, so the primary can commit through it alone.

    Found by the review: such commits were acknowledged and lost, since the followers
    were listed once, before the others were paused.
    """

    async def leaving(self):
        harness = ReplacerHarness()
        await harness.check(2)
        harness.commit_through("n2")
        await harness.check()
        harness.put_target("t1", leaving=True)
        return harness

    @pytest.mark.parametrize("step", STEPS)
    async def test_no_commit_is_lost_at_any_step(self, step):
        harness = await self.leaving()

        def join():
            harness.targets["t4"] = FakeTarget("t4")
            harness.put_target("t4")
            harness.targets[CHOSEN].deaf = True
            harness.commit_through("n2")

        def join_at_order():
            if step == STEPS[-1]:
                join()
            else:
                harness.commit_through("n2")

        harness.act_before_promotion(join_at_order)
        send, sent = harness.replacer._replicas.send, []

        async def send_and_join(states, command):
            answers = await send(states, command)
            sent.append(command)
            if len(sent) <= len(STEPS) and STEPS[len(sent) - 1] == step:
                join()
            return answers

        harness.replacer._replicas.send = send_and_join
        await harness.check()
        assert harness.group.incomplete == []
        harness.targets[CHOSEN].deaf = False
        await harness.check(3)
        assert harness.primary != "t1"
        assert harness.group.incomplete == []


class TestAcknowledgementsDuringAPlannedChange:
    async def test_commits_that_the_successor_has_are_acknowledged(self):
        """The primary serves on for a second or more after the order."""
        harness = await TestReplicaThatJoins().leaving()
        promote = harness.group.promote

        async def promote_later(*args):
            for _ in range(3):
                harness.group.commit(harness.targets["t1"])
                await asyncio.sleep(0.1)
                assert harness.holding["n2"] == harness.targets["t1"].position
            harness.targets[CHOSEN].deaf = True
            harness.group.commit(harness.targets["t1"])
            await asyncio.sleep(0.1)
            assert harness.holding["n2"] < harness.targets["t1"].position
            await promote(*args)

        harness.group.promote = promote_later
        await harness.check()
        assert harness.primary == CHOSEN

    async def test_nothing_of_the_successors_own_term_is_let_through(self):
        """Its positions are higher than those of commits that it never received."""
        harness = await TestReplicaThatJoins().leaving()
        promote = harness.group.promote

        async def promote_slowly(*args):
            await promote(*args)
            await asyncio.sleep(0.1)

        harness.group.promote = promote_slowly
        await harness.check()
        assert max(harness.holding.values()) < Position(2, 0)

    async def test_a_silent_node_postpones_it_and_nothing_is_held_or_paused(self):
        harness = await TestReplicaThatJoins().leaving()
        del harness.observed["n2"]
        await harness.check()
        assert harness.primary == "t1"
        assert harness.holding == {}
        assert harness.orders(StatementKind.PAUSE) == []

    async def test_a_node_that_has_ended_as_planned_postpones_nothing(self):
        harness = await TestReplicaThatJoins().leaving()
        n2 = harness.directory.view.vms["n2"]
        harness.directory.put_member(replace(n2, state="leaving"))
        harness.replacer._positions.observe_nodes()
        harness.directory.drop_member("n2")
        del harness.observed["n2"]
        await harness.check()
        assert harness.primary == CHOSEN

    async def test_a_node_whose_registration_has_run_out_postpones_it(self):
        harness = await TestReplicaThatJoins().leaving()
        harness.directory.drop_member("n2")
        del harness.observed["n2"]
        await harness.check()
        assert harness.primary == "t1"

    async def test_every_node_learns_of_the_new_primary(self):
        """Otherwise commits that are held back get no answer before their deadline."""
        harness = await TestReplicaThatJoins().leaving()
        await harness.check()
        assert sorted(harness.announced) == [("n1", CHOSEN), ("n2", CHOSEN)]
