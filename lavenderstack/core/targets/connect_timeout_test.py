"""Tests of how long a request waits for a connection to another node."""

import pytest

from lavenderstack.core.targets.connect_timeout import (
    INITIAL_TIMEOUT_S,
    MIN_TIMEOUT_S,
    ConnectTimeout,
)

LIMIT_S = 0.3


def after(*times_s):
    timeout = ConnectTimeout()
    for took_s in times_s:
        timeout.record(took_s)
    return timeout


class TestConnectTimeout:
    def test_a_node_that_has_just_started_has_a_timeout(self):
        assert after().current_s(LIMIT_S) == INITIAL_TIMEOUT_S
        assert after().current_s(0.01) == 0.01

    @pytest.mark.parametrize("round_trip_s", [0.0002, 0.001, 0.016, 0.1])
    def test_steady_connect_times_stay_below_it(self, round_trip_s):
        """Guards against giving up on nodes of a remote region that run."""
        timeout = after(*[round_trip_s] * 50)
        current_s = timeout.current_s(LIMIT_S)
        assert round_trip_s < current_s
        assert current_s <= max(MIN_TIMEOUT_S, 1.5 * round_trip_s)

    def test_varying_connect_times_raise_it(self):
        """Guards against giving up on nodes that are slow while they all start."""
        timeout = after(*[0.001, 0.08] * 20)
        assert timeout.current_s(LIMIT_S) > 0.08

    def test_it_falls_again_when_connecting_is_fast_again(self):
        timeout = after(0.2, 0.2, *[0.001] * 60)
        assert timeout.current_s(LIMIT_S) == MIN_TIMEOUT_S

    def test_it_never_exceeds_the_limit(self):
        assert after(5.0, 0.001, 5.0).current_s(LIMIT_S) == LIMIT_S
