"""Tests of the learned limit at the slots of an executor."""

import asyncio

import pytest
from prometheus_client import CollectorRegistry, generate_latest

from lavenderstack.core import clock
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.reply import Reply
from lavenderstack.core.targets.contention import LoadControl
from lavenderstack.node.executor_fake import WRITE, ExecutorHarness
from lavenderstack.node.targets.slots import Slots
from lavenderstack.node.targets.target_concurrency import is_completion
from lavenderstack.node.targets.target_gauges import TargetGauges
from tests import virtual_time

GOAL = {"latency_goal_s": 0.5, "latency_goal_left_s": 9.0, "left_s": 9.0}


def harness(slots=8):
    made = ExecutorHarness(slots=slots)
    made.directory.load_control = LoadControl.ON
    made.targets["t1"].work_s = 0.005
    return made


def slots(made):
    return made.executors.for_target("t1").slots


async def run_many(made, number, **fields):
    works = (made.run(WRITE, request=f"r{n}", **GOAL | fields) for n in range(number))
    return await asyncio.gather(*works)


class TestLimit:
    async def test_it_is_used_and_reported_under_load_control_only(self):
        made = harness()
        (answer,) = await run_many(made, 1)
        assert (slots(made).slots, answer.load.limit) == (2, 2)
        made.directory.load_control = LoadControl.OFF
        made.executors.for_target("t1").sweep(0.0)
        assert slots(made).slots == 8

    def test_it_follows_what_the_target_handles(self, monkeypatch):
        """Guards against times that include the wait for a slot.

        On virtual time: on a busy machine the event loop itself takes longer the more
        statements run, and the limit follows that.
        """
        monkeypatch.setattr(clock, "now", virtual_time.clock)
        monkeypatch.setattr(Slots.__init__, "__defaults__", (virtual_time.clock,))

        async def main():
            made = harness()
            await run_many(made, 200)
            return slots(made).slots

        assert virtual_time.run_on_virtual_time(main()) == 8

    async def test_a_new_holder_starts_from_the_limit_that_a_sender_knows(self):
        made = harness()
        await run_many(made, 1, known_limit=5)
        assert slots(made).slots == 5

    async def test_only_completions_and_time_outs_teach(self):
        """Guards against errors that make a target look fast."""
        replies = [
            Reply(),
            Reply(reason=Reason.STATEMENT_FAILED),
            Failed(run=True, reason=Reason.TIMED_OUT),
            Failed(run=True, reason=Reason.CONNECTION_LOST),
        ]
        found = [is_completion(reply) for reply in replies]
        assert found == [True, False, True, False]

    async def test_changed_slots_keep_the_learned_limit(self):
        made = harness()
        await run_many(made, 1)
        concurrency = made.executors.for_target("t1").concurrency
        concurrency.resize(6, 6)
        assert slots(made).slots == 2
        concurrency.resize(1, 1)
        assert slots(made).slots == 1


@pytest.mark.parametrize("name", ["concurrency_limit", "service_seconds"])
async def test_gauges_name_the_targets_held(name):
    made = harness()
    await run_many(made, 1)
    registry = CollectorRegistry()
    registry.register(TargetGauges(made.executors))
    text = generate_latest(registry).decode()
    assert f'lavenderstack_{name}{{target="t1"}}' in text
