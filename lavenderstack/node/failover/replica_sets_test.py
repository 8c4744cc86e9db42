"""Tests that no promotion loses a commit when replicas left or started again."""

import asyncio

import pytest

from lavenderstack.core.catalog import RecordedOwnership
from lavenderstack.core.failover.acknowledgement_hold import NO_HOLD
from lavenderstack.core.failover.replica_set import ReplicaSet, TargetRun
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START
from lavenderstack.core.statement import StatementKind
from lavenderstack.core.view import Target
from lavenderstack.core.work_messages import GroupPosition, GroupPositionRequest
from lavenderstack.node.backend import ClaimLost
from lavenderstack.node.failover import replica_sets
from lavenderstack.node.failover.replacer_fake import ReplacerHarness


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


class TestReplicaThatLivesOnWithoutARegistration:
    """It receives from a live primary that is taken for lost, and can't be paused."""

    async def replica_without_registration(self):
        harness = ReplacerHarness()
        await harness.check(2)
        harness.end_registration("t3")
        await harness.check()
        assert harness.replacer._sets.is_complete("g", "t1")
        harness.primary_answers = False
        return harness

    async def test_a_commit_while_the_order_is_under_way_is_not_lost(self):
        harness = await self.replica_without_registration()
        harness.act_before_promotion(lambda: harness.commit_through("n2"))
        await harness.check()
        assert harness.group.incomplete == []

    async def test_a_hold_concerns_a_primary_whose_log_was_empty_so_far(self):
        """Its first commits have a term that the owner doesn't know yet."""
        harness = await self.replica_without_registration()
        ask, terms = harness.ask, []

        async def ask_and_record(vm, msg, timeout_s):
            is_request = isinstance(msg, GroupPositionRequest) and not msg.release
            if is_request and msg.hold != NO_HOLD:
                terms.append(msg.term)
            return await ask(vm, msg, timeout_s)

        harness.peers.ask = ask_and_record
        await harness.check()
        assert min(terms) > 0

    async def test_a_former_owner_does_not_use_the_epoch_of_the_present_one(self):
        """Its attempts would be taken for later ones than those of the present owner.

        The holds of that one were refused, and ended by the release of the former one.
        """
        harness = await self.replica_without_registration()
        pause = harness.replacer._replicas.pause

        async def lose_the_claim(group, states):
            later = RecordedOwnership("n2#2", 99)
            harness.directory.put_ownership("g", later)
            return await pause(group, states)

        harness.replacer._replicas.pause = lose_the_claim
        ask, numbers = harness.ask, []

        async def ask_and_record(vm, msg, timeout_s):
            if isinstance(msg, GroupPositionRequest) and msg.hold != NO_HOLD:
                numbers.append(msg.hold)
            return await ask(vm, msg, timeout_s)

        harness.peers.ask = ask_and_record
        await harness.check()
        await asyncio.sleep(0)
        assert numbers
        assert all(number.epoch != 99 for number in numbers)

    async def test_a_commit_during_a_planned_change_is_not_lost(self):
        harness = await self.replica_without_registration()
        harness.primary_answers = True

        def commit_without_t2():
            harness.targets["t2"].deaf = True
            harness.commit_through("n2")

        harness.act_before_promotion(commit_without_t2)
        harness.put_target("t1", leaving=True)
        await harness.check()
        assert harness.primary == "t2"
        assert harness.group.incomplete == []

    async def test_a_replica_that_registers_during_the_choice_stops_it(self):
        harness = await self.replica_without_registration()
        pause = harness.replacer._replicas.pause

        async def pause_and_register(group, states):
            paused = await pause(group, states)
            harness.put_target("t3")
            return paused

        harness.replacer._replicas.pause = pause_and_register
        harness.act_before_promotion(lambda: harness.commit_through("n2"))
        del harness.observed["n2"]
        await harness.check()
        assert harness.group.incomplete == []
        assert harness.primary == "t1"

    async def test_nodes_acknowledge_again_if_nobody_takes_over(self):
        harness = await self.replica_without_registration()
        del harness.observed["n2"]
        await harness.check()
        await asyncio.sleep(0)
        assert harness.primary == "t1"
        assert harness.holding == {}

    async def test_it_takes_over_again_once_it_is_paused(self):
        """A silent node stops a promotion only while a replica is unaccounted for."""
        harness = await self.replica_without_registration()
        del harness.observed["n2"]
        await harness.check()
        assert harness.primary == "t1"
        harness.put_target("t3")
        await harness.check()
        assert harness.primary in ("t2", "t3")

    async def test_a_commit_through_a_silent_node_is_not_lost(self):
        harness = await self.replica_without_registration()
        harness.act_before_promotion(lambda: harness.commit_through("n2"))
        del harness.observed["n2"]
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
        # Another target has its address, so it has ended.
        successor = Target("t9", "z3", "10.0.0.1", 3, 2, 30)
        harness.directory.put_target(successor, "h", False, False, 50)
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
