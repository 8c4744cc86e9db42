"""Tests of running statements on one target."""

import asyncio

import pytest

from lavenderstack.core import clock
from lavenderstack.core.catalog import Catalog
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START, Position
from lavenderstack.core.statement import Prepared, Statement, StatementKind
from lavenderstack.core.view import Target
from lavenderstack.core.work_messages import (
    Access,
    EndWork,
    GroupPositionRequest,
    TransactionStart,
    WorkDone,
    WorkEnded,
)
from lavenderstack.node.backend_fake import FakeTarget
from lavenderstack.node.executor_fake import COMMIT, READ, WRITE, ExecutorHarness


class TestReads:
    async def test_a_current_read_runs_inside_a_transaction_on_the_primary(self):
        harness = ExecutorHarness()
        answer = await harness.run(access=Access.CURRENT_READ)
        assert isinstance(answer, WorkDone)
        assert answer.receipt == "receipt"

    async def test_a_current_read_never_runs_on_a_replica(self):
        harness = ExecutorHarness()
        answer = await harness.run(access=Access.CURRENT_READ, target="t2")
        assert (answer.run, answer.reason) == (False, Reason.NOT_PRIMARY)
        assert harness.targets["t2"].executed == []

    async def test_an_aged_read_is_refused_by_a_replica_that_lacks_the_position(self):
        harness = ExecutorHarness(min_position=Position(1, 5))
        answer = await harness.run(access=Access.AGED_READ, target="t2")
        assert (answer.run, answer.reason) == (False, Reason.BEHIND)
        assert harness.targets["t2"].executed == []

    async def test_the_watermark_of_the_session_counts_in_addition_to_the_age(self):
        harness = ExecutorHarness()
        min_position = Position(1, 3)
        answer = await harness.run(
            access=Access.AGED_READ, target="t2", min_position=min_position
        )
        assert answer.reason == Reason.BEHIND


class TestKeys:
    async def test_a_withdrawn_key_stops_work_that_waited_for_a_slot(self):
        harness = ExecutorHarness(slots=1)
        harness.targets["t1"].work_s = 0.1
        first = asyncio.ensure_future(harness.run(WRITE))
        await asyncio.sleep(0.02)
        second = asyncio.ensure_future(harness.run(WRITE, request="r2"))
        await asyncio.sleep(0.02)
        harness.directory.update_catalog(Catalog(version=2))
        assert isinstance(await first, WorkDone)
        answer = await second
        assert (answer.run, answer.reason) == (False, Reason.KEY_REFUSED)
        assert [run[1] for run in harness.targets["t1"].executed] == ["r1"]

    async def test_without_a_recent_proof_nothing_is_sent(self):
        harness = ExecutorHarness()
        harness.directory.proof.at = clock.now() - 5.0
        answer = await harness.run(WRITE)
        assert (answer.run, answer.reason) == (False, Reason.STALE_VIEW)
        assert harness.targets["t1"].executed == []

    async def test_work_based_on_a_later_catalog_of_the_sender_is_accepted(self):
        harness = ExecutorHarness()
        answer = await harness.run(WRITE, key_digest="new", version=2)
        assert isinstance(answer, WorkDone)

    async def test_public_routes_need_no_key_but_a_recent_proof(self):
        harness = ExecutorHarness()
        public = {"organisation": "", "key_digest": ""}
        assert isinstance(await harness.run(WRITE, **public), WorkDone)
        harness.directory.proof.at = clock.now() - 5.0
        answer = await harness.run(WRITE, **public)
        assert (answer.run, answer.reason) == (False, Reason.STALE_VIEW)
        assert len(harness.targets["t1"].executed) == 1


