"""The replicated log of one target, as a pure state machine.

A log is a list of entries; each has the changes of one committed transaction. The
position of an entry is the term in which it was written and its index in the log, so
two logs that share an entry share all entries before it. The tables result from
applying the log. When a diverged tail of the log is truncated, they are rebuilt from
the remaining entries.

Nothing here waits or does I/O. The process in ``target.py`` and the in-memory fake
in ``target_fake.py`` both use it, so tests see the same rules in either.
"""

from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from typing import Any

from lavenderstack.border.target import TargetErrorCode, TargetRefused
from lavenderstack.core.position import START, Position

MAX_PULL_ENTRIES = 500

PRIMARY = "primary"
REPLICA = "replica"


@dataclass(frozen=True, slots=True)
class Change:
    """Sets one key of a table to a value, or deletes it."""

    table: str
    key: Hashable
    value: Any = None
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Entry:
    """One committed transaction; ``idempotency_key`` may be empty."""

    position: Position
    changes: tuple[Change, ...] = ()
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class PullResult:
    """A primary's answer; ``matched`` is False if it lacks the replica's last entry."""

    matched: bool
    entries: tuple[Entry, ...] = ()


class ReplicaLog:
    """The log, tables, term and role of one target.

    ``versions`` maps a table and a key to the position of its last change, and a
    table alone to that of the last change in it. A refused call raises
    ``TargetRefused`` and changes nothing.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.term = 0
        self.role = REPLICA
        self.primary = ""
        self.entries: list[Entry] = []
        self._reset_tables()

    def _reset_tables(self) -> None:
        self.tables: dict[str, dict] = {}
        self.versions: dict[Hashable, Position] = {}
        self.idempotency_keys: dict[str, Position] = {}

    @property
    def last(self) -> Position:
        """The position of the last entry."""
        return self.entries[-1].position if self.entries else START

    def require_primary(self, term: int) -> None:
        """Raise ``TargetRefused`` unless this target is the primary of ``term``."""
        if self.role != PRIMARY or term != self.term:
            raise TargetRefused(
                TargetErrorCode.NOT_PRIMARY, f"{self.role} of term {self.term}"
            )

    def adopt(self, term: int) -> None:
        """Adopt a higher term and become a replica; a term can be adopted once."""
        if term <= self.term:
            raise TargetRefused(
                TargetErrorCode.OLD_TERM, f"term {self.term} is adopted"
            )
        self.term = term
        self.role = REPLICA
        self.primary = ""

    def lead(self, term: int) -> None:
        """Become primary of the adopted term; an empty entry marks its start."""
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
        """Follow the primary of a term that is not lower than the adopted one."""
        leads = self.role == PRIMARY and term == self.term
        if term < self.term or leads or primary == self.name:
            raise TargetRefused(
                TargetErrorCode.OLD_TERM, f"{self.role} of term {self.term}"
            )
        self.term = term
        self.role = REPLICA
        self.primary = primary

    def append(self, changes: Sequence[Change], idempotency_key: str) -> Entry:
        """Append an entry of the own term; callers check first that it is primary."""
        position = Position(self.term, len(self.entries) + 1)
        entry = Entry(position, tuple(changes), idempotency_key)
        self._apply(entry)
        return entry

    def _apply(self, entry: Entry) -> None:
        self.entries.append(entry)
        if entry.idempotency_key:
            self.idempotency_keys[entry.idempotency_key] = entry.position
        for change in entry.changes:
            rows = self.tables.setdefault(change.table, {})
            if change.deleted:
                rows.pop(change.key, None)
            else:
                rows[change.key] = change.value
            self.versions[change.table, change.key] = entry.position
            self.versions[change.table] = entry.position

    def _truncate(self, length: int) -> None:
        remaining = self.entries[:length]
        self.entries = []
        self._reset_tables()
        for entry in remaining:
            self._apply(entry)

    def has_entry(self, position: Position) -> bool:
        """Return whether the log has the entry at this position."""
        if position == START:
            return True
        seq = position.seq
        return seq <= len(self.entries) and self.entries[seq - 1].position == position

    def pull(self, after: Position, term: int) -> PullResult:
        """Return up to ``MAX_PULL_ENTRIES`` entries after the replica's last one."""
        if term != self.term:
            raise TargetRefused(TargetErrorCode.OLD_TERM, f"term {self.term}")
        self.require_primary(term)
        if not self.has_entry(after):
            return PullResult(matched=False)
        end = after.seq + MAX_PULL_ENTRIES
        return PullResult(matched=True, entries=tuple(self.entries[after.seq : end]))

    def last_of_earlier_term(self, position: Position) -> Position:
        """Return the last position whose term is lower than that of ``position``."""
        seq = position.seq
        while seq > 0 and self.entries[seq - 1].position.term >= position.term:
            seq -= 1
        return self.entries[seq - 1].position if seq else START

    def accept(self, after: Position, entries: Sequence[Entry], term: int) -> None:
        """Append the entries that the followed primary has after a position.

        Entries of this log after that position diverge from the primary's log and are
        removed.
        """
        if term != self.term or self.role == PRIMARY:
            raise TargetRefused(
                TargetErrorCode.OLD_TERM, f"{self.role} of term {self.term}"
            )
        if not self.has_entry(after):
            raise TargetRefused(TargetErrorCode.OLD_TERM, "the log changed meanwhile")
        if entries and len(self.entries) > after.seq:
            self._truncate(after.seq)
        for entry in entries:
            self._apply(entry)


def catch_up(replica: ReplicaLog, primary: ReplicaLog) -> None:
    """Copy all missing entries from a primary in the same process.

    Raises ``TargetRefused`` if the two are not in the same term.
    """
    after = replica.last
    while True:
        pulled = primary.pull(after, replica.term)
        if not pulled.matched:
            after = replica.last_of_earlier_term(after)
            continue
        if not pulled.entries:
            return
        replica.accept(after, pulled.entries, replica.term)
        after = replica.last
