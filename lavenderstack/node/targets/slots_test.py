"""Tests of the slots of a target."""

import asyncio
import random

import pytest

from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.queue.statement_order import Kind, Urgency
from lavenderstack.node.targets.slots import Slots


class ManualClock:
    """A clock that tests advance; timers of the event loop use real time."""

    def __init__(self):
        self.time = 0.0

    def __call__(self):
        return self.time


async def run_pending():
    for _ in range(5):
        await asyncio.sleep(0)


class SlotUser:
    """A request that holds a slot until ``may_end`` is set."""

    def __init__(self, slots, organisation="o", deadline=99.0, max_queued=50):
        self.running = False
        self.may_end = asyncio.Event()
        args = (slots, organisation, deadline, max_queued)
        self.task = asyncio.ensure_future(self._run(*args))

    async def _run(self, slots, organisation, deadline, max_queued):
        async with slots.acquire(organisation, 1.0, deadline, max_queued):
            self.running = True
            await self.may_end.wait()


async def end(users):
    for user in users:
        user.may_end.set()
    return await asyncio.gather(*(user.task for user in users), return_exceptions=True)


class TestAcquire:
    async def test_at_most_slots_requests_run_at_once(self):
        slots = Slots(2, ManualClock())
        users = [SlotUser(slots) for _ in range(5)]
        await run_pending()
        assert [user.running for user in users] == [True, True, False, False, False]
        users[0].may_end.set()
        await run_pending()
        assert users[2].running
        await end(users)
        assert (slots.free, len(slots.queue)) == (2, 0)

    async def test_other_organisation_overtakes_a_long_queue(self):
        slots = Slots(1, ManualClock())
        queued = [SlotUser(slots, "busy") for _ in range(20)]
        await run_pending()
        other = SlotUser(slots, "other")
        await run_pending()
        queued[0].may_end.set()
        await run_pending()
        assert other.running
        await end([*queued, other])

    async def test_waiting_request_is_refused_at_its_deadline(self):
        clock = ManualClock()
        slots = Slots(1, clock)
        first, late = SlotUser(slots), SlotUser(slots, deadline=0.01)
        await run_pending()
        clock.time = 0.02
        (refused,) = await asyncio.gather(late.task, return_exceptions=True)
        assert refused.reason is Reason.DEADLINE
        await end([first])
        assert slots.free == 1

    async def test_request_past_its_deadline_gets_no_slot_under_load_control(self):
        """A read whose wait for a position outlasts its deadline was sent anyway."""
        slots = Slots(1, lambda: 5.0)
        urgency = Urgency(Kind(2, 1.0), 4.5, 5.0, 2)
        with pytest.raises(Refused) as caught:
            async with slots.acquire_by_urgency("o", urgency, False, 10):
                pass
        assert caught.value.reason is Reason.DEADLINE
        assert (slots.free, slots.waiting) == (1, 0)

    async def test_full_queue_is_refused_with_a_retry_time(self):
        slots = Slots(1, ManualClock())
        users = [SlotUser(slots, max_queued=1) for _ in range(3)]
        await run_pending()
        with pytest.raises(Refused) as caught:
            await users[2].task
        assert caught.value.reason is Reason.CROWDED
        assert caught.value.retry_after_s > 0
        await end(users)

    async def test_request_past_its_deadline_never_starts(self):
        with pytest.raises(Refused):
            async with Slots(1, ManualClock()).acquire("o", 1.0, 0.0):
                pass


class TestCancelled:
    @pytest.mark.parametrize("end_first", [True, False])
    async def test_request_cancelled_on_getting_a_slot_passes_it_on(self, end_first):
        slots = Slots(1, ManualClock())
        first, second, third = (SlotUser(slots) for _ in range(3))
        await run_pending()
        if end_first:
            first.may_end.set()
            await asyncio.sleep(0)
            second.task.cancel()
        else:
            second.task.cancel()
            first.may_end.set()
        await run_pending()
        assert third.running and not second.running
        assert len(slots.queue) == 0
        await end([first, third])
        assert slots.free == 1

    async def test_request_cancelled_while_waiting_leaves_the_queue(self):
        slots = Slots(1, ManualClock())
        first, second = SlotUser(slots), SlotUser(slots)
        await run_pending()
        second.task.cancel()
        await run_pending()
        assert len(slots.queue) == 0
        await end([first])

    @pytest.mark.parametrize("seed", range(10))
    async def test_no_order_of_events_leaks_a_slot(self, seed):
        rng = random.Random(seed)
        clock = ManualClock()
        slots = Slots(3, clock)
        users = []
        for _ in range(400):
            event = rng.random()
            if event < 0.4:
                left_s = rng.choice([0.0, 0.05, 99.0])
                name = rng.choice("abc")
                users.append(SlotUser(slots, name, clock.time + left_s))
            elif event < 0.6 and users:
                rng.choice(users).task.cancel()
            elif event < 0.8 and users:
                rng.choice(users).may_end.set()
            elif event < 0.85:
                slots.resize(rng.choice([1, 3, 5]))
            else:
                clock.time += 0.01
                await asyncio.sleep(0)
            running = sum(user.running and not user.task.done() for user in users)
            assert running <= 5
        slots.resize(3)
        await end(users)
        assert (slots.free, len(slots.queue)) == (3, 0)