class TestOutcomes:
    async def test_a_write_whose_answer_is_lost_may_have_run(self):
        harness = ExecutorHarness()
        harness.targets["t1"].lose_answers = True
        answer = await harness.run(WRITE, left_s=0.1)
        assert (answer.run, answer.reason) == (True, Reason.TIMED_OUT)

    async def test_a_write_at_a_replica_has_not_run(self):
        harness = ExecutorHarness()
        answer = await harness.run(WRITE, target="t2")
        assert (answer.run, answer.reason) == (False, Reason.NOT_PRIMARY)

    async def test_an_unreachable_target_has_run_nothing(self):
        harness = ExecutorHarness()
        harness.targets["t1"].reachable = False
        answer = await harness.run(WRITE)
        assert (answer.run, answer.reason) == (False, Reason.UNREACHABLE)

    async def test_work_for_an_unreachable_target_is_refused_without_connecting(self):
        harness = ExecutorHarness()
        harness.targets["t1"].reachable = False
        await harness.run(WRITE)
        tried = harness.targets["t1"].connects
        await harness.run(WRITE)
        assert harness.targets["t1"].connects == tried

    async def test_queued_work_for_an_unreachable_target_does_not_connect(self):
        """Guards against queued statements connecting in turn (incident inc-60c6)."""
        harness = ExecutorHarness(slots=1)
        harness.targets["t1"].reachable = False
        harness.targets["t1"].connect_s = 0.01
        works = [harness.run(WRITE, request=f"r{n}") for n in range(6)]
        answers = await asyncio.gather(*works)
        assert {answer.reason for answer in answers} == {Reason.UNREACHABLE}
        assert not any(answer.run for answer in answers)
        assert harness.targets["t1"].connects == 1

    async def test_a_write_is_not_sent_on_an_idle_connection_that_gives_no_answer(self):
        harness = ExecutorHarness()
        await harness.run(WRITE)
        executor = harness.executors.for_target("t1")
        pooled = executor.connections._idle[0]
        pooled.used_at -= 5.0
        pooled.conn.send = lambda commands: [
            asyncio.get_running_loop().create_future() for _ in commands
        ]
        answer = await harness.run(WRITE, request="r2", left_s=2.0)
        assert isinstance(answer, WorkDone)
        assert [run[1] for run in harness.targets["t1"].executed] == ["r1", "r2"]

    async def test_work_is_refused_at_once_if_the_queue_exceeds_its_time(self):
        harness = ExecutorHarness(slots=1)
        harness.targets["t1"].work_s = 0.3
        running = [asyncio.ensure_future(harness.run(WRITE)) for _ in range(2)]
        await asyncio.sleep(0.05)
        executor = harness.executors.for_target("t1")
        executor.slots._costs["org"] = 0.3
        began = clock.now()
        answer = await harness.run(WRITE, left_s=0.2)
        assert (answer.run, answer.reason) == (False, Reason.CROWDED)
        assert answer.retry_after_s > 0
        assert clock.now() - began < 0.1
        await asyncio.gather(*running)


class TestCancelled:
    """Cancelled work must free its connection and slot."""

    @pytest.mark.parametrize("access", [Access.WRITE, Access.CURRENT_READ])
    async def test_cancelled_work_keeps_no_connection(self, access):
        harness = ExecutorHarness()
        harness.targets["t1"].silent = True
        running = asyncio.ensure_future(harness.run(READ, access=access))
        await asyncio.sleep(0.05)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        assert len(harness.executors.for_target("t1").connections) == 0
        assert harness.executors.for_target("t1").slots.free == 2

    async def test_waiting_for_a_position_keeps_no_slot(self):
        harness = ExecutorHarness(slots=1)

        async def never(group, max_age_s, now, within_s):
            await asyncio.sleep(5.0)

        harness.executors.for_target("t2")._min_position_for = never
        waiting = asyncio.ensure_future(
            harness.run(access=Access.AGED_READ, target="t2")
        )
        await asyncio.sleep(0.02)
        assert harness.executors.for_target("t2").slots.free == 1
        waiting.cancel()


class TestSharedConnections:
    async def test_values_are_exactly_those_of_the_session(self):
        harness = ExecutorHarness()
        await harness.run(WRITE, values={"v": "1"})
        await harness.run(WRITE, request="r2")
        await harness.run(WRITE, request="r3", values={"v": "2"})
        seen = [run[3] for run in harness.targets["t1"].executed]
        assert seen == [{"v": "1"}, {}, {"v": "2"}]

    async def test_prepared_names_of_sessions_do_not_collide(self):
        harness = ExecutorHarness()
        execute = Statement(StatementKind.EXECUTE, "EXEC s 1", "s", "1")
        for shape in ("q1", "q2"):
            prepared = Prepared(writes=False, shape=shape)
            answer = await harness.run(
                execute, access=Access.CURRENT_READ, prepared=prepared
            )
            assert isinstance(answer, WorkDone)

    async def test_organisations_do_not_share_connections(self):
        harness = ExecutorHarness()
        await harness.run(WRITE)
        await harness.run(WRITE, organisation="", key_digest="", request="r2")
        assert [run[0] for run in harness.targets["t1"].executed] == ["org", ""]


