"""Tests of the fair queue."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lavenderstack.core.queue.fair_queue import CREDIT_ITEMS, FairQueue, QueueFull

WEIGHTS = {"a": 1.0, "b": 2.0, "c": 0.5}


def push_items(queue, counts, deadline=9.0):
    for organisation, count in counts.items():
        for i in range(count):
            item = f"{organisation}{i}"
            queue.push(organisation, WEIGHTS[organisation], item, deadline, 10**6)


class TestShares:
    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(
        extra=st.dictionaries(st.sampled_from(list(WEIGHTS)), st.integers(0, 300)),
        served=st.integers(1, 90),
    )
    def test_waiting_organisations_share_by_weight_within_one_item(self, extra, served):
        queue = FairQueue()
        push_items(queue, {name: 120 + extra.get(name, 0) for name in WEIGHTS})
        got = Counter(queue.pop(0.0)[0] for _ in range(served))
        for first in WEIGHTS:
            for second in WEIGHTS:
                gap = got[first] / WEIGHTS[first] - got[second] / WEIGHTS[second]
                assert gap <= 1 / WEIGHTS[first] + 1 / WEIGHTS[second]

    @pytest.mark.parametrize("served_meanwhile", [50, 500])
    def test_idle_time_earns_credit_for_a_few_items_only(self, served_meanwhile):
        queue = FairQueue()
        push_items(queue, {"a": served_meanwhile + 100})
        for _ in range(served_meanwhile):
            queue.pop(0.0)
        push_items(queue, {"b": 100})
        got = Counter(queue.pop(0.0)[0] for _ in range(30))
        assert got["a"] >= (30 - CREDIT_ITEMS) // 3

    def test_items_served_without_waiting_are_charged(self):
        queue = FairQueue()
        for _ in range(10):
            queue.serve_directly("a", 1.0, 1.0)
        queue.push("a", 1.0, "a0", 9.0, 10)
        queue.push("b", 1.0, "b0", 9.0, 10)
        assert queue.pop(0.0) == "b0"

    def test_expensive_items_are_charged_for(self):
        queue = FairQueue()
        push_items(queue, {"a": 60, "b": 60})
        got = []
        for _ in range(40):
            got.append(queue.pop(0.0)[0])
            if got[-1] == "b":
                queue.correct_cost("b", WEIGHTS["b"], 3.0)
        # b has twice the weight and costs four times as much.
        assert 10 <= got.count("b") <= 15


class TestBounds:
    def test_a_full_queue_refuses_only_its_own_organisation(self):
        queue = FairQueue()
        for i in range(3):
            queue.push("a", 1.0, i, 9.0, 3)
        with pytest.raises(QueueFull):
            queue.push("a", 1.0, 4, 9.0, 3)
        queue.push("b", 1.0, 5, 9.0, 3)
        assert queue.length_of("a") == 3

    def test_late_items_are_returned_at_once_and_never_served(self):
        queue = FairQueue()
        for item, deadline in (("x", 1.0), ("y", 5.0), ("z", 2.0)):
            queue.push("a", 1.0, item, deadline, 9)
        assert queue.next_deadline() == 1.0
        assert queue.expire(2.0) == ["x", "z"]
        assert (queue.pop(2.0), queue.pop(2.0), len(queue)) == ("y", None, 0)

    def test_an_item_late_at_its_turn_is_returned_by_expire(self):
        queue = FairQueue()
        queue.push("a", 1.0, "x", 1.0, 9)
        assert queue.pop(1.0) is None
        assert (len(queue), queue.expire(1.0), len(queue)) == (1, ["x"], 0)


class TestAnyOrder:
    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["push", "pop", "remove", "expire", "direct"]),
                st.sampled_from(list(WEIGHTS)),
                st.integers(0, 40),
            ),
            max_size=120,
        )
    )
    def test_every_item_leaves_exactly_once(self, steps):
        queue, waiting, now = FairQueue(), {}, 0.0
        for number, (operation, organisation, value) in enumerate(steps):
            now += 0.1
            if operation == "push":
                waiting[number] = now + value / 10
                queue.push(
                    organisation, WEIGHTS[organisation], number, waiting[number], 99
                )
            elif operation == "pop":
                item = queue.pop(now)
                servable = [key for key, deadline in waiting.items() if deadline > now]
                assert (item is None) == (not servable)
                if item is not None:
                    assert waiting.pop(item) > now
            elif operation == "remove" and waiting:
                item = list(waiting)[value % len(waiting)]
                assert queue.remove(item) and not queue.remove(item)
                del waiting[item]
            elif operation == "expire":
                for item in queue.expire(now):
                    assert waiting.pop(item) <= now
                assert all(deadline > now for deadline in waiting.values())
            elif operation == "direct" and not waiting:
                queue.serve_directly(organisation, 1.0, 1.0)
            assert len(queue) == len(waiting)

    def test_dead_entries_do_not_accumulate(self):
        queue = FairQueue()
        for i in range(5000):
            queue.push("a", 1.0, i, 1e9, 10)
            queue.remove(i)
        assert len(queue._deadlines) < 200
        assert len(queue._queues["a"].items) < 200
