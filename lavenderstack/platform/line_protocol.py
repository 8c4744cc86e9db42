"""The line protocol that callers and targets speak.

A message is one line, ended by CR LF: its type, then fields separated by blanks. The
last field extends to the end of the line and may contain blanks. This module splits
byte streams into messages, parses them and formats them; it opens no connection.
"""

from enum import StrEnum

from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START, Position
from lavenderstack.core.reply import Reply, TxState

MAX_LINE_B = 1024 * 1024
LINE_END = b"\r\n"
# Of the text of an error. It also goes into messages between nodes and log lines.
MAX_DETAIL_CHARS = 500
# Replaced in the text of an error, each on its own for readers that take either as the
# end of a line.
_LINE_ENDS = str.maketrans("\r\n", "  ")
# Stands for the request id of a statement that the service itself sends, and for the
# receipt and position of an answer that came from no target.
EMPTY_FIELD = "-"


# Of a number, so that it has 63 bits at most: messages between nodes hold no more.
_MAX_DIGITS = 18


class MessageType(StrEnum):
    """The type of a message, its first word."""

    CONNECT = "CONNECT"
    READY = "READY"
    QUERY = "QUERY"
    ROW = "ROW"
    DONE = "DONE"
    ERROR = "ERROR"
    QUIT = "QUIT"


class ProtocolError(Exception):
    """The peer sent something that is not a valid message."""


class LineBuffer:
    r"""Splits received bytes into lines, without the line ends.

    >>> buffer = LineBuffer()
    >>> buffer.feed(b"READY I -\r\nDO"), buffer.feed(b"NE -\r\n")
    (['READY I -'], ['DONE -'])
    """

    def __init__(self) -> None:
        self._partial = bytearray()

    def feed(self, data: bytes) -> list[str]:
        """Return the lines that ``data`` completes.

        Raises ``ProtocolError`` for a line that is too long or not UTF-8.
        """
        # Searched from the last byte on, so that a long line that arrives in small
        # pieces isn't searched once for each piece.
        searched_b = max(0, len(self._partial) - 1)
        self._partial += data
        complete = []
        if self._partial.find(LINE_END, searched_b) >= 0:
            *complete, self._partial = self._partial.split(LINE_END)
        # The first half of the line end may have arrived alone.
        begun_b = len(self._partial) - self._partial.endswith(LINE_END[:1])
        if begun_b > MAX_LINE_B or any(len(line) > MAX_LINE_B for line in complete):
            raise ProtocolError("line too long")
        try:
            return [line.decode() for line in complete]
        except UnicodeDecodeError as exc:
            raise ProtocolError("not UTF-8 text") from exc


_STATES = {"I": TxState.NONE, "T": TxState.OPEN, "E": TxState.FAILED}
_STATE_CODES = {state: letter for letter, state in _STATES.items()}


def parse_position(text: str) -> Position:
    """Return the position written as ``TERM.SEQ``; ``-`` stands for an empty log.

    Raises ``ProtocolError``.

    >>> parse_position("3.1207")
    Position(term=3, seq=1207)
    """
    if text == EMPTY_FIELD:
        return START
    term, _, seq = text.partition(".")
    return Position(parse_number(term), parse_number(seq))


def parse_number(text: str) -> int:
    """Return a number of decimal digits; raises ``ProtocolError``.

    ``int`` would also take signs, blanks, underscores and other scripts' digits.
    """
    if text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS:
        return int(text)
    raise ProtocolError(f"not a number: {text[:40]}")


def format_position(position: Position) -> str:
    """Return a position in the format of the protocol."""
    if position == START:
        return EMPTY_FIELD
    return f"{position.term}.{position.seq}"


def parse_ready(rest: str) -> tuple[TxState, Position]:
    """Return the state and position of a ``READY`` message.

    Raises ``ProtocolError``.
    """
    state, _, position = rest.partition(" ")
    if state not in _STATES:
        raise ProtocolError("unknown state")
    return _STATES[state], parse_position(position or EMPTY_FIELD)


# Error codes of targets. Whether the statement may have run, and may be retried, is
# decided in ``core.retry`` from the reason.
_REASONS = {
    "BUSY": Reason.CROWDED,
    "NOSTMT": Reason.NO_PREPARED,
    "LAGGING": Reason.BEHIND,
    "READONLY": Reason.NOT_PRIMARY,
    "FAILED": Reason.STATEMENT_FAILED,
    "TIMEOUT": Reason.TIMED_OUT,
    "WRONGNODE": Reason.WRONG_TARGET,
    "MAXCONN": Reason.NO_CONNECTION,
    "ABORTED": Reason.TRANSACTION_LOST,
    "UNKNOWN": Reason.OUTCOME_UNKNOWN,
    "MALFORMED": Reason.BAD_REQUEST,
    "NOAUTH": Reason.KEY_REFUSED,
    "NODB": Reason.UNKNOWN_GROUP,
}

# Error codes sent to callers. BUSY is used for every refusal after which a later retry
# may succeed.
_CODES = {reason: code for code, reason in _REASONS.items()} | {
    Reason.NO_KEY: "NOAUTH",
    Reason.OVER_RATE: "BUSY",
    Reason.DEADLINE: "BUSY",
    Reason.LEAVING: "BUSY",
    Reason.UNREACHABLE: "BUSY",
    Reason.STALE_VIEW: "BUSY",
    Reason.NO_PRIMARY: "READONLY",
    Reason.CONNECTION_LOST: "UNKNOWN",
    Reason.UNCONFIRMED: "UNKNOWN",
    Reason.NO_CONNECTION: "BUSY",
    Reason.WRONG_TARGET: "BUSY",
    Reason.NO_PREPARED: "MALFORMED",
    Reason.EVACUATED: "BUSY",
}


def parse_error(rest: str) -> tuple[Reason, str]:
    """Return the reason and the text of an ``ERROR`` message."""
    code, _, detail = rest.partition(" ")
    detail = detail[:MAX_DETAIL_CHARS]
    return _REASONS.get(code, Reason.STATEMENT_FAILED), detail


def format_error(reason: Reason, detail: str) -> str:
    """Return the ``ERROR`` line of a reason.

    ``detail`` may come from a target, another node or an exception. It can't end the
    line.
    """
    code = _CODES.get(reason, "UNKNOWN")
    text = (detail or reason.value)[:MAX_DETAIL_CHARS]
    return f"{MessageType.ERROR} {code} {text.translate(_LINE_ENDS)}\r\n"


def format_ready(state: TxState, position: Position) -> str:
    """Return a ``READY`` line."""
    return f"{MessageType.READY} {_STATE_CODES[state]} {format_position(position)}\r\n"


def format_reply(reply: Reply) -> bytes:
    """Return the complete answer to a caller's statement."""
    lines = [f"{MessageType.ROW} {row}\r\n" for row in reply.rows]
    if reply.reason is None:
        lines.append(f"{MessageType.DONE} {reply.receipt or EMPTY_FIELD}\r\n")
    else:
        lines = [format_error(reply.reason, reply.detail)]
    lines.append(format_ready(reply.state, reply.position))
    return "".join(lines).encode()
