"""Tests of log positions."""

import pytest

from lavenderstack.core.position import START, Position


class TestOrder:
    @pytest.mark.parametrize(
        ("ahead", "behind"),
        [
            (Position(1, 1), START),
            (Position(2, 1), Position(1, 900)),
            (Position(2, 2), Position(2, 1)),
        ],
    )
    def test_the_term_is_compared_first(self, ahead, behind):
        assert ahead > behind
