"""Tests of the limit of a cold target at the node that holds its connections."""

import asyncio
import math

import pytest

from lavenderstack.core import clock
from lavenderstack.core.catalog import Catalog, GroupLimits
from lavenderstack.core.outcome import Reason
from lavenderstack.core.targets.cold_start import TAKEOVER_WAIT_S, ColdLimits
from lavenderstack.core.view import Plan, Target
from lavenderstack.core.work_messages import Access, TransactionStart, WorkDone
from lavenderstack.node.executor_fake import COMMIT, READ, WRITE, ExecutorHarness

# Half of 4.0 * 1.5 + 2.0.
LIMIT = 4


class ColdHarness(ExecutorHarness):
    """An executor harness whose targets are limited while they are cold."""

    def __init__(self, cold_s=60.0, **fields):
        super().__init__(**fields)
        groups = {"g": GroupLimits(30, False, cold_rate=4.0, cold_s=5.0)}
        plans = {"org": Plan("org", 1, 1)}
        catalog = Catalog(version=2, keys={"d": "org"}, plans=plans, groups=groups)
        self.directory.update_catalog(catalog)
        self.directory.cold_limits = ColdLimits(excess=1.5, slack=2.0)
        self.report(10, cold_s)

    def report(self, revision, cold_s):
        """Report all targets with this many seconds that they are cold."""
        for number, name in enumerate(self.targets):
            target = Target(name, "z1", "10.0.0.1", 1, 2, 30)
            leads = name == "t1"
            self.directory.put_target(
                target, "g", False, leads, revision + number, 0, cold_s
            )

    def choose(self, first, changed_at=-math.inf):
        """Make this node the first choice of all targets, or not."""
        self.executors.cold._choice = lambda state: (first, changed_at)

    async def run_many(self, count, *args, **fields):
        works = [
            self.run(*args, request=f"r{number}", **fields) for number in range(count)
        ]
        return await asyncio.gather(*works)


def outcomes(answers):
    done = [one for one in answers if isinstance(one, WorkDone)]
    refused = [one for one in answers if not isinstance(one, WorkDone)]
    return len(done), {(one.run, one.reason) for one in refused}, refused


class TestLimit:
    async def test_reads_beyond_it_are_refused_at_once(self):
        harness = ColdHarness()
        began_at = clock.now()
        answers = await harness.run_many(10, READ, Access.AGED_READ, "t2")
        assert clock.now() - began_at < 0.5
        done, kinds, refused = outcomes(answers)
        assert (done, kinds) == (LIMIT, {(False, Reason.CROWDED)})
        assert all(one.retry_after_s > 0.2 for one in refused)
        assert len(harness.targets["t2"].executed) == LIMIT

    @pytest.mark.parametrize("access", [Access.WRITE, Access.CURRENT_READ])
    async def test_others_wait_for_their_turn_or_are_refused_at_once(self, access):
        harness = ColdHarness()
        statement = WRITE if access is Access.WRITE else READ
        began_at = clock.now()
        answers = await harness.run_many(12, statement, access, left_s=1.5)
        took_s = clock.now() - began_at
        done, kinds, _ = outcomes(answers)
        assert (done, kinds) == (2 * LIMIT, {(False, Reason.CROWDED)})
        assert took_s > 1.0
        assert len(harness.targets["t1"].executed) == 2 * LIMIT

    async def test_statements_of_open_transactions_count(self):
        harness = ColdHarness()
        opened = await harness.run(WRITE, opens=TransactionStart.READ_WRITE)
        for _ in range(LIMIT - 1):
            assert isinstance(await harness.run(WRITE, tx=opened.tx), WorkDone)
        answer = await harness.run(COMMIT, tx=opened.tx)
        assert (answer.run, answer.reason) == (False, Reason.TRANSACTION_LOST)
        assert answer.retry_after_s > 0
        assert harness.group.acknowledged == 0
        answer = await harness.run(READ, Access.AGED_READ)
        assert answer.reason == Reason.CROWDED

    async def test_a_permit_is_given_back_by_work_that_is_not_sent(self):
        harness = ColdHarness()
        harness.targets["t1"].leads = False
        answers = await harness.run_many(
            2 * LIMIT, READ, Access.CURRENT_READ, left_s=1.5
        )
        assert {one.reason for one in answers} == {Reason.NOT_PRIMARY}
        harness.targets["t1"].leads = True
        answers = await harness.run_many(LIMIT, READ, Access.CURRENT_READ)
        assert outcomes(answers)[0] == LIMIT

    async def test_it_applies_to_work_that_waited_when_the_target_became_cold(self):
        harness = ColdHarness(cold_s=0.0, slots=1)
        harness.targets["t2"].work_s = 0.02
        running = [
            asyncio.ensure_future(
                harness.run(READ, Access.AGED_READ, "t2", request=f"r{number}")
            )
            for number in range(15)
        ]
        await asyncio.sleep(0.01)
        before = len(harness.targets["t2"].executed)
        harness.report(20, cold_s=60.0)
        done, _, _ = outcomes(await asyncio.gather(*running))
        assert LIMIT <= done <= before + 2 + LIMIT

    async def test_it_outlives_a_change_of_the_address(self):
        """Guards against a target that flaps and gets a full limit each time."""
        harness = ColdHarness()
        await harness.run_many(LIMIT, READ, Access.AGED_READ, "t2")
        target = Target("t2", "z1", "10.0.0.1", 2, 2, 30)
        harness.directory.put_target(target, "g", False, False, 30, 0, 60.0)
        answer = await harness.run(READ, Access.AGED_READ, "t2")
        assert answer.reason == Reason.CROWDED

    async def test_it_ends_with_the_time_that_was_reported_and_slots_return(self):
        harness = ColdHarness(cold_s=0.2)
        began_at = clock.now()
        answers = await harness.run_many(2 * LIMIT, WRITE, left_s=2.0)
        assert outcomes(answers)[0] == 2 * LIMIT
        assert clock.now() - began_at < 1.0
        await harness.run(WRITE)
        assert harness.executors.for_target("t1").slots.slots == 1

    async def test_a_target_that_closed_a_connection_may_have_restarted(self):
        """Its report with the time that it is cold may not have arrived yet."""
        harness = ColdHarness(cold_s=0.0)
        await harness.run_many(LIMIT, READ, Access.AGED_READ, "t2")
        executor = harness.executors.for_target("t2")
        for pooled in list(executor.connections._open):
            pooled.conn.close()
        await harness.run(READ, Access.AGED_READ, "t2")
        answers = await harness.run_many(3 * LIMIT, READ, Access.AGED_READ, "t2")
        assert outcomes(answers)[0] <= LIMIT
        harness.directory.proof.prove(clock.now() + 1.1)
        answers = await harness.run_many(3 * LIMIT, READ, Access.AGED_READ, "t2")
        assert outcomes(answers)[0] == 3 * LIMIT


