"""Tests of odd answers of targets: each costs its connection and nothing else."""

import asyncio

import pytest

from lavenderstack.core.message_size import MAX_TEXTS_B, TEXT_HEADER_B
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import Position
from lavenderstack.core.statement import Statement, StatementKind
from lavenderstack.node.backend import Command, ConnectFailed, ConnectionLost
from lavenderstack.platform.line_protocol import MAX_LINE_B
from lavenderstack.platform.targets import MAX_RECEIPT_CHARS, LineConnection

READ = Statement(StatementKind.READ, "READ a")


class _Transport:
    def write(self, data):
        pass

    def abort(self):
        pass


async def ask(answer, statement=READ, request="q1"):
    """Return the future of the answer to a statement, and the connection."""
    conn = LineConnection()
    conn.connection_made(_Transport())
    conn.data_received(b"READY I -\r\n")
    (fut,) = conn.send([Command(statement, request)])
    conn.data_received(answer)
    await asyncio.sleep(0)
    return fut, conn


class TestOddAnswers:
    """What isn't understood must not be taken for a success."""

    @pytest.mark.parametrize(
        "answer",
        [
            b"READY I 1.1\r\n",
            b"ROW a\r\nREADY I 1.1\r\n",
            b"ROW a\r\nDONE\r\nREADY I 1.1\r\n",
            b"ROW a\r\nDONE -\r\nREADY I 1.1\r\n",
            b"DONE r\r\nDONE r\r\nREADY I 1.1\r\n",
            b"ROW a\r\nDONE r\r\nROW b\r\nREADY I 1.1\r\n",
            b"ERROR FAILED x\r\nROW b\r\nREADY I 1.1\r\n",
            b"DONE r\r\nREADY X 1.1\r\n",
            b"DONE r\r\nREADY I 1.x\r\n",
            b"DONE r\r\nREADY I 1.99999999999999999999\r\n",
            b"DONE r\r\nREADY I -1.1\r\n",
            b"DONE r\r\nREADY I 1.1_0\r\n",
            "DONE r\r\nREADY I 1.٣\r\n".encode(),
            b"DONE \xff\r\nREADY I 1.1\r\n",
            b"DONE r\r\nDONE r\nREADY I 1.1\r\n",
            b"HELLO\r\n",
        ],
    )
    async def test_the_outcome_is_unknown_and_the_connection_closed(self, answer):
        fut, conn = await ask(answer)
        assert conn.closed
        with pytest.raises(ConnectionLost):
            await fut

    async def test_control_characters_in_rows_are_kept(self):
        row = "a\rb\nc\0\t\x85\u2028 "
        fut, _ = await ask(f"ROW {row}\r\nDONE r\r\nREADY I 3.7\r\n".encode())
        reply = await fut
        assert (reply.rows, reply.receipt) == ([row], "r")
        assert reply.position == Position(3, 7)

    async def test_statements_of_the_service_need_no_receipt(self):
        fut, _ = await ask(b"DONE -\r\nREADY I 1.1\r\n", request="")
        assert (await fut).reason is None


class TestLongAnswers:
    """An answer above the limit of a frame cuts the stream between two nodes."""

    @pytest.mark.parametrize("row", ["x" * 1_000_000, ""])
    async def test_rows_are_bounded_and_the_connection_stays(self, row):
        line = f"ROW {row}\r\n".encode()
        fitting = MAX_TEXTS_B // (len(row) + TEXT_HEADER_B)
        fut, conn = await ask(line * fitting + b"DONE r\r\nREADY I 1.1\r\n")
        assert (await fut).rows == [row] * fitting
        (fut,) = conn.send([Command(READ, "q2")])
        conn.data_received(line * (fitting + 1) + b"DONE r\r\nREADY I 1.1\r\n")
        reply = await fut
        assert (reply.reason, reply.rows) == (Reason.STATEMENT_FAILED, [])
        assert not conn.closed

    @pytest.mark.parametrize(
        "statement",
        [
            Statement(StatementKind.WRITE, "WRITE a b", writes=True),
            Statement(StatementKind.COMMIT, "COMMIT"),
        ],
    )
    async def test_a_change_with_too_many_rows_may_have_taken_effect(self, statement):
        rows = b"ROW \r\n" * (MAX_TEXTS_B // TEXT_HEADER_B + 1)
        fut, _ = await ask(rows + b"DONE r\r\nREADY I 1.1\r\n", statement)
        assert (await fut).reason is Reason.OUTCOME_UNKNOWN

    async def test_a_write_in_a_transaction_with_too_many_rows_has_failed(self):
        rows = b"ROW \r\n" * (MAX_TEXTS_B // TEXT_HEADER_B + 1)
        write = Statement(StatementKind.WRITE, "WRITE a b", writes=True)
        fut, _ = await ask(rows + b"DONE r\r\nREADY T 1.1\r\n", write)
        assert (await fut).reason is Reason.STATEMENT_FAILED

    async def test_a_receipt_is_bounded(self):
        fitting = b"DONE " + b"x" * MAX_RECEIPT_CHARS
        fut, conn = await ask(fitting + b"\r\nREADY I 1.1\r\n")
        assert (await fut).receipt == "x" * MAX_RECEIPT_CHARS and not conn.closed
        _, conn = await ask(fitting + b"x\r\nREADY I 1.1\r\n")
        assert conn.closed


class TestGreeting:
    """Only operators' names go into it."""

    async def test_greeting_has_an_empty_field_for_no_organisation(self):
        conn, sent = LineConnection(), []
        transport = _Transport()
        transport.write = sent.append
        conn.connection_made(transport)
        conn.send_greeting("g", "", "i-1")
        assert sent == [b"CONNECT g  i-1\r\n"]


class TestNamesInTheGreeting:
    """A name with a blank is another organisation or target to the target."""

    @pytest.mark.parametrize("odd", ["a b", "a\r\nQUERY - WRITE x 1", "a\nb"])
    @pytest.mark.parametrize("place", [0, 1, 2])
    async def test_a_name_of_several_fields_is_never_sent(self, odd, place):
        conn = LineConnection()
        conn.connection_made(_Transport())
        names = ["g", "org", "i-1"]
        names[place] = odd
        with pytest.raises(ConnectFailed) as caught:
            conn.send_greeting(*names)
        assert caught.value.reason is Reason.BAD_REQUEST

    async def test_a_name_longer_than_a_message_is_never_sent(self):
        conn = LineConnection()
        conn.connection_made(_Transport())
        with pytest.raises(ConnectFailed):
            conn.send_greeting("g", "x" * MAX_LINE_B, "i-1")
