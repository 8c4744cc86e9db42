"""Refuses statements whose messages to targets would be longer than targets take.

A target closes a connection on which a longer line arrives: what ran on it ends without
an outcome, and other sessions lose the connection. So a statement that can't be sent is
refused where it arrives, before it costs anything.
"""

from collections.abc import Mapping

from lavenderstack.core import statement as statements
from lavenderstack.core.position import START, Position
from lavenderstack.core.statement import Prepared, Statement, StatementKind
from lavenderstack.platform.line_protocol import MAX_LINE_B
from lavenderstack.platform.statement_texts import Query, format_query

# Of a message with its line end, so that it is valid for targets that count the end.
MAX_SENT_B = MAX_LINE_B
# A shorter id and text can't be too long: four bytes a character, names and positions
# of up to 100 characters. Spares common statements to be formatted twice.
SHORT_CHARS = MAX_SENT_B // 4 - 200
# Room for the position before a read, on whatever route and target it runs.
_LONGEST_POSITION = Position(10**18 - 1, 10**18 - 1)


def error(query: Query, prepared: Mapping[str, Prepared]) -> str:
    """Return why targets can't be sent what a statement needs, empty if they can.

    ``prepared`` has the session's prepared statements by the caller's names.
    """
    statement = query.statement
    if len(query.request) + len(statement.text) < SHORT_CHARS:
        return ""
    message = _longest_message(query.request, statement, prepared)
    excess_b = len(message.encode()) - MAX_SENT_B
    if excess_b <= 0:
        return ""
    return f"the statement is {excess_b} bytes too long to be sent to a target"


def _longest_message(
    request: str, statement: Statement, prepared: Mapping[str, Prepared]
) -> str:
    """Return the longest message that a statement leads to; empty for none."""
    match statement.kind:
        case StatementKind.SET_VALUE:
            sent = statements.set_value(statement.name, statement.body)
            return format_query("", sent, START)
        case StatementKind.PREPARE:
            definition = Prepared(statement.writes, statement.body)
            return format_query("", statements.prepare(definition), START)
        case StatementKind.EXECUTE:
            definition = prepared.get(statement.name)
            if definition is None:
                return ""
            sent = statements.execute(definition, statement.body)
            position = START if definition.writes else _LONGEST_POSITION
            return format_query(request, sent, position)
        case StatementKind.READ:
            return format_query(request, statement, _LONGEST_POSITION)
        case StatementKind.WRITE | StatementKind.COMMIT:
            return format_query(request, statement, START)
    return ""
