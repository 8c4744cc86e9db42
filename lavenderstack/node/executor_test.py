"""Tests of running statements on one target."""

import asyncio

import pytest

from lavenderstack.core import clock
from lavenderstack.core.catalog import Catalog
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START, Position
from lavenderstack.core.statement import Kind, Prepared, Statement
from lavenderstack.core.view import Plan, Target
from lavenderstack.core.view_proof import ViewProof
from lavenderstack.core.work_messages import Access, EndWork, Opens, Work, WorkDone
from lavenderstack.node.backend_fake import FakeBackend, FakeGroup, FakeTarget
from lavenderstack.node.directory import Directory
from lavenderstack.node.executors import Executors

READ = Statement(Kind.READ, "READ a")
WRITE = Statement(Kind.WRITE, "WRITE a b", writes=True)
COMMIT = Statement(Kind.COMMIT, "COMMIT")


class Bench:
    """An executor over a fake group whose leader is ``t1``."""

    def __init__(self, min_position=START, slots=2):
        names = ("t1", "t2", "t3")
        self.targets = {name: FakeTarget(name, leads=name == "t1") for name in names}
        self.group = FakeGroup(self.targets)
        self.directory = Directory("n1", "z1", ViewProof(limit_s=5.0))
        self.directory.update_catalog(
            Catalog(version=1, keys={"d": "org"}, plans={"org": Plan("org", 1, 1)})
        )
        self.directory.proof.prove(clock.now())
        for revision, name in enumerate(names, 1):
            target = Target(name, "z1", "10.0.0.1", 1, slots, 30)
            self.directory.put_target(target, "g", False, name == "t1", revision)
        self.min_position = min_position

        async def min_position_for(group, max_age_s, now, within_s):
            return self.min_position

        self.executors = Executors(
            self.directory, FakeBackend(self.group), min_position_for, lambda _: True
        )

    async def run(self, statement=READ, access=Access.WRITE, target="t1", **fields):
        work = Work(
            **{
                "request": "r1",
                "organisation": "org",
                "key_digest": "d",
                "version": 1,
                "group": "g",
                "target": target,
                "statement": statement,
                "access": access,
                "left_s": 0.5,
            }
            | fields
        )
        return await self.executors.work(work)


class TestReads:
    async def test_a_current_read_runs_inside_a_transaction_of_the_leader(self):
        bench = Bench()
        answer = await bench.run(access=Access.CURRENT_READ)
        assert isinstance(answer, WorkDone)
        assert answer.receipt == "receipt"

    async def test_a_current_read_never_runs_where_the_target_does_not_lead(self):
        bench = Bench()
        answer = await bench.run(access=Access.CURRENT_READ, target="t2")
        assert (answer.run, answer.reason) == (False, Reason.NOT_PRIMARY)
        assert bench.targets["t2"].ran == []

    async def test_an_aged_read_is_refused_by_a_replica_that_lacks_the_position(self):
        bench = Bench(min_position=Position(1, 5))
        answer = await bench.run(access=Access.AGED_READ, target="t2")
        assert (answer.run, answer.reason) == (False, Reason.BEHIND)
        assert bench.targets["t2"].ran == []

    async def test_the_sessions_own_mark_counts_beside_the_age(self):
        bench = Bench()
        min_position = Position(1, 3)
        answer = await bench.run(
            access=Access.AGED_READ, target="t2", min_position=min_position
        )
        assert answer.reason == Reason.BEHIND


class TestKeys:
    async def test_a_withdrawn_key_stops_work_that_waited_for_a_slot(self):
        bench = Bench(slots=1)
        bench.targets["t1"].work_s = 0.1
        first = asyncio.ensure_future(bench.run(WRITE))
        await asyncio.sleep(0.02)
        second = asyncio.ensure_future(bench.run(WRITE, request="r2"))
        await asyncio.sleep(0.02)
        bench.directory.update_catalog(Catalog(version=2))
        assert isinstance(await first, WorkDone)
        answer = await second
        assert (answer.run, answer.reason) == (False, Reason.KEY_REFUSED)
        assert [run[1] for run in bench.targets["t1"].ran] == ["r1"]

    async def test_without_a_recent_proof_nothing_is_sent(self):
        bench = Bench()
        bench.directory.proof.at = clock.now() - 5.0
        answer = await bench.run(WRITE)
        assert (answer.run, answer.reason) == (False, Reason.STALE_VIEW)
        assert bench.targets["t1"].ran == []

    async def test_a_later_catalog_of_the_sender_is_believed(self):
        bench = Bench()
        answer = await bench.run(WRITE, key_digest="new", version=2)
        assert isinstance(answer, WorkDone)

    async def test_open_routes_need_no_proof(self):
        bench = Bench()
        bench.directory.proof.at = clock.now() - 60.0
        answer = await bench.run(WRITE, organisation="", key_digest="")
        assert isinstance(answer, WorkDone)


