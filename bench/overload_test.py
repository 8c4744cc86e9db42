"""Tests of the queueing and refusal policies under load, by simulation."""

import pytest

from bench.overload import ORGANISATIONS, Simulation


def simulate(policy, load, hot_weight):
    outcomes = Simulation(policy, load, hot_weight, seed=3).run()
    return outcomes, outcomes.share(outcomes.within_goal, ORGANISATIONS)


class TestServicePolicy:
    def test_at_normal_load_nearly_all_are_within_the_goal(self):
        _, within_goal = simulate("kept", 0.7, 1.0)
        assert within_goal >= 0.99

    @pytest.mark.parametrize("load", [1.3, 2.5])
    def test_organisations_within_their_share_are_served(self, load):
        outcomes, _ = simulate("kept", load, 30.0)
        assert outcomes.worst_within_goal >= 0.9

    @pytest.mark.parametrize("load", [1.3, 2.5])
    def test_first_come_serves_far_fewer_within_the_goal(self, load):
        _, service_share = simulate("kept", load, 8.0)
        _, first_come_share = simulate("first come", load, 8.0)
        assert service_share > first_come_share + 0.2
