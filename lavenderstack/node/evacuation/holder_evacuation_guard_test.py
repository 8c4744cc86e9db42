"""Tests of a holder whose target's zone is evacuated, with simulated targets.

All three targets are in zone ``z``; ``a`` is the primary.
"""

import asyncio

import pytest
from structlog.testing import capture_logs

from lavenderstack.core.evacuation import evacuation
from lavenderstack.core.messages import Begun, Executed
from lavenderstack.core.outcome import Reason
from lavenderstack.node import target_holder
from lavenderstack.node.holder_test import running_holders
from lavenderstack.node.pool import Pool


@pytest.fixture
def no_grace(monkeypatch):
    monkeypatch.setattr(evacuation, "GRACE_S", 0.0)


def evacuate(node):
    node.control.evacuations.evacuate("z")


def written(node):
    entries = node.targets["a"].log.entries
    return [change.value for entry in entries for change in entry.changes]


async def until(condition):
    for _ in range(10_000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise TimeoutError


def assert_evacuated(failed):
    assert (failed.run, failed.reason) == (False, Reason.EVACUATED)
    assert failed.retry_after_s


class TestStatements:
    async def test_reads_stop_at_once_and_writes_after_the_grace_period(
        self, monkeypatch
    ):
        """Guards against reads that go on, and writes cut before a replacement."""
        async with running_holders() as node:
            evacuate(node)
            assert_evacuated(await node.run("get", "t", "k", target="b"))
            assert isinstance(await node.put("k", 1), Executed)
            assert node.control.admitted == 1
            monkeypatch.setattr(evacuation, "GRACE_S", 0.0)
            assert_evacuated(await node.put("k", 2))
            assert_evacuated(await node.run("get", "t", "k", fresh=True))
            assert_evacuated(await node.begin())
            assert node.control.evacuations.refusals == 4
            node.control.evacuations.bring_back("z")
            assert (await node.run("get", "t", "k", fresh=True)).result == 1

    @pytest.mark.parametrize("step", ["slot", "connection"])
    async def test_a_write_that_waited_is_refused_when_it_would_be_sent(
        self, no_grace, monkeypatch, step
    ):
        """Guards against statements that pass the check and are sent much later."""
        async with running_holders() as node:
            await node.put("k", 1)
            waiting = asyncio.Event()
            acquire = Pool.acquire

            async def slow_acquire(pool):
                waiting.set()
                await asyncio.sleep(0.05)
                return await acquire(pool)

            holder = node.holders._holders["a"]
            if step == "slot":
                holder._slots.resize(0)
                running = asyncio.ensure_future(node.put("k", 2))
                await until(lambda: len(holder._slots.queue))
            else:
                monkeypatch.setattr(Pool, "acquire", slow_acquire)
                running = asyncio.ensure_future(node.put("k", 2))
                await waiting.wait()
            evacuate(node)
            holder._slots.resize(2)
            assert_evacuated(await running)
            assert (await node.run("get", "t", "k", target="b")).run is False
            assert written(node) == [1]


class TestTransactions:
    @pytest.mark.parametrize("step", ["statement", "commit", "sweep"])
    async def test_an_open_one_is_rolled_back_and_told(
        self, no_grace, monkeypatch, step
    ):
        """Guards against a transaction that stays open, or whose loss isn't told."""
        monkeypatch.setattr("lavenderstack.node.holder.SWEEP_INTERVAL_S", 0.01)
        async with running_holders() as node:
            name = (await node.begin()).transaction
            done = await node.run("put", "t", "k", 1, write=True, transaction=name)
            assert isinstance(done, Executed)
            holder = node.holders._holders["a"]
            if step != "sweep":
                monkeypatch.setattr(holder, "sweep", lambda now: None)
            evacuate(node)
            if step == "sweep":
                await until(lambda: not len(holder.transactions))
            if step == "commit":
                failed = await node.end(name)
            else:
                failed = await node.run(
                    "put", "t", "k", 2, write=True, transaction=name
                )
            assert (failed.run, failed.reason) == (False, Reason.TRANSACTION_LOST)
            assert len(holder.transactions) == holder._pool.in_use == 0
            assert written(node) == []

    async def test_one_that_was_begun_in_the_grace_period_can_be_committed(self):
        """Guards against a grace period that ends transactions at its beginning."""
        async with running_holders() as node:
            evacuate(node)
            begun = await node.begin()
            assert isinstance(begun, Begun)
            assert isinstance(await node.end(begun.transaction), Executed)


class TestConnections:
    async def test_idle_ones_are_closed_and_each_change_is_logged_once(self, no_grace):
        """Guards against connections to a zone that may be switched off."""
        async with running_holders() as node:
            await node.put("k", 1)
            holder = node.holders._holders["a"]
            assert holder._pool._idle
            evacuations = node.control.evacuations
            with capture_logs() as logs:
                evacuate(node)
                for _ in range(2):
                    holder.sweep(target_holder.clock.now())
                assert not holder._pool._idle
                evacuations.bring_back("z")
                holder.sweep(target_holder.clock.now())
            events = [line["event"] for line in logs if "target" in line["event"]]
            assert events == [
                "evacuation: target out of use",
                "evacuation: target used again",
            ]
            assert isinstance(await node.put("k", 2), Executed)
