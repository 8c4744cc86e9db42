"""Tests that no promotion loses a commit when replicas left or started again."""

import pytest

from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START
from lavenderstack.core.replica_set import ReplicaSet, TargetRun
from lavenderstack.core.statement import StatementKind
from lavenderstack.core.work_messages import GroupPosition
from lavenderstack.node import replica_sets
from lavenderstack.node.backend import ClaimLost, OrderRefused, OrderUnanswered
from lavenderstack.node.replacer_test import ReplacerHarness


class TestReplicaWhoseReportEnded:
    """A commit may be only on the primary and on a replica that is away."""

    async def commit_on_t3_alone(self):
        harness = ReplacerHarness()
        await harness.check(2)
        harness.targets["t2"].deaf = True
        harness.commit_through("n2")
        return harness

    async def test_its_commits_are_not_lost_with_the_primary(self):
        harness = await self.commit_on_t3_alone()
        harness.drop_target("t3")
        harness.primary_answers = False
        await harness.check(2)
        assert harness.group.incomplete == []
        assert not harness.targets["t2"].paused

    async def test_its_commits_are_not_lost_with_a_leaving_primary(self):
        harness = await self.commit_on_t3_alone()
        harness.drop_target("t3")
        harness.put_target("t1", leaving=True)
        await harness.check(2)
        assert harness.group.incomplete == []
        assert not harness.targets["t2"].paused

    async def test_commits_are_not_lost_with_two_primaries_in_a_row(self):
        harness = await self.commit_on_t3_alone()
        harness.primary_answers = False
        await harness.check()
        assert harness.primary == "t3"
        harness.primary_answers = True
        await harness.check()
        harness.drop_target("t1")
        harness.primary_answers = False
        await harness.check(2)
        assert harness.group.incomplete == []


class TestReplicaThatStartedAgain:
    """A target that starts again under its name holds nothing of before."""

    async def test_its_former_commits_are_not_lost_with_the_primary(self):
        harness = ReplacerHarness()
        await harness.check(2)
        harness.targets["t2"].deaf = True
        harness.commit_through("n2")
        harness.targets["t3"].deaf = True
        harness.restart_target("t3")
        harness.primary_answers = False
        await harness.check(2)
        assert harness.group.incomplete == []

    async def test_it_counts_again_once_it_has_received_the_log(self):
        harness = ReplacerHarness()
        await harness.check(2)
        harness.targets["t2"].deaf = True
        harness.commit_through("n2")
        harness.restart_target("t3")
        harness.commit_through("n1")
        await harness.check()
        harness.observed.clear()
        harness.primary_answers = False
        await harness.check()
        assert harness.primary == "t3"
        assert harness.group.incomplete == []


class TestRecord:
    """The record must keep what it knows, and reach the store without a flood."""

    async def test_a_target_that_came_and_went_does_not_block_for_ever(self):
        harness = ReplacerHarness()
        await harness.check(2)
        harness.primary_answers = False
        harness.targets["t3"].reachable = False
        harness.put_new_target("t4", 40)
        await harness.check()
        harness.targets["t4"].reachable = False
        harness.directory.drop_target("t4", 41)
        await harness.check()
        harness.targets["t3"].reachable = True
        harness.primary_answers = True
        harness.directory.as_of = 41
        await harness.check()
        assert harness.replacer._sets.is_complete("g", "t1")

    async def test_a_refused_record_is_not_repeated_at_each_check(self):
        harness = ReplacerHarness()
        await harness.check(2)
        tries = []

        async def refused(group, epoch, replicas, revision):
            tries.append(replicas)
            raise ClaimLost("429")

        harness.claims.record_replicas = refused
        harness.put_new_target("t4", 40)
        await harness.check(5)
        assert len(tries) == 1

    async def test_a_target_that_left_after_the_members_were_read_stays_missing(self):
        harness = ReplacerHarness()
        await harness.check(2)
        harness.directory.as_of = 39
        harness.put_new_target("t4", 40)
        harness.directory.drop_target("t4", 41)
        late = ReplicaSet("t1", frozenset({TargetRun("t2"), TargetRun("t3")}), 39)
        harness.directory.put_replica_set("g", late, 45)
        assert harness.replacer._sets.missing("g") == ["t4#0"]


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

    async def test_it_has_no_effect_once_the_replicas_are_resumed(self):
        harness, order = await self.send_unanswered()
        harness.primary_answers = True
        await harness.check()
        assert not harness.targets["t2"].paused
        with pytest.raises(OrderRefused):
            await harness.group.promote(*order)
        assert harness.primary == "t1"


class TestPause:
    async def test_a_new_owner_resumes_what_a_former_one_left_paused(self):
        """Writes would stay without an answer as long as replicas are paused."""
        harness = ReplacerHarness()
        harness.targets["t2"].paused, harness.targets["t2"].paused_term = True, 2
        await harness.check(2)
        assert not harness.targets["t2"].paused
        assert harness.group.epochs
        assert harness.primary == "t1"

    async def test_an_owner_whose_lease_ended_resumes_nothing(self):
        """The next owner may have paused the replicas by then."""
        harness = ReplacerHarness()
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
        assert harness.targets["t3"].paused

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


