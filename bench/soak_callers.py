"""The callers of a soak: sessions that are used until their process is gone.

A caller opens a session at a node of the balancer's rotation and goes on using it,
also while that node stops or is disturbed, until the connection ends.
"""

import asyncio
import itertools
import random
from contextlib import suppress
from dataclasses import dataclass, field
from typing import ClassVar

from bench.soak_fleet import Fleet, Node
from bench.soak_record import (
    CUT,
    DONE,
    NO_ANSWER,
    Database,
    Freshness,
    IdleCut,
    Request,
    Sent,
)
from lavenderstack.core import clock
from standins.long_text import condensed
from standins.sockets import HOST
from standins.target_session import READ_LIMIT_B, read_line

GREETING_LIMIT_S = 2.0
# A caller waits this much longer than the time limit of its request.
PATIENCE_S = 3.0
RECONNECT_S = 0.1
ITEMS = 12
MAX_OPERATIONS = 60
# Shares of callers' sessions that use a withdrawn key, or end after one operation.
WITHDRAWN_SHARE = 0.05
SHORT_SHARE = 0.1
LEAVE_SHARE = 0.03

_sessions = itertools.count(1)
_operations = itertools.count(1)


class SessionEnded(Exception):
    """The session is over; another one is opened."""


@dataclass
class Session:
    """An open connection to a node, and the statements sent on it."""

    fleet: Fleet
    node: str
    key: str
    organisation: str
    database: Database
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    number: int = field(default_factory=lambda: next(_sessions))
    state: str = "I"

    async def ask(
        self,
        operation: str,
        began_at: float,
        text: str,
        name: str = "",
        sent: Sent | None = None,
    ) -> Request:
        """Send a statement and wait for its answer; record both.

        ``name`` is the request's id, made of the operation unless given.
        """
        requests = self.fleet.record.requests
        request = Request(
            name=name or f"{operation}.{len(requests)}",
            operation=operation,
            session=self.number,
            node=self.node,
            key=self.key,
            organisation=self.organisation,
            database=self.database,
            text=condensed(text),
            began_at=began_at,
            sent_at=clock.now(),
            in_transaction=self.state == "T",
            sent=sent,
        )
        requests.append(request)
        try:
            async with asyncio.timeout(self.database.timeout_s + PATIENCE_S):
                self.writer.write(f"QUERY {request.name} {text}\r\n".encode())
                await self._read_answer(request)
        except TimeoutError:
            request.outcome = NO_ANSWER
        except ConnectionError:
            request.outcome = CUT
        finally:
            request.ended_at = clock.now()
        if request.outcome in (CUT, NO_ANSWER):
            raise SessionEnded
        return request

    async def _read_answer(self, request: Request) -> None:
        outcome = ""
        while data := await read_line(self.reader):
            kind, _, rest = data.decode().partition(" ")
            if kind == "ROW":
                request.row = condensed(rest)
            elif kind == "DONE":
                outcome, request.receipt = DONE, rest
            elif kind == "ERROR":
                outcome = rest.partition(" ")[0]
            elif kind == "READY":
                self.state = rest[0]
                request.outcome = outcome
                return
        request.outcome = CUT

    async def pause(self, pause_s: float, began_at: float) -> None:
        """Wait; raise ``SessionEnded`` if the node closes the connection meanwhile."""
        try:
            async with asyncio.timeout(pause_s):
                data = await read_line(self.reader)
        except TimeoutError:
            return
        except ConnectionError:
            data = b""
        if data and not data.startswith(b"ERROR"):
            line = data[:80].decode(errors="replace")
            self.fleet.record.stray.append(f"session {self.number}: {line}")
        if not data:
            cut = IdleCut(clock.now(), self.node, began_at)
            record = self.fleet.record
            ends = record.idle_cuts if self.state == "T" else record.idle_closes
            ends.append(cut)
        raise SessionEnded


