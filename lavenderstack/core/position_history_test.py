"""Tests that the position history bounds the age of reads correctly."""

from hypothesis import given
from hypothesis import strategies as st

from lavenderstack.core.position import Position
from lavenderstack.core.position_history import MAX_AGE_S, PositionHistory


def log_at(commits, at):
    """Return the end of a log with commits at the given times."""
    return Position(1, sum(1 for time in commits if time <= at))


class TestPositionHistory:
    @given(
        st.lists(st.floats(0, 20), max_size=60),
        st.lists(st.floats(0, 20), min_size=1, max_size=200),
        st.floats(0.1, 3.0),
    )
    def test_a_position_covers_every_commit_older_than_the_age(
        self, commits, query_times, age
    ):
        history = PositionHistory()
        for at in sorted(query_times):
            history.add(log_at(commits, at), at)
            found = history.oldest_since(at - age)
            assert found is not None
            assert found.position >= log_at(commits, at - age)

    def test_the_oldest_recent_enough_position_is_returned(self):
        history = PositionHistory()
        for number in range(1, 11):
            history.add(Position(1, number), number * 0.1)
        assert history.oldest_since(0.45).position == Position(1, 5)

    def test_none_if_all_are_too_old(self):
        history = PositionHistory()
        history.add(Position(1, 1), 1.0)
        assert history.oldest_since(1.5) is None

    def test_a_lower_position_never_replaces_a_higher_one(self):
        history = PositionHistory()
        history.add(Position(2, 5), 1.0)
        history.add(Position(1, 9), 2.0)
        assert history.latest().position == Position(2, 5)

    def test_old_positions_are_dropped(self):
        history = PositionHistory()
        for number in range(1000):
            history.add(Position(1, number + 1), number * 0.01)
        span = history.latest().at - history.positions[0].at
        assert span <= MAX_AGE_S
        assert len(history.positions) < 400
