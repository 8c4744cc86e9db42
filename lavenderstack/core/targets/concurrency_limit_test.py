"""Tests of the learned concurrency limit, at targets that are always full.

``bench concurrency`` plays whole loads; these tests have a loop that starts a statement
whenever the limit allows one, so that each guards against one failure.
"""

import random

import pytest

from lavenderstack.core.targets.concurrency_limit import ConcurrencyLimit, Sample

SLOTS = 5
WORK_S = {"write": 0.008, "read": 0.04}


class FullTarget:
    """A target whose limit is always reached; ``factor`` of the number running."""

    def __init__(self, limit, factor, kinds=("write", "read"), tail=0.03):
        self.limit, self.factor, self.kinds, self.tail = limit, factor, kinds, tail
        self.rng, self.now, self.running = random.Random(7), 0.0, []
        self.seen = []

    def run(self, duration_s):
        end = self.now + duration_s
        while self.now < end:
            while len(self.running) < self.limit.limit:
                number = len(self.running) + 1
                kind = self.rng.choice(self.kinds)
                took_s = WORK_S[kind] * self.factor(max(number, self.limit.limit))
                took_s *= 7 if self.rng.random() < self.tail else 1
                took_s *= self.rng.uniform(0.7, 1.3)
                self.running.append((self.now + took_s, self.now, number, kind))
            self.running.sort()
            self.now, started, number, kind = self.running.pop(0)
            running = max(number, len(self.running) + 1)
            self.limit.add(Sample(kind, started, self.now, running))
            self.seen.append(self.limit.limit)
        return self.limit.limit


def flat(slowness):
    return lambda number: slowness


def cores(number_of_cores):
    return lambda number: max(1.0, number / number_of_cores)


def started(factor=None):
    target = FullTarget(ConcurrencyLimit(SLOTS), factor or flat(1.0))
    assert target.run(3.0) == SLOTS
    return target


class TestSlowdown:
    def test_it_falls_where_more_statements_only_wait(self):
        target = started()
        target.factor = cores(1)
        assert target.run(1.0) <= 2
        target.factor = flat(1.0)
        assert target.run(3.0) >= 0.9 * SLOTS

    def test_it_stays_where_time_does_not_depend_on_concurrency(self):
        """Guards against a slow target that also loses its capacity."""
        target = started()
        target.factor = flat(5.0)
        target.run(4.0)
        assert target.run(6.0) == SLOTS
        assert sum(limit < SLOTS for limit in target.seen) < 0.1 * len(target.seen)

    def test_a_target_with_few_cores_is_not_given_all_slots_at_the_start(self):
        assert FullTarget(ConcurrencyLimit(20), cores(4)).run(5.0) <= 8

    @pytest.mark.parametrize(("took_s", "expected"), [(0.04, SLOTS), (0.016, 2)])
    def test_a_check_ends_while_open_transactions_run(self, took_s, expected):
        """Guards against a check that waits for statements alone, which never come."""
        target = FullTarget(ConcurrencyLimit(SLOTS), flat(1.0), ("write",), tail=0.0)
        target.run(3.0)
        target.factor = cores(1)
        for _ in range(1000):
            if target.limit.limit > 1:
                target.run(0.001)
        assert target.limit.limit == 1
        for number in range(5):
            at = target.now + number / 10
            target.limit.add(Sample("write", at, at + took_s, running=2))
        assert target.limit.limit == expected


class TestNoise:
    @pytest.mark.parametrize("kinds", [("write",), ("write", "read")])
    def test_a_heavy_tail_costs_less_than_a_hundredth(self, kinds):
        target = FullTarget(ConcurrencyLimit(SLOTS), flat(1.0), kinds)
        target.run(2.0)
        target.seen.clear()
        target.run(60.0)
        assert sum(target.seen) >= 0.99 * SLOTS * len(target.seen)

    def test_a_changing_mix_is_not_a_slow_target(self):
        target = started()
        target.seen.clear()
        for number in range(20):
            target.kinds = (["write"] * 9 + ["read"], ["read"])[number % 2]
            target.run(1.0)
        assert sum(target.seen) >= 0.98 * SLOTS * len(target.seen)

    def test_a_time_out_soon_after_the_start_is_not_a_fast_target(self):
        """Guards against statements that were sent just before their deadline."""
        target = started()
        target.seen.clear()
        for _ in range(5):
            at = target.now
            for _ in range(20):
                sample = Sample("read", at, at + 0.001, SLOTS, timed_out=True)
                target.limit.add(sample)
            target.run(1.0)
        assert sum(target.seen) >= 0.98 * SLOTS * len(target.seen)

    def test_it_does_not_drift_without_traffic(self):
        target = started(cores(SLOTS))
        target.factor = cores(1)
        target.run(3.0)
        before = target.limit.limit
        for number in range(3):
            at = target.now + 100.0 * number
            target.limit.add(Sample("write", at, at + 0.008, running=1))
        assert target.limit.limit == before


class TestStart:
    @pytest.mark.parametrize(("slots", "first"), [(1, 1), (4, 2), (5, 2), (40, 10)])
    def test_a_start_is_careful_but_never_one_statement(self, slots, first):
        limit = ConcurrencyLimit(slots)
        assert limit.limit == first
        assert FullTarget(limit, flat(1.0), tail=0.0).run(1.5) == slots

    def test_a_known_limit_counts_before_the_first_statement_only(self):
        limit = ConcurrencyLimit(SLOTS)
        limit.resume(3)
        assert limit.limit == 3
        limit.add(Sample("read", 0.0, 0.04, 1))
        limit.resume(5)
        assert limit.limit == 3

    def test_declared_slots_are_never_exceeded(self):
        target = started()
        target.limit.resize(2)
        assert target.limit.limit == 2
        target.run(2.0)
        assert max(target.seen[-50:]) == 2
        target.limit.resize(SLOTS)
        assert target.run(2.0) == SLOTS