class TestOutcomes:
    async def test_a_write_whose_answer_is_lost_may_have_run(self):
        bench = Bench()
        bench.targets["t1"].lose_answers = True
        answer = await bench.run(WRITE, left_s=0.1)
        assert (answer.run, answer.reason) == (True, Reason.TIMED_OUT)

    async def test_a_write_at_a_replica_has_not_run(self):
        bench = Bench()
        answer = await bench.run(WRITE, target="t2")
        assert (answer.run, answer.reason) == (False, Reason.NOT_PRIMARY)

    async def test_a_target_that_cant_be_reached_has_run_nothing(self):
        bench = Bench()
        bench.targets["t1"].reachable = False
        answer = await bench.run(WRITE)
        assert (answer.run, answer.reason) == (False, Reason.UNREACHABLE)

    async def test_work_for_a_lost_target_is_refused_without_another_try(self):
        bench = Bench()
        bench.targets["t1"].reachable = False
        await bench.run(WRITE)
        tried = bench.targets["t1"].connects
        await bench.run(WRITE)
        assert bench.targets["t1"].connects == tried

    async def test_those_in_the_queue_of_a_lost_target_make_no_tries_of_their_own(self):
        """Found on inc-60c6: one after the other waited for a connection."""
        bench = Bench(slots=1)
        bench.targets["t1"].reachable = False
        bench.targets["t1"].connect_s = 0.01
        works = [bench.run(WRITE, request=f"r{n}") for n in range(6)]
        answers = await asyncio.gather(*works)
        assert {answer.reason for answer in answers} == {Reason.UNREACHABLE}
        assert not any(answer.run for answer in answers)
        assert bench.targets["t1"].connects == 1

    async def test_a_write_is_not_trusted_to_a_connection_that_fell_silent(self):
        bench = Bench()
        await bench.run(WRITE)
        executor = bench.executors.of("t1")
        held = executor.connections.borrow_any()
        executor.connections.give_back(held)
        held.used_at -= 5.0
        held.conn.send = lambda commands: [
            asyncio.get_running_loop().create_future() for _ in commands
        ]
        answer = await bench.run(WRITE, request="r2", left_s=2.0)
        assert isinstance(answer, WorkDone)
        assert [run[1] for run in bench.targets["t1"].ran] == ["r1", "r2"]

    async def test_a_queue_longer_than_the_time_left_refuses_at_once(self):
        bench = Bench(slots=1)
        bench.targets["t1"].work_s = 0.3
        running = [asyncio.ensure_future(bench.run(WRITE)) for _ in range(2)]
        await asyncio.sleep(0.05)
        executor = bench.executors.of("t1")
        executor.slots._costs["org"] = 0.3
        began = clock.now()
        answer = await bench.run(WRITE, left_s=0.2)
        assert (answer.run, answer.reason) == (False, Reason.CROWDED)
        assert answer.retry_after_s > 0
        assert clock.now() - began < 0.1
        await asyncio.gather(*running)


class TestCancelled:
    """Nobody waits any more: the connection must not be lost to all others."""

    @pytest.primary_position.parametrize("access", [Access.WRITE, Access.CURRENT_READ])
    async def test_work_that_is_given_up_keeps_no_connection(self, access):
        bench = Bench()
        bench.targets["t1"].silent = True
        running = asyncio.ensure_future(bench.run(READ, access=access))
        await asyncio.sleep(0.05)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        assert len(bench.executors.of("t1").connections) == 0
        assert bench.executors.of("t1").slots.free == 2

    async def test_waiting_for_a_mark_keeps_no_slot(self):
        bench = Bench(slots=1)

        async def never(group, max_age_s, now, within_s):
            await asyncio.sleep(5.0)

        bench.executors.of("t2")._least_for = never
        waiting = asyncio.ensure_future(bench.run(access=Access.AGED_READ, target="t2"))
        await asyncio.sleep(0.02)
        assert bench.executors.of("t2").slots.free == 1
        waiting.cancel()


