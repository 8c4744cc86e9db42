"""Tests of the load that holders report in their answers."""

import asyncio

import pytest

from lavenderstack.core.outcome import Reason
from lavenderstack.core.queue.slot_times import SlotTimes
from lavenderstack.core.targets.contention import LoadControl
from lavenderstack.node.executor_fake import WRITE, ExecutorHarness


class Harness(ExecutorHarness):
    """An executor with one slot for statements of 0.05 s, under load control."""

    def __init__(self):
        super().__init__(slots=1)
        self.directory.load_control = LoadControl.ON
        self.targets["t1"].work_s = 0.05

    def start(self, number, **fields):
        running = (self.run(WRITE, request=f"r{n}", **fields) for n in range(number))
        return asyncio.gather(*running)

    def lose_target(self):
        self.executors.for_target("t1").health.mark_unreachable("test")


class TestReports:
    async def test_answer_has_the_load_under_load_control_only(self):
        harness = Harness()
        goal = {"latency_goal_s": 0.06, "latency_goal_left_s": 9.0, "left_s": 9.0}
        loads = [answer.load for answer in await harness.start(4, **goal)]
        assert [load.waiting for load in loads] == [2, 1, 0, 0]
        assert loads[0].wait_s >= loads[0].mean_s >= 0.05
        assert loads[3].held_s >= 0.2
        assert loads[3].full_s == 0.0
        harness.directory.load_control = LoadControl.OFF
        assert (await harness.run(WRITE)).load is None

    async def test_refusal_tells_for_how_long_the_target_is_full(self):
        harness = Harness()
        short = {"latency_goal_s": 0.06, "latency_goal_left_s": 0.06, "left_s": 0.06}
        await harness.run(WRITE, **short)
        running = harness.start(4, **short | {"left_s": 9.0})
        await asyncio.sleep(0)
        refused = await harness.run(WRITE, **short)
        await running
        assert refused.reason == Reason.CROWDED
        assert refused.load.full_s > 0.0

    async def test_holder_that_cannot_reach_its_target_reports_nothing(self):
        """Guards against a lost target whose empty queue attracts reads.

        What waited there is refused at once.
        """
        harness = Harness()
        running = harness.start(3)
        await asyncio.sleep(0.02)
        harness.lose_target()
        _, *waiting = await running
        found = [(answer.run, answer.reason, answer.load) for answer in waiting]
        assert found == [(False, Reason.UNREACHABLE, None)] * 2


def test_mean_is_kept_by_priority_and_includes_what_hangs():
    """Guards against short writes that make a primary look faster for reads."""
    times = SlotTimes()
    for _ in range(100):
        times.add(0, 0.008)
        times.add(2, 0.04)
    assert times.mean_s(0, 5.0) == pytest.approx(0.008)
    assert times.mean_s(2, 5.0) == pytest.approx(0.04)
    with times.measured(0, lambda: 5.0), times.measured(0, lambda: 5.0):
        assert times.mean_s(0, 6.0) == 1.0