class TestReplacementAfterAReplicaLeft:
    """The group is served on as soon as no commit can be lost."""

    async def leave_t3(self, **nodes):
        harness = ReplacerHarness()
        await harness.check(2)
        harness.commit_through("n2")
        harness.drop_target("t3")
        harness.observed.update(nodes)
        return harness

    async def test_a_replica_proved_while_the_primary_answered_takes_over(self):
        harness = await self.leave_t3(n2=None)
        await harness.check()
        harness.primary_answers = False
        await harness.check()
        assert harness.primary == "t2"
        assert harness.group.incomplete == []

    async def test_a_replica_with_all_that_the_nodes_observed_takes_over(self):
        harness = await self.leave_t3()
        harness.primary_answers = False
        await harness.check()
        assert harness.primary == "t2"
        assert harness.group.incomplete == []

    @pytest.mark.parametrize(
        "answer",
        [
            Failed(run=False, reason=Reason.UNREACHABLE),
            GroupPosition(START, uptime_s=0.0),
        ],
        ids=["gave no answer", "has started since"],
    )
    async def test_none_takes_over_while_a_node_may_have_acknowledged_more(
        self, answer
    ):
        harness = await self.leave_t3(n2=answer)
        harness.primary_answers = False
        await harness.check(2)
        assert harness.group.epochs == []

    async def test_none_takes_over_if_a_node_that_served_is_gone(self):
        harness = await self.leave_t3()
        harness.directory.drop_member("n2")
        harness.primary_answers = False
        await harness.check(2)
        assert harness.group.epochs == []

    async def block(self):
        """Return a harness with a lost primary that no replica may replace."""
        harness = await TestReplicaWhoseReportEnded().commit_on_t3_alone()
        harness.drop_target("t3")
        harness.primary_answers = False
        await harness.check()
        assert harness.group.epochs == []
        return harness

    async def test_replicas_are_not_paused_while_none_may_take_over(self):
        """The primary that comes back can't acknowledge through a paused replica."""
        harness = await self.block()
        assert harness.orders(StatementKind.PAUSE) == []

    async def test_none_takes_over_while_a_replica_receives_again(self, monkeypatch):
        """The primary is back and hasn't reported itself yet."""
        harness = await self.block()
        harness.targets["t2"].deaf = False
        harness.commit_through("n2")
        monkeypatch.setattr(replica_sets, "BLOCKED_RETRY_S", 0.0)
        await harness.check()
        assert harness.group.epochs == []

    async def test_a_replica_that_caught_up_takes_over_if_the_primary_stays_away(
        self, monkeypatch
    ):
        harness = await self.block()
        harness.targets["t2"].deaf = False
        harness.commit_through("n2")
        monkeypatch.setattr(replica_sets, "BLOCKED_RETRY_S", 0.0)
        await harness.check(2)
        assert harness.primary == "t2"
        assert harness.group.incomplete == []

    async def test_none_takes_over_if_a_primary_reports_itself_meanwhile(self):
        harness = ReplacerHarness()
        await harness.check(2)
        pause = harness.replacer._replicas.pause

        async def pause_and_report(group, states):
            answers = await pause(group, states)
            harness.targets["t1"].leads = False
            harness.targets["t2"].leads = True
            harness.put_target("t2")
            return answers

        harness.replacer._replicas.pause = pause_and_report
        harness.primary_answers = False
        await harness.check()
        assert harness.group.epochs == []
        assert not harness.targets["t3"].paused

    async def test_an_owner_without_a_recorded_set_promotes_none(self):
        harness = ReplacerHarness()
        harness.directory.drop_replica_set("g", 2)
        await harness.check()
        harness.primary_answers = False
        await harness.check(2)
        assert harness.group.epochs == []

    async def test_an_owner_records_the_set_once_it_is_proved(self):
        harness = ReplacerHarness()
        harness.directory.drop_replica_set("g", 2)
        harness.targets["t2"].deaf = harness.targets["t3"].deaf = True
        harness.group.commit(harness.targets["t1"])
        await harness.check(2)
        assert harness.claims.recorded == []
        harness.targets["t3"].deaf = False
        harness.commit_through("n2")
        harness.replacer._sets._proof_tried_at.clear()
        await harness.check(2)
        runs = frozenset({TargetRun("t2"), TargetRun("t3")})
        assert harness.claims.recorded == [ReplicaSet("t1", runs)]

    async def test_the_set_is_proved_anew_after_a_promotion(self):
        harness = ReplacerHarness()
        await harness.check(2)
        harness.primary_answers = False
        await harness.check()
        harness.primary_answers = True
        await harness.check()
        assert [one.primary for one in harness.claims.recorded] == [harness.primary]
