"""Plays an organisation above its plan and checks what its callers get.

Callers arrive at a multiple of the rate of the plan. A refused caller comes back when
it was told to, three times at most. The former policy told each the time of the next
token.
"""

import heapq
from dataclasses import dataclass, field

import pytest

from lavenderstack.core.queue.return_schedule import (
    MAX_SPREAD_S,
    MIN_RETRY_AFTER_S,
    ReturnSchedule,
)
from lavenderstack.core.quota.bucket import Bucket

RATE = 20.0
BURST = 10.0
MAX_TRIES = 3
GOAL_S = 0.2
ROUNDING_S = 1e-9
DURATION_S = 60.0


@dataclass
class Played:
    """What the callers got; ``delays_s`` are those of the operations served."""

    tries: int = 0
    asked: int = 0
    served: int = 0
    shortest_s: float = float("inf")
    delays_s: list[float] = field(default_factory=list)

    @property
    def refusals(self):
        return self.tries - self.served

    @property
    def in_time(self):
        return sum(delay <= GOAL_S for delay in self.delays_s)


def play(spread, load):
    """Play the load; with ``spread`` each refused caller gets a time of its own."""
    bucket = Bucket(at=0.0)
    bucket.resize(0.0, RATE, BURST)
    schedule, played = ReturnSchedule(), Played()
    count = int(DURATION_S * RATE * load)
    events = [(n / (RATE * load), n, 1, n / (RATE * load)) for n in range(count)]
    heapq.heapify(events)
    played.asked = count
    while events:
        now, number, tries, began = heapq.heappop(events)
        played.tries += 1
        if bucket.take(now):
            played.served += 1
            played.delays_s.append(now - began)
            continue
        first_s = (1.0 - bucket.level) / RATE
        retry_s = schedule.next_after_s(now, first_s, 1 / RATE) if spread else first_s
        played.shortest_s = min(played.shortest_s, retry_s)
        if tries < MAX_TRIES:
            heapq.heappush(events, (now + retry_s, number, tries + 1, began))
    return played


@pytest.mark.parametrize("load", [1.1, 1.5, 2.0, 4.0])
class TestLoadAboveThePlan:
    def test_as_many_are_served_in_time_with_fewer_refusals(self, load):
        spread, former = play(True, load), play(False, load)
        assert spread.served >= former.served - 1
        assert spread.in_time >= former.in_time - 0.01 * former.asked
        assert spread.refusals < former.refusals

    def test_the_whole_rate_is_used(self, load):
        assert play(True, load).served >= RATE * DURATION_S

    def test_no_caller_is_told_to_come_back_at_once(self, load):
        assert play(True, load).shortest_s >= MIN_RETRY_AFTER_S - ROUNDING_S


class TestSchedule:
    def test_each_refused_operation_gets_its_own_time(self):
        schedule = ReturnSchedule()
        told = [schedule.next_after_s(10.0, 0.02, 0.04) for _ in range(3)]
        assert told == pytest.approx([0.02, 0.06, 0.10])

    def test_times_are_spread_over_a_limited_span(self):
        schedule = ReturnSchedule()
        told = [schedule.next_after_s(10.0, 0.02, 0.5) for _ in range(5)]
        assert max(told) == pytest.approx(MAX_SPREAD_S)

    def test_a_token_that_comes_later_is_waited_for(self):
        assert ReturnSchedule().next_after_s(10.0, 0.6, 0.5) == pytest.approx(0.6)

    def test_times_that_have_passed_do_not_delay(self):
        schedule = ReturnSchedule()
        schedule.next_after_s(10.0, 0.02, 0.05)
        assert schedule.next_after_s(20.0, 0.02, 0.05) == pytest.approx(0.02)
