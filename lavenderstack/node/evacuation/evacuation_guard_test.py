"""Tests of evacuations at the connection holder of a target."""

import asyncio

import pytest

from lavenderstack.core import clock
from lavenderstack.core.outcome import Reason
from lavenderstack.core.work_messages import Access, TransactionStart, WorkDone
from lavenderstack.node.backend_fake import FakeConnection
from lavenderstack.node.executor_fake import COMMIT, READ, WRITE, ExecutorHarness


def evacuate(harness, ago_s=0.0):
    """Evacuate the zone of all targets; the node has learned it ``ago_s`` ago."""
    harness.directory.put_evacuation("z1", 50)
    if ago_s:
        known = harness.directory.evacuations["z1"]
        changed = type(known)("z1", 50, known.learned_at - ago_s, known.proved_before)
        harness.directory._evacuations.in_force["z1"] = changed


class TestSending:
    async def test_a_read_that_waited_is_not_sent_after_the_evacuation(self):
        harness = ExecutorHarness(slots=1)
        harness.targets["t2"].work_s = 0.1
        works = [
            harness.run(READ, Access.AGED_READ, "t2", request=f"r{number}")
            for number in range(3)
        ]
        running = [asyncio.ensure_future(work) for work in works]
        await asyncio.sleep(0.03)
        evacuate(harness)
        first, *others = await asyncio.gather(*running)
        assert isinstance(first, WorkDone)
        assert {(one.run, one.reason) for one in others} == {(False, Reason.EVACUATED)}
        assert others[0].retry_after_s > 0
        assert len(harness.targets["t2"].executed) == 1

    @pytest.mark.parametrize("is_known", [True, False])
    async def test_a_prepared_transaction_is_not_begun_after_the_evacuation(
        self, monkeypatch, is_known
    ):
        """The connection is opened meanwhile; BEGIN would be the first statement.

        A node that can't know of the evacuation has no recent proof any more.
        """
        sent = []
        monkeypatch.setattr(
            FakeConnection, "send", lambda conn, commands: sent.extend(commands)
        )
        harness = ExecutorHarness()
        harness.targets["t2"].connect_s = 0.05
        work = harness.run(
            READ, Access.AGED_READ, "t2", opens=TransactionStart.READ_ONLY
        )
        running = asyncio.ensure_future(work)
        await asyncio.sleep(0.02)
        if is_known:
            evacuate(harness)
        else:
            harness.directory.evacuation_limit_s = 5.0
            harness.directory.proof.at = clock.now() - 4.9
        reason = Reason.EVACUATED if is_known else Reason.STALE_VIEW
        assert (await running).reason == reason
        assert sent == []
        assert harness.executors.open_transactions == 0

    async def test_the_primary_is_used_until_the_grace_period_ends(self):
        harness = ExecutorHarness()
        evacuate(harness)
        assert isinstance(await harness.run(WRITE), WorkDone)
        evacuate(harness, ago_s=1.5)
        answer = await harness.run(WRITE)
        assert (answer.run, answer.reason) == (False, Reason.EVACUATED)
        harness.directory.drop_evacuation("z1", 51)
        assert isinstance(await harness.run(WRITE), WorkDone)

    @pytest.mark.parametrize(
        ("evacuation_limit_s", "catalog_limit_s", "served"),
        [(5.0, 8.0, False), (None, 5.0, False), (None, None, False), (None, 8.0, True)],
    )
    async def test_an_old_proof_stops_public_routes_by_either_limit(
        self, evacuation_limit_s, catalog_limit_s, served
    ):
        """The zone may be evacuated, or the route removed, without the node knowing."""
        harness = ExecutorHarness()
        harness.directory.evacuation_limit_s = evacuation_limit_s
        harness.directory.proof.catalog_limit_s = catalog_limit_s
        harness.directory.proof.at = clock.now() - 4.9
        answer = await harness.run(WRITE, organisation="", key_digest="")
        assert isinstance(answer, WorkDone) is served
        assert served or (answer.run, answer.reason) == (False, Reason.STALE_VIEW)


class TestOpenTransactions:
    @pytest.mark.parametrize("swept", [False, True])
    async def test_one_that_is_open_after_the_grace_period_keeps_nothing(self, swept):
        harness = ExecutorHarness()
        opened = await harness.run(WRITE, opens=TransactionStart.READ_WRITE)
        evacuate(harness)
        assert isinstance(await harness.run(WRITE, tx=opened.tx), WorkDone)
        evacuate(harness, ago_s=1.5)
        executor = harness.executors.for_target("t1")
        if swept:
            executor.sweep(clock.now())
        answer = await harness.run(COMMIT, tx=opened.tx)
        assert (answer.run, answer.reason) == (False, Reason.TRANSACTION_LOST)
        assert harness.group.acknowledged == 0
        executor.sweep(clock.now())
        assert harness.executors.open_transactions == 0


class TestIdleConnections:
    async def test_they_are_closed_and_callers_are_served_after_the_return(self):
        harness = ExecutorHarness()
        for target, access in (("t1", Access.WRITE), ("t2", Access.AGED_READ)):
            works = [
                harness.run(READ, access, target, request=f"r{number}")
                for number in range(2)
            ]
            await asyncio.gather(*works)
        evacuate(harness, ago_s=1.5)
        executors = harness.executors
        for name in ("t1", "t2"):
            executors.for_target(name).sweep(clock.now())
        assert len(executors.for_target("t2").connections) == 0
        # One is kept to the primary for the service's own probes.
        assert len(executors.for_target("t1").connections) == 1
        harness.directory.drop_evacuation("z1", 51)
        answer = await harness.run(READ, Access.AGED_READ, "t2")
        assert isinstance(answer, WorkDone)
