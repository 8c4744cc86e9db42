"""Tests of the limits of what a session keeps."""

import pytest

from lavenderstack.core import session_texts
from lavenderstack.core import statement as statements
from lavenderstack.core.session_texts import MAX_KEPT_B, MAX_VALUES
from lavenderstack.core.statement import Prepared, Statement, StatementKind


def shape(name, text):
    return Statement(StatementKind.PREPARE, "", name, text)


class TestLimits:
    """Sessions must not fill the memory of a node."""

    @pytest.mark.parametrize("keep", [statements.set_value, shape])
    def test_one_text_may_take_all_but_no_second_one_fits(self, keep):
        whole = "x" * (MAX_KEPT_B - 1)
        assert session_texts.refusal(keep("v", whole), {}, {}) == ""
        assert "over" in session_texts.refusal(keep("v", whole + "x"), {}, {})
        assert "over" in session_texts.refusal(keep("v", "x"), {"w": whole}, {})
        kept = {"w": Prepared(False, whole)}
        assert "over" in session_texts.refusal(keep("v", "x"), {}, kept)

    def test_what_is_replaced_does_not_count(self):
        whole = "x" * (MAX_KEPT_B - 1)
        again = statements.set_value("v", whole)
        assert session_texts.refusal(again, {"v": whole}, {}) == ""
        kept = {"v": Prepared(False, whole)}
        assert session_texts.refusal(shape("v", whole), {}, kept) == ""
        assert "over" in session_texts.refusal(again, {}, kept)

    def test_bytes_count_and_not_characters(self):
        value = "\U0001f600" * (MAX_KEPT_B // 4)
        assert session_texts.refusal(statements.set_value("v", value), {}, {})

    def test_number_is_limited(self):
        values = {str(number): "" for number in range(MAX_VALUES)}
        assert session_texts.refusal(statements.set_value("x", ""), values, {})
        assert not session_texts.refusal(statements.set_value("1", ""), values, {})
