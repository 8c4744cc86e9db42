"""Tests of what an entry node sends to a group under load control."""

import asyncio

import pytest

from lavenderstack.core import clock
from lavenderstack.core.outcome import Reason
from lavenderstack.core.queue.retry_budget import RESERVE_RETRIES
from lavenderstack.core.targets.contention import LoadControl
from lavenderstack.core.work_messages import Access
from lavenderstack.node.dispatch_test import (
    DONE,
    READ,
    WRITE,
    DispatcherHarness,
    refused,
)


class FullUntil:
    """Targets that are full until a time; others accept statements."""

    def __init__(self, **until):
        self.until = until

    def full_until(self, target, priority):
        return self.until.get(target, 0.0)


def controlled(**answers):
    harness = DispatcherHarness(**answers)
    harness.directory.load_control = LoadControl.ON
    return harness


class TestFullTargets:
    async def test_a_write_is_refused_without_a_hop_while_the_primary_is_full(self):
        harness = controlled()
        harness.dispatcher.limits.full_targets = FullUntil(t1=clock.now() + 9.0)
        answer = await asyncio.wait_for(harness.run(WRITE, Access.WRITE), 1.0)
        assert (answer.run, answer.reason) == (False, Reason.CROWDED)
        assert answer.retry_after_s > 8.0
        assert harness.targets == []

    async def test_a_read_goes_to_a_replica_that_is_not_full(self):
        harness = controlled()
        full = FullUntil(t1=clock.now() + 9.0, t2=clock.now() + 9.0)
        harness.dispatcher.limits.full_targets = full
        assert await harness.run(READ, Access.AGED_READ) == DONE
        assert harness.targets == ["t3"]

    async def test_nothing_is_sent_again_while_all_targets_are_full(self):
        harness = controlled()
        full = FullUntil(**dict.fromkeys(("t1", "t2", "t3"), clock.now() + 9.0))
        call = harness.call(READ, Access.AGED_READ)
        harness.dispatcher.limits.full_targets = full
        assert not harness.dispatcher.limits.may_send_again(call.route)

    async def test_reports_are_not_used_without_load_control(self):
        harness = DispatcherHarness()
        harness.dispatcher.limits.full_targets = FullUntil(t1=clock.now() + 9.0)
        assert await harness.run(WRITE, Access.WRITE) == DONE


class TestRetryBudget:
    @pytest.mark.parametrize(
        ("statement", "access"),
        [(READ, Access.AGED_READ), (READ, Access.CURRENT_READ), (WRITE, Access.WRITE)],
    )
    async def test_attempts_are_bounded_whatever_fails(self, statement, access):
        """Guards against five attempts for each request, as with a slow target."""
        answers = dict.fromkeys(("t1", "t2", "t3"), refused(Reason.UNREACHABLE))
        harness = controlled(**answers)
        runs = [harness.run(statement, access) for _ in range(40)]
        await asyncio.gather(*runs)
        assert len(harness.asked) <= 40 * 1.1 + RESERVE_RETRIES

    async def test_a_refusal_by_a_holder_without_room_is_told_at_once(self):
        harness = controlled(t1=refused(Reason.CROWDED))
        answer = await harness.run(WRITE, Access.WRITE)
        assert answer.reason == Reason.CROWDED
        assert harness.targets == ["t1"]

    async def test_a_read_that_a_replica_lacks_goes_on_without_budget(self):
        """Guards against refused reads while replicas lag, after the reserve is used.

        On a day with lagging replicas, 1,400 reads ended as behind in 10 s.
        """
        behind = refused(Reason.BEHIND)
        harness = controlled(t2=behind, t3=behind)
        call = harness.call(READ, Access.AGED_READ)
        while harness.dispatcher.limits.may_send_again(call.route):
            pass
        assert (await harness.dispatcher.run(call)).target == "t1"

    async def test_replicas_that_lag_are_passed_over_by_the_next_reads(self):
        behind = refused(Reason.BEHIND)
        harness = controlled(t2=behind, t3=behind)
        for _ in range(2):
            assert await harness.run(READ, Access.AGED_READ) == DONE
        assert harness.targets.count("t1") == 2
        assert len(harness.targets) == 4

    async def test_a_write_without_a_primary_needs_no_budget(self):
        """Guards against failed writes during a failover after the reserve is used."""
        harness = controlled()
        harness.directory.record_not_primary("t1")
        call = harness.call(WRITE, Access.WRITE)
        while harness.dispatcher.limits.may_send_again(call.route):
            pass
        run = asyncio.ensure_future(harness.dispatcher.run(call))
        await asyncio.sleep(0.05)
        harness.directory.record_primary("g", "t2")
        assert (await run).target == "t2"
