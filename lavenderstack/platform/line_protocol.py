"""The line protocol that callers and targets speak.

A message is one line: a word, then fields separated by blanks, ended by CR LF. The
last field runs to the end of the line, blanks included. This module cuts streams into
messages and gives the words their meaning; it opens no connection.
"""

from enum import StrEnum

from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START, Position
from lavenderstack.core.reply import Reply, TxState
from lavenderstack.core.statement import Kind, Statement

LONGEST_LINE_B = 1024 * 1024
END = b"\r\n"
# The id under which statements of the service itself travel, and the receipt and
# position of an answer that no target gave.
NOTHING = "-"


class Word(StrEnum):
    """The first word of a message."""

    CONNECT = "CONNECT"
    READY = "READY"
    QUERY = "QUERY"
    ROW = "ROW"
    DONE = "DONE"
    ERROR = "ERROR"
    QUIT = "QUIT"


class BadLine(Exception):
    """The other end sent what is no message."""


class LineBuffer:
    r"""Cuts received bytes into lines without their ends.

    >>> buffer = LineBuffer()
    >>> buffer.feed(b"READY I -\r\nDO"), buffer.feed(b"NE -\r\n")
    (['READY I -'], ['DONE -'])
    """

    def __init__(self) -> None:
        self._held = b""

    def feed(self, data: bytes) -> list[str]:
        """Return the lines that ``data`` completes.

        Raises ``BadLine`` for a line that is too long or no text.
        """
        if self._held:
            data = self._held + data
        *whole, self._held = data.split(END)
        if len(self._held) > LONGEST_LINE_B:
            raise BadLine("line too long")
        try:
            return [line.decode() for line in whole]
        except UnicodeDecodeError as exc:
            raise BadLine("not text") from exc


_STATES = {"I": TxState.NONE, "T": TxState.OPEN, "E": TxState.FAILED}
_STATE_WORDS = {state: word for word, state in _STATES.items()}


def parse_position(text: str) -> Position:
    """Return the position ``TERM.NUMBER``; ``-`` is the empty log.

    >>> parse_position("3.1207")
    Position(term=3, seq=1207)
    """
    if text == NOTHING:
        return START
    term, _, seq = text.partition(".")
    try:
        return Position(int(term), int(seq))
    except ValueError as exc:
        raise BadLine(f"not a position: {text[:40]}") from exc


def format_position(position: Position) -> str:
    """Return a position as the protocol writes it."""
    if position == START:
        return NOTHING
    return f"{position.term}.{position.seq}"


def parse_ready(rest: str) -> tuple[TxState, Position]:
    """Return the state and position of a ``READY`` message."""
    state, _, position = rest.partition(" ")
    if state not in _STATES:
        raise BadLine("unknown state")
    return _STATES[state], parse_position(position or NOTHING)


# Codes of a target's errors. What a code promises about the statement is decided in
# ``core.retry``; here it only gets a name of ours.
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

# What callers are told. BUSY stands for every refusal that waiting may end.
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
}


def parse_error(rest: str) -> tuple[Reason, str]:
    """Return the reason and the text of an ``ERROR`` message."""
    code, _, detail = rest.partition(" ")
    return _REASONS.get(code, Reason.STATEMENT_FAILED), detail


def format_error(reason: Reason, detail: str) -> str:
    """Return the ``ERROR`` line of a reason."""
    code = _CODES.get(reason, "UNKNOWN")
    return f"{Word.ERROR} {code} {detail or reason.value}\r\n"


def format_ready(state: TxState, position: Position) -> str:
    """Return a ``READY`` line."""
    return f"{Word.READY} {_STATE_WORDS[state]} {format_position(position)}\r\n"


def format_reply(reply: Reply) -> bytes:
    """Return a whole answer to a caller's statement."""
    lines = [f"{Word.ROW} {row}\r\n" for row in reply.rows]
    if reply.reason is None:
        lines.append(f"{Word.DONE} {reply.receipt or NOTHING}\r\n")
    else:
        lines = [format_error(reply.reason, reply.detail)]
    lines.append(format_ready(reply.state, reply.position))
    return "".join(lines).encode()


def parse_statement(text: str) -> Statement | None:
    """Return the statement in a caller's text, or None if it is none.

    >>> parse_statement("EXEC s1 1a4 xkq").body
    '1a4 xkq'
    """
    verb, _, rest = text.partition(" ")
    parse = _PARSERS.get(verb)
    return parse(text, rest) if parse else None


def _read(text: str, rest: str) -> Statement | None:
    return Statement(Kind.READ, text) if rest else None


def _write(text: str, rest: str) -> Statement | None:
    return Statement(Kind.WRITE, text, writes=True) if rest else None


def _begin(text: str, rest: str) -> Statement | None:
    if rest not in ("", "READ"):
        return None
    return Statement(Kind.BEGIN, text, read_only=rest == "READ")


def _commit(text: str, rest: str) -> Statement | None:
    return None if rest else Statement(Kind.COMMIT, text)


def _rollback(text: str, rest: str) -> Statement | None:
    return None if rest else Statement(Kind.ROLLBACK, text)


def _set(text: str, rest: str) -> Statement | None:
    name, _, value = rest.partition(" ")
    return Statement(Kind.SET_VALUE, text, name, value) if name else None


def _prepare(text: str, rest: str) -> Statement | None:
    name, _, what = rest.partition(" ")
    verb, _, shape = what.partition(" ")
    if not name or not shape or verb not in ("READ", "WRITE"):
        return None
    return Statement(Kind.PREPARE, text, name, shape, writes=verb == "WRITE")


def _execute(text: str, rest: str) -> Statement | None:
    name, _, body = rest.partition(" ")
    return Statement(Kind.EXECUTE, text, name, body) if name and body else None


def _close(text: str, rest: str) -> Statement | None:
    return Statement(Kind.CLOSE_PREPARED, text, rest) if rest else None


_PARSERS = {
    "READ": _read,
    "WRITE": _write,
    "BEGIN": _begin,
    "COMMIT": _commit,
    "ROLLBACK": _rollback,
    "SET": _set,
    "PREPARE": _prepare,
    "EXEC": _execute,
    "CLOSE": _close,
}


_OWN_TEXTS = {
    Kind.ROLLBACK: "ROLLBACK",
    Kind.RESET: "RESET",
    Kind.STATUS: "STATUS",
    Kind.RESUME: "RESUME",
}


def _text(statement: Statement) -> str:
    match statement.kind:
        case Kind.EXECUTE:
            return f"EXEC {statement.name} {statement.body}"
        case Kind.BEGIN:
            return "BEGIN READ" if statement.read_only else "BEGIN"
        case Kind.SET_VALUE:
            return f"SET {statement.name} {statement.body}"
        case Kind.PREPARE:
            verb = "WRITE" if statement.writes else "READ"
            return f"PREPARE {statement.name} {verb} {statement.body}"
        case Kind.PAUSE:
            return f"PAUSE {statement.body}"
    return statement.text or _OWN_TEXTS[statement.kind]


def format_statement(statement: Statement, least: Position) -> str:
    """Return the text in which a target gets a statement.

    ``least`` is the position that the target's log must hold, for reads and for the
    begin of a transaction. A prepared statement travels under the name in
    ``statement``, whatever its caller called it; a read, write or commit of a caller
    travels as it came.
    """
    text = _text(statement)
    if least == START:
        return text
    return f"SINCE {format_position(least)} {text}"
