"""Tests of orders without an answer, of this owner and of former ones."""

import asyncio

import pytest

from lavenderstack.core.failover.acknowledgement_hold import HoldNumber
from lavenderstack.node.backend import OrderRefused, OrderUnanswered
from lavenderstack.node.backend_fake import FakeTarget
from lavenderstack.node.failover import order_settlement
from lavenderstack.node.failover.receipt_reports import REPORT_INTERVAL_S
from lavenderstack.node.failover.replacer_fake import ReplacerHarness

FORMER_EPOCH = 10


class SilentPlatform:
    """Gives no answer to orders; ``sent`` are those it may carry out later.

    Meanwhile callers commit through all nodes, which acknowledge what isn't held back.
    """

    def __init__(self, harness):
        self.sent = []
        self._harness = harness
        harness.replacer._promoter._orders = self

    async def promote(self, *order):
        """Take an order without an answer."""
        self.sent.append(order)
        commit(self._harness)
        await asyncio.sleep(3 * REPORT_INTERVAL_S)
        raise OrderUnanswered("lost")

    def answer(self):
        """Let the platform answer from now on."""
        self._harness.replacer._promoter._orders = self._harness.group


@pytest.fixture(autouse=True)
def without_pauses(monkeypatch):
    """Let the owner try again at each check, and send each order twice."""
    monkeypatch.setattr(order_settlement, "RELEASE_RETRY_S", 0.0)
    monkeypatch.setattr(order_settlement, "EFFECT_LIMIT_S", 0.0)
    monkeypatch.setattr("lavenderstack.node.failover.promoter.ORDER_RETRY_S", 0.01)
    monkeypatch.setattr("lavenderstack.node.failover.promoter.MAX_ORDER_TRIES", 2)


def join(harness, name):
    """Start a replica that has what the primary has."""
    primary = harness.targets[harness.primary]
    harness.targets[name] = FakeTarget(name, term=primary.term)
    harness.targets[name].received = primary.received
    harness.put_target(name)


def commit(harness):
    """Commit through each node."""
    for node in harness.observed:
        harness.commit_through(node)


class TestOrderOfAFormerOwner:
    """Found by the review: the next owner let commits through that it would lose."""

    async def leaving(self, held=False):
        """Let the former owner have died with an order sent: t3 in place of t1.

        With ``held`` only the nodes' holds tell of it.
        """
        harness = ReplacerHarness()
        commit(harness)
        if held:
            for node, one in harness.observed.items():
                harness.holding[node], harness.held_terms[node] = one.position, 1
                harness.hold_numbers[node] = HoldNumber(FORMER_EPOCH, 1)
        else:
            harness.targets["t2"].paused, harness.targets["t2"].paused_term = True, 2
        harness.put_target("t1", leaving=True)
        join(harness, "t4")
        harness.put_target("t3", leaving=True)
        platform = SilentPlatform(harness)
        return harness, platform, ("g", "t3", "n2", FORMER_EPOCH)

    @pytest.mark.parametrize("held", [False, True])
    async def test_nothing_is_acknowledged_that_it_would_lose(self, held):
        harness, _, order = await self.leaving(held)
        for _ in range(3):
            await harness.check()
            commit(harness)
        await harness.group.promote(*order)
        assert harness.group.incomplete == []

    async def test_nothing_is_acknowledged_that_the_present_owners_would_lose(self):
        """Guards against commits of the one that led between the two orders."""
        harness, platform, order = await self.leaving()
        await harness.check(2)
        await harness.group.promote(*order)
        for name in ("t1", "t2", "t4"):
            harness.targets[name].deaf = name != "t2"
        commit(harness)
        for late in platform.sent:
            await harness.group.promote(*late)
        assert harness.group.incomplete == []

    async def test_the_primary_is_replaced_once_the_platform_answers(self):
        harness, platform, order = await self.leaving()
        await harness.check(2)
        platform.answer()
        await harness.check(2)
        harness.put_target("t1", leaving=True)
        await harness.check(2)
        assert harness.primary in ("t2", "t4")
        with pytest.raises(OrderRefused):
            await harness.group.promote(*order)
        commit(harness)
        assert harness.group.acknowledged == harness.targets[harness.primary].received
        assert harness.group.incomplete == []

    async def test_a_primary_that_is_lost_then_is_replaced(self):
        harness, platform, _ = await self.leaving()
        await harness.check(2)
        harness.primary_answers = False
        platform.answer()
        await harness.check(2)
        assert harness.primary != "t1"
        assert harness.group.incomplete == []

    async def test_a_group_without_traces_is_served_without_a_fence(self):
        """Guards against a search that holds back or orders something."""
        harness = ReplacerHarness()
        await harness.check(3)
        assert harness.group.epochs == []
        assert harness.holding == {}

    async def test_a_lost_primary_gets_one_order_only(self):
        """Nodes hold back every term until it leads, and nothing of its own after."""
        harness, _, order = await self.leaving()
        harness.replacer._promoter._orders = harness.group
        harness.primary_answers = False
        await harness.check(2)
        assert harness.primary != "t1"
        harness.primary_answers = True
        await harness.check()
        with pytest.raises(OrderRefused):
            await harness.group.promote(*order)
        commit(harness)
        assert harness.group.acknowledged == harness.targets[harness.primary].received


