"""Tests of the goals of the learned limit that need whole loads, by simulation."""

import pytest

from bench.concurrency import figures


class TestLearnedLimit:
    @pytest.mark.parametrize("shape", ["flat", "cores"])
    def test_one_slow_target_of_three_costs_little(self, shape):
        well = figures("3 targets, well", "fixed slots", seed=3)
        slow = figures(f"3 targets, one slow ({shape})", "learned", seed=3)
        assert slow.while_slow >= 0.97 * well.while_slow

    def test_it_loses_nothing_on_a_full_target_that_is_well(self):
        fixed = figures("full, well (flat)", "fixed slots", seed=3)
        learned = figures("full, well (flat)", "learned", seed=3)
        assert learned.in_goal >= 0.99 * fixed.in_goal

    def test_it_serves_more_where_concurrency_slows_a_target_down(self):
        fixed = figures("3 targets, thrash", "fixed slots", seed=3)
        learned = figures("3 targets, thrash", "learned", seed=3)
        assert learned.in_goal > fixed.in_goal + 0.01
