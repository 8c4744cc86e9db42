"""Texts that callers choose freely: request ids, names, shapes, values, items, data.

They have blanks anywhere, words of the protocol, control characters, line ends of
other conventions and characters outside of ASCII. A text that goes between two others
has no blank, since blanks separate the fields of a message.
"""

import itertools
import random
from dataclasses import dataclass

from standins.target_session import MAX_MESSAGE_B

# Few words, so that the texts of different callers are equal in parts.
_WORDS = ("q7f", "yj", "zm", "s1", "w_q7f", "r_yj", "Q7f")
_FORMS = (
    *("{a}", "{a}", "{a}", " {a}", "{a} ", "{a} {b}", "{a}  {b}", "  ", "-", "{a} -"),
    *("{a} WRITE {b}", "{a} READ {b}", "WRITE {a} WRITE {b}", "{a} READ {b} "),
    *("EXEC {a} {b}", "SINCE 1.1 READ {a}", "CONNECT g1 wide", "QUERY - READ {a}"),
    *("READY I -", "DONE -", "ERROR BUSY {a}", "PREPARE w_{a} WRITE {b}", "RESET"),
    *("{a}\tWRITE {b}", "{a}\0{b}", "\0", "{a}\r", "{a}\r{b}", "\n{a}", "{a}\n{b}"),
    *("{a}\u0085{b}", "{a}\u2028{b}", "\U0001f600 {a}", "{a}\u00a0{b}", "é{a}\f"),
)
_FIELDS = (
    *("{a}", "{a}", "{a}", "{a}{b}", "-", "WRITE", "READ", "EXEC", "SINCE", "READY"),
    *("{a}\tREAD", "{a}\0", "{a}\r{b}", "{a}\n{b}", "\r", "\n", "{a}\u0085", "\u2028"),
    *("\U0001f600", "{a}\u00a0{b}", "DONE", "1.1", "QUERY\n", "\tCONNECT"),
)
# Texts that aren't statements, or not ones of callers.
_INVALID = (
    *("", " ", "READ", "READ ", "WRITE", "EXEC", "EXEC {a}", "EXEC  {a} {b}", "SET"),
    *("PREPARE {a}", "PREPARE {a} WRITE", "PREPARE {a} WRITE ", "PREPARE  READ {b}"),
    *("PREPARE {a} {b} WRITE {b}", "CLOSE", "CLOSE ", "STATUS", "RESET", "PAUSE 9"),
    *("SINCE 1.1 READ {a}", "SINCE 1.1 WRITE {a} {b}", "STEPDOWN 9", "read {a}"),
    *("\tREAD {a}", "\nWRITE {a} {b}", " READ {a}", "READ\t{a}", "COMMIT {a}"),
    *("BEGIN WRITE", "BEGIN ", "ROLLBACK {a}", "QUERY - WRITE {a} {b}", "\0", "DONE -"),
)
LONG_SHARE = 0.02
_LONG_SIZES_B = (70_000, 300_000, 900_000)
# How far a long text is from the longest message. The other fields of its line have
# some 20 to 60 bytes, so some lines just fit and some don't.
_NEAR_LIMIT_B = (15, 120)
_ids = itertools.count(1)


@dataclass
class Words:
    """Draws texts; ``long_left`` is how many long ones may still be drawn."""

    rng: random.Random
    long_left: int = 0

    def _fill(self, forms: tuple[str, ...]) -> str:
        form = self.rng.choice(forms)
        return form.format(a=self.rng.choice(_WORDS), b=self.rng.choice(_WORDS))

    def field(self) -> str:
        """Return a text without a blank."""
        return self._fill(_FIELDS)

    def free(self) -> str:
        """Return a text that is the last field of a message."""
        if self.long_left > 0 and self.rng.random() < LONG_SHARE:
            return self.long()
        return self._fill(_FORMS)

    def long(self) -> str:
        """Return a long text."""
        self.long_left -= 1
        size_b = self.rng.choice(_LONG_SIZES_B)
        if self.rng.random() < 0.5:
            size_b = MAX_MESSAGE_B - self.rng.randint(*_NEAR_LIMIT_B)
        return self.sized(size_b)

    def sized(self, size_b: int) -> str:
        """Return a text of a length in bytes."""
        start = self._fill(_FORMS)
        unit = self.rng.choice(("x", "é", "WRITE yj "))
        count, rest_b = divmod(size_b - len(start.encode()), len(unit.encode()))
        return start + unit * count + "x" * rest_b

    def invalid(self) -> str:
        """Return a text that is no statement of a caller."""
        return self._fill(_INVALID)

    def request_id(self) -> str:
        """Return an id that no other request has."""
        return f"{self.field()}#{next(_ids)}.{self.field()}"
