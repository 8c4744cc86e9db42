"""Builds the view from store entries; a snapshot never goes back to an older state.

A ``Snapshot`` holds the entries that a node knows and the view built from them. It is
complete up to its ``revision``: it includes the effect of every change up to that
revision. Single changes learned out of order (just made through this node, or forwarded
by another node) may have a higher revision; for each key the higher revision wins. So a
snapshot only advances, even if changes arrive out of order, repeatedly or late. Changes
of another store, or of a store that was created anew, are refused.

If a document can't be parsed, the previous one stays in force and the change is
reported in ``rejected``.

Entries and documents are kept in persistent maps, so that the cost of a change does not
depend on their number.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from immutables import Map, MapMutation

from lavenderstack.core.entry import Change
from lavenderstack.core.view import View

PREFIXES = ("lavenderstack/", "platform/vms/")
EVACUATIONS_FOLDER = "lavenderstack/evacuations/"
# Bound the memory and copying cost of a snapshot; a node that lacks older changes
# gets them from the entries or fetches everything.
MAX_DELETIONS = 1000
MAX_RECENT_CHANGES = 1000

_FIELD_BY_KEY = {"lavenderstack/plans": "plans", "lavenderstack/bought": "bought"}
_FIELD_BY_FOLDER = {
    "lavenderstack/keys/": "keys",
    "lavenderstack/groups/": "groups",
    "lavenderstack/secrets/": "secrets",
    "lavenderstack/duties/": "duties",
    EVACUATIONS_FOLDER: "evacuations",
    "platform/vms/": "vms",
}


class BadDocument(Exception):
    """A store value that can't be parsed; the message gives the reason."""


class StoreChanged(Exception):
    """The answer comes from a different store than the one this node follows."""


@dataclass(frozen=True, slots=True)
class DocumentLocation:
    """The location of a key's document in the view: a field, and a name in that field.

    ``name`` is empty if the document is the whole field.
    """

    field: str
    name: str


@dataclass(frozen=True, slots=True)
class RejectedChange:
    """A change whose value could not be parsed; ``why`` is the reason."""

    key: str
    revision: int
    why: str


