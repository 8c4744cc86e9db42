"""What a connection of a target keeps between statements, and how it reads a message.

A line ends with CR LF only; a lone CR or LF belongs to the text. A message is at most
1 MiB, so a longer one is refused by closing the connection.
"""

import asyncio
import itertools
from dataclasses import dataclass, field

from standins.long_text import condensed

MAX_MESSAGE_B = 1024 * 1024
# Longer lines are read as well, to record that they were sent.
READ_LIMIT_B = 8 * MAX_MESSAGE_B
LINE_END = b"\r\n"
REFUSED = ["ERROR MALFORMED not a statement"]

_connections = itertools.count(1)


async def read_line(reader: asyncio.StreamReader) -> bytes:
    """Return the next line without its end, or nothing after the last one.

    Raises ``asyncio.LimitOverrunError`` above the limit of the reader.
    """
    try:
        return (await reader.readuntil(LINE_END))[: -len(LINE_END)]
    except asyncio.IncompleteReadError:
        return b""


@dataclass(frozen=True, slots=True)
class Seen:
    """A statement as a target ran it; long texts are condensed.

    ``text`` is without the name of a prepared statement, which is in ``name``.
    ``shape`` has the verb and the shape found under that name. ``values`` are those of
    the connection. ``transaction`` counts those of a connection, 0 is outside of one.
    """

    text: str
    name: str = ""
    shape: str = ""
    values: tuple[tuple[str, str], ...] = ()
    connection: int = 0
    transaction: int = 0


def without_name(text: str) -> tuple[str, str]:
    """Return the condensed text without the name of a prepared statement, and that.

    >>> without_name("EXEC s1 item some data")
    ('EXEC item some data', 's1')
    """
    verb, _, rest = text.partition(" ")
    if verb != "EXEC":
        return condensed(text), ""
    name, _, body = rest.partition(" ")
    return condensed(f"EXEC {body}"), condensed(name)


@dataclass
class TargetSession:
    """The values and prepared statements of one connection."""

    number: int = field(default_factory=lambda: next(_connections))
    prepared: dict[str, str] = field(default_factory=dict)
    values: tuple[tuple[str, str], ...] = ()
    transactions: int = 0

    def apply(self, verb: str, rest: str) -> list[str] | None:
        """Answer SET, RESET and PREPARE; None for another statement."""
        if verb == "RESET" and not rest:
            self.values = ()
            self.prepared.clear()
            return ["DONE -"]
        if verb not in ("SET", "PREPARE"):
            return None
        name, _, body = rest.partition(" ")
        if not name:
            return REFUSED
        if verb == "SET":
            values = {**dict(self.values), condensed(name): condensed(body)}
            self.values = tuple(sorted(values.items()))
            return ["DONE -"]
        kind, _, shape = body.partition(" ")
        if kind not in ("READ", "WRITE") or not shape:
            return REFUSED
        self.prepared[name] = condensed(body)
        return ["DONE -"]

    def seen(self, text: str, shape: str, in_transaction: bool) -> Seen:
        """Return the record of a statement that runs now."""
        short, name = without_name(text)
        number = self.transactions if in_transaction else 0
        return Seen(short, name, shape, self.values, self.number, number)
