"""Tests of the order of waiting statements."""

from collections import Counter
from itertools import count

import pytest

from lavenderstack.core.queue.fair_queue import QueueFull
from lavenderstack.core.queue.statement_order import Kind, StatementOrder, Urgency

WRITE, SESSION, READ = Kind(0, 0.2), Kind(1, 0.4), Kind(2, 1.2)
COSTS_S = {WRITE: 0.008, SESSION: 0.024, READ: 0.04}


def order_of(*kinds):
    order = StatementOrder()
    for kind in kinds:
        order.kind(kind).cost_s = COSTS_S.get(kind, 0.01)
    return order


def urgency(kind, at=0.0, priority=2, deadline_s=6.0):
    return Urgency(kind, at + kind.goal_s, at + deadline_s, priority)


class TestOrder:
    def test_kinds_of_equal_priority_go_by_the_time_left(self):
        """Guards against treating two kinds of deployment (b) alike."""
        short, long = Kind(2, 0.3), Kind(2, 0.5)
        order = order_of(short, long)
        order.push("o", urgency(long, at=0.0), "old", 10)
        order.push("o", urgency(short, at=0.1), "short", 10)
        order.push("o", urgency(long, at=0.1), "new", 10)
        assert [order.pop(0.1) for _ in range(3)] == ["short", "old", "new"]

    def test_what_missed_its_goal_goes_after_what_can_meet_it(self):
        order = order_of(WRITE, READ)
        order.push("o", urgency(WRITE), "late write", 10)
        order.push("o", urgency(READ), "read", 10)
        assert [order.pop(0.5) for _ in range(2)] == ["read", "late write"]

    def test_of_late_ones_the_more_urgent_goes_first(self):
        order = order_of(WRITE, READ)
        order.push("o", urgency(READ), "read", 10, late=True)
        order.push("o", urgency(WRITE), "write", 10, late=True)
        assert [order.pop(0.5) for _ in range(2)] == ["write", "read"]

    def test_a_statement_past_its_deadline_is_never_served(self):
        order = order_of(WRITE)
        order.push("o", urgency(WRITE, deadline_s=2.0), "w", 10)
        assert order.pop(1.995) is None
        assert order.expire(2.0) == ["w"]
        assert (len(order), order.next_deadline()) == (0, None)

    def test_organisations_are_served_in_proportion_to_their_priorities(self):
        order = order_of(READ)
        for number in range(60):
            for priority in (0, 1, 2):
                item = (priority, number)
                order.push(f"o{priority}", urgency(READ, priority=priority), item, 100)
        served = Counter(order.pop(0.0)[0] for _ in range(70))
        assert served[0] == pytest.approx(40, abs=3)
        assert served[1] == pytest.approx(20, abs=3)

    def test_a_removed_statement_is_not_served(self):
        order = order_of(WRITE)
        order.push("o", urgency(WRITE), "a", 10)
        order.push("o", urgency(WRITE), "b", 10)
        assert order.remove("a")
        assert not order.remove("a")
        assert (order.pop(0.0), order.length_of("o")) == ("b", 0)

    @pytest.mark.parametrize(("before", "after"), [(0, 3), (3, 0)])
    def test_a_changed_priority_leaves_no_weight_behind(self, before, after):
        """Guards against waits that stay wrong for as long as others wait."""
        order = order_of(READ)
        order.push("other", urgency(READ, priority=2), "other", 10)
        for priority in (before, after):
            order.push("o", urgency(READ, priority=priority), priority, 10)
        for priority in (before, after):
            order.remove(priority)
        assert order.kind(READ).on_time.weight == 0.25

    def test_an_organisation_may_not_wait_without_limit(self):
        order = order_of(WRITE)
        order.push("o", urgency(WRITE), "a", 1)
        with pytest.raises(QueueFull):
            order.push("o", urgency(WRITE), "b", 1)
        assert len(order) == 1


class TestMinimumShare:
    def test_no_kind_starves_behind_a_burst_of_writes(self):
        """Guards against reads and session work that only run after a burst of 2.4."""
        order, numbers, used = order_of(WRITE, SESSION, READ), count(), Counter()
        now = 0.0
        while now < 20.0:
            for kind in COSTS_S:
                if order.kind(kind).on_time.counts["o"] < 5:
                    order.push("o", urgency(kind, now), (kind, next(numbers)), 100)
            kind, _ = order.pop(now)
            used[kind] += COSTS_S[kind]
            now += COSTS_S[kind]
        for kind in (SESSION, READ):
            assert used[kind] / 20.0 == pytest.approx(0.09, abs=0.02)
        assert used[WRITE] / 20.0 > 0.75
