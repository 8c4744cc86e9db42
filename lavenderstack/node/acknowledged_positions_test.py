"""Tests of commits that wait while acknowledgements are held back."""

import asyncio

from lavenderstack.core import clock
from lavenderstack.core.failover.acknowledgement_hold import HoldNumber
from lavenderstack.core.position import Position
from lavenderstack.node.acknowledged_positions import AcknowledgedPositions

NUMBER = HoldNumber(7, 1)
COMMIT = Position(2, 41)


class TestHeldCommit:
    """A held commit must neither be acknowledged early nor fail without a reason."""

    def hold(self):
        positions = AcknowledgedPositions()
        assert positions.hold("g", 2, NUMBER)
        return positions

    def record(self, positions, limit_s=5.0):
        now = clock.now()
        commit = positions.record("g", COMMIT, now, now + limit_s)
        return asyncio.ensure_future(commit)

    async def test_it_is_acknowledged_once_the_hold_is_released(self):
        positions = self.hold()
        recording = self.record(positions)
        await asyncio.sleep(0)
        assert not recording.done()
        positions.release("g", NUMBER)
        assert await recording
        assert positions.highest("g") == COMMIT

    async def test_it_is_not_acknowledged_if_a_replica_takes_over(self):
        positions = self.hold()
        recording = self.record(positions)
        await asyncio.sleep(0)
        positions.primary_replaced("g")
        assert not await recording
        assert positions.highest("g") < COMMIT

    async def test_it_is_answered_at_once_after_the_takeover(self):
        positions = self.hold()
        positions.primary_replaced("g")
        assert not await asyncio.wait_for(self.record(positions), 1.0)

    async def test_it_waits_no_longer_than_its_deadline(self):
        assert not await self.record(self.hold(), limit_s=0.02)

    async def test_a_second_hold_does_not_let_it_pass(self):
        positions = self.hold()
        recording = self.record(positions)
        await asyncio.sleep(0)
        assert positions.hold("g", 2, HoldNumber(7, 2))
        positions.release("g", NUMBER)
        await asyncio.sleep(0)
        assert not recording.done()
        positions.release("g", HoldNumber(7, 2))
        assert await recording

    async def test_it_is_acknowledged_once_the_successor_has_received_it(self):
        positions = self.hold()
        recording = self.record(positions)
        await asyncio.sleep(0)
        assert positions.hold("g", 2, HoldNumber(7, 2), Position(2, 40))
        await asyncio.sleep(0)
        assert not recording.done()
        assert positions.hold("g", 2, HoldNumber(7, 3), COMMIT)
        assert await recording
        assert positions.hold("g", 2, HoldNumber(7, 4))
        later = positions.record("g", Position(2, 42), 0.0, clock.now() + 0.02)
        assert not await later


class TestCommitOfAFormerLead:
    """Its position is below those of the present lead, whose log may lack it."""

    async def record(self, positions, position):
        now = clock.now()
        return await positions.record("g", position, now, now + 0.01)

    async def test_it_is_not_acknowledged_after_one_of_the_present_lead(self):
        """Found by ``bench promotions --late --joins served``, seed 197."""
        positions = AcknowledgedPositions()
        assert await self.record(positions, Position(6, 259))
        assert not await self.record(positions, Position(5, 264))

    async def test_a_later_hold_does_not_let_it_through(self):
        positions = AcknowledgedPositions()
        assert await self.record(positions, Position(6, 259))
        assert positions.hold("g", 7, NUMBER)
        assert not await self.record(positions, Position(5, 264))
