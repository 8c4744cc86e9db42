"""Tests of the pool of connections to a target that allows few."""

import asyncio

import pytest

from lavenderstack.core import clock
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.view import Plan, Target
from lavenderstack.core.view_proof import ViewProof
from lavenderstack.core.work_messages import PrimaryPosition
from lavenderstack.node.backend import ConnectFailed
from lavenderstack.node.backend_fake import FakeBackend, FakeGroup, FakeTarget
from lavenderstack.node.directory import Directory
from lavenderstack.node.targets.target_connections import (
    REFUSED_PAUSE_S,
    RELEASE_WAIT_S,
    TargetConnections,
)
from lavenderstack.node.targets.target_health import TargetHealth


def pool_of(max_connections, dead=0):
    """Return a first choice's pool for a target with 3 slots, and the fake target."""
    fake = FakeTarget("t1", leads=True)
    fake.max_connections, fake.dead_connections = max_connections, dead
    group = FakeGroup({"t1": fake})
    target = Target("t1", "z1", "10.0.0.1", 1, 3, max_connections)
    pool = TargetConnections(FakeBackend(group), target, "g")
    pool.set_limits(target, first_choice=True)
    return pool, fake


class TestFullTarget:
    async def test_statements_wait_for_an_own_connection_instead_of_failing(self):
        """Found on cbwca-pool trouble-2 after a loss of power of all nodes.

        Each refused connection ended its statement at once, was tried again, and was
        refused again: 1,559 failures in 2 s.
        """
        pool, fake = pool_of(21, dead=20)
        first = await pool.acquire("a", {})
        waiting = asyncio.ensure_future(pool.acquire("a", {}))
        await asyncio.sleep(0.02)
        assert not waiting.done()
        conn = first.conn
        pool.release(first)
        assert (await waiting).conn is conn

    async def test_connection_of_another_organisation_makes_room(self):
        pool, fake = pool_of(21, dead=20)
        pool.release(await pool.acquire("a", {}))
        pooled = await pool.acquire("b", {})
        assert pooled.organisation == "b"
        assert len(pool) == 1

    async def test_without_an_own_connection_the_refusal_comes_at_once(self):
        pool, fake = pool_of(21, dead=21)
        began = clock.now()
        with pytest.raises(ConnectFailed) as raised:
            await pool.acquire("a", {})
        assert raised.value.reason is Reason.NO_CONNECTION
        assert clock.now() - began < RELEASE_WAIT_S / 2

    async def test_full_target_is_not_asked_again_at_once(self):
        pool, fake = pool_of(21, dead=21)
        for _ in range(50):
            with pytest.raises(ConnectFailed):
                await pool.acquire("a", {})
        assert fake.connects == 1
        await asyncio.sleep(REFUSED_PAUSE_S)
        fake.dead_connections = 0
        assert (await pool.acquire("a", {})).organisation == "a"


class TestSlowHandshake:
    """One connection that isn't opened in time must not end all others.

    Found on prairie-ops trouble-1: every two seconds a holder took a working target for
    lost, closed its connections under running statements and refused for 0.4 s.
    """

    async def time_out_beside(self, answered):
        pool, fake = pool_of(21)
        first = await pool.acquire("a", {})
        fake.connect_s = 9.0
        opening = asyncio.ensure_future(pool.acquire("b", {}))
        await asyncio.sleep(0.02)
        if answered:
            pool.record_answer()
        with pytest.raises(ConnectFailed) as raised:
            await opening
        return raised.value.reason, first

    async def test_target_that_answers_meanwhile_is_not_lost(self):
        reason, first = await self.time_out_beside(answered=True)
        assert reason is Reason.NO_CONNECTION
        assert not first.conn.closed

    async def test_target_that_answers_nothing_is_lost(self):
        reason, _ = await self.time_out_beside(answered=False)
        assert reason is Reason.UNREACHABLE


class TestProbingAFullTarget:
    def health(self, pool):
        directory = Directory("n1", "z1", ViewProof(limit_s=5.0))
        plans = {"a": Plan("a", 1, 1)}
        directory.catalog = type(directory.catalog)(version=1, plans=plans)
        return TargetHealth(pool.target, pool, directory)

    async def test_refusal_of_a_connection_is_told_apart_from_silence(self):
        pool, _ = pool_of(21, dead=21)
        answer = await self.health(pool).primary_position(0.1)
        assert isinstance(answer, Failed)
        assert answer.reason == Reason.NO_CONNECTION

    async def test_refusal_is_told_at_once_while_own_connections_are_in_use(self):
        """The group's owner waits for a quarter of a second."""
        pool, fake = pool_of(21, dead=20)
        await pool.acquire("a", {})
        for _ in range(2):
            began = clock.now()
            answer = await self.health(pool).primary_position(0.1)
            assert answer.reason == Reason.NO_CONNECTION
            assert clock.now() - began < RELEASE_WAIT_S / 2

    async def test_own_connections_in_use_say_nothing_about_the_target(self):
        """A primary that went dark holds all of them; it must be replaced."""
        pool, fake = pool_of(21)
        for _ in range(pool.max_open):
            await pool.acquire("a", {})
        answer = await self.health(pool).primary_position(0.1)
        assert answer.reason == Reason.NO_PRIMARY

    async def test_primary_with_room_gives_its_position(self):
        pool, _ = pool_of(21)
        answer = await self.health(pool).primary_position(0.1)
        assert isinstance(answer, PrimaryPosition)
