"""Tests of the texts of statements, as callers send them and as targets get them."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderstack.core import statement as statements
from lavenderstack.core.position import START, Position
from lavenderstack.core.statement import Prepared, StatementKind
from lavenderstack.platform import statement_texts

printable_text = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1)


class TestStatements:
    @pytest.mark.parametrize(
        ("text", "kind"),
        [
            ("READ a", StatementKind.READ),
            ("WRITE a  two  blanks", StatementKind.WRITE),
            ("BEGIN", StatementKind.BEGIN),
            ("BEGIN READ", StatementKind.BEGIN),
            ("COMMIT", StatementKind.COMMIT),
            ("ROLLBACK", StatementKind.ROLLBACK),
            ("SET v 1 2", StatementKind.SET_VALUE),
            ("SET v ", StatementKind.SET_VALUE),
            ("PREPARE s READ q", StatementKind.PREPARE),
            ("EXEC s a b", StatementKind.EXECUTE),
            ("EXEC s  item that begins with a blank", StatementKind.EXECUTE),
            ("WRITE  data", StatementKind.WRITE),
            ("CLOSE s", StatementKind.CLOSE_PREPARED),
        ],
    )
    def test_valid_statements_are_parsed_and_keep_their_text(self, text, kind):
        statement = statement_texts.parse_statement(text)
        assert (statement.kind, statement.text) == (kind, text)

    @pytest.mark.parametrize(
        "text",
        [
            "",
            "READ",
            "read a",
            "BEGIN WRITE",
            "COMMIT x",
            "PREPARE s",
            "EXEC s",
            "CLOSE",
            "SET v",
        ],
    )
    def test_invalid_statements_give_none(self, text):
        assert statement_texts.parse_statement(text) is None

    @pytest.mark.parametrize("text", ["SINCE 1.2 READ a", "STATUS", "PAUSE 9", "RESET"])
    def test_callers_cannot_send_statements_of_the_service(self, text):
        assert statement_texts.parse_statement(text) is None

    @given(printable_text, printable_text)
    def test_write_is_sent_on_unchanged(self, item, data):
        text = f"WRITE {item} {data}"
        statement = statement_texts.parse_statement(text)
        assert statement_texts.format_statement(statement, START) == text

    def test_only_the_name_of_a_prepared_statement_changes(self):
        statement = statement_texts.parse_statement("EXEC mine 1a4 some data")
        shared = Prepared(writes=True, shape="q").shared_name
        sent = statements.Statement(StatementKind.EXECUTE, "", shared, statement.body)
        assert (
            statement_texts.format_statement(sent, START)
            == f"EXEC {shared} 1a4 some data"
        )

    def test_position_precedes_the_text(self):
        statement = statement_texts.parse_statement("READ a")
        sent = statement_texts.format_statement(statement, Position(3, 1207))
        assert sent == "SINCE 3.1207 READ a"
