"""Tests of the refusal of statements that are too long for a target."""

import pytest

from lavenderstack.core.statement import Prepared
from lavenderstack.platform import statement_size
from lavenderstack.platform.statement_size import MAX_SENT_B
from lavenderstack.platform.statement_texts import parse_query

PREPARED = {"w": Prepared(writes=True, shape="q"), "r": Prepared(False, "q")}
NAME_B = len(PREPARED["w"].shared_name)
SINCE_B = len(f"SINCE {10**18 - 1}.{10**18 - 1} ")


def query(start, size_b):
    """Return a statement of a line of ``size_b`` with its end."""
    text = f"QUERY {start}"
    return parse_query(start + "x" * (size_b - len(text) - 2))


class TestLongestMessages:
    """A message that is one byte too long costs the connection it is sent on."""

    @pytest.mark.parametrize(
        ("start", "added_b"),
        [
            ("q1 WRITE item ", 0),
            ("q1 READ ", SINCE_B),
            ("q1 EXEC w item ", NAME_B - 1),
            ("q1 EXEC r ", NAME_B - 1 + SINCE_B),
            ("q1 PREPARE w WRITE ", NAME_B - 1 - 1),
            ("q1 SET v ", -1),
        ],
    )
    def test_what_is_added_counts(self, start, added_b):
        longest = query(start, MAX_SENT_B - added_b)
        longer = query(start, MAX_SENT_B - added_b + 1)
        assert statement_size.error(longest, PREPARED) == ""
        assert "1 bytes too long" in statement_size.error(longer, PREPARED)

    @pytest.mark.parametrize("start", ["WRITE a ", "READ ", "EXEC w item "])
    def test_bytes_count_and_not_characters(self, start):
        text = start + "\U0001f600" * (MAX_SENT_B // 4)
        assert statement_size.error(parse_query(f"q1 {text}"), PREPARED)

    def test_long_request_id_counts(self):
        assert statement_size.error(parse_query("i" * MAX_SENT_B + " COMMIT"), PREPARED)
