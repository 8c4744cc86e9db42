"""Tests of what a node accepts while it stops."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderstack.core.stop_phases import StopPhase, stop_schedule


class TestStopSchedule:
    @pytest.mark.parametrize(
        ("elapsed_s", "phase"),
        [
            (0.0, StopPhase.LEAVING),
            (2.1, StopPhase.LEAVING),
            (2.2, StopPhase.CLOSING),
            (2.9, StopPhase.CLOSING),
            (3.0, StopPhase.REFUSING),
            (4.0, StopPhase.FINISHING),
            (5.3, StopPhase.ENDED),
            (9.0, StopPhase.ENDED),
        ],
    )
    def test_phases_of_a_stop_within_six_seconds(self, elapsed_s, phase):
        assert stop_schedule(6.0).phase(elapsed_s) is phase

    @given(st.floats(0.01, 3600.0), st.floats(0.0, 4000.0), st.floats(0.0, 100.0))
    def test_no_phase_accepts_more_than_the_one_before(self, limit_s, at_s, later_s):
        schedule = stop_schedule(limit_s)
        assert schedule.phase(at_s) <= schedule.phase(at_s + later_s)

    @given(st.floats(0.01, 3600.0))
    def test_work_is_refused_before_running_work_ends(self, limit_s):
        schedule = stop_schedule(limit_s)
        assert schedule.closing_s <= schedule.refusing_s <= limit_s / 2
        assert schedule.refusing_s < schedule.finishing_s <= schedule.ended_s < limit_s
