"""Tests of what a node concludes if it gets no answers."""

import pytest

from lavenderstack.core.failover.isolation import (
    ISOLATED_LIMIT_S,
    Isolation,
    is_isolated,
)


class TestIsIsolated:
    @pytest.mark.parametrize(
        ("answered", "asked", "isolated"),
        [
            (1, 1, False),
            (1, 2, False),
            (1, 3, True),
            (39, 78, False),
            (38, 78, True),
            (60, 78, False),
        ],
        ids=["alone", "one of two", "one of three", "half", "fewer", "a zone away"],
    )
    def test_fewer_than_half_of_the_nodes_prove_nothing(
        self, answered, asked, isolated
    ):
        assert is_isolated(answered, asked) is isolated


class TestIsolation:
    def test_duties_are_given_up_after_the_limit(self):
        isolation = Isolation()
        assert not isolation.observe(True, 10.0)
        assert not isolation.observe(True, 10.0 + ISOLATED_LIMIT_S / 2)
        assert isolation.observe(True, 10.0 + ISOLATED_LIMIT_S)

    def test_an_answer_begins_anew(self):
        isolation = Isolation()
        isolation.observe(True, 10.0)
        isolation.observe(False, 10.5)
        assert not isolation.observe(True, 10.0 + ISOLATED_LIMIT_S)
