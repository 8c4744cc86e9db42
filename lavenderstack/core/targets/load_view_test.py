"""Tests of what an entry node knows of targets, and how long it relies on it."""

import pytest

from lavenderstack.core.targets.load_view import USUAL_DISTANCE_S, LoadView
from lavenderstack.core.targets.target_load import TargetLoad

LOADED = {"waiting": 9, "running": 5, "limit": 5, "mean_s": 0.02, "wait_s": 0.4}


def learn(view, sent_at, now, holder="n2", zone="z1", **fields):
    with view.in_flight("t1", sent_at) as sent:
        view.record(sent, holder, zone, 0, TargetLoad(**LOADED | fields), now)


def view_with(*args, **fields):
    view = LoadView("z1")
    learn(view, *args, **fields)
    return view


class TestAge:
    @pytest.mark.parametrize(("held_s", "weight"), [(0.1, 0.0), (2.1, 1.0)])
    def test_it_counts_from_the_request_without_the_time_at_the_holder(
        self, held_s, weight
    ):
        """Guards against relying on a report that was sent after a freeze of 2 s.

        And against knowing nothing of targets with a wait of over a second.
        """
        view = view_with(5.0, 7.1, held_s=held_s)
        assert view.expect("t1", 0, 7.1).weight == pytest.approx(weight)

    def test_weight_decays_to_unknown_within_a_second(self):
        view = view_with(5.0, 5.0)
        weights = [view.expect("t1", 0, 5.0 + s).weight for s in (0.0, 0.5, 1.0, 9.0)]
        assert weights == [1.0, 0.5, 0.0, 0.0]
        assert [view.known(5.5), view.known(6.0)] == [1, 0]

    def test_a_later_answer_with_an_older_report_is_ignored(self):
        view = view_with(5.0, 5.1, wait_s=0.3, held_s=0.1)
        learn(view, 4.2, 5.2, wait_s=0.9)
        assert view.expect("t1", 0, 5.2).wait_s == 0.3


class TestExpectation:
    def test_the_longer_wait_counts_while_two_holders_report(self):
        """Guards against an idle second holder hiding the queue of the first."""
        view = view_with(5.0, 5.0)
        learn(view, 5.1, 5.1, holder="n3", waiting=0, wait_s=0.0)
        assert view.expect("t1", 0, 5.1).wait_s == 0.4

    def test_own_statements_since_the_report_are_added(self):
        view = view_with(5.0, 5.0)
        with view.in_flight("t1", 5.1), view.in_flight("t1", 5.1):
            assert view.expect("t1", 0, 5.1).wait_s == pytest.approx(0.408)

    def test_silence_counts_from_the_last_answer_or_the_own_freeze(self):
        view = LoadView("z1")
        with view.in_flight("t1", 5.0):
            learn(view, 5.1, 5.2)
            assert view.expect("t1", 0, 5.5).silent_s == pytest.approx(0.3)
            assert view.expect("t1", 0, 8.0).silent_s == 0.0


def test_full_ends_with_the_report_or_after_a_second():
    view = view_with(5.0, 5.0, full_s=0.3)
    assert (view.full_until("t1", 0), view.full_until("t1", 1)) == (5.3, 0.0)
    learn(view, 5.1, 5.1, full_s=9.0)
    assert view.full_until("t1", 0) == 6.1
    learn(view, 5.2, 5.2)
    assert view.full_until("t1", 0) == 0.0


def test_distance_is_the_round_trip_without_the_holders_time():
    view = view_with(5.0, 5.521, held_s=0.52)
    assert view.distance_s("z2") == USUAL_DISTANCE_S
    learn(view, 6.0, 6.505, zone="z2", held_s=0.5)
    assert view.distance_s("z2") == pytest.approx(0.004)


def test_a_limit_is_known_from_other_holders_for_some_seconds():
    """Guards against a new holder that starts with all slots of a slow target."""
    view = view_with(5.0, 5.0, limit=2)
    learn(view, 5.5, 5.5, holder="n3", limit=4)
    limits = [view.known_limit("t1", "n3", at) for at in (6.0, 14.9, 15.0)]
    assert limits == [2, 2, 0]
    assert view.known_limit("t1", "n2", 6.0) == 4
    assert view.known_limit("t9", "n2", 6.0) == 0
