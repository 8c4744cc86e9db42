"""Callers that choose their texts freely, see ``bench.texts_words``."""

import itertools
import random
from dataclasses import dataclass, field
from typing import ClassVar

from bench.soak_callers import LEAVE_SHARE, Caller, Session, SessionEnded
from bench.soak_record import DONE, Freshness, Request, Sent
from bench.texts_words import Words
from lavenderstack.core import clock
from standins.long_text import condensed
from standins.target_session import MAX_MESSAGE_B, without_name

EXECUTED_SHARE = 0.6
UNKNOWN_NAME_SHARE = 0.03
# Long values that together are longer than a frame between nodes may be.
FILLED_VALUES = 5
_NAMES = ("s1", "s2", "w_q7f", "r_yj", "WRITE", "-", "s\t1", "s\r", "s\n1", "é", "\0")
_VALUE_NAMES = ("v1", "v2", "READ", "-", "v\t", "v\r1", "\u0085", "v\0")

_operations = itertools.count(1)


@dataclass
class TextSession(Session):
    """A session with the values and shapes that were acknowledged to it."""

    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)

    async def send(
        self, words: Words, operation: str, at: float, text: str, shape: str = ""
    ) -> Request:
        """Send a statement under an id of the caller's choice."""
        name = words.request_id()
        values = tuple(sorted(self.values.items()))
        line_b = len(f"QUERY {name} {text}".encode())
        sent = Sent(without_name(text)[0], shape, values, line_b)
        return await self.ask(operation, at, text, name, sent)


@dataclass
class TextCaller(Caller):
    """Calls with texts of ``words``."""

    words: Words = field(default_factory=lambda: Words(random.Random(1)))
    session_type: ClassVar[type[Session]] = TextSession

    async def _operate(self, session: TextSession) -> None:
        operations = (
            *(self._prepare, self._set, self._close, self._write, self._read),
            *(self._transaction, self._look, self._send_invalid, self._fill_values),
        )
        weights = (5, 2, 1, 5, 4, 2, 1, 1, 0.2 if self.words.long_left > 0 else 0)
        chosen = self.rng.choices(operations, weights)[0]
        await chosen(session)

    def _start(self, prefix: str) -> tuple[str, float]:
        return f"{prefix}{next(_operations)}", clock.now()

    async def _send(
        self,
        session: TextSession,
        operation: tuple[str, float],
        text: str,
        shape: str = "",
    ) -> Request:
        return await session.send(self.words, *operation, text, shape)

    async def _send_own(self, session: TextSession, text: str) -> None:
        """Send what only the session keeps; it ends after an error."""
        request = await self._send(session, self._start("v"), text)
        if request.outcome != DONE:
            raise SessionEnded

    async def _prepare(self, session: TextSession) -> None:
        name, verb = self.rng.choice(_NAMES), self.rng.choice(("READ", "WRITE"))
        definition = f"{verb} {self.words.free()}"
        await self._send_own(session, f"PREPARE {name} {definition}")
        session.prepared[name] = condensed(definition)

    async def _set(self, session: TextSession, value: str | None = None) -> None:
        name = self.rng.choice(_VALUE_NAMES)
        if value is None:
            value = self.rng.choice(("", self.words.free()))
        await self._send_own(session, f"SET {name} {value}")
        session.values[name] = condensed(value)

    async def _close(self, session: TextSession) -> None:
        name = self.rng.choice(_NAMES)
        await self._send_own(session, f"CLOSE {name}")
        session.prepared.pop(name, None)

    async def _fill_values(self, session: TextSession) -> None:
        """Set long values, read twice with them, and end the session."""
        for name in _VALUE_NAMES[:FILLED_VALUES]:
            self.words.long_left -= 1
            value = self.words.sized(MAX_MESSAGE_B - self.rng.randint(200, 2000))
            await self._send_own(session, f"SET {name} {value}")
            session.values[name] = condensed(value)
        for _ in range(2):
            await self._read(session)
        raise SessionEnded

    def _statement(self, session: TextSession, verb: str) -> tuple[str, str]:
        """Return a statement and the shape that it executes, if any."""
        names = [one for one, s in session.prepared.items() if s.startswith(verb)]
        item = self.words.field()
        body = f"{item} {self.words.free()}" if verb == "WRITE" else item
        if verb == "READ" and self.rng.random() < 0.2:
            body = self.words.free()
        if names and self.rng.random() < EXECUTED_SHARE:
            name = self.rng.choice(names)
            return f"EXEC {name} {body}", session.prepared[name]
        if self.rng.random() < UNKNOWN_NAME_SHARE:
            return f"EXEC {self.rng.choice(_NAMES)}? {body}", ""
        return f"{verb} {body}", ""

    async def _single(self, session: TextSession, verb: str, prefix: str) -> None:
        text, shape = self._statement(session, verb)
        await self._send(session, self._start(prefix), text, shape)

    async def _write(self, session: TextSession) -> None:
        await self._single(session, "WRITE", "w")

    async def _read(self, session: TextSession) -> None:
        await self._single(session, "READ", "r")

    async def _send_invalid(self, session: TextSession) -> None:
        await self._send(session, self._start("x"), self.words.invalid())

    async def _look(self, session: TextSession) -> None:
        """Run a transaction that only reads."""
        plain = session.database.freshness is Freshness.PRIMARY
        begin = "BEGIN" if plain else "BEGIN READ"
        await self._run_verbs(session, "r", begin, ["READ", "READ"])

    async def _transaction(self, session: TextSession) -> None:
        verbs = [self.rng.choice(("READ", "WRITE")) for _ in range(3)]
        await self._run_verbs(session, "t", "BEGIN", ["WRITE", *verbs])

    async def _run_verbs(
        self, session: TextSession, prefix: str, begin: str, verbs: list[str]
    ) -> None:
        operation = self._start(prefix)
        request = await self._send(session, operation, begin)
        for verb in verbs:
            if request.outcome != DONE:
                break
            if self.rng.random() < LEAVE_SHARE:
                raise SessionEnded
            await session.pause(self.rng.uniform(0, 0.05), operation[1])
            if self.rng.random() < 0.15:
                await self.rng.choice((self._prepare, self._set))(session)
            text, shape = self._statement(session, verb)
            request = await self._send(session, operation, text, shape)
        if request.outcome == DONE:
            end = "ROLLBACK" if self.rng.random() < 0.15 else "COMMIT"
            await self._send(session, operation, end)
        elif session.state != "I":
            await self._send(session, operation, "ROLLBACK")
