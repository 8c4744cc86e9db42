"""Tests of what is tried again, where, and what is not."""

import asyncio
from dataclasses import dataclass

import pytest

from lavenderstack.core import clock
from lavenderstack.core.catalog import Consistency, Route
from lavenderstack.core.members import Members
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import Position
from lavenderstack.core.statement import Kind, Statement
from lavenderstack.core.view import Target, Vm
from lavenderstack.core.view_proof import ViewProof
from lavenderstack.core.work_messages import Access, Opens, Work, WorkDone
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.dispatch import Call, Dispatcher, Place
from lavenderstack.node.peers import Peers
from lavenderstack.node.streams import NotSent, StreamLost, StreamPool

READ = Statement(Kind.READ, "READ a")
WRITE = Statement(Kind.WRITE, "WRITE a b", writes=True)
DONE = WorkDone(rows=["row"], receipt="receipt", position=Position(1, 1))


def refused(reason):
    return Failed(run=False, reason=reason)


def maybe_run(reason):
    return Failed(run=True, reason=reason)


@dataclass(frozen=True)
class Slow:
    """An answer that comes after so many seconds."""

    after_s: float
    answer: Failed


class Bench:
    """An entry in ``z1``; leader ``t1`` in z1, replicas ``t2``, ``t3`` in z2, z3.

    ``answers`` maps ``(node, target)``, or a target alone, to what a holder answers;
    an exception is raised, a number is the seconds before a good answer.
    """

    def __init__(self, **answers):
        directory = self.directory = Directory("n1", "z1", ViewProof(limit_s=5.0))
        for number in (1, 2, 3, 4):
            zone = f"z{min(number, 3)}"
            directory.put_member(Vm(f"n{number}", zone, "10.0.0.1", number))
        for revision, name in enumerate(("t1", "t2", "t3"), 1):
            target = Target(name, f"z{revision}", "10.0.0.1", 1, 2, 30)
            directory.put_target(target, "g", False, name == "t1", revision)
        self.answers = answers
        self.asked: list[Work] = []
        self.nodes: list[str] = []
        self.peers = Peers("n1", lambda: directory.view, StreamPool(), Members("n1"))
        self.peers.ask = self.ask
        self.dispatcher = Dispatcher(directory, self.peers, Counters())

    async def ask(self, vm, work, timeout_s):
        self.asked.append(work)
        self.nodes.append(vm.name)
        answer = self.answers.get(f"{vm.name}_{work.target}")
        if answer is None:
            answer = self.answers.get(work.target, DONE)
        if isinstance(answer, list):
            answer = answer.pop(0) if len(answer) > 1 else answer[0]
        if isinstance(answer, Slow):
            await asyncio.sleep(answer.after_s)
            return answer.answer
        if isinstance(answer, float):
            await asyncio.sleep(answer)
            return DONE
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def run(self, statement, access, opens=Opens.NOTHING, wrote_s_ago=60.0):
        call = self.call(statement, access, opens, wrote_s_ago)
        return (await self.dispatcher.run(call)).answer

    def call(self, statement, access, opens=Opens.NOTHING, wrote_s_ago=60.0):
        route = Route("db", "g", Consistency.SESSION, 0.6, 0.2, 2, 2.5)
        now = clock.now()
        return Call(
            request="r1",
            route=route,
            organisation="org",
            key_digest="d",
            version=1,
            statement=statement,
            access=access,
            deadline=now + route.timeout_s,
            values={},
            wrote_at=now - wrote_s_ago,
            opens=opens,
        )

    @property
    def targets(self):
        return [work.target for work in self.asked]