class TestTransactions:
    async def open(self, harness):
        return await harness.run(WRITE, opens=TransactionStart.READ_WRITE)

    async def test_a_transaction_keeps_its_connection_until_the_commit(self):
        harness = ExecutorHarness()
        opened = await self.open(harness)
        assert harness.executors.open_transactions == 1
        answer = await harness.run(COMMIT, tx=opened.tx, request="r2")
        assert isinstance(answer, WorkDone)
        assert harness.executors.open_transactions == 0
        assert harness.group.acknowledged == 1

    async def test_ending_a_transaction_rolls_it_back(self):
        harness = ExecutorHarness()
        opened = await self.open(harness)
        await harness.executors.end(EndWork(opened.tx))
        answer = await harness.run(COMMIT, tx=opened.tx)
        assert (answer.run, answer.reason) == (False, Reason.TRANSACTION_LOST)
        assert harness.group.acknowledged == 0

    @pytest.mark.parametrize("tx", ["", "n1", "/", "n1/t9/1", "///"])
    async def test_the_end_of_an_unknown_transaction_changes_nothing(self, tx):
        harness = ExecutorHarness()
        opened = await self.open(harness)
        assert isinstance(await harness.executors.end(EndWork(tx)), WorkEnded)
        assert harness.executors.open_transactions == 1
        assert isinstance(await harness.run(COMMIT, tx=opened.tx), WorkDone)

    async def test_another_organisation_cannot_use_a_transaction(self):
        harness = ExecutorHarness()
        opened = await self.open(harness)
        answer = await harness.run(
            WRITE, tx=opened.tx, organisation="", key_digest="", request="r2"
        )
        assert answer.reason == Reason.TRANSACTION_LOST

    @pytest.mark.parametrize(
        "begin_anew", [ExecutorHarness.restart_node, ExecutorHarness.move_target]
    )
    async def test_an_earlier_transaction_is_never_taken_for_a_later_one(
        self, begin_anew
    ):
        """Found by the review: one session's commit ended the transaction of another.

        The numbers of transactions began at 1 again in a new process or executor.
        """
        harness = ExecutorHarness()
        earlier = await self.open(harness)
        begin_anew(harness)
        later = await self.open(harness)
        assert isinstance(later, WorkDone)
        answer = await harness.run(COMMIT, tx=earlier.tx)
        assert (answer.run, answer.reason) == (False, Reason.TRANSACTION_LOST)
        assert harness.group.acknowledged == 0
        await harness.executors.end(EndWork(earlier.tx))
        assert isinstance(await harness.run(COMMIT, tx=later.tx), WorkDone)

    async def test_the_name_of_a_target_may_have_a_slash(self):
        """Its transactions were not found, and kept their connections when ended."""
        harness = ExecutorHarness()
        harness.targets["t/1"] = FakeTarget("t/1", leads=True)
        target = Target("t/1", "z1", "10.0.0.1", 2, 2, 30)
        harness.directory.put_target(target, "g", False, True, 9)
        opens = TransactionStart.READ_WRITE
        opened = await harness.run(WRITE, target="t/1", opens=opens)
        await harness.executors.end(EndWork(opened.tx))
        assert harness.executors.open_transactions == 0

    async def test_an_idle_transaction_is_ended(self):
        harness = ExecutorHarness()
        opened = await self.open(harness)
        executor = harness.executors.for_target("t1")
        executor.sweep(clock.now() + 60.0)
        answer = await harness.run(COMMIT, tx=opened.tx)
        assert answer.reason == Reason.TRANSACTION_LOST


