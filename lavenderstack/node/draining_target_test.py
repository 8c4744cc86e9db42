"""Tests of targets that leave: after a while nothing new may reach them."""

import asyncio
import math

import pytest

from lavenderstack.core import clock
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.targets.drain_limit import MARGIN_S
from lavenderstack.core.view import Target
from lavenderstack.core.work_messages import Access, TransactionStart, WorkDone
from lavenderstack.node.dispatch_test import DONE, DispatcherHarness
from lavenderstack.node.executor_fake import COMMIT, READ, WRITE, ExecutorHarness

BEGIN = TransactionStart.READ_WRITE


def let_primary_leave(harness, left_s=0.0):
    """Let ``t1`` report that it leaves, so that ``left_s`` of its time are left."""
    directory = harness.directory
    directory.drain_limit_s = left_s + MARGIN_S
    directory.proof.prove(clock.now())
    target = Target("t1", "z1", "10.0.0.1", 1, 2, 30)
    directory.put_target(target, "g", True, True, 50)


class TestHolder:
    """Found by the review: a primary was used for as long as it wasn't replaced."""

    @pytest.mark.parametrize("access", [Access.WRITE, Access.CURRENT_READ])
    @pytest.mark.parametrize("opens", [TransactionStart.NONE, BEGIN])
    async def test_new_work_is_refused_with_a_time_to_come_back(self, access, opens):
        harness = ExecutorHarness()
        let_primary_leave(harness)
        answer = await harness.run(WRITE, access, opens=opens)
        assert (answer.run, answer.reason) == (False, Reason.LEAVING)
        assert answer.retry_after_s > 0
        assert harness.targets["t1"].executed == []

    async def test_until_then_it_is_served(self):
        harness = ExecutorHarness()
        let_primary_leave(harness, left_s=5.0)
        assert isinstance(await harness.run(WRITE), WorkDone)

    async def test_an_open_transaction_may_end(self):
        harness = ExecutorHarness()
        opened = await harness.run(WRITE, opens=BEGIN)
        let_primary_leave(harness)
        assert isinstance(await harness.run(COMMIT, tx=opened.tx), WorkDone)

    async def test_work_that_waited_is_not_sent_after_it(self):
        harness = ExecutorHarness(slots=1)
        harness.targets["t1"].work_s = 0.1
        works = [harness.run(WRITE, request=f"r{number}") for number in range(3)]
        running = [asyncio.ensure_future(work) for work in works]
        await asyncio.sleep(0.03)
        let_primary_leave(harness)
        first, *others = await asyncio.gather(*running)
        assert isinstance(first, WorkDone)
        assert {(one.run, one.reason) for one in others} == {(False, Reason.LEAVING)}
        assert len(harness.targets["t1"].executed) == 1


class TestEntry:
    async def test_a_write_is_refused_without_a_hop(self):
        harness = DispatcherHarness()
        let_primary_leave(harness)
        answer = await harness.run(WRITE, Access.WRITE)
        assert (answer.run, answer.reason) == (False, Reason.LEAVING)
        assert answer.retry_after_s > 0
        assert harness.asked == []

    async def test_a_write_is_served_once_the_primary_is_replaced(self):
        harness = DispatcherHarness()
        let_primary_leave(harness)
        running = asyncio.ensure_future(harness.run(WRITE, Access.WRITE))
        await asyncio.sleep(0.05)
        harness.directory.record_primary("g", "t2")
        assert await running == DONE
        assert harness.targets == ["t2"]

    async def test_reads_that_may_be_aged_go_to_replicas(self):
        behind = Failed(run=False, reason=Reason.BEHIND)
        harness = DispatcherHarness(t2=behind, t3=behind)
        let_primary_leave(harness)
        await harness.run(READ, Access.AGED_READ)
        assert set(harness.targets) == {"t2", "t3"}


class TestLimit:
    def leave(self, current_s_ago, limit_s):
        harness = ExecutorHarness()
        directory = harness.directory
        directory.drain_limit_s = limit_s
        directory.proof.at = clock.now() - current_s_ago
        target = Target("t1", "z1", "10.0.0.1", 1, 2, 30)
        directory.put_target(target, "g", True, True, 50)
        return directory

    def left_s(self, directory):
        return directory.targets["t1"].usable_until - clock.now()

    def test_it_counts_from_the_last_moment_at_which_it_did_not_leave(self):
        assert self.left_s(self.leave(0.2, 7.0)) == pytest.approx(6.55, abs=0.05)

    def test_a_node_that_does_not_know_since_when_allows_half(self):
        assert self.left_s(self.leave(math.inf, 7.0)) == pytest.approx(3.25, abs=0.05)

    def test_later_reports_do_not_prolong_it(self):
        directory = self.leave(0.2, 7.0)
        before = directory.targets["t1"].usable_until
        directory.proof.prove(clock.now() + 3.0)
        target = Target("t1", "z1", "10.0.0.1", 1, 4, 30)
        directory.put_target(target, "g", True, True, 51)
        directory.record_primary("g", "t2")
        assert directory.targets["t1"].usable_until == before

    def test_without_a_limit_it_never_ends(self):
        assert self.leave(0.2, None).targets["t1"].usable_until == math.inf
