"""Tests of load control at the holder of a target."""

import asyncio

from lavenderstack.core.catalog import Catalog
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.targets.contention import LoadControl
from lavenderstack.core.view import Plan
from lavenderstack.core.work_messages import WorkDone
from lavenderstack.node.executor_fake import WRITE, ExecutorHarness

READ_FIELDS = {"priority": 2, "latency_goal_s": 1.2, "latency_goal_left_s": 1.2}
WRITE_FIELDS = {"priority": 0, "latency_goal_s": 0.3, "latency_goal_left_s": 0.3}


def controlled():
    harness = ExecutorHarness(slots=1)
    harness.directory.load_control = LoadControl.ON
    harness.targets["t1"].work_s = 0.02
    return harness


class TestLoadControl:
    async def test_a_write_overtakes_waiting_reads(self):
        harness = controlled()
        reads = [
            asyncio.ensure_future(
                harness.run(WRITE, request=f"r{n}", left_s=6.0, **READ_FIELDS)
            )
            for n in range(5)
        ]
        await asyncio.sleep(0.01)
        await harness.run(WRITE, request="w", left_s=2.0, **WRITE_FIELDS)
        await asyncio.gather(*reads)
        assert [run[1] for run in harness.targets["t1"].executed].index("w") <= 2

    async def test_a_burst_beyond_the_deadline_is_refused_at_once(self):
        harness = controlled()
        fields = {"left_s": 0.5} | WRITE_FIELDS
        works = [harness.run(WRITE, request=f"r{n}", **fields) for n in range(300)]
        tasks = [asyncio.ensure_future(work) for work in works]
        done, _ = await asyncio.wait(tasks, timeout=0.4)
        refusals = [task.result() for task in done]
        refusals = [one for one in refusals if isinstance(one, Failed)]
        assert len(refusals) > 200
        assert {(one.run, one.reason) for one in refusals} == {(False, Reason.CROWDED)}
        assert all(one.retry_after_s > 0 for one in refusals)
        executor = harness.executors.for_target("t1")
        assert executor.slots.shedder.refused >= len(refusals)
        answers = await asyncio.wait_for(asyncio.gather(*tasks), 10.0)
        assert any(isinstance(answer, WorkDone) for answer in answers)
        assert (executor.slots.free, executor.slots.waiting) == (1, 0)

    async def test_a_cancelled_statement_leaves_its_place(self):
        harness = controlled()
        first, second = (
            asyncio.ensure_future(harness.run(WRITE, left_s=2.0, **WRITE_FIELDS))
            for _ in range(2)
        )
        await asyncio.sleep(0.005)
        second.cancel()
        slots = harness.executors.for_target("t1").slots
        await asyncio.sleep(0)
        assert slots.waiting == 0
        assert isinstance(await first, WorkDone)
        assert (slots.free, slots.waiting) == (1, 0)

    async def test_a_statement_behind_a_hanging_one_is_refused_in_its_time(self):
        harness = controlled()
        harness.targets["t1"].work_s = 0.8
        first = asyncio.ensure_future(harness.run(WRITE, left_s=2.0, **WRITE_FIELDS))
        await asyncio.sleep(0.005)
        fields = WRITE_FIELDS | {"latency_goal_left_s": 0.05}
        waiting = harness.run(WRITE, request="r2", left_s=0.2, **fields)
        answer = await asyncio.wait_for(waiting, 10.0)
        assert (answer.run, answer.reason) == (False, Reason.DEADLINE)
        assert not first.done()
        await first

    async def test_what_waits_is_served_first_after_it_is_switched_off(self):
        """Guards against a wait until the deadline behind all later statements."""
        harness = controlled()
        fields = {"left_s": 2.0} | WRITE_FIELDS
        first = asyncio.ensure_future(harness.run(WRITE, **fields))
        waiting = asyncio.ensure_future(harness.run(WRITE, request="w", **fields))
        await asyncio.sleep(0.005)
        harness.directory.load_control = LoadControl.OFF
        later = [harness.run(WRITE, request=f"l{n}", left_s=9.0) for n in range(3)]
        await asyncio.gather(first, waiting, *later)
        assert [run[1] for run in harness.targets["t1"].executed][1] == "w"

    async def test_the_priority_of_the_plan_is_used(self):
        harness = controlled()
        plans = {"org": Plan("org", 1, 1, priority=0)}
        harness.directory.update_catalog(
            Catalog(version=2, keys={"d": "org"}, plans=plans)
        )
        harness.targets["t1"].work_s = 0.05
        first = asyncio.ensure_future(harness.run(WRITE, left_s=2.0))
        second = asyncio.ensure_future(harness.run(WRITE, left_s=2.0))
        await asyncio.sleep(0.01)
        order = harness.executors.for_target("t1").slots.shedder.order
        assert [queue.on_time.weight for queue in order.kinds] == [1.0]
        await asyncio.gather(first, second)
