"""Tests of the load that holders report in their answers."""

import asyncio

import pytest

from lavenderstack.core.contention import LoadControl
from lavenderstack.core.load_report import SlotTimes
from lavenderstack.core.outcome import Reason
from lavenderstack.node.executor_test import WRITE, ExecutorHarness


class TestReports:
    async def test_answer_has_the_load_under_load_control_only(self):
        harness = ExecutorHarness(slots=1)
        assert (await harness.run(WRITE)).load is None
        harness.directory.load_control = LoadControl.ON
        harness.targets["t1"].work_s = 0.05
        running = [harness.run(WRITE, request=f"r{n}") for n in range(3)]
        loads = [answer.load for answer in await asyncio.gather(*running)]
        assert [load.waiting for load in loads] == [1, 0, 0]
        assert loads[0].mean_s > 0.01
        assert loads[0].wait_s > 0.01
        assert loads[2].held_s >= 0.12
        assert loads[2].limit == 1

    async def test_target_is_full_while_a_new_statement_would_be_late(self):
        harness = ExecutorHarness(slots=1)
        harness.directory.load_control = LoadControl.ON
        harness.targets["t1"].work_s = 0.05
        goal = {"latency_goal_s": 0.06, "latency_goal_left_s": 9.0, "left_s": 9.0}
        running = [harness.run(WRITE, request=f"r{n}", **goal) for n in range(4)]
        loads = [answer.load for answer in await asyncio.gather(*running)]
        assert loads[1].full_s > 0.0
        assert loads[3].full_s == 0.0

    async def test_holder_that_cannot_reach_its_target_reports_nothing(self):
        """Guards against a lost target whose empty queue attracts reads."""
        harness = ExecutorHarness()
        harness.directory.load_control = LoadControl.ON
        await harness.run(WRITE)
        harness.executors.target_executors["t1"].health.mark_unreachable("test")
        answer = await harness.run(WRITE)
        assert (answer.reason, answer.load) == (Reason.UNREACHABLE, None)

    async def test_waiting_statements_are_refused_at_once_if_the_target_is_lost(self):
        harness = ExecutorHarness(slots=1)
        harness.targets["t1"].work_s = 0.1
        running = [
            asyncio.ensure_future(harness.run(WRITE, request=f"r{n}")) for n in range(3)
        ]
        await asyncio.sleep(0.05)
        harness.executors.target_executors["t1"].health.mark_unreachable("test")
        _, *waiting = await asyncio.gather(*running)
        found = [(answer.run, answer.reason) for answer in waiting]
        assert found == [(False, Reason.UNREACHABLE)] * 2


class TestSlotTimes:
    def test_mean_is_kept_by_priority(self):
        """Guards against short writes that make a primary look faster for reads."""
        times = SlotTimes()
        for _ in range(100):
            times.add(0, 0.008)
            times.add(2, 0.04)
        assert times.mean_s(0, 0.0) == pytest.approx(0.008)
        assert times.mean_s(2, 0.0) == pytest.approx(0.04)
        assert 0.01 < times.mean_of_all_s(0.0) < 0.04

    def test_statements_that_hang_count_before_they_end(self):
        times = SlotTimes()
        times.add(0, 0.01)
        now = [5.0]
        with times.measured(0, lambda: now[0]), times.measured(0, lambda: now[0]):
            assert times.mean_s(0, 5.0) == 0.01
            assert times.mean_s(0, 6.0) == 1.0
