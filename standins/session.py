"""One connection's work on a target: statements and its open transaction.

A transaction works on an overlay that nobody else sees. At commit it is refused if
another one changed a key or a scanned table that it touched. A single statement is
a transaction of its own.

==============================  ================================================
statement                       result
==============================  ================================================
``get [table, key]``            the value or None
``scan [table]``                pairs of key and value, in order of the keys
``put [table, key, value]``     None
``insert [table, key, value]``  None; refused if the key exists
``add [table, key, n]``         the new number; a missing key counts as 0
``delete [table, key]``         whether the key existed
``sleep [ms]``                  None; the process waits that long beforehand
==============================  ================================================
"""

from collections.abc import Callable, Hashable
from typing import Any

from lavenderstack.border.target import TargetErrorCode, TargetRefused
from lavenderstack.core.position import START, Position
from standins.replica_log import Change, ReplicaLog


class Transaction:
    """An overlay over the tables of a log, begun under ``term``."""

    def __init__(self, log: ReplicaLog, term: int) -> None:
        self.term = term
        self.changes: dict[tuple[str, Hashable], Change] = {}
        self._log = log
        self._touched: dict[Hashable, Position] = {}

    def _touch(self, name: Hashable) -> None:
        version = self._log.versions.get(name, START)
        self._touched.setdefault(name, version)

    def conflicts(self) -> bool:
        """Tell whether another transaction changed what this one touched."""
        versions = self._log.versions
        return any(
            versions.get(name, START) != version
            for name, version in self._touched.items()
        )

    def exists(self, table: str, key: Hashable) -> bool:
        """Tell whether the table has the key."""
        self._touch((table, key))
        change = self.changes.get((table, key))
        if change is not None:
            return not change.deleted
        return key in self._log.tables.get(table, {})

    def get(self, table: str, key: Hashable) -> Any:
        """Return the value of a key, or None."""
        self._touch((table, key))
        change = self.changes.get((table, key))
        if change is not None:
            return change.value
        return self._log.tables.get(table, {}).get(key)

    def scan(self, table: str) -> list[tuple[Hashable, Any]]:
        """Return the pairs of a table in order of the keys."""
        self._touch(table)
        rows = dict(self._log.tables.get(table, {}))
        for change in self.changes.values():
            if change.table != table:
                continue
            if change.deleted:
                rows.pop(change.key, None)
            else:
                rows[change.key] = change.value
        return sorted(rows.items(), key=lambda row: str(row[0]))

    def change(self, change: Change) -> None:
        """Note a change in the overlay."""
        self._touch((change.table, change.key))
        self.changes[change.table, change.key] = change


def _get(work: Transaction, table: str, key: Hashable) -> Any:
    return work.get(table, key)


def _scan(work: Transaction, table: str) -> list:
    return work.scan(table)


def _put(work: Transaction, table: str, key: Hashable, value: Any) -> None:
    work.change(Change(table, key, value))


def _insert(work: Transaction, table: str, key: Hashable, value: Any) -> None:
    if work.exists(table, key):
        raise TargetRefused(TargetErrorCode.STATEMENT_FAILED, "the key exists")
    work.change(Change(table, key, value))


def _add(work: Transaction, table: str, key: Hashable, number: int) -> int:
    total = (work.get(table, key) or 0) + number
    work.change(Change(table, key, total))
    return total


def _delete(work: Transaction, table: str, key: Hashable) -> bool:
    existed = work.exists(table, key)
    work.change(Change(table, key, deleted=True))
    return existed


def _sleep(_work: Transaction, _ms: float) -> None:
    return None


READS: dict[str, Callable] = {"get": _get, "scan": _scan, "sleep": _sleep}
WRITES: dict[str, Callable] = {
    "put": _put,
    "insert": _insert,
    "add": _add,
    "delete": _delete,
}


def _perform(work: Transaction, statement: str, args: list, write: bool) -> Any:
    allowed = READS | WRITES if write else READS
    function = allowed.get(statement)
    if function is None:
        raise TargetRefused(
            TargetErrorCode.STATEMENT_FAILED, f"no such statement: {statement}"
        )
    try:
        return function(work, *args)
    except TypeError as exc:
        raise TargetRefused(TargetErrorCode.STATEMENT_FAILED, str(exc)) from exc


class Session:
    """The state of one connection. Refused calls raise and change nothing."""

    def __init__(self, log: ReplicaLog) -> None:
        self.log = log
        self.transaction: Transaction | None = None

    def begin(self, term: int) -> None:
        """Open a transaction on the primary of ``term``."""
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
            return _perform(self.transaction, statement, args, write)
        if write or term:
            self.log.require_primary(term)
        work = Transaction(self.log, term)
        if not write:
            return _perform(work, statement, args, write)
        self._refuse_repeat(idempotency_key)
        result = _perform(work, statement, args, write)
        self.log.append(tuple(work.changes.values()), idempotency_key)
        return result

    def commit(self, idempotency_key: str) -> None:
        """Write the open transaction to the log; it is over whatever happens."""
        work, self.transaction = self.transaction, None
        if work is None:
            raise TargetRefused(TargetErrorCode.NO_TRANSACTION)
        self.log.require_primary(work.term)
        self._refuse_repeat(idempotency_key)
        if work.conflicts():
            raise TargetRefused(TargetErrorCode.STATEMENT_FAILED, "conflict")
        self.log.append(tuple(work.changes.values()), idempotency_key)

    def rollback(self) -> None:
        """Forget the open transaction."""
        if self.transaction is None:
            raise TargetRefused(TargetErrorCode.NO_TRANSACTION)
        self.transaction = None

    def _refuse_repeat(self, idempotency_key: str) -> None:
        position = self.log.remembered.get(idempotency_key) if idempotency_key else None
        if position is not None:
            detail = f"{position.term}:{position.seq}"
            raise TargetRefused(TargetErrorCode.ALREADY_RUN, detail)