class TestTimeLimit:
    @pytest.mark.parametrize("slow", [{"connect_s": 0.4}, {"silent": True}])
    async def test_it_also_bounds_what_precedes_the_statement(self, slow):
        """Found by the soak: a write was refused 0.24 s after its time limit."""
        harness = ExecutorHarness()
        for name, value in slow.items():
            setattr(harness.targets["t1"], name, value)
        began_at = clock.now()
        answer = await harness.run(READ, access=Access.CURRENT_READ, left_s=0.1)
        assert clock.now() - began_at < 0.2
        assert (answer.run, answer.reason) == (False, Reason.DEADLINE)
        assert harness.targets["t1"].executed == []
        assert len(harness.executors.for_target("t1").connections) == 0


class TestPositions:
    async def test_a_write_records_the_position_at_the_time_it_was_sent(self):
        harness = ExecutorHarness()
        before = clock.now()
        await harness.run(WRITE)
        latest = harness.executors.for_target("t1").positions.latest()
        assert latest.position == Position(1, 1)
        assert latest.at >= before

    async def test_the_highest_position_outlives_the_target(self):
        harness = ExecutorHarness()
        await harness.run(WRITE)
        harness.executors.target_executors.pop("t1").close()
        answer = await harness.executors.group_position(GroupPositionRequest("g"))
        assert answer.position == Position(1, 1)
        assert answer.uptime_s >= 0.0
        other = await harness.executors.group_position(GroupPositionRequest("other"))
        assert other.position == START

    @pytest.mark.parametrize("in_transaction", [False, True])
    async def test_a_commit_counts_for_the_group_of_its_target(self, in_transaction):
        """A route that moves to another group has the name of that one in the work.

        The commit was recorded for the other group, so the owner of its own one could
        let a replica take over that lacks it.
        """
        harness = ExecutorHarness()
        if in_transaction:
            opened = await harness.run(WRITE, opens=TransactionStart.READ_WRITE)
            await harness.run(COMMIT, tx=opened.tx, group="other")
        else:
            await harness.run(WRITE, group="other")
        acknowledged = harness.executors.acknowledged
        assert acknowledged.highest("g") == Position(1, 1)
        assert acknowledged.highest("other") == START

    @pytest.mark.parametrize("in_transaction", [False, True])
    async def test_a_commit_on_its_way_is_unknown_once_the_position_was_told(
        self, in_transaction
    ):
        harness = ExecutorHarness()
        if in_transaction:
            opened = await harness.run(WRITE, opens=TransactionStart.READ_WRITE)
            run = harness.run(COMMIT, tx=opened.tx, access=Access.WRITE)
        else:
            run = harness.run(WRITE)
        harness.targets["t1"].work_s = 0.2
        write = asyncio.ensure_future(run)
        await asyncio.sleep(0.05)
        await harness.executors.group_position(GroupPositionRequest("g", term=1))
        answer = await write
        assert isinstance(answer, Failed)
        assert (answer.run, answer.reason) == (True, Reason.OUTCOME_UNKNOWN)
        assert isinstance(await harness.run(WRITE), WorkDone)

    async def test_a_commit_on_its_way_is_acknowledged_if_no_replica_takes_over(self):
        harness = ExecutorHarness()
        harness.targets["t1"].work_s = 0.2
        write = asyncio.ensure_future(harness.run(WRITE))
        await asyncio.sleep(0.05)
        await harness.executors.group_position(GroupPositionRequest("g"))
        assert isinstance(await write, WorkDone)

    async def test_a_replica_gives_no_position(self):
        harness = ExecutorHarness()
        answer = await harness.executors.for_target("t2").health.primary_position(0.1)
        assert isinstance(answer, Failed)
        assert harness.executors.for_target("t2").positions.latest() is None

    @pytest.mark.parametrize("wrote", [True, False])
    async def test_only_a_commit_of_a_write_records_a_position(self, wrote):
        harness = ExecutorHarness()
        opened = await harness.run(WRITE, opens=TransactionStart.READ_WRITE)
        executor = harness.executors.for_target("t1")
        executor.positions.positions.clear()
        access = Access.WRITE if wrote else Access.CURRENT_READ
        await harness.run(COMMIT, tx=opened.tx, access=access)
        assert (executor.positions.latest() is not None) == wrote
