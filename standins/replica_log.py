"""The replicated log of one target, as a pure state machine.

A log is a list of entries, each the changes of one committed transaction. An entry
is named by the term in which it was written and its place in the log, so two logs
that share an entry share everything before it. The tables are the log applied; when
a branch that the group abandoned is cut off, they are built anew from what is left.

Nothing here waits or does I/O. The process in ``target.py`` and the in-memory fake
in ``target_fake.py`` both run on it, so that a test sees the same rules in either.
"""

from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from typing import Any

from lavenderstack.border.target import TargetErrorCode, TargetRefused
from lavenderstack.core.position import START, Position

LARGEST_PULL = 500

PRIMARY = "primary"
REPLICA = "replica"


@dataclass(frozen=True, slots=True)
class Change:
    """One key of a table that is set to a value, or deleted."""

    table: str
    key: Hashable
    value: Any = None
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Entry:
    """One committed transaction; ``idempotency_key`` is the id under which it is remembered."""

    position: Position
    changes: tuple[Change, ...] = ()
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class Pulled:
    """A primary's answer to a pull; ``matched`` is False when the logs differ."""

    matched: bool
    entries: tuple[Entry, ...] = ()


class ReplicaLog:
    """The log, tables, term and role of one target.

    ``versions`` maps a table and a key to the position of its last change, and a
    table alone to that of the last change in it. Calls that are refused raise
    ``TargetRefused`` and have changed nothing.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.term = 0
        self.role = REPLICA
        self.primary = ""
        self.entries: list[Entry] = []
        self._clear()

    def _clear(self) -> None:
        self.tables: dict[str, dict] = {}
        self.versions: dict[Hashable, Position] = {}
        self.remembered: dict[str, Position] = {}

    @property
    def last(self) -> Position:
        """The position of the last entry."""
        return self.entries[-1].position if self.entries else START

    def require_primary(self, term: int) -> None:
        """Refuse unless this target leads ``term``."""
        if self.role != PRIMARY or term != self.term:
            raise TargetRefused(
                TargetErrorCode.NOT_PRIMARY, f"{self.role} of term {self.term}"
            )

    def adopt(self, term: int) -> None:
        """Adopt a higher term and stop leading; each term is granted once."""
        if term <= self.term:
            raise TargetRefused(
                TargetErrorCode.OLD_TERM, f"term {self.term} is adopted"
            )
        self.term = term
        self.role = REPLICA
        self.primary = ""

    def lead(self, term: int) -> None:
        """Lead the adopted term and mark its begin by an empty entry."""
        if term != self.term or self.primary not in ("", self.name):
            raise TargetRefused(
                TargetErrorCode.OLD_TERM, f"term {self.term}: {self.primary}"
            )
        if self.role == PRIMARY:
            return
        self.role = PRIMARY
        self.primary = self.name
        self.append((), "")

    def follow(self, term: int, primary: str) -> None:
        """Follow the primary of a term that is at least the adopted one."""
        leads = self.role == PRIMARY and term == self.term
        if term < self.term or leads or primary == self.name:
            raise TargetRefused(
                TargetErrorCode.OLD_TERM, f"{self.role} of term {self.term}"
            )
        self.term = term
        self.role = REPLICA
        self.primary = primary

    def append(self, changes: Sequence[Change], idempotency_key: str) -> Entry:
        """Write an entry of the own term; the caller has checked that it leads."""
        position = Position(self.term, len(self.entries) + 1)
        entry = Entry(position, tuple(changes), idempotency_key)
        self._apply(entry)
        return entry

    def _apply(self, entry: Entry) -> None:
        self.entries.append(entry)
        if entry.idempotency_key:
            self.remembered[entry.idempotency_key] = entry.position
        for change in entry.changes:
            rows = self.tables.setdefault(change.table, {})
            if change.deleted:
                rows.pop(change.key, None)
            else:
                rows[change.key] = change.value
            self.versions[change.table, change.key] = entry.position
            self.versions[change.table] = entry.position

    def _cut(self, length: int) -> None:
        kept = self.entries[:length]
        self.entries = []
        self._clear()
        for entry in kept:
            self._apply(entry)

    def holds(self, position: Position) -> bool:
        """Tell whether the log has the entry at this position."""
        if position == START:
            return True
        seq = position.seq
        return seq <= len(self.entries) and self.entries[seq - 1].position == position

    def pull(self, after: Position, term: int) -> Pulled:
        """Answer a replica that asks for what follows its last entry."""
        if term != self.term:
            raise TargetRefused(TargetErrorCode.OLD_TERM, f"term {self.term}")
        self.require_primary(term)
        if not self.holds(after):
            return Pulled(matched=False)
        end = after.seq + LARGEST_PULL
        return Pulled(matched=True, entries=tuple(self.entries[after.seq : end]))

    def before(self, position: Position) -> Position:
        """Return the last position of an earlier term than the given one."""
        seq = position.seq
        while seq > 0 and self.entries[seq - 1].position.term >= position.term:
            seq -= 1
        return self.entries[seq - 1].position if seq else START

    def accept(self, after: Position, entries: Sequence[Entry], term: int) -> None:
        """Take over what the primary of the followed term has after a position.

        What the log holds beyond that position and the primary does not have is a
        branch that the group abandoned; it is cut off.
        """
        if term != self.term or self.role == PRIMARY:
            raise TargetRefused(
                TargetErrorCode.OLD_TERM, f"{self.role} of term {self.term}"
            )
        if not self.holds(after):
            raise TargetRefused(TargetErrorCode.OLD_TERM, "the log changed meanwhile")
        if entries and len(self.entries) > after.seq:
            self._cut(after.seq)
        for entry in entries:
            self._apply(entry)


def catch_up(replica: ReplicaLog, primary: ReplicaLog) -> None:
    """Pull from a primary in the same process until nothing is left.

    Raises ``TargetRefused`` if the two don't hold the same term.
    """
    after = replica.last
    while True:
        pulled = primary.pull(after, replica.term)
        if not pulled.matched:
            after = replica.before(after)
            continue
        if not pulled.entries:
            return
        replica.accept(after, pulled.entries, replica.term)
        after = replica.last