class TestOwnOrder:
    """Found by the review: another replica was chosen while an order was pending."""

    async def pending(self):
        """Let t1 leave; the order that replaces it has no answer."""
        harness = ReplacerHarness()
        await harness.check(2)
        commit(harness)
        platform = SilentPlatform(harness)
        harness.put_target("t1", leaving=True)
        await harness.check()
        order = platform.sent[0]
        return harness, platform, order

    async def test_nothing_is_acknowledged_that_it_would_lose(self):
        harness, _, order = await self.pending()
        join(harness, "t4")
        harness.put_target(order[1], leaving=True)
        for _ in range(3):
            await harness.check()
            commit(harness)
        await harness.group.promote(*order)
        assert harness.group.incomplete == []

    async def test_commits_that_its_target_has_are_acknowledged(self):
        """The platform may be silent for seconds, and the primary serves on."""
        harness, _, order = await self.pending()
        harness.put_target(order[1], leaving=True)
        await harness.check()
        before = harness.group.acknowledged
        await harness.check()
        assert harness.group.acknowledged > before
        assert harness.targets[order[1]].received >= harness.group.acknowledged

    async def test_the_one_that_it_names_is_ordered_again(self):
        """A second choice while the first may lead would need a fence and a wait."""
        harness, platform, order = await self.pending()
        join(harness, "t4")
        platform.answer()
        await harness.check()
        assert harness.primary == order[1]

    async def test_a_later_order_loses_nothing_of_the_one_that_led(self):
        harness, platform, order = await self.pending()
        harness.put_target(order[1], leaving=True)
        await harness.check()
        await harness.group.promote(*order)
        for name in harness.targets:
            harness.targets[name].deaf = name != "t2"
        commit(harness)
        for late in platform.sent:
            if late[3] >= order[3] and late[1] != order[1]:
                await harness.group.promote(*late)
        assert harness.group.incomplete == []

    async def test_an_accepted_one_without_effect_stays_pending(self, monkeypatch):
        """Guards against nodes that are told of a primary which doesn't lead."""
        name = "lavenderstack.node.failover.promoter.PROMOTION_TIMEOUT_S"
        monkeypatch.setattr(name, 0.05)
        harness, platform, order = await self.pending()

        async def accept(*_):
            return

        platform.promote = accept
        await harness.check()
        assert harness.announced == []
        assert harness.replacer._groups["g"].orders.pending.others("t1") == {order[1]}

    async def test_what_waits_is_not_acknowledged_as_its_target_leads(self):
        """Guards against a hold that is released once the commits are rolled back."""
        harness, platform, order = await self.pending()
        promote = platform.promote

        async def promote_and_carry_out(*late):
            harness.targets[order[1]].deaf = True
            commit(harness)
            await harness.group.promote(*order)
            await promote(*late)

        platform.promote = promote_and_carry_out
        await harness.check(4)
        assert harness.rolled_back
        assert harness.primary == order[1]
        assert harness.group.incomplete == []

    async def test_the_group_is_not_handed_over_while_it_is_pending(self):
        """The next owner would have to wait until it is over."""
        harness, _, _ = await self.pending()
        harness.put_target("t1")
        harness.directory.zone = "z1"
        harness.replacer._groups["g"].orders.acted_at = 0.0
        await harness.check()
        assert harness.claims.released == []

    async def test_it_is_not_sent_again_once_the_claim_has_ended(self):
        """Guards against an order under a new lease with the claim of the former."""
        harness, platform, _ = await self.pending()
        before = len(platform.sent)
        promote = platform.promote

        async def promote_and_lose_the_claim(*order):
            harness.directory.drop_ownership("g")
            await promote(*order)

        platform.promote = promote_and_lose_the_claim
        await harness.check()
        assert len(platform.sent) == before + 1


class TestPrimaryThatLeadsAgain:
    async def test_its_present_term_is_held_back(self):
        """Found by ``bench promotions``: commits of its second lead were lost.

        Seed 104, once the fake's nodes hold for terms as real ones do. The owner had
        its last answer from the first lead and held back that term only.
        """
        harness = ReplacerHarness()
        commit(harness)
        await harness.check(2)
        harness.primary_answers = False
        for name in ("t2", "t1"):
            harness.group.take_effect(name)
            commit(harness)
        terms = []
        promote = harness.group.promote

        async def promote_later(*order):
            terms.extend(harness.held_terms.values())
            await promote(*order)

        harness.group.promote = promote_later
        await harness.check(3)
        assert terms
        assert min(terms) >= harness.targets["t1"].term
