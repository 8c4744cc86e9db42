"""Tests of what a caller's connection keeps of what it has received."""

from unittest.mock import MagicMock

import pytest

from lavenderstack.platform import callers
from lavenderstack.platform.callers import CallerConnection


def busy_connection():
    """Return a connection on which a statement runs, and its transport."""
    conn, transport = CallerConnection(MagicMock()), MagicMock()
    transport.is_closing.return_value = False
    conn._server.connections, conn._server.max_connections = set(), 10
    conn.connection_made(transport)
    conn.session, conn.busy = MagicMock(), True
    return conn, transport


class TestWaitingStatements:
    """A caller that sends without waiting must not fill the memory of a node."""

    @pytest.mark.parametrize("start", ["q1 WRITE a ", ""])
    def test_their_length_is_bounded(self, start):
        conn, transport = busy_connection()
        line = f"QUERY {start}{'x' * 1_000_000}\r\n".encode()
        fitting = callers.MAX_PENDING_CHARS // 1_000_000
        for _ in range(fitting):
            conn.data_received(line)
        transport.write.assert_not_called()
        conn.data_received(line)
        refusal = b"ERROR MALFORMED too many statements at once\r\n"
        transport.write.assert_called_once_with(refusal)
        transport.close.assert_called_once_with()

    def test_their_number_is_bounded(self):
        conn, transport = busy_connection()
        conn.data_received(b"QUERY q1 READ a\r\n" * callers.MAX_PENDING_STATEMENTS)
        transport.write.assert_not_called()
        conn.data_received(b"QUERY q1 READ a\r\n")
        transport.close.assert_called_once_with()
