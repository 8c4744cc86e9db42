"""Tests of the pool under load control, and its load played on virtual time."""

import asyncio

import pytest

from bench.connection_pools import Load, play
from lavenderstack.core import clock
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.targets import connection_share
from lavenderstack.core.targets.contention import LoadControl
from lavenderstack.core.view import Target
from lavenderstack.core.work_messages import TransactionStart, WorkDone
from lavenderstack.node.backend import ConnectFailed
from lavenderstack.node.backend_fake import FakeBackend, FakeGroup, FakeTarget
from lavenderstack.node.executor_fake import ExecutorHarness
from lavenderstack.node.targets.allocated_connections import (
    AllocatedConnections,
    ConnectionState,
)

ALLOWED = 70
SLOTS = 4
HALF = 35
SETTLED = 58
BEGIN = TransactionStart.READ_WRITE


class Holders:
    """Two nodes with pools for one target, on a clock that a test advances."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(clock, "now", lambda: self.now)
        self.fake = FakeTarget("t1", leads=True, max_connections=ALLOWED)
        self.group = FakeGroup({"t1": self.fake})
        self.first, self.second = self.node(), self.node()

    def node(self):
        target = Target("t1", "z1", "10.0.0.1", 1, SLOTS, ALLOWED)
        pool = AllocatedConnections(FakeBackend(self.group), target, "g")
        pool.set_load_control(True)
        return pool

    def pass_time(self, seconds, first, proof_age_s=0.5):
        """Let ``first`` be the first choice at both nodes, which sweep meanwhile."""
        for _ in range(int(seconds * 4)):
            self.now += 0.25
            for pool in (self.first, self.second):
                pool.apply_limits(pool.target, pool is first, proof_age_s)
                pool.close_idle(pool is first)

    async def fill(self, pool):
        """Serve each organisation once."""
        for number in range(81):
            pool.release(await pool.acquire(f"o{number}", {}))


@pytest.fixture
def holders(monkeypatch):
    return Holders(monkeypatch)


def harness_with(mode):
    harness = ExecutorHarness()
    harness.directory.load_control = mode
    return harness


class TestShareOfTheFirstChoice:
    """Two nodes must never leave each other without connections."""

    async def settle(self, holders):
        holders.pass_time(1.0, holders.first)
        assert holders.first.max_open == HALF
        holders.pass_time(connection_share.SETTLED_S, holders.first)
        await holders.fill(holders.first)
        assert len(holders.first) == SETTLED

    async def test_a_successor_is_served_while_the_predecessor_keeps_all(self, holders):
        """The predecessor is frozen, or dead and its connections still count."""
        await self.settle(holders)
        holders.second.apply_limits(holders.second.target, True, 0.5)
        await holders.fill(holders.second)
        assert SLOTS <= len(holders.second) <= ALLOWED - SETTLED

    async def test_a_predecessor_gives_back_until_the_successor_has_its_share(
        self, holders
    ):
        await self.settle(holders)
        holders.pass_time(0.25, holders.second)
        assert len(holders.first) == HALF
        holders.pass_time(2.0, holders.second)
        assert len(holders.first) == 0
        holders.pass_time(connection_share.SETTLED_S, holders.second)
        await holders.fill(holders.second)
        assert len(holders.second) == SETTLED

    async def test_a_node_without_proof_gives_back_what_exceeds_its_half(self, holders):
        """Cut off from the store, it would keep them from a successor for good."""
        await self.settle(holders)
        holders.pass_time(0.25, holders.first, proof_age_s=9.0)
        assert len(holders.first) == holders.first.max_open == HALF

    async def test_a_refusal_by_the_target_ends_the_larger_share(self, holders):
        """It counts all nodes: another one has connections too."""
        await self.settle(holders)
        holders.fake.dead_connections = ALLOWED
        holders.first.discard(await holders.first.acquire("o80", {}))
        with pytest.raises(ConnectFailed):
            await holders.first.acquire("o99", {}, force_new=True)
        holders.pass_time(0.25, holders.first)
        assert holders.first.max_open == HALF

    async def test_the_larger_share_is_given_back_without_load_control(self, holders):
        """The plain pool keeps the connections of a first choice for good."""
        await self.settle(holders)
        holders.first.set_load_control(False)
        holders.pass_time(0.25, holders.first)
        assert len(holders.first) == holders.first.max_open == HALF


class TestTransactions:
    async def test_they_are_refused_with_a_time_before_they_keep_all(self, holders):
        pool = holders.first
        holders.pass_time(1.0, pool)
        pinned = []
        with pytest.raises(Refused) as raised:
            for number in range(HALF):
                pool.check_transaction(f"o{number}")
                pinned.append(await pool.acquire(f"o{number}", {}))
                pool.pin(pinned[-1])
        assert raised.value.reason is Reason.CROWDED
        assert raised.value.retry_after_s > 0.0
        assert len(pinned) == HALF - SLOTS
        await holders.fill(pool)
        pool.release(pinned[0])
        pool.discard(pinned[1])
        pool.check_transaction("o99")
        assert pool.count(ConnectionState.PINNED) == len(pinned) - 2
        assert pool.count(ConnectionState.BUSY) == 0

    async def test_an_organisation_at_its_share_takes_none_of_others(self, holders):
        pool = holders.first
        holders.pass_time(1.0, pool)
        await holders.fill(pool)
        for _ in range(pool.allocation.share(HALF) - 1):
            pool.pin(await pool.acquire("a", {}))
        running = await pool.acquire("a", {})
        idle = pool.count(ConnectionState.IDLE)
        waiting = asyncio.ensure_future(pool.acquire("a", {}))
        holders.now += 0.1
        await asyncio.sleep(0.01)
        assert pool.count(ConnectionState.IDLE) == idle
        conn = running.conn
        pool.release(running)
        assert (await waiting).conn is conn

    async def test_without_load_control_they_are_not_limited(self):
        harness = harness_with(LoadControl.OFF)
        for _ in range(8):
            assert isinstance(await harness.run(opens=BEGIN), WorkDone)

    async def test_a_refused_transaction_never_waits_for_a_slot(self):
        harness = harness_with(LoadControl.ON)
        while isinstance(await harness.run(opens=BEGIN), WorkDone):
            pass
        harness.targets["t1"].work_s = 0.4
        running = [asyncio.ensure_future(harness.run()) for _ in range(2)]
        await asyncio.sleep(0.02)
        assert (await harness.run(opens=BEGIN)).reason is Reason.CROWDED
        assert not any(one.done() for one in running)
        await asyncio.gather(*running)

    async def test_transactions_that_waited_together_are_limited_too(self):
        harness = harness_with(LoadControl.ON)
        answers = await asyncio.gather(*[harness.run(opens=BEGIN) for _ in range(20)])
        executor = harness.executors.for_target("t1")
        pool = executor.connections
        part = pool.allocation.share(pool.max_open) - 1
        opened = sum(isinstance(answer, WorkDone) for answer in answers)
        assert part <= opened < part + executor.slots.slots


class TestWaiting:
    async def test_a_statement_takes_over_a_connection_that_is_soon_released(
        self, holders
    ):
        pool = holders.first
        first = await pool.acquire("a", {})
        for _ in range(100):
            pool.allocation.statement.add(0.005)
        waiting = asyncio.ensure_future(pool.acquire("a", {}))
        await asyncio.sleep(0)
        conn = first.conn
        pool.release(first)
        assert (await waiting).conn is conn

    async def test_it_still_waits_after_load_control_is_switched_off(
        self, holders, monkeypatch
    ):
        """A catalog with fewer organisations made waiting statements raise errors."""
        monkeypatch.undo()
        pool = holders.first
        taken = [await pool.acquire(f"o{number}", {}) for number in range(SLOTS)]
        waiting = asyncio.ensure_future(pool.acquire("a", {}))
        await asyncio.sleep(0)
        pool.set_load_control(False)
        pool.release(taken[0])
        assert (await waiting).organisation == "a"

    async def test_a_connection_released_during_a_failed_opening_is_taken(
        self, holders, monkeypatch
    ):
        """It stayed idle while the statement kept its slot for 0.3 s."""
        monkeypatch.undo()
        pool = holders.first
        first = await pool.acquire("a", {})
        opening = asyncio.Event()
        refused = asyncio.get_running_loop().create_future()

        async def connect(*_):
            opening.set()
            return await refused

        monkeypatch.setattr(pool._backend, "connect", connect)
        waiting = asyncio.ensure_future(pool.acquire("a", {}))
        await opening.wait()
        conn = first.conn
        pool.release(first)
        error = ConnectFailed(Reason.NO_CONNECTION, "no new connection in time", True)
        pool.heard_at = clock.now() + 9.0
        refused.set_exception(error)
        began = clock.now()
        assert (await waiting).conn is conn
        assert clock.now() - began < 0.2

    async def test_a_cancelled_statement_is_no_longer_expected(self, holders):
        """Its organisation's connections would be kept for good."""
        pool = holders.first

        async def wait():
            with pool.expected("a"):
                await asyncio.sleep(60.0)

        task = asyncio.ensure_future(wait())
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        pool.release(await pool.acquire("a", {}))
        need_s = pool.allocation.next_need_s("a", pool.holdings()["a"], clock.now())
        assert need_s > 1.0


# How many handshakes of the former policy may remain; the loads are those of
# bench/connection_pools.py.
PLAYED = [
    (Load("75 on 29", 29), 0.85),
    (Load("75 on 58", 58), 0.85),
    (Load("one at 6 times", 43, burst=6.0, utilisation=0.75), 0.85),
    (Load("120 transactions", 29, transactions=120), 0.9),
]


class TestPlayedLoad:
    """Every third request needed a handshake, each 12 ms of a slot."""

    @pytest.mark.parametrize(("load", "remaining"), PLAYED, ids=lambda v: str(v)[:25])
    def test_fewer_handshakes_and_no_one_is_served_worse(self, load, remaining):
        former, allocated = play(load, False), play(load, True)
        assert allocated.handshakes < remaining * former.handshakes
        assert allocated.goal_share > former.goal_share - 0.005
        assert allocated.worst_share > former.worst_share - 0.02
