"""Tests of marks: how old a read may be said to be."""

from hypothesis import given
from hypothesis import strategies as st

from lavenderstack.core.position import Position
from lavenderstack.core.position_history import KEPT_S, PositionHistory


def log_at(commits, at):
    """Return the end of a log whose commits came at these times."""
    return Position(1, sum(1 for one in commits if one <= at))


class TestMarks:
    @given(
        st.lists(st.floats(0, 20), max_size=60),
        st.lists(st.floats(0, 20), min_size=1, max_size=200),
        st.floats(0.1, 3.0),
    )
    def test_a_mark_covers_every_commit_older_than_the_age(self, commits, asks, age):
        marks = PositionHistory()
        for at in sorted(asks):
            marks.add(log_at(commits, at), at)
            found = marks.oldest_since(at - age)
            assert found is not None
            assert found.position >= log_at(commits, at - age)

    def test_the_oldest_that_is_young_enough_is_taken(self):
        marks = PositionHistory()
        for number in range(1, 11):
            marks.add(Position(1, number), number * 0.1)
        assert marks.oldest_since(0.45).position == Position(1, 5)

    def test_none_is_made_up_when_all_are_too_old(self):
        marks = PositionHistory()
        marks.add(Position(1, 1), 1.0)
        assert marks.oldest_since(1.5) is None

    def test_a_lower_position_never_replaces_a_higher_one(self):
        marks = PositionHistory()
        marks.add(Position(2, 5), 1.0)
        marks.add(Position(1, 9), 2.0)
        assert marks.latest().position == Position(2, 5)

    def test_old_ones_are_forgotten(self):
        marks = PositionHistory()
        for number in range(1000):
            marks.add(Position(1, number + 1), number * 0.01)
        span = marks.latest().at - marks.kept[0].at
        assert span <= KEPT_S
        assert len(marks.kept) < 400