class TestHolder:
    """Guards against several nodes that each use the limit."""

    @pytest.mark.parametrize("obstacle", ["not first", "old proof", "not registered"])
    async def test_one_that_may_not_send_refuses_at_once(self, obstacle):
        harness = ColdHarness()
        harness.choose(first=obstacle != "not first")
        harness.directory.proof.at -= 2.6 * (obstacle == "old proof")
        registered = obstacle != "not registered"
        harness.directory.record_registration("n1", registered)
        causes = []
        harness.executors.cold.refused = causes.append
        answer = await harness.run(WRITE, left_s=5.0)
        assert (answer.run, answer.reason) == (False, Reason.CROWDED)
        assert (causes, len(harness.targets["t1"].executed)) == (["holder"], 0)

    async def test_one_that_has_just_become_first_waits(self):
        harness = ColdHarness()
        harness.choose(first=True, changed_at=clock.now() - TAKEOVER_WAIT_S + 0.3)
        read = await harness.run(READ, Access.AGED_READ, "t2", left_s=5.0)
        assert read.reason == Reason.CROWDED
        began_at = clock.now()
        assert isinstance(await harness.run(WRITE, left_s=5.0), WorkDone)
        assert clock.now() - began_at > 0.2


class TestSlowStart:
    async def test_a_target_gets_its_slots_back_over_two_seconds(self):
        harness = ColdHarness(cold_s=0.0, slots=8)
        target = Target("t2", "z1", "10.0.0.1", 1, 8, 30)
        harness.directory.put_target(target, "g", False, False, 40)
        executor = harness.executors.for_target("t2")
        harness.directory.put_evacuation("z1", 50)
        executor.sweep(clock.now() + 1.5)
        assert executor.slots.slots == 1
        harness.directory.drop_evacuation("z1", 51)
        returned_at = harness.directory.returned_at["z1"]
        for after_s, slots in ((0.0, 1), (1.0, 4), (1.5, 6), (2.0, 8)):
            executor._apply_slots(returned_at + after_s)
            assert executor.slots.slots == slots

    async def test_slots_return_slowly_also_if_the_target_reports_that_it_is_warm(self):
        """The report ended the slow start, so all that waited was sent at once."""
        harness = ColdHarness(cold_s=60.0, slots=8)
        await harness.run(WRITE)
        executor = harness.executors.for_target("t1")
        began_at = clock.now()
        for revision in (20, 30):
            target = Target("t1", "z1", "10.0.0.1", 1, 8, 30)
            harness.directory.put_target(target, "g", False, True, revision)
            executor.sweep(began_at + 1.0)
            assert 3 <= executor.slots.slots <= 4