class TestWrites:
    async def test_a_write_goes_to_the_primary_once(self):
        bench = Bench()
        assert await bench.run(WRITE, Access.WRITE) == DONE
        assert bench.targets == ["t1"]

    @pytest.mark.parametrize(
        "answer",
        [
            maybe_run(Reason.CONNECTION_LOST),
            maybe_run(Reason.TIMED_OUT),
            maybe_run(Reason.STATEMENT_FAILED),
            StreamLost("silent"),
            TimeoutError(),
        ],
    )
    async def test_a_write_that_may_have_run_is_never_sent_again(self, answer):
        bench = Bench(t1=answer)
        result = await bench.run(WRITE, Access.WRITE)
        assert result.run
        assert bench.targets == ["t1"]

    @pytest.mark.parametrize(
        "answer",
        [
            refused(Reason.UNREACHABLE),
            refused(Reason.STALE_VIEW),
            NotSent("no route"),
        ],
    )
    async def test_one_that_a_node_could_not_send_goes_through_another(self, answer):
        """Found on brandt scale-2: holders that the store turned away refused work."""
        bench = Bench(t1=[answer, DONE])
        assert await bench.run(WRITE, Access.WRITE) == DONE
        assert len(set(bench.nodes)) == 2

    async def test_a_node_without_proof_is_passed_over_by_the_next_statement(self):
        bench = Bench(t1=[refused(Reason.STALE_VIEW), DONE])
        first = bench.peers.holders(bench.directory.targets["t1"].target)[0]
        await bench.run(WRITE, Access.WRITE)
        after = bench.peers.holders(bench.directory.targets["t1"].target)[0]
        assert (first.name == after.name) == (first.name == "n1")

    async def test_it_waits_for_the_next_primary(self):
        bench = Bench(t1=refused(Reason.NOT_PRIMARY))
        running = asyncio.ensure_future(bench.run(WRITE, Access.WRITE))
        await asyncio.sleep(0.1)
        target = bench.directory.targets["t2"].target
        bench.directory.put_target(target, "g", False, True, 9)
        assert await running == DONE

    async def test_it_is_refused_well_before_its_time_is_out(self):
        bench = Bench(t1=refused(Reason.NOT_PRIMARY))
        began = clock.now()
        answer = await bench.run(WRITE, Access.WRITE)
        assert not answer.run
        assert clock.now() - began < 0.5


class TestPatience:
    async def test_no_further_node_is_tried_once_it_is_over(self):
        """Found on inc-60c6: a statement tried on to the end of its time."""
        bench = Bench(t1=Slow(0.2, refused(Reason.UNREACHABLE)))
        answer = await bench.run(WRITE, Access.WRITE)
        assert answer.reason is Reason.UNREACHABLE
        assert len(bench.asked) == 2

    async def test_no_further_target_is_tried_either(self):
        slow = Slow(0.2, refused(Reason.UNREACHABLE))
        bench = Bench(t1=slow, t2=slow, t3=slow)
        await bench.run(READ, Access.AGED_READ)
        assert len(bench.asked) <= 6

    async def test_a_holder_learns_how_long_it_may_wait_for_a_position(self):
        bench = Bench(
            t1=Slow(0.2, refused(Reason.UNREACHABLE)), t2=refused(Reason.BEHIND)
        )
        await bench.run(READ, Access.AGED_READ)
        waits = [work.patience_s for work in bench.asked]
        assert all(0.0 < wait_s <= 0.36 for wait_s in waits)


class TestPauses:
    async def test_rounds_come_further_apart_however_much_changes(self):
        """Found on brandt scale-2: 900 lines of retries a second at one node."""
        bench = Bench(t1=refused(Reason.NO_CONNECTION))
        running = asyncio.ensure_future(bench.run(WRITE, Access.WRITE))
        number = 100
        while not running.done():
            number += 1
            target = bench.directory.targets["t3"].target
            leaving = bool(number % 2)
            bench.directory.put_target(target, "g", leaving, False, number)
            await asyncio.sleep(0.001)
        assert not running.result().run
        assert len(bench.asked) <= 20


