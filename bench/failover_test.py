"""Tests of the measurement of gaps between acknowledged writes."""

from bench.failover import Writer
from lavenderstack.core import clock


def writer(began_s_ago, acknowledged_s_ago):
    one = Writer.__new__(Writer)
    now = clock.now()
    one.began_at = now - began_s_ago
    one.acknowledged = [now - ago for ago in acknowledged_s_ago]
    return one


class TestLongestGap:
    def test_without_an_acknowledgement_it_is_the_whole_time(self):
        assert 3.0 <= writer(3.0, []).longest_gap_s() < 3.5

    def test_the_time_before_the_first_acknowledgement_counts(self):
        assert 2.0 <= writer(3.0, [1.0, 0.9]).longest_gap_s() < 2.5

    def test_the_time_after_the_last_acknowledgement_counts(self):
        assert 2.0 <= writer(3.0, [2.9, 2.0]).longest_gap_s() < 2.5
