"""Tests of statements whose target leaves the list, or moves, while they run."""

import asyncio

import pytest

from lavenderstack.core.work_messages import EndWork, TransactionStart, WorkDone
from lavenderstack.node.executor_fake import READ, WRITE, ExecutorHarness
from lavenderstack.node.executors import SWEEP_INTERVAL_S

WORK_S = 2 * SWEEP_INTERVAL_S


class TestRetiredExecutors:
    """An answer that is on its way must not be lost with the executor's connections."""

    def drop(self, harness):
        harness.directory.drop_target("t1", 9)

    def move(self, harness):
        harness.move_target()
        harness.executors.for_target("t1")

    @pytest.mark.parametrize("leave", ["drop", "move"])
    async def test_a_running_statement_gets_its_answer(self, leave):
        harness = ExecutorHarness()
        harness.targets["t1"].work_s = WORK_S
        sweeping = asyncio.ensure_future(harness.executors.run())
        running = asyncio.ensure_future(harness.run(WRITE, left_s=5.0))
        await asyncio.sleep(0.05)
        getattr(self, leave)(harness)
        answer = await running
        await asyncio.sleep(2 * SWEEP_INTERVAL_S)
        sweeping.cancel()
        assert isinstance(answer, WorkDone)
        assert all(one.closed for one in harness.targets["t1"].open_connections)

    async def test_a_queued_statement_is_refused_as_not_run(self):
        harness = ExecutorHarness(slots=1)
        harness.targets["t1"].work_s = WORK_S
        running = asyncio.ensure_future(harness.run(WRITE, left_s=5.0))
        await asyncio.sleep(0.05)
        queued = asyncio.ensure_future(harness.run(WRITE, request="r2", left_s=5.0))
        await asyncio.sleep(0.05)
        self.move(harness)
        assert isinstance(await running, WorkDone)
        assert not (await queued).run
        assert [one[1] for one in harness.targets["t1"].executed] == ["r1"]

    async def test_a_transaction_at_the_former_address_ends(self):
        harness = ExecutorHarness()
        opened = await harness.run(WRITE, opens=TransactionStart.READ_WRITE)
        self.move(harness)
        answer = await harness.run(READ, tx=opened.tx)
        assert not answer.run
        sweeping = asyncio.ensure_future(harness.executors.run())
        await asyncio.sleep(2 * SWEEP_INTERVAL_S)
        sweeping.cancel()
        assert all(one.closed for one in harness.targets["t1"].open_connections)
        await harness.executors.end(EndWork(opened.tx))