class TestSteps:
    async def test_a_statement_goes_where_its_transaction_is_open(self):
        bench = Bench()
        call = bench.call(WRITE, Access.WRITE)
        answer = await bench.dispatcher.step(call, Place("n3", "t2"), "n3/t2/7")
        assert answer == DONE
        work = bench.asked[0]
        assert (bench.nodes, work.target, work.tx) == (["n3"], "t2", "n3/t2/7")

    async def test_it_is_sent_once_whatever_the_answer(self):
        bench = Bench(t2=refused(Reason.UNREACHABLE))
        call = bench.call(READ, Access.CURRENT_READ)
        await bench.dispatcher.step(call, Place("n3", "t2"), "n3/t2/7")
        assert len(bench.asked) == 1

    async def test_it_is_lost_with_its_node(self):
        bench = Bench()
        call = bench.call(WRITE, Access.WRITE)
        answer = await bench.dispatcher.step(call, Place("gone", "t2"), "gone/t2/7")
        assert (answer.run, answer.reason) == (False, Reason.TRANSACTION_LOST)


class TestReads:
    async def test_an_aged_read_goes_to_a_replica(self):
        bench = Bench()
        await bench.run(READ, Access.AGED_READ)
        assert bench.targets[0] in ("t2", "t3")

    async def test_after_a_write_the_primary_is_asked_first(self):
        bench = Bench()
        await bench.run(READ, Access.AGED_READ, wrote_s_ago=0.01)
        assert bench.targets == ["t1"]
        assert bench.asked[0].access is Access.CURRENT_READ

    async def test_replicas_that_lack_the_position_lead_to_the_primary(self):
        behind = refused(Reason.BEHIND)
        bench = Bench(t2=behind, t3=behind)
        assert await bench.run(READ, Access.AGED_READ) == DONE
        assert bench.targets[-1] == "t1"

    async def test_a_slow_answer_makes_another_target_be_asked(self):
        bench = Bench(t2=0.5, t3=0.5)
        began = clock.now()
        assert await bench.run(READ, Access.AGED_READ) == DONE
        assert clock.now() - began < 0.45

    async def test_a_second_try_at_the_primary_takes_another_node(self):
        bench = Bench()
        holders = bench.peers.holders(bench.directory.targets["t1"].target)
        bench.answers[f"{holders[0].name}_t1"] = 5.0
        assert await bench.run(READ, Access.CURRENT_READ) == DONE
        assert bench.nodes[:2] == [holders[0].name, holders[1].name]

    async def test_a_read_whose_answer_was_lost_is_asked_again(self):
        bench = Bench(
            t2=maybe_run(Reason.CONNECTION_LOST), t3=maybe_run(Reason.CONNECTION_LOST)
        )
        assert await bench.run(READ, Access.AGED_READ) == DONE

    async def test_one_target_that_fails_a_read_is_not_the_last_word(self):
        """Found on grown scale-2: 500 failures of one target within six seconds."""
        failed = maybe_run(Reason.STATEMENT_FAILED)
        for name in ("t2", "t3"):
            bench = Bench(**{name: failed})
            assert await bench.run(READ, Access.AGED_READ) == DONE
        bench = Bench(t1=[failed, DONE])
        assert await bench.run(READ, Access.CURRENT_READ) == DONE

    async def test_what_two_targets_say_stands_whatever_a_third_one_lacks(self):
        failed = Slow(0.15, maybe_run(Reason.STATEMENT_FAILED))
        behind = Slow(0.05, refused(Reason.BEHIND))
        bench = Bench(t1=failed, t2=failed, t3=behind)
        answer = await bench.run(READ, Access.AGED_READ)
        assert answer.reason is Reason.STATEMENT_FAILED
        assert len(bench.asked) == 3

    async def test_a_failure_of_the_statement_itself_is_the_answer(self):
        failed = maybe_run(Reason.STATEMENT_FAILED)
        bench = Bench(t1=failed, t2=failed, t3=failed)
        answer = await bench.run(READ, Access.AGED_READ)
        assert answer.reason == Reason.STATEMENT_FAILED
        assert len(bench.asked) <= 2