class TestSharedConnections:
    async def test_values_are_those_of_the_session_and_no_others(self):
        bench = Bench()
        await bench.run(WRITE, values={"v": "1"})
        await bench.run(WRITE, request="r2")
        await bench.run(WRITE, request="r3", values={"v": "2"})
        seen = [run[3] for run in bench.targets["t1"].ran]
        assert seen == [{"v": "1"}, {}, {"v": "2"}]

    async def test_prepared_names_of_sessions_do_not_collide(self):
        bench = Bench()
        execute = Statement(Kind.EXECUTE, "EXEC s 1", "s", "1")
        for shape in ("q1", "q2"):
            prepared = Prepared(writes=False, shape=shape)
            answer = await bench.run(
                execute, access=Access.CURRENT_READ, prepared=prepared
            )
            assert isinstance(answer, WorkDone)

    async def test_an_organisation_gets_connections_of_its_own(self):
        bench = Bench()
        await bench.run(WRITE)
        await bench.run(WRITE, organisation="", key_digest="", request="r2")
        assert [run[0] for run in bench.targets["t1"].ran] == ["org", ""]


class TestTransactions:
    async def open(self, bench):
        return await bench.run(WRITE, opens=Opens.TRANSACTION)

    async def test_its_statements_share_a_connection_until_the_commit(self):
        bench = Bench()
        opened = await self.open(bench)
        assert bench.executors.open_transactions == 1
        answer = await bench.run(COMMIT, tx=opened.tx, request="r2")
        assert isinstance(answer, WorkDone)
        assert bench.executors.open_transactions == 0
        assert bench.group.acknowledged == 1

    async def test_giving_it_up_rolls_it_back(self):
        bench = Bench()
        opened = await self.open(bench)
        await bench.executors.end(EndWork(opened.tx))
        answer = await bench.run(COMMIT, tx=opened.tx)
        assert (answer.run, answer.reason) == (False, Reason.TRANSACTION_LOST)
        assert bench.group.acknowledged == 0

    async def test_another_organisation_cant_use_it(self):
        bench = Bench()
        opened = await self.open(bench)
        answer = await bench.run(
            WRITE, tx=opened.tx, organisation="", key_digest="", request="r2"
        )
        assert answer.reason == Reason.TRANSACTION_LOST

    async def test_one_that_rests_too_long_is_ended(self):
        bench = Bench()
        opened = await self.open(bench)
        executor = bench.executors.of("t1")
        executor.sweep(clock.now() + 60.0, first_choice=True)
        answer = await bench.run(COMMIT, tx=opened.tx)
        assert answer.reason == Reason.TRANSACTION_LOST


class TestMarks:
    async def test_a_write_proves_how_far_the_log_went_when_it_was_sent(self):
        bench = Bench()
        before = clock.now()
        await bench.run(WRITE)
        primary_position = bench.executors.of("t1").positions.latest()
        assert primary_position.position == Position(1, 1)
        assert primary_position.at >= before

    async def test_a_target_that_does_not_lead_gives_no_mark(self):
        bench = Bench()
        answer = await bench.executors.of("t2").reach.primary_position(0.1)
        assert isinstance(answer, Failed)
        assert bench.executors.of("t2").positions.latest() is None

    @pytest.primary_position.parametrize("wrote", [True, False])
    async def test_only_a_commit_that_wrote_proves_a_lead(self, wrote):
        bench = Bench()
        opened = await bench.run(WRITE, opens=Opens.TRANSACTION)
        executor = bench.executors.of("t1")
        executor.positions.kept.clear()
        access = Access.WRITE if wrote else Access.CURRENT_READ
        await bench.run(COMMIT, tx=opened.tx, access=access)
        assert (executor.positions.latest() is not None) == wrote
