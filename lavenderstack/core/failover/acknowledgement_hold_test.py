"""Tests of what a node may acknowledge while a replica is chosen to take over."""

import pytest

from lavenderstack.core.failover.acknowledgement_hold import (
    HOLD_LIMIT_S,
    AcknowledgementHolds,
    HoldNumber,
)
from lavenderstack.core.position import Position

FIRST, SECOND = HoldNumber(5, 1), HoldNumber(5, 2)
LATER_OWNER = HoldNumber(6, 1)
HELD = Position(2, 40)


def holding(number=FIRST, at=0.0):
    holds = AcknowledgementHolds()
    assert holds.hold("g", number, HELD, 2, at)
    return holds


class TestHold:
    @pytest.mark.parametrize(
        ("group", "position", "at", "excluded"),
        [
            ("g", Position(2, 41), 1.0, True),
            ("g", Position(2, 40), 1.0, False),
            ("g", Position(3, 41), 1.0, False),
            ("h", Position(2, 41), 1.0, False),
            ("g", Position(2, 41), HOLD_LIMIT_S + 0.1, False),
        ],
        ids=["beyond", "told", "later term", "other group", "after its limit"],
    )
    def test_it_excludes_only_what_was_not_told(self, group, position, at, excluded):
        assert holding().excludes(group, position, at) is excluded

    def test_a_release_ends_it(self):
        holds = holding()
        holds.release("g", FIRST)
        assert not holds.excludes("g", Position(2, 41), 1.0)

    def test_a_release_of_an_earlier_hold_does_not_end_a_later_one(self):
        holds = holding(SECOND)
        holds.release("g", FIRST)
        assert holds.excludes("g", Position(2, 41), 1.0)

    @pytest.mark.parametrize("late", [FIRST, SECOND])
    def test_a_hold_that_arrives_after_its_release_is_ignored(self, late):
        """Otherwise commits are held back with nobody left to release them."""
        holds = holding(FIRST)
        holds.release("g", SECOND)
        assert not holds.hold("g", late, HELD, 2, 1.0)
        assert not holds.excludes("g", Position(2, 41), 1.0)

    def test_a_former_owner_does_not_replace_the_hold_of_the_present_one(self):
        holds = holding(LATER_OWNER)
        assert not holds.hold("g", SECOND, Position(2, 50), 2, 1.0)
        assert holds.excludes("g", Position(2, 41), 1.0)

    def test_it_is_final_once_a_replica_has_taken_over(self):
        holds = holding()
        assert not holds.is_final("g")
        holds.make_final("g")
        assert holds.is_final("g")
        assert holds.excludes("g", Position(2, 41), 1.0)
