"""Tests of which orders may still take effect."""

import pytest

from lavenderstack.core.failover.pending_orders import PendingOrders, Traces


def owner(traces=Traces.NONE, **own):
    """Return the orders of an owner: targets by epoch, as ``e11="t2"``."""
    orders = PendingOrders(traces=traces)
    for epoch, target in own.items():
        orders.sent(target, int(epoch.removeprefix("e")))
    return orders


class TestTraces:
    """Guards against acting on what a former owner's order may undo."""

    @pytest.mark.parametrize(
        ("found", "complete", "traces"),
        [
            (True, True, Traces.FOUND),
            (True, False, Traces.FOUND),
            (False, True, Traces.NONE),
            (False, False, Traces.NOT_SOUGHT),
        ],
    )
    def test_a_silent_replica_leaves_it_open(self, found, complete, traces):
        orders = PendingOrders()
        orders.sought(found, complete)
        assert orders.traces is traces

    def test_what_the_owner_paused_itself_is_none(self):
        orders = owner()
        orders.sought(found=True, complete=True)
        assert orders.traces is Traces.NONE

    def test_they_are_sought_again_under_a_new_claim(self):
        orders = owner(e11="t2")
        orders.begin_ownership()
        assert orders.endanger("t2") and not orders.may_undo("t2")

    def test_they_stay_until_the_fence_has_held_for_long_enough(self):
        orders = owner(Traces.FOUND, e11="t1")
        orders.fenced(11, over_at=5.0, repeated=False)
        assert orders.are_ending(4.9) and orders.may_undo("t1")
        assert not orders.are_ending(5.0)
        orders.end_fenced()
        assert not orders.endanger("t1")


class TestOwnOrders:
    """Guards against two orders that are both carried out, one after the other."""

    def test_one_that_names_the_primary_is_harmless(self):
        orders = owner(e11="t2")
        assert orders.endanger("t1")
        assert not orders.endanger("t2")

    def test_a_refused_one_is_over_but_not_an_earlier_one_of_its_target(self):
        orders = owner(e11="t2", e12="t2")
        orders.refused(12)
        assert orders.others("t1") == {"t2"}

    def test_one_without_an_answer_stands_for_earlier_ones_of_its_target(self):
        orders = owner(e11="t2", e12="t3", e13="t2")
        orders.unanswered(13)
        assert orders.own == {12: "t3", 13: "t2"}

    def test_a_fence_ends_earlier_epochs_only(self):
        orders = owner(e11="t2", e12="t1")
        orders.fenced(12, over_at=0.0, repeated=True)
        orders.end_fenced()
        assert orders.own == {12: "t1"}
        assert not orders.endanger("t1")
        assert orders.endanger("t2")

    def test_all_are_over_once_an_accepted_one_has_taken_effect(self):
        orders = owner(Traces.FOUND, e11="t2", e12="t3")
        orders.took_effect()
        assert not orders.endanger("t3")


class TestSuccessor:
    """Guards against a second choice while the first may still take the lead."""

    @pytest.mark.parametrize(
        ("orders", "successor"),
        [
            (owner(), None),
            (owner(e11="t2"), "t2"),
            (owner(e11="t2", e12="t1"), "t2"),
            (owner(e11="t4"), None),
            (owner(e11="t2", e12="t3"), None),
            (owner(Traces.FOUND, e11="t2"), None),
        ],
    )
    def test_only_the_one_that_is_ordered_may_take_over(self, orders, successor):
        assert orders.successor("t1", {"t2", "t3"}) == successor
