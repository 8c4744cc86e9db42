"""Limits of the values and prepared statements that a session keeps.

Their texts stay in a node's memory as long as a session lasts, and all values of a
session go to another node with each statement. So their sum is bounded, not only their
number: 64 values and 256 shapes of up to 1 MiB each would be more than the memory of a
node.
"""

from collections.abc import Mapping

from lavenderstack.core.statement import Prepared, Statement, StatementKind

MAX_VALUES = 64
MAX_PREPARED = 256
# Of the names, values and shapes of a session together, in bytes. One of the longest
# line of a caller still fits.
MAX_KEPT_B = 1024 * 1024


def refusal(
    statement: Statement, values: Mapping[str, str], prepared: Mapping[str, Prepared]
) -> str:
    """Return why a session can't keep what a statement sets, empty if it can."""
    sets_value = statement.kind is StatementKind.SET_VALUE
    kept, limit = (values, MAX_VALUES) if sets_value else (prepared, MAX_PREPARED)
    if len(kept) >= limit and statement.name not in kept:
        return "too many values" if sets_value else "too many prepared statements"
    texts = list(values.items())
    shapes = [(name, one.shape) for name, one in prepared.items()]
    replaced = texts if sets_value else shapes
    replaced[:] = [one for one in replaced if one[0] != statement.name]
    kept_b = sum(_size_b(*one) for one in (*texts, *shapes))
    if kept_b + _size_b(statement.name, statement.body) > MAX_KEPT_B:
        return f"the session's values and shapes have over {MAX_KEPT_B} bytes"
    return ""


def _size_b(name: str, text: str) -> int:
    return len(name.encode()) + len(text.encode())
