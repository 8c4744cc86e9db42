"""Tests of when a slow primary is worth a planned failover."""

from lavenderstack.core.slow_primary import SlowPrimary


def observe(slow, primary_s, others_s, since, until, primary="t1"):
    """Observe ten times a second; return when a failover was first due, or None."""
    for tenth in range(round(since * 10), round(until * 10)):
        now = tenth / 10
        slow.observe(primary, primary_s, others_s, now)
        if slow.is_due(primary, now):
            return now
    return None


class TestSlowPrimary:
    def test_a_slow_primary_is_replaced_once_it_costs_more_than_a_failover(self):
        assert 5.0 <= observe(SlowPrimary(), 0.04, [0.008, 0.01], 0, 20) <= 6.0
        # A part of the time is lost only, so it takes longer.
        assert observe(SlowPrimary(), 0.02, [0.01], 0, 20) > 5.5

    def test_short_slowness_and_small_differences_are_not_worth_it(self):
        slow = SlowPrimary()
        for start in range(0, 40, 8):
            assert observe(slow, 0.04, [0.008], start, start + 4) is None
            assert observe(slow, 0.009, [0.008], start + 4, start + 8) is None
        assert observe(slow, 0.015, [0.008], 40, 100) is None

    def test_nothing_follows_if_a_replica_is_as_slow_or_none_is_known(self):
        assert observe(SlowPrimary(), 0.04, [0.008, 0.04], 0, 60) is None
        assert observe(SlowPrimary(), 0.04, [], 0, 60) is None

    def test_time_without_observations_does_not_count(self):
        """Guards against an owner that was frozen and acts on what it knew before."""
        slow = SlowPrimary()
        assert observe(slow, 0.04, [0.008], 0, 4.5) is None
        assert observe(slow, 0.04, [0.008], 4.5, 6) is not None
        assert not slow.is_due("t1", 40.0)
        assert observe(slow, 0.04, [0.008], 40, 44) is None

    def test_two_failovers_are_at_least_half_a_minute_apart(self):
        slow = SlowPrimary()
        slow.record_failover(6.0)
        again = observe(slow, 0.04, [0.008], 6, 60, primary="t2")
        assert again >= 36.0
