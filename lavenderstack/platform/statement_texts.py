"""The statements of callers and of the service as texts of the line protocol.

Parses what callers send and formats what targets are sent. A text that a caller chose
stays one field of a message; ``docs/design/texts-in-messages.md`` has the rule.
"""

from dataclasses import dataclass

from lavenderstack.core.position import START, Position
from lavenderstack.core.statement import Statement, StatementKind
from lavenderstack.platform.line_protocol import (
    EMPTY_FIELD,
    MessageType,
    format_position,
)


@dataclass(frozen=True, slots=True)
class Query:
    """A caller's statement with its request id; ``statement`` is None if invalid.

    ``error`` tells what is wrong then.
    """

    request: str
    statement: Statement | None
    error: str = ""

    @property
    def chars(self) -> int:
        """The length of the id and the text."""
        return len(self.request) + (len(self.statement.text) if self.statement else 0)


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


def _parse_read(text: str, rest: str) -> Statement | None:
    return Statement(StatementKind.READ, text) if rest else None


def _parse_write(text: str, rest: str) -> Statement | None:
    return Statement(StatementKind.WRITE, text, writes=True) if rest else None


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
    return Statement(StatementKind.EXECUTE, text, name, body) if name and body else None


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


def format_query(request: str, statement: Statement, min_position: Position) -> str:
    """Return the message that sends a statement to a target.

    ``request`` is empty for a statement that the service itself sends.
    """
    text = format_statement(statement, min_position)
    return f"{MessageType.QUERY} {request or EMPTY_FIELD} {text}\r\n"
