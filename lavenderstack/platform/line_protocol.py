"""The line protocol that callers and targets speak.

A message is one line, ended by CR LF: its type, then fields separated by blanks. The
last field extends to the end of the line and may contain blanks. This module splits
byte streams into messages, parses them and formats them; it opens no connection.
"""

from dataclasses import dataclass
from enum import StrEnum

from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START, Position
from lavenderstack.core.reply import Reply, TxState
from lavenderstack.core.statement import Statement, StatementKind

MAX_LINE_B = 1024 * 1024
LINE_END = b"\r\n"
# Stands for the request id of a statement that the service itself sends, and for the
# receipt and position of an answer that came from no target.
EMPTY_FIELD = "-"


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
    try:
        return Position(int(term), int(seq))
    except ValueError as exc:
        raise ProtocolError(f"not a position: {text[:40]}") from exc


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
    return _REASONS.get(code, Reason.STATEMENT_FAILED), detail


def format_error(reason: Reason, detail: str) -> str:
    """Return the ``ERROR`` line of a reason."""
    code = _CODES.get(reason, "UNKNOWN")
    return f"{MessageType.ERROR} {code} {detail or reason.value}\r\n"


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


@dataclass(frozen=True, slots=True)
class Query:
    """A caller's statement with its request id; ``statement`` is None if invalid.

    ``error`` tells what is wrong then.
    """

    request: str
    statement: Statement | None
    error: str = ""


def parse_query(rest: str) -> Query:
    """Return the request id and the statement of a ``QUERY`` message.

    An empty id, or the one of the service itself, is refused: a target would be sent
    the statement under an id that no caller has given it.

    >>> parse_query("- READ x").error
    'the request id is empty or -'
    """
    request, _, text = rest.partition(" ")
    if request in ("", EMPTY_FIELD):
        return Query(request, None, "the request id is empty or -")
    statement = parse_statement(text)
    return Query(request, statement, "" if statement else "not a statement")


def parse_statement(text: str) -> Statement | None:
    """Return the statement in a caller's text, or None if it is invalid.

    >>> parse_statement("EXEC s1 1a4 xkq").body
    '1a4 xkq'
    """
    verb, _, rest = text.partition(" ")
    parse = _STATEMENT_PARSERS.get(verb)
    return parse(text, rest) if parse else None


def _has_item(arguments: str) -> bool:
    """Return whether the item isn't empty, which is followed by data or nothing."""
    return bool(arguments.partition(" ")[0])


def _parse_read(text: str, rest: str) -> Statement | None:
    return Statement(StatementKind.READ, text) if rest else None


def _parse_write(text: str, rest: str) -> Statement | None:
    if not _has_item(rest):
        return None
    return Statement(StatementKind.WRITE, text, writes=True)


def _parse_begin(text: str, rest: str) -> Statement | None:
    if rest not in ("", "READ"):
        return None
    return Statement(StatementKind.BEGIN, text, read_only=rest == "READ")


def _parse_commit(text: str, rest: str) -> Statement | None:
    return None if rest else Statement(StatementKind.COMMIT, text)


def _parse_rollback(text: str, rest: str) -> Statement | None:
    return None if rest else Statement(StatementKind.ROLLBACK, text)


def _parse_set(text: str, rest: str) -> Statement | None:
    name, blank, value = rest.partition(" ")
    if not name or not blank:
        return None
    return Statement(StatementKind.SET_VALUE, text, name, value)


def _parse_prepare(text: str, rest: str) -> Statement | None:
    name, _, definition = rest.partition(" ")
    verb, _, shape = definition.partition(" ")
    if not name or not shape or verb not in ("READ", "WRITE"):
        return None
    return Statement(StatementKind.PREPARE, text, name, shape, writes=verb == "WRITE")


def _parse_execute(text: str, rest: str) -> Statement | None:
    name, _, body = rest.partition(" ")
    if not name or not _has_item(body):
        return None
    return Statement(StatementKind.EXECUTE, text, name, body)


def _parse_close(text: str, rest: str) -> Statement | None:
    return Statement(StatementKind.CLOSE_PREPARED, text, rest) if rest else None


_STATEMENT_PARSERS = {
    "READ": _parse_read,
    "WRITE": _parse_write,
    "BEGIN": _parse_begin,
    "COMMIT": _parse_commit,
    "ROLLBACK": _parse_rollback,
    "SET": _parse_set,
    "PREPARE": _parse_prepare,
    "EXEC": _parse_execute,
    "CLOSE": _parse_close,
}


# Texts of statements that the service itself sends to targets.
_SERVICE_TEXTS = {
    StatementKind.ROLLBACK: "ROLLBACK",
    StatementKind.RESET: "RESET",
    StatementKind.STATUS: "STATUS",
    StatementKind.RESUME: "RESUME",
}


def _statement_text(statement: Statement) -> str:
    match statement.kind:
        case StatementKind.EXECUTE:
            return f"EXEC {statement.name} {statement.body}"
        case StatementKind.BEGIN:
            return "BEGIN READ" if statement.read_only else "BEGIN"
        case StatementKind.SET_VALUE:
            return f"SET {statement.name} {statement.body}"
        case StatementKind.PREPARE:
            verb = "WRITE" if statement.writes else "READ"
            return f"PREPARE {statement.name} {verb} {statement.body}"
        case StatementKind.PAUSE:
            return f"PAUSE {statement.body}"
    return statement.text or _SERVICE_TEXTS[statement.kind]


def format_statement(statement: Statement, min_position: Position) -> str:
    """Return the text of a statement for a target.

    ``min_position`` is the position that the target's log must have reached, for reads
    and for the start of a transaction. A prepared statement is sent under the name in
    ``statement``, not under the name that the caller gave it; a caller's read, write or
    commit is sent unchanged.
    """
    text = _statement_text(statement)
    if min_position == START:
        return text
    return f"SINCE {format_position(min_position)} {text}"
