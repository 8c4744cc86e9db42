"""Tests of promotion orders without an answer, and of paused replicas."""

import pytest

from lavenderstack.core.statement import StatementKind
from lavenderstack.node.backend import OrderRefused, OrderUnanswered
from lavenderstack.node.failover import order_settlement
from lavenderstack.node.failover.replacer_fake import ReplacerHarness


class TestOrderWithoutAnAnswer:
    """It may be carried out seconds later."""

    async def send_unanswered(self, leaving=False):
        harness = ReplacerHarness()
        await harness.check(2)
        sent = []

        async def unanswered(group, target, node, epoch):
            sent.append((group, target, node, epoch))
            raise OrderUnanswered("lost")

        orders = type("Orders", (), {"promote": staticmethod(unanswered)})
        harness.replacer._promoter._orders = orders
        if leaving:
            harness.put_target("t1", leaving=True)
        else:
            harness.primary_answers = False
        await harness.check()
        harness.replacer._promoter._orders = harness.group
        return harness, sent[0]

    @pytest.mark.parametrize("leaving", [False, True])
    async def test_nothing_is_acknowledged_that_it_would_lose(self, leaving):
        harness, order = await self.send_unanswered(leaving)
        harness.targets[order[1]].deaf = True
        harness.commit_through("n2")
        await harness.group.promote(*order)
        assert harness.group.incomplete == []

    @pytest.mark.parametrize("leaving", [False, True])
    async def test_replicas_stay_paused_if_the_next_attempt_finds_an_obstacle(
        self, leaving
    ):
        harness, order = await self.send_unanswered(leaving)
        others = {"t2", "t3"} - {order[1]}
        harness.targets[order[1]].reachable = False
        await harness.check()
        assert all(harness.targets[name].paused for name in others)

    @pytest.mark.parametrize("former_owner", [False, True])
    async def test_one_that_is_taking_effect_loses_no_commit(
        self, monkeypatch, former_owner
    ):
        """Found by the review: it was carried out just before the fence was raised.

        The replicas were resumed at once, and commits acknowledged that the replica
        lacks which leads some hundred ms later.
        """
        monkeypatch.setattr(order_settlement, "EFFECT_LIMIT_S", 0.2)
        monkeypatch.setattr(order_settlement, "RELEASE_RETRY_S", 0.0)
        harness, order = await self.send_unanswered()
        if former_owner:
            harness.replacer._groups.clear()
        harness.primary_answers = True
        for _ in range(3):
            await harness.check()
            harness.targets[order[1]].deaf = True
            harness.commit_through("n2")
        harness.group.take_effect(order[1])
        assert harness.group.incomplete == []

    async def test_it_has_no_effect_once_the_replicas_are_resumed(self, monkeypatch):
        monkeypatch.setattr(order_settlement, "EFFECT_LIMIT_S", 0.0)
        monkeypatch.setattr(order_settlement, "RELEASE_RETRY_S", 0.0)
        harness, order = await self.send_unanswered()
        harness.primary_answers = True
        await harness.check(2)
        assert not harness.targets["t2"].paused
        with pytest.raises(OrderRefused):
            await harness.group.promote(*order)
        assert harness.primary == "t1"


class TestPause:
    async def test_a_new_owner_resumes_what_a_former_one_left_paused(self, monkeypatch):
        """Writes would stay without an answer as long as replicas are paused."""
        monkeypatch.setattr(order_settlement, "EFFECT_LIMIT_S", 0.0)
        monkeypatch.setattr(order_settlement, "RELEASE_RETRY_S", 0.0)
        harness = ReplacerHarness()
        harness.targets["t2"].paused, harness.targets["t2"].paused_term = True, 2
        await harness.check(3)
        assert not harness.targets["t2"].paused
        assert harness.group.epochs
        assert harness.primary == "t1"

    async def lose_the_answer_to_resume(self, harness, monkeypatch):
        """Let the owner find an obstacle, and t3 get no RESUME after it."""
        monkeypatch.setattr(order_settlement, "EFFECT_LIMIT_S", 0.0)
        monkeypatch.setattr(order_settlement, "RELEASE_RETRY_S", 0.0)
        await harness.check(2)
        harness.targets["t2"].silent = True
        harness.primary_answers = False
        send = harness.replacer._replicas.send

        async def send_without_resume(states, command):
            is_resume = command.kind is StatementKind.RESUME
            harness.targets["t3"].silent = is_resume
            return await send(states, command)

        harness.replacer._replicas.send = send_without_resume
        await harness.check()
        harness.replacer._replicas.send = send

    async def test_a_replica_that_did_not_get_resume_is_resumed_later(
        self, monkeypatch
    ):
        """It received nothing for good, and no commit is acknowledged through it."""
        harness = ReplacerHarness()
        await self.lose_the_answer_to_resume(harness, monkeypatch)
        assert harness.targets["t3"].paused
        for name in ("t2", "t3"):
            harness.targets[name].silent = False
        harness.primary_answers = True
        await harness.check(2)
        assert not harness.targets["t3"].paused
        assert harness.primary == "t1"

    async def freeze_after_the_pause(self, harness):
        """Let the owner's lease end once it has paused the replicas."""
        await harness.check(2)
        harness.targets["t2"].silent = True
        harness.primary_answers = False
        pause = harness.replacer._replicas.pause

        async def pause_and_freeze(group, states):
            answers = await pause(group, states)
            harness.claims.valid_s = 0.0
            return answers

        harness.replacer._replicas.pause = pause_and_freeze
        await harness.check()

    async def test_an_owner_whose_lease_ended_resumes_nothing(self):
        """The next owner may have paused the replicas by then."""
        harness = ReplacerHarness()
        await self.freeze_after_the_pause(harness)
        assert harness.targets["t3"].paused

    async def test_replicas_are_resumed_once_the_lease_is_renewed(self, monkeypatch):
        monkeypatch.setattr(order_settlement, "EFFECT_LIMIT_S", 0.0)
        monkeypatch.setattr(order_settlement, "RELEASE_RETRY_S", 0.0)
        harness = ReplacerHarness()
        await self.freeze_after_the_pause(harness)
        harness.claims.valid_s = 3.0
        harness.targets["t2"].silent = False
        harness.primary_answers = True
        await harness.check(2)
        assert not harness.targets["t3"].paused

    async def test_a_new_owner_pauses_above_the_term_of_the_replicas(self):
        """A target ignores a PAUSE that is not above its term."""
        harness = ReplacerHarness()
        for one in harness.targets.values():
            one.term, one.received = 3, 5
        await harness.claims.claim("g")
        terms = []
        pause = harness.replacer._replicas.send

        async def send(states, command):
            if command.kind is StatementKind.PAUSE:
                terms.append(int(command.body))
            return await pause(states, command)

        harness.replacer._replicas.send = send
        harness.primary_answers = False
        await harness.check()
        assert terms[-1] > 3
        assert harness.primary != "t1"

    async def test_none_takes_over_while_a_replica_does_not_pause(self):
        harness = ReplacerHarness()
        await harness.check(2)
        harness.targets["t3"].term = 99
        harness.replacer._replicas.record_term = lambda group, term: None
        harness.primary_answers = False
        await harness.check()
        assert harness.group.epochs == []
