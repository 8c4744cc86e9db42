"""Open transactions of a holder, each pinned to one connection.

A transaction belongs to the organisation that began it. One that is idle for longer
than ``IDLE_LIMIT_S``, or whose connection fails, is rolled back by closing its
connection: the target discards what was not committed.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import astuple, dataclass, field
from urllib.parse import quote, unquote

from lavenderstack.border.target import TargetConn
from lavenderstack.core import clock
from lavenderstack.core.outcome import Reason, Refused, Unknown
from lavenderstack.core.unique_id import unique_id

IDLE_LIMIT_S = 10.0
# Sent commits that are remembered; beyond that the oldest is forgotten.
MAX_RECORDED_COMMITS = 10_000
# A name has the group, the target, the holder and a random part.
NAME_FIELDS = 4
_SEPARATOR = "~"


@dataclass(slots=True)
class Transaction:
    """An open transaction; ``lock`` makes its statements run one at a time."""

    name: str
    organisation: str
    conn: TargetConn
    used_at: float
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


@dataclass(frozen=True, slots=True)
class TransactionName:
    """The location of a transaction. Its name encodes it, so any entry can find it."""

    group: str
    target: str
    holder: str

    def generate_name(self) -> str:
        """Return a fresh name that can't be guessed.

        Names with a ``~`` are quoted, which a ``~`` in front tells. The usual ones
        aren't, since nodes of earlier builds have to find their transactions too.
        """
        names = astuple(self)
        if any(_SEPARATOR in name for name in names):
            # ``quote`` leaves the separator itself as it is.
            names = ["", *(quote(n, "").replace(_SEPARATOR, "%7E") for n in names)]
        return _SEPARATOR.join([*names, unique_id()])


def parse(name: str) -> TransactionName:
    """Return the location in a transaction's name; raise ``Refused`` if malformed."""
    is_quoted = name.startswith(_SEPARATOR)
    parts = name.removeprefix(_SEPARATOR).split(_SEPARATOR)
    if len(parts) != NAME_FIELDS or not all(parts):
        raise Refused(Reason.BAD_REQUEST, "not the name of a transaction")
    return TransactionName(*(map(unquote, parts[:3]) if is_quoted else parts[:3]))


class Transactions:
    """The open transactions of one target."""

    def __init__(self) -> None:
        self._open: dict[str, Transaction] = {}
        self._committing: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._open)

    def add(self, name: str, organisation: str, conn: TargetConn) -> None:
        """Add a transaction that was just begun."""
        self._open[name] = Transaction(name, organisation, conn, clock.now())

    def find(self, name: str, organisation: str) -> Transaction:
        """Return an open transaction of the organisation.

        Raises ``Refused`` if it is not open or belongs to another organisation, and
        ``Unknown`` if its commit was already sent: a refusal means that nothing was
        run, and the caller could apply that to the whole transaction.
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
    async def locked(self, name: str, organisation: str) -> AsyncIterator[Transaction]:
        """Hold the lock of an open transaction for the duration of a block.

        The transaction is looked up again once locked: the previous lock holder may
        have ended it, and its connection may serve another transaction by now.
        """
        async with self.find(name, organisation).lock:
            yield self.find(name, organisation)

    def record_commit(self, name: str) -> None:
        """Record a commit that is about to be sent, so that a repeat is ``Unknown``."""
        self._committing[name] = self._open[name].organisation
        if len(self._committing) > MAX_RECORDED_COMMITS:
            del self._committing[next(iter(self._committing))]

    def remove(self, name: str) -> TargetConn | None:
        """Remove a transaction and return its connection, or None if not open."""
        transaction = self._open.pop(name, None)
        return transaction.conn if transaction else None

    def idle(self, now: float) -> list[str]:
        """Return the names of transactions that timed out or lost their connection."""
        return [t.name for t in self._open.values() if _is_abandoned(t, now)]

    def not_running(self) -> list[str]:
        """Return the names of transactions that run no statement now."""
        return [t.name for t in self._open.values() if not t.lock.locked()]

    def names(self) -> list[str]:
        """Return the names of all open transactions."""
        return list(self._open)


def _is_abandoned(transaction: Transaction, now: float) -> bool:
    if transaction.conn.broken:
        return True
    return not transaction.lock.locked() and now - transaction.used_at > IDLE_LIMIT_S
