"""Tests of the line protocol."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderstack.core import statement as statements
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START, Position
from lavenderstack.core.reply import Reply, TxState
from lavenderstack.core.statement import Kind, Prepared
from lavenderstack.platform import line_protocol
from lavenderstack.platform.line_protocol import BadLine, LineBuffer

word = st.text(st.characters(blacklist_categories=["Cs"], blacklist_characters="\r\n"))
plain = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1)


class TestLineBuffer:
    @given(st.lists(word, max_size=8), st.integers(1, 7))
    def test_lines_come_out_as_they_went_in_however_they_are_cut(self, sent, size):
        data = "".join(f"{line}\r\n" for line in sent).encode()
        buffer, got = LineBuffer(), []
        for start in range(0, len(data), size):
            got += buffer.feed(data[start : start + size])
        assert got == sent

    @given(st.binary(max_size=200))
    def test_any_bytes_give_lines_or_a_clear_refusal(self, data):
        try:
            got = LineBuffer().feed(data)
        except BadLine:
            return
        assert all("\r\n" not in line for line in got)

    def test_a_line_without_end_is_refused_before_it_fills_the_memory(self):
        buffer = LineBuffer()
        with pytest.raises(BadLine):
            for _ in range(20):
                buffer.feed(b"x" * 100_000)


class TestStatements:
    @pytest.mark.parametrize(
        ("text", "kind"),
        [
            ("READ a", Kind.READ),
            ("WRITE a  two  blanks", Kind.WRITE),
            ("BEGIN", Kind.BEGIN),
            ("BEGIN READ", Kind.BEGIN),
            ("COMMIT", Kind.COMMIT),
            ("ROLLBACK", Kind.ROLLBACK),
            ("SET v 1 2", Kind.SET_VALUE),
            ("PREPARE s READ q", Kind.PREPARE),
            ("EXEC s a b", Kind.EXECUTE),
            ("CLOSE s", Kind.CLOSE_PREPARED),
        ],
    )
    def test_each_is_understood_and_keeps_its_text(self, text, kind):
        found = line_protocol.parse_statement(text)
        assert (found.kind, found.text) == (kind, text)

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
        ],
    )
    def test_what_is_none_is_told_apart(self, text):
        assert line_protocol.parse_statement(text) is None

    @pytest.mark.parametrize("text", ["SINCE 1.2 READ a", "STATUS", "PAUSE 9", "RESET"])
    def test_callers_cant_send_what_is_the_services_own(self, text):
        assert line_protocol.parse_statement(text) is None

    @given(plain, plain)
    def test_a_write_goes_on_unchanged(self, item, data):
        text = f"WRITE {item} {data}"
        found = line_protocol.parse_statement(text)
        assert line_protocol.format_statement(found, START) == text

    def test_only_the_name_of_a_prepared_statement_changes(self):
        found = line_protocol.parse_statement("EXEC mine 1a4 some data")
        shared = Prepared(writes=True, shape="q").shared_name
        sent = statements.Statement(Kind.EXECUTE, "", shared, found.body)
        assert (
            line_protocol.format_statement(sent, START)
            == f"EXEC {shared} 1a4 some data"
        )

    def test_the_position_goes_before_the_text(self):
        found = line_protocol.parse_statement("READ a")
        sent = line_protocol.format_statement(found, Position(3, 1207))
        assert sent == "SINCE 3.1207 READ a"


class TestReplies:
    def test_rows_and_receipt_of_a_success(self):
        reply = Reply(rows=["a b"], receipt="r", position=Position(3, 4))
        assert (
            line_protocol.format_reply(reply) == b"ROW a b\r\nDONE r\r\nREADY I 3.4\r\n"
        )

    def test_an_error_carries_no_rows(self):
        reply = Reply(rows=["a"], reason=Reason.OVER_RATE, state=TxState.FAILED)
        assert (
            line_protocol.format_reply(reply)
            == b"ERROR BUSY over_rate\r\nREADY E -\r\n"
        )

    @pytest.mark.parametrize("reason", list(Reason))
    def test_every_reason_has_a_code(self, reason):
        line = line_protocol.format_error(reason, "")
        assert line.startswith("ERROR ")
        assert line.endswith("\r\n")

    PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "MAXCONN")

    @pytest.mark.parametrize(
        "reason",
        [
            Reason.CONNECTION_LOST,
            Reason.OUTCOME_UNKNOWN,
            Reason.TIMED_OUT,
            Reason.UNCONFIRMED,
            Reason.STATEMENT_FAILED,
        ],
    )
    def test_what_may_have_run_never_gets_a_promise(self, reason):
        code = line_protocol.format_error(reason, "").split(" ")[1]
        assert code not in self.PROMISES

    @given(st.text(max_size=20))
    def test_any_ready_line_is_understood_or_refused(self, text):
        try:
            line_protocol.parse_ready(text)
        except BadLine:
            return

    @pytest.mark.parametrize("text", ["3", "a.b", "3.", ".4", "3.4.5x"])
    def test_a_bad_position_is_refused(self, text):
        with pytest.raises(BadLine):
            line_protocol.parse_position(text)
