"""Tests that a refusal by a target's executor says when the request may come back."""

import asyncio

from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.work_messages import Access
from lavenderstack.node.executor_fake import WRITE, ExecutorHarness


class TestRetryTime:
    async def test_a_statement_that_got_no_slot_in_time_has_one(self):
        harness = ExecutorHarness(slots=1)
        harness.targets["t1"].work_s = 0.5
        first = asyncio.ensure_future(harness.run(WRITE, left_s=2.0))
        await asyncio.sleep(0.02)
        answer = await harness.run(WRITE, request="r2", left_s=0.2)
        assert (answer.run, answer.reason) == (False, Reason.DEADLINE)
        assert answer.retry_after_s
        await first

    async def test_a_read_that_found_no_primary_position_in_time_has_one(self):
        harness = ExecutorHarness()

        async def no_position(group, max_age_s, now, within_s):
            raise Refused(Reason.BEHIND, "no answer from the primary")

        harness.executors.min_position_for = no_position
        answer = await harness.run(access=Access.AGED_READ, target="t2")
        assert (answer.run, answer.reason) == (False, Reason.BEHIND)
        assert answer.retry_after_s

    async def test_a_transaction_that_the_target_refuses_to_begin_has_one(self):
        harness = ExecutorHarness()
        answer = await harness.run(access=Access.CURRENT_READ, target="t2")
        assert (answer.run, answer.reason) == (False, Reason.NOT_PRIMARY)
        assert answer.retry_after_s
