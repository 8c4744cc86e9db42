"""Tests of the times at which refused statements come back."""

import pytest

from lavenderstack.core.queue.return_calendar import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    ReturnCalendar,
)

WRITE, READ = (0, 2), (2, 2)


def book(calendar, level, organisation="o", first_s=0.1, left_s=5.0):
    return calendar.book(level, organisation, 10.0, first_s, 0.05, left_s)


class TestReturnCalendar:
    def test_each_statement_is_told_a_time_of_its_own(self):
        """Guards against refused callers that come back together."""
        calendar = ReturnCalendar()
        told = [book(calendar, WRITE) for _ in range(4)]
        assert told == pytest.approx([0.1, 0.15, 0.2, 0.25])

    def test_more_valuable_statements_get_the_earlier_room(self):
        calendar = ReturnCalendar()
        for _ in range(10):
            book(calendar, READ, "a")
        told = [book(calendar, WRITE, "b") for _ in range(4)]
        assert told == pytest.approx([0.1, 0.15, 0.2, 0.25])
        assert book(calendar, READ, "c") == pytest.approx(0.3)

    def test_a_flood_of_one_organisation_does_not_send_others_away(self):
        calendar = ReturnCalendar()
        for _ in range(20):
            book(calendar, WRITE, "flood")
        assert book(calendar, WRITE, "other") == pytest.approx(0.1)

    def test_room_that_has_passed_is_forgotten(self):
        """Guards against work for each refusal that grows with the organisations."""
        calendar = ReturnCalendar()
        for number in range(500):
            book(calendar, WRITE, f"o{number}")
        last = max(calendar._organisations.values())
        assert calendar.book(WRITE, "o", last, 0.1, 0.05, 5.0) == pytest.approx(0.1)
        assert len(calendar._organisations) == 1
        assert calendar._counts[WRITE] == 1

    @pytest.mark.parametrize("left_s", [0.05, 0.5, 60.0])
    def test_no_time_is_past_the_deadline_unless_there_is_no_room_before(self, left_s):
        calendar = ReturnCalendar()
        told = [book(calendar, WRITE, left_s=left_s) for _ in range(100)]
        assert max(told) <= max(0.1, min(left_s, MAX_RETRY_AFTER_S))
        assert min(told) >= MIN_RETRY_AFTER_S
