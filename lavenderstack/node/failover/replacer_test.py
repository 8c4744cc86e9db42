"""Tests of replacing primaries, with a fake group and a fake platform."""

import asyncio

import pytest

from lavenderstack.core import clock
from lavenderstack.core.catalog import Catalog, GroupLimits, RecordedOwnership
from lavenderstack.core.statement import StatementKind
from lavenderstack.core.view import Target
from lavenderstack.node.backend import OrderUnanswered
from lavenderstack.node.failover import replacer
from lavenderstack.node.failover.replacer_fake import ReplacerHarness


class TestFailingCheck:
    async def test_other_groups_are_checked_on(self):
        harness = ReplacerHarness()
        limits = {"g": GroupLimits(30, True), "h": GroupLimits(30, True)}
        harness.directory.update_catalog(Catalog(version=2, groups=limits))
        target = Target("t9", "z1", "10.0.0.9", 1, 2, 30)
        harness.directory.put_target(target, "h", False, True, 50)
        checked = []

        async def check(group):
            checked.append(group)
            if group == "g":
                raise ValueError("unexpected")

        harness.replacer._check_group = check
        running = asyncio.ensure_future(harness.replacer.run())
        await asyncio.sleep(3 * replacer.CHECK_INTERVAL_S)
        assert not running.done()
        assert checked.count("h") >= 2
        running.cancel()


class TestLostPrimary:
    async def test_the_replica_with_the_longest_log_takes_over(self):
        harness = ReplacerHarness()
        harness.targets["t2"].received = 4
        harness.targets["t3"].received = 7
        await harness.check()
        harness.primary_answers = False
        await harness.check()
        assert harness.primary == "t3"

    async def test_primary_that_is_full_is_not_lost(self):
        """After a loss of power the connections of dead nodes fill it for 3 s."""
        harness = ReplacerHarness()
        await harness.check()
        harness.primary_full = True
        await harness.check(3)
        assert harness.primary == "t1"
        assert harness.group.epochs == []

    async def test_primary_that_stays_full_is_replaced(self):
        harness = ReplacerHarness()
        await harness.check()
        harness.primary_full = True
        await harness.check()
        harness.replacer._groups["g"].full_since -= replacer.MAX_FULL_S
        await harness.check()
        assert harness.primary != "t1"

    async def test_no_replica_takes_over_while_one_is_unreachable(self):
        harness = ReplacerHarness()
        harness.targets["t3"].reachable = False
        await harness.check()
        harness.primary_answers = False
        await harness.check(2)
        assert harness.primary == "t1"
        assert harness.group.epochs == []

    async def test_replicas_are_resumed_when_none_takes_over(self):
        """Guards against replicas that stay paused.

        Found in test run brandt trouble-1, where they stayed paused for the rest of
        the day.
        """
        harness = ReplacerHarness()
        harness.targets["t3"].reachable = False
        await harness.check()
        harness.primary_answers = False
        await harness.check()
        assert not harness.targets["t2"].paused

    async def test_a_node_with_an_expired_lease_pauses_no_replica(self):
        """Guards against lost writes.

        LOST was reported 29 times in test run brandt trouble-1.
        """
        harness = ReplacerHarness()
        await harness.check()
        harness.primary_answers = False
        harness.claims.valid_s = 0.0
        await harness.check(2)
        assert harness.orders(StatementKind.PAUSE) == []

    async def test_a_node_with_an_old_view_pauses_no_replica(self):
        harness = ReplacerHarness()
        await harness.check()
        harness.primary_answers = False
        harness.directory.proof.at = clock.now() - 4.0
        await harness.check(2)
        assert harness.orders(StatementKind.PAUSE) == []

    async def test_a_follower_that_is_already_primary_stops_the_replacement(self):
        harness = ReplacerHarness()
        await harness.check()
        harness.primary_answers = False
        harness.targets["t2"].leads, harness.targets["t1"].leads = True, False
        await harness.check(2)
        assert harness.group.epochs == []
        assert not harness.targets["t3"].paused

    async def test_a_primary_that_answers_is_not_replaced(self):
        harness = ReplacerHarness()
        await harness.check(3)
        assert harness.group.epochs == []


class TestLeavingPrimary:
    async def test_a_staying_replica_takes_over_with_every_commit(self):
        harness = ReplacerHarness()
        await harness.check()
        harness.group.commit(harness.targets["t1"])
        harness.put_target("t1", leaving=True)
        await harness.check()
        assert harness.primary != "t1"
        assert harness.targets[harness.primary].received >= harness.group.acknowledged

    async def test_replacement_waits_until_the_candidate_has_caught_up(self):
        harness = ReplacerHarness()
        await harness.check()
        harness.targets["t2"].received = 9
        harness.targets["t3"].received = 3
        harness.put_target("t2", leaving=True)
        harness.put_target("t1", leaving=True)
        await harness.check()
        assert harness.group.epochs == []
        assert not harness.targets["t2"].paused


class TestEpochs:
    async def test_every_order_has_its_own_epoch(self):
        harness = ReplacerHarness()
        await harness.check()
        for _ in range(2):
            harness.primary_answers = False
            await harness.check()
            harness.primary_answers = True
            await harness.check()
        assert len(set(harness.group.epochs)) == 2
        assert harness.group.epochs == sorted(harness.group.epochs)

    async def test_an_unanswered_order_is_repeated_unchanged(self):
        harness = ReplacerHarness()
        await harness.check()
        sent = []
        promote = harness.group.promote

        async def promote_unanswered(group, target, node, epoch):
            sent.append((target, epoch))
            if len(sent) < 3:
                raise OrderUnanswered("lost")
            await promote(group, target, node, epoch)

        harness.replacer._promoter._orders = type(
            "UnansweredOrders", (), {"promote": staticmethod(promote_unanswered)}
        )
        harness.primary_answers = False
        await harness.check()
        assert len(sent) == 3
        assert len(set(sent)) == 1


class TestOwnership:
    async def test_an_unowned_group_is_claimed_in_turn(self):
        harness = ReplacerHarness()
        harness.replacer._group_claims._candidates_before = lambda group: 1
        await harness.check()
        assert harness.directory.ownerships == {}
        await asyncio.sleep(0.65)
        await harness.check()
        assert harness.directory.ownerships["g"].node == harness.claims.identity

    async def test_a_group_owned_by_another_node_is_left_alone(self):
        harness = ReplacerHarness()
        harness.directory.put_ownership("g", RecordedOwnership("n2#1", 5))
        harness.primary_answers = False
        await harness.check(3)
        assert harness.group.epochs == []
        assert harness.orders(StatementKind.PAUSE) == []

    async def test_an_owner_in_the_zone_of_the_primary_hands_over(self):
        harness = ReplacerHarness(zone="z1")
        await harness.claims.claim("g")
        await harness.check()
        assert harness.claims.released == ["g"]

    @pytest.mark.parametrize("zone", ["z2", "z3"])
    async def test_an_owner_in_another_zone_keeps_the_group(self, zone):
        harness = ReplacerHarness(zone=zone)
        await harness.check(3)
        assert harness.claims.released == []
