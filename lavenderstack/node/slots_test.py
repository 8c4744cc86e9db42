"""Tests of the slots of a target."""

import asyncio
import random

import pytest

from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.node.slots import Slots


class Clock:
    """A clock that is set by hand; the timers of the loop stay real."""

    def __init__(self):
        self.time = 0.0

    def __call__(self):
        return self.time


async def spin():
    for _ in range(5):
        await asyncio.sleep(0)


class Holding:
    """A request that holds a slot until told to let go."""

    def __init__(self, slots, organisation="o", deadline=99.0, longest=50):
        self.running = False
        self.let_go = asyncio.Event()
        args = (slots, organisation, deadline, longest)
        self.task = asyncio.ensure_future(self._run(*args))

    async def _run(self, slots, organisation, deadline, longest):
        async with slots.acquire(organisation, 1.0, deadline, longest):
            self.running = True
            await self.let_go.wait()


async def end(holdings):
    for one in holdings:
        one.let_go.set()
    return await asyncio.gather(*(one.task for one in holdings), return_exceptions=True)


class TestTake:
    async def test_no_more_than_the_slots_run_at_once(self):
        slots = Slots(2, Clock())
        all_of = [Holding(slots) for _ in range(5)]
        await spin()
        assert [one.running for one in all_of] == [True, True, False, False, False]
        all_of[0].let_go.set()
        await spin()
        assert all_of[2].running
        await end(all_of)
        assert (slots.free, len(slots.queue)) == (2, 0)

    async def test_another_organisation_overtakes_a_long_line(self):
        slots = Slots(1, Clock())
        line = [Holding(slots, "loud") for _ in range(20)]
        await spin()
        quiet = Holding(slots, "quiet")
        await spin()
        line[0].let_go.set()
        await spin()
        assert quiet.running
        await end([*line, quiet])

    async def test_late_ones_are_refused_when_their_time_comes(self):
        clock = Clock()
        slots = Slots(1, clock)
        first, late = Holding(slots), Holding(slots, deadline=0.01)
        await spin()
        clock.time = 0.02
        (refused,) = await asyncio.gather(late.task, return_exceptions=True)
        assert refused.reason is Reason.DEADLINE
        await end([first])
        assert slots.free == 1

    async def test_a_full_line_is_refused_with_a_time_to_come_back(self):
        slots = Slots(1, Clock())
        all_of = [Holding(slots, longest=1) for _ in range(3)]
        await spin()
        with pytest.raises(Refused) as caught:
            await all_of[2].task
        assert caught.value.reason is Reason.CROWDED
        assert caught.value.retry_after_s > 0
        await end(all_of)

    async def test_a_request_without_time_never_starts(self):
        with pytest.raises(Refused):
            async with Slots(1, Clock()).acquire("o", 1.0, 0.0):
                pass


class TestCancelled:
    @pytest.mark.parametrize("let_go_first", [True, False])
    async def test_one_cancelled_as_it_gets_its_slot_passes_it_on(self, let_go_first):
        slots = Slots(1, Clock())
        first, second, third = (Holding(slots) for _ in range(3))
        await spin()
        if let_go_first:
            first.let_go.set()
            await asyncio.sleep(0)
            second.task.cancel()
        else:
            second.task.cancel()
            first.let_go.set()
        await spin()
        assert third.running and not second.running
        assert len(slots.queue) == 0
        await end([first, third])
        assert slots.free == 1

    async def test_one_cancelled_while_it_waits_leaves_the_queue_at_once(self):
        slots = Slots(1, Clock())
        first, second = Holding(slots), Holding(slots)
        await spin()
        second.task.cancel()
        await spin()
        assert len(slots.queue) == 0
        await end([first])

    @pytest.mark.parametrize("seed", range(10))
    async def test_no_order_of_events_leaks_a_slot(self, seed):
        rng = random.Random(seed)
        clock = Clock()
        slots = Slots(3, clock)
        all_of = []
        for _ in range(400):
            event = rng.random()
            if event < 0.4:
                left_s = rng.choice([0.0, 0.05, 99.0])
                name = rng.choice("abc")
                all_of.append(Holding(slots, name, clock.time + left_s))
            elif event < 0.6 and all_of:
                rng.choice(all_of).task.cancel()
            elif event < 0.8 and all_of:
                rng.choice(all_of).let_go.set()
            elif event < 0.85:
                slots.resize(rng.choice([1, 3, 5]))
            else:
                clock.time += 0.01
                await asyncio.sleep(0)
            running = sum(one.running and not one.task.done() for one in all_of)
            assert running <= 5
        slots.resize(3)
        await end(all_of)
        assert (slots.free, len(slots.queue)) == (3, 0)
