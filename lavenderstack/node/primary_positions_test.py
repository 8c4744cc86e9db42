"""Tests of the positions that aged reads must see."""

import asyncio

import pytest

from lavenderstack.core import clock
from lavenderstack.core.members import Members
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.position import Position
from lavenderstack.core.position_history import PositionHistory
from lavenderstack.core.view import Target, Vm
from lavenderstack.core.view_proof import ViewProof
from lavenderstack.core.work_messages import PrimaryPosition
from lavenderstack.node.directory import Directory
from lavenderstack.node.peers import Peers
from lavenderstack.node.primary_positions import PrimaryPositions
from lavenderstack.node.streams import StreamPool

NO_ANSWER_S = 3600.0


class PositionsHarness:
    """A node whose primary is held by another node.

    That node answers after ``answer_s`` seconds with a position of age ``age_s``.
    """

    def __init__(self, answer_s=0.0, age_s=0.0):
        directory = Directory("n1", "z1", ViewProof(limit_s=5.0))
        directory.put_member(Vm("n2", "z2", "10.0.0.1", 2))
        target = Target("t1", "z2", "10.0.0.1", 1, 2, 30)
        directory.put_target(target, "g", False, True, 1)
        self.answer_s, self.age_s = answer_s, age_s
        self.asked = 0
        self.own = PositionHistory()
        peers = Peers("n1", lambda: directory.view, StreamPool(), Members("n1"))
        peers.ask = self.ask
        self.positions = PrimaryPositions(directory, peers, lambda _: self.own)

    async def ask(self, vm, msg, timeout_s):
        self.asked += 1
        async with asyncio.timeout(timeout_s):
            await asyncio.sleep(self.answer_s)
        return PrimaryPosition(Position(1, 7), self.age_s)

    async def min_position(self, max_age_s=2.0, within_s=0.5):
        return await self.positions.min_position_for(
            "g", max_age_s, clock.now(), within_s
        )


class TestMinPosition:
    async def test_the_first_read_waits_for_the_first_answer(self):
        assert await PositionsHarness().min_position() == Position(1, 7)

    async def test_concurrent_reads_share_a_request(self):
        harness = PositionsHarness()
        await asyncio.gather(*(harness.min_position() for _ in range(20)))
        assert harness.asked == 1

    async def test_positions_observed_at_this_node_need_no_request(self):
        harness = PositionsHarness(answer_s=NO_ANSWER_S)
        harness.own.add(Position(1, 3), clock.now())
        assert await harness.min_position() == Position(1, 3)

    async def test_read_is_refused_if_the_position_is_too_old(self):
        harness = PositionsHarness(age_s=9.0)
        with pytest.raises(Refused) as refusal:
            await harness.min_position()
        assert refusal.value.reason is Reason.BEHIND

    async def test_wait_for_an_answer_is_limited(self):
        """Guards against waiting half a second for each target (incident inc-60c6)."""
        harness = PositionsHarness(answer_s=NO_ANSWER_S)
        reads = asyncio.ensure_future(harness.min_position(within_s=0.01))
        done, _ = await asyncio.wait([reads], timeout=0.25)
        assert done
        assert reads.exception().reason is Reason.BEHIND