Parse = Callable[[DocumentLocation, bytes], Any]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The known entries, complete up to ``revision``, and the view built from them.

    ``newest`` is the highest revision of any applied change. ``deletions`` are the most
    recent deletions, kept to pass them on to other nodes; those up to revision
    ``floor`` have been discarded. ``recent`` are the most recent changes of all kinds,
    all those after ``recent_floor``; with it ``changes_since`` need not scan all
    entries.
    """

    store_id: str = ""
    revision: int = 0
    newest: int = 0
    entries: Map[str, Change] = field(default_factory=Map)
    deletions: tuple[Change, ...] = ()
    floor: int = 0
    view: View = View()
    rejected: tuple[RejectedChange, ...] = ()
    recent: tuple[Change, ...] = ()
    recent_floor: int = 0

    @property
    def count(self) -> int:
        """The number of entries."""
        return len(self.entries)

    def holds(self, change: Change) -> bool:
        """Return whether the change, or a later one of its key, is in force."""
        entry = self.entries.get(change.key)
        if entry is None and change.value is None:
            return self._holds_deletion(change)
        return entry is not None and entry.revision >= change.revision

    def _holds_deletion(self, change: Change) -> bool:
        if self.revision >= change.revision:
            return True
        deletions = (d for d in self.deletions if d.key == change.key)
        return any(d.revision >= change.revision for d in deletions)

    def changes_since(self, revision: int) -> tuple[Change, ...] | None:
        """Return the changes after a revision, or None if some have been discarded."""
        if revision < self.floor:
            return None
        if revision >= self.newest:
            return ()
        if revision >= self.recent_floor:
            return self._recent_since(revision)
        later = [e for e in self.entries.values() if e.revision > revision]
        later += [d for d in self.deletions if d.revision > revision]
        return tuple(sorted(later, key=lambda change: change.revision))

    def _recent_since(self, revision: int) -> tuple[Change, ...]:
        later = [change for change in self.recent if change.revision > revision]
        later.sort(key=lambda change: change.revision)
        # Only the last of several changes of a key is in force.
        last = {change.key: change for change in later}
        return tuple(change for change in later if last[change.key] is change)


EMPTY = Snapshot()


def location_of(key: str) -> DocumentLocation | None:
    """Return the location of the key's document, or None if the view has none for it.

    >>> location_of("lavenderstack/keys/ab")
    DocumentLocation(field='keys', name='ab')
    """
    if key in _FIELD_BY_KEY:
        return DocumentLocation(_FIELD_BY_KEY[key], "")
    folder, slash, name = key.rpartition("/")
    field_name = _FIELD_BY_FOLDER.get(folder + slash)
    return DocumentLocation(field_name, name) if field_name and name else None


class _Draft:
    """A mutable copy of a snapshot to which changes are applied."""

    def __init__(self, snapshot: Snapshot, parse: Parse) -> None:
        self.snapshot = snapshot
        self.entries = snapshot.entries.mutate()
        self.deletions = list(snapshot.deletions)
        self._deleted = {d.key: d.revision for d in snapshot.deletions}
        self.newest = snapshot.newest
        self.fields: dict[str, MapMutation] = {}
        self.recent = list(snapshot.recent)
        self.rejected: dict[str, RejectedChange] = {r.key: r for r in snapshot.rejected}
        self._parse = parse

    def known(self, change: Change) -> bool:
        """Return whether the change, or a later one of its key, is in force."""
        entry = self.entries.get(change.key)
        if entry is not None and entry.revision >= change.revision:
            return True
        return self._deleted.get(change.key, 0) >= change.revision

    def put(self, change: Change) -> None:
        """Apply a change."""
        self.newest = max(self.newest, change.revision)
        self.recent.append(change)
        if change.value is None:
            self.entries.pop(change.key, None)
            self.deletions.append(change)
            self._deleted[change.key] = change.revision
        else:
            self.entries[change.key] = change
        self._update_view(change)

    def _update_view(self, change: Change) -> None:
        location = location_of(change.key)
        if location is None:
            return
        document = None
        if change.value is not None:
            try:
                document = self._parse(location, change.value)
            except BadDocument as exc:
                why = RejectedChange(change.key, change.revision, str(exc))
                self.rejected[change.key] = why
                return
        self.rejected.pop(change.key, None)
        if not location.name:
            self.fields[location.field] = Map(document or {}).mutate()
        elif document is None:
            self._mutable_field(location.field).pop(location.name, None)
        else:
            self._mutable_field(location.field)[location.name] = document

    def _mutable_field(self, name: str) -> MapMutation:
        if name not in self.fields:
            self.fields[name] = Map(getattr(self.snapshot.view, name)).mutate()
        return self.fields[name]

    def finish(self, store_id: str, revision: int) -> Snapshot:
        """Return an immutable snapshot with the changes applied."""
        fields = {name: mutable.finish() for name, mutable in self.fields.items()}
        dropped = self.recent[:-MAX_RECENT_CHANGES]
        recent_floor = max((change.revision for change in dropped), default=0)
        discarded = self.deletions[:-MAX_DELETIONS]
        floor = max((d.revision for d in discarded), default=self.snapshot.floor)
        return Snapshot(
            store_id=store_id,
            revision=revision,
            newest=self.newest,
            entries=self.entries.finish(),
            deletions=tuple(self.deletions[-MAX_DELETIONS:]),
            floor=floor,
            view=replace(self.snapshot.view, revision=self.newest, **fields),
            rejected=tuple(self.rejected.values()),
            recent=tuple(self.recent[-MAX_RECENT_CHANGES:]),
            recent_floor=max(recent_floor, self.snapshot.recent_floor),
        )


def _check_store_id(snapshot: Snapshot, store_id: str) -> str:
    if not store_id:
        raise StoreChanged("the answer contains no store id")
    if snapshot.store_id not in ("", store_id):
        raise StoreChanged(f"answer of store {store_id}, expected {snapshot.store_id}")
    return store_id


def apply(
    snapshot: Snapshot,
    changes: Iterable[Change],
    revision: int,
    store_id: str,
    parse: Parse,
) -> Snapshot:
    """Return the snapshot with the changes applied, complete up to ``revision``.

    If ``revision`` is not higher than the snapshot's, the changes are treated as
    learned out of order. Returns the same snapshot if nothing is new. Raises
    ``StoreChanged``.
    """
    _check_store_id(snapshot, store_id)
    complete = max(snapshot.revision, revision)
    later = [change for change in changes if change.revision > snapshot.revision]
    if not later and complete == snapshot.revision:
        return snapshot
    if not later:
        return replace(snapshot, store_id=store_id, revision=complete)
    draft = _Draft(snapshot, parse)
    for change in sorted(later, key=lambda c: c.revision):
        if not draft.known(change):
            draft.put(change)
    return draft.finish(store_id, complete)


def apply_listing(
    snapshot: Snapshot,
    prefixes: tuple[str, ...],
    entries: Iterable[Change],
    revision: int,
    store_id: str,
    parse: Parse,
) -> Snapshot:
    """Return the snapshot updated from a full listing of the prefixes.

    Keys missing from the listing were deleted at some revision up to ``revision``.
    Other deletions up to there are unknown, so ``floor`` is set to ``revision``. A
    listing that is not newer than the snapshot changes nothing. Raises
    ``StoreChanged``.
    """
    _check_store_id(snapshot, store_id)
    if revision <= snapshot.revision:
        return snapshot
    entries = tuple(entries)
    listed = {entry.key for entry in entries}
    deleted = [
        Change(entry.key, None, revision)
        for entry in snapshot.entries.values()
        if entry.key.startswith(prefixes) and entry.key not in listed
    ]
    updated = apply(snapshot, [*entries, *deleted], revision, store_id, parse)
    return replace(updated, floor=revision)