@dataclass
class Caller:
    """Opens one session after another; ``pause_s`` is between operations."""

    fleet: Fleet
    organisation: str
    rng: random.Random
    pause_s: float
    session_type: ClassVar[type[Session]] = Session

    async def run(self) -> None:
        """Call until cancelled."""
        while True:
            with suppress(SessionEnded, OSError, TimeoutError):
                await self._run_session()
            await asyncio.sleep(self.rng.uniform(0, RECONNECT_S))

    def _choose_key(self) -> str:
        record, operator = self.fleet.record, self.fleet.operator
        withdrawn = [k for k in record.withdrawn if k.endswith(self.organisation)]
        if withdrawn and self.rng.random() < WITHDRAWN_SHARE:
            return self.rng.choice(withdrawn)
        return self.rng.choice(operator.keys[self.organisation])

    async def _run_session(self) -> None:
        node = self.rng.choice(self.fleet.in_rotation())
        identity, key = node.identity, self._choose_key()
        database = self.rng.choice(list(self.fleet.operator.databases.values()))
        reader, writer = await asyncio.open_connection(
            HOST, node.callers_port, limit=READ_LIMIT_B
        )
        session = self.session_type(
            self.fleet, identity, key, self.organisation, database, reader, writer
        )
        try:
            if not await self._greet(session, node):
                return
            for _ in range(1 if self.rng.random() < SHORT_SHARE else MAX_OPERATIONS):
                await self._operate(session)
                if session.state != "I":
                    return
                await session.pause(self.rng.uniform(0, 2 * self.pause_s), 0.0)
            writer.write(b"QUIT\r\n")
        finally:
            writer.close()

    async def _greet(self, session: Session, node: Node) -> bool:
        sent_at = clock.now()
        line = f"CONNECT {session.database.name} {session.key}\r\n"
        async with asyncio.timeout(GREETING_LIMIT_S):
            session.writer.write(line.encode())
            answer = (await read_line(session.reader)).decode()
        if answer.startswith("ERROR NOAUTH"):
            self._record_refusal(session, sent_at)
        return answer.startswith("READY")

    def _record_refusal(self, session: Session, sent_at: float) -> None:
        """Record a refused key as a request, for the check of configurations."""
        requests = self.fleet.record.requests
        request = Request(
            name=f"c{len(requests)}",
            operation=f"c{len(requests)}",
            session=session.number,
            node=session.node,
            key=session.key,
            organisation=self.organisation,
            database=session.database,
            text="CONNECT",
            began_at=sent_at,
            sent_at=sent_at,
            ended_at=clock.now(),
            outcome="NOAUTH",
        )
        requests.append(request)

    async def _operate(self, session: Session) -> None:
        operations = (self._write, self._read, self._transaction, self._look)
        weights = (3, 4, 2, 1)
        chosen = self.rng.choices(operations, weights)[0]
        await chosen(session)

    def _item(self) -> str:
        return f"item{self.rng.randrange(ITEMS)}"

    def _begin(self, prefix: str) -> tuple[str, float]:
        return f"{prefix}{next(_operations)}", clock.now()

    async def _write(self, session: Session) -> None:
        operation, at = self._begin("w")
        await session.ask(operation, at, f"WRITE {self._item()} {operation}")

    async def _read(self, session: Session) -> None:
        operation, at = self._begin("r")
        await session.ask(operation, at, f"READ {self._item()}")

    async def _look(self, session: Session) -> None:
        """Run a transaction that only reads."""
        operation, at = self._begin("r")
        # A primary database has no replica reads, so both kinds are played there.
        plain = session.database.freshness is Freshness.PRIMARY
        texts = ["BEGIN" if plain else "BEGIN READ"]
        texts += [f"READ {self._item()}" for _ in range(2)]
        await self._run_texts(session, operation, at, [*texts, "COMMIT"])

    async def _transaction(self, session: Session) -> None:
        operation, at = self._begin("t")
        texts = ["BEGIN"]
        for _ in range(self.rng.randint(1, 3)):
            texts.append(f"WRITE {self._item()} {operation}")
            texts.append(f"READ {self._item()}")
        end = "ROLLBACK" if self.rng.random() < 0.15 else "COMMIT"
        await self._run_texts(session, operation, at, [*texts, end])

    async def _run_texts(
        self, session: Session, operation: str, at: float, texts: list[str]
    ) -> None:
        for text in texts:
            request = await session.ask(operation, at, text)
            if request.outcome != DONE:
                if session.state != "I":
                    await session.ask(operation, at, "ROLLBACK")
                return
            if self.rng.random() < LEAVE_SHARE:
                raise SessionEnded
            if session.state == "T":
                await session.pause(self.rng.uniform(0, 0.1), at)
