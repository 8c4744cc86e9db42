"""The statements and the open transaction of one connection to a target.

A transaction keeps its changes in an overlay that other connections don't see. Its
commit is refused if another transaction changed a key or a scanned table that it
accessed. A statement outside of a transaction is committed on its own.
A database session is meant here, not the session of a caller across nodes.

==============================  ================================================
statement                       result
==============================  ================================================
``get [table, key]``            the value or None
``scan [table]``                pairs of key and value, in order of the keys
``put [table, key, value]``     None
``insert [table, key, value]``  None; refused if the key exists
``add [table, key, n]``         the new number; a missing key counts as 0
``delete [table, key]``         whether the key existed
``sleep [ms]``                  None; the target waits that long beforehand
==============================  ================================================
"""

from collections.abc import Callable, Hashable
from typing import Any

from lavenderstack.border.target import TargetErrorCode, TargetRefused
from lavenderstack.core.position import START, Position
from standins.replica_log import Change, ReplicaLog


class Transaction:
    """Uncommitted changes over the tables of a log, begun in ``term``."""

    def __init__(self, log: ReplicaLog, term: int) -> None:
        self.term = term
        self.changes: dict[tuple[str, Hashable], Change] = {}
        self._log = log
        self._accessed: dict[Hashable, Position] = {}

    def _record_access(self, name: Hashable) -> None:
        version = self._log.versions.get(name, START)
        self._accessed.setdefault(name, version)

    def conflicts(self) -> bool:
        """Return whether another transaction changed data that this one accessed."""
        versions = self._log.versions
        return any(
            versions.get(name, START) != version
            for name, version in self._accessed.items()
        )

    def exists(self, table: str, key: Hashable) -> bool:
        """Return whether the table has the key."""
        self._record_access((table, key))
        change = self.changes.get((table, key))
        if change is not None:
            return not change.deleted
        return key in self._log.tables.get(table, {})

    def get(self, table: str, key: Hashable) -> Any:
        """Return the value of a key, or None."""
        self._record_access((table, key))
        change = self.changes.get((table, key))
        if change is not None:
            return change.value
        return self._log.tables.get(table, {}).get(key)

    def scan(self, table: str) -> list[tuple[Hashable, Any]]:
        """Return the key-value pairs of a table, ordered by key as text."""
        self._record_access(table)
        rows = dict(self._log.tables.get(table, {}))
        for change in self.changes.values():
            if change.table != table:
                continue
            if change.deleted:
                rows.pop(change.key, None)
            else:
                rows[change.key] = change.value
        return sorted(rows.items(), key=lambda row: str(row[0]))

    def add_change(self, change: Change) -> None:
        """Add a change to the overlay."""
        self._record_access((change.table, change.key))
        self.changes[change.table, change.key] = change


def _get(transaction: Transaction, table: str, key: Hashable) -> Any:
    return transaction.get(table, key)


def _scan(transaction: Transaction, table: str) -> list:
    return transaction.scan(table)


def _put(transaction: Transaction, table: str, key: Hashable, value: Any) -> None:
    transaction.add_change(Change(table, key, value))


def _insert(transaction: Transaction, table: str, key: Hashable, value: Any) -> None:
    if transaction.exists(table, key):
        raise TargetRefused(TargetErrorCode.STATEMENT_FAILED, "the key exists")
    transaction.add_change(Change(table, key, value))


def _add(transaction: Transaction, table: str, key: Hashable, number: int) -> int:
    total = (transaction.get(table, key) or 0) + number
    transaction.add_change(Change(table, key, total))
    return total


def _delete(transaction: Transaction, table: str, key: Hashable) -> bool:
    existed = transaction.exists(table, key)
    transaction.add_change(Change(table, key, deleted=True))
    return existed


def _sleep(_transaction: Transaction, _ms: float) -> None:
    return None


READS: dict[str, Callable] = {"get": _get, "scan": _scan, "sleep": _sleep}
WRITES: dict[str, Callable] = {
    "put": _put,
    "insert": _insert,
    "add": _add,
    "delete": _delete,
}


def _execute(transaction: Transaction, statement: str, args: list, write: bool) -> Any:
    allowed = READS | WRITES if write else READS
    function = allowed.get(statement)
    if function is None:
        raise TargetRefused(
            TargetErrorCode.STATEMENT_FAILED, f"unknown statement: {statement}"
        )
    try:
        return function(transaction, *args)
    except TypeError as exc:
        raise TargetRefused(TargetErrorCode.STATEMENT_FAILED, str(exc)) from exc


class Session:
    """The database session of one connection.

    A refused call raises ``TargetRefused`` and changes nothing.
    """

    def __init__(self, log: ReplicaLog) -> None:
        self.log = log
        self.transaction: Transaction | None = None

    def begin(self, term: int) -> None:
        """Begin a transaction on the primary of ``term``."""
        self.log.require_primary(term)
        if self.transaction is not None:
            raise TargetRefused(
                TargetErrorCode.STATEMENT_FAILED, "a transaction is open"
            )
        self.transaction = Transaction(self.log, term)

    def run(
        self, statement: str, args: list, write: bool, term: int, idempotency_key: str
    ) -> Any:
        """Run a statement, in the open transaction if there is one."""
        if self.transaction is not None:
            self.log.require_primary(self.transaction.term)
            return _execute(self.transaction, statement, args, write)
        if write or term:
            self.log.require_primary(term)
        transaction = Transaction(self.log, term)
        if not write:
            return _execute(transaction, statement, args, write)
        self._refuse_duplicate(idempotency_key)
        result = _execute(transaction, statement, args, write)
        self.log.append(tuple(transaction.changes.values()), idempotency_key)
        return result

    def commit(self, idempotency_key: str) -> None:
        """Append the open transaction to the log; it is closed even if refused."""
        transaction, self.transaction = self.transaction, None
        if transaction is None:
            raise TargetRefused(TargetErrorCode.NO_TRANSACTION)
        self.log.require_primary(transaction.term)
        self._refuse_duplicate(idempotency_key)
        if transaction.conflicts():
            raise TargetRefused(TargetErrorCode.STATEMENT_FAILED, "conflict")
        self.log.append(tuple(transaction.changes.values()), idempotency_key)

    def rollback(self) -> None:
        """Discard the open transaction."""
        if self.transaction is None:
            raise TargetRefused(TargetErrorCode.NO_TRANSACTION)
        self.transaction = None

    def _refuse_duplicate(self, idempotency_key: str) -> None:
        position = (
            self.log.idempotency_keys.get(idempotency_key) if idempotency_key else None
        )
        if position is not None:
            detail = f"{position.term}:{position.seq}"
            raise TargetRefused(TargetErrorCode.ALREADY_RUN, detail)
