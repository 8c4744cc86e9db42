"""Tests of the line protocol."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import Position
from lavenderstack.core.reply import Reply, TxState
from lavenderstack.platform import line_protocol
from lavenderstack.platform.line_protocol import LineBuffer, ProtocolError

line_text = st.text(
    st.characters(blacklist_categories=["Cs"], blacklist_characters="\r\n")
)


class TestLineBuffer:
    @given(st.lists(line_text, max_size=8), st.integers(1, 7))
    def test_lines_are_restored_from_chunks_of_any_size(self, sent, size):
        data = "".join(f"{line}\r\n" for line in sent).encode()
        buffer, received = LineBuffer(), []
        for start in range(0, len(data), size):
            received += buffer.feed(data[start : start + size])
        assert received == sent

    @given(st.binary(max_size=200))
    def test_any_bytes_give_lines_or_a_protocol_error(self, data):
        try:
            received = LineBuffer().feed(data)
        except ProtocolError:
            return
        assert all("\r\n" not in line for line in received)

    def test_line_without_end_is_refused_above_a_size_limit(self):
        buffer = LineBuffer()
        with pytest.raises(ProtocolError):
            for _ in range(20):
                buffer.feed(b"x" * 100_000)


class TestReplies:
    def test_successful_reply_has_rows_and_receipt(self):
        reply = Reply(rows=["a b"], receipt="r", position=Position(3, 4))
        assert (
            line_protocol.format_reply(reply) == b"ROW a b\r\nDONE r\r\nREADY I 3.4\r\n"
        )

    def test_error_reply_has_no_rows(self):
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

    NO_EFFECT_CODES = (
        "BUSY",
        "ABORTED",
        "LAGGING",
        "READONLY",
        "WRONGNODE",
        "MAXCONN",
    )

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
    def test_statement_that_may_have_run_gets_no_code_that_denies_it(self, reason):
        code = line_protocol.format_error(reason, "").split(" ")[1]
        assert code not in self.NO_EFFECT_CODES

    @given(st.text(max_size=20))
    def test_any_ready_line_is_parsed_or_refused(self, text):
        try:
            line_protocol.parse_ready(text)
        except ProtocolError:
            return

    @pytest.mark.parametrize("text", ["3", "a.b", "3.", ".4", "3.4.5x"])
    def test_invalid_position_is_refused(self, text):
        with pytest.raises(ProtocolError):
            line_protocol.parse_position(text)


class TestLineLength:
    @pytest.mark.parametrize("end", [b"", b"\r\n", b"\r\nQUIT\r\n"])
    def test_a_line_that_is_too_long_is_refused_complete_or_not(self, end):
        data = b"x" * (line_protocol.MAX_LINE_B + 1) + end
        with pytest.raises(ProtocolError, match="too long"):
            LineBuffer().feed(data)

    def test_a_line_of_the_greatest_length_is_taken(self):
        line = b"x" * line_protocol.MAX_LINE_B
        assert LineBuffer().feed(line + b"\r\n") == [line.decode()]

    @pytest.mark.parametrize("first_b", [1, 2])
    def test_it_is_taken_when_it_is_split_in_its_line_end(self, first_b):
        data = b"x" * line_protocol.MAX_LINE_B + b"\r\n"
        cut = len(data) - first_b
        buffer = LineBuffer()
        assert buffer.feed(data[:cut]) == []
        assert len(buffer.feed(data[cut:])[0]) == line_protocol.MAX_LINE_B

    def test_long_line_in_small_pieces_is_not_searched_again_for_each(self):
        data = b"x" * line_protocol.MAX_LINE_B + b"\r\n"
        buffer, received = LineBuffer(), []
        started_s = time.process_time()
        for start in range(0, len(data), 100):
            received += buffer.feed(data[start : start + 100])
        assert len(received) == 1
        # 3 s when each piece copied and searched all that had arrived before it.
        assert time.process_time() - started_s < 0.5


class TestErrorTexts:
    """The text of an error comes from targets, other nodes and exceptions."""

    @given(st.text())
    def test_it_is_one_line(self, detail):
        line = line_protocol.format_error(Reason.CROWDED, detail).removesuffix("\r\n")
        assert line.startswith("ERROR BUSY ")
        assert not set(line) & set("\r\n")

    def test_it_is_bounded(self):
        long = "\U0001f600" * line_protocol.MAX_LINE_B
        _, detail = line_protocol.parse_error(f"BUSY {long}")
        assert len(detail) == line_protocol.MAX_DETAIL_CHARS
        line = line_protocol.format_error(Reason.CROWDED, long)
        assert len(line) < line_protocol.MAX_DETAIL_CHARS + 20
