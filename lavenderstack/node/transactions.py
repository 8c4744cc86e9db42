"""Transactions that a holder keeps open, each pinned to one connection.

A transaction belongs to the organisation that began it. One that is left alone for
too long, or whose connection fails, is rolled back by closing its connection: the
target drops what was not committed.
"""

import asyncio
import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from lavenderstack.border.target import TargetConn
from lavenderstack.core import clock
from lavenderstack.core.outcome import Reason, Refused, Unknown

IDLE_LIMIT_S = 10.0
COMMITS_KEPT = 10_000
PARTS = 4


@dataclass(slots=True)
class Transaction:
    """An open transaction; ``lock`` keeps its statements apart."""

    name: str
    organisation: str
    conn: TargetConn
    used_at: float
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


@dataclass(frozen=True, slots=True)
class TransactionName:
    """Where a transaction lives, as told by its name, so any entry can find it."""

    group: str
    target: str
    holder: str

    def new(self) -> str:
        """Return a fresh name that can't be guessed."""
        return "~".join([self.group, self.target, self.holder, secrets.token_hex(8)])


def parse(name: str) -> TransactionName:
    """Return where a transaction lives; refuse a name that is not one."""
    parts = name.split("~")
    if len(parts) != PARTS or not all(parts):
        raise Refused(Reason.BAD_REQUEST, "not the name of a transaction")
    return TransactionName(*parts[:3])


class Transactions:
    """The open transactions of one target."""

    def __init__(self) -> None:
        self._open: dict[str, Transaction] = {}
        self._committing: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._open)

    def add(self, name: str, organisation: str, conn: TargetConn) -> None:
        """Keep a transaction that was just begun."""
        self._open[name] = Transaction(name, organisation, conn, clock.now())

    def find(self, name: str, organisation: str) -> Transaction:
        """Return an open transaction; refuse one that is gone or of another's.

        Raises ``Unknown`` for one whose commit was sent before: to say that it was
        not run could be taken for the transaction.
        """
        if self._committing.get(name) == organisation:
            raise Unknown(Reason.TRANSACTION_LOST, "a commit was sent before")
        transaction = self._open.get(name)
        if transaction is None or transaction.organisation != organisation:
            raise Refused(Reason.TRANSACTION_LOST, "no such transaction is open")
        if transaction.conn.broken:
            raise Refused(Reason.TRANSACTION_LOST, "its connection was lost")
        transaction.used_at = clock.now()
        return transaction

    @asynccontextmanager
    async def held(self, name: str, organisation: str) -> AsyncIterator[Transaction]:
        """Have an open transaction to oneself for the length of a block.

        It is looked up again once it is free: whoever had it before may have ended
        it, and its connection may serve another transaction by now.
        """
        async with self.find(name, organisation).lock:
            yield self.find(name, organisation)

    def commit_sent(self, name: str) -> None:
        """Remember that a commit is sent, so that another one is not called lost."""
        self._committing[name] = self._open[name].organisation
        if len(self._committing) > COMMITS_KEPT:
            del self._committing[next(iter(self._committing))]

    def remove(self, name: str) -> TargetConn | None:
        """Forget a transaction and return its connection."""
        transaction = self._open.pop(name, None)
        return transaction.conn if transaction else None

    def idle(self, now: float) -> list[str]:
        """Return those that were left alone for too long or lost their connection."""
        return [t.name for t in self._open.values() if _is_done(t, now)]

    def names(self) -> list[str]:
        """Return the names of all open transactions."""
        return list(self._open)


def _is_done(transaction: Transaction, now: float) -> bool:
    if transaction.conn.broken:
        return True
    return not transaction.lock.locked() and now - transaction.used_at > IDLE_LIMIT_S
