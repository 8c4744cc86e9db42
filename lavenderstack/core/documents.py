"""Building the view from entries of the store, never backwards.

A ``Snapshot`` is the entries that a node knows together with the view made of them.
It is complete up to its ``revision``: it holds the effect of every change up to
there. Single changes that became known out of turn (a change that was just made
through this node, or handed over by another) may lie above that revision; for each
key the higher revision wins. So a snapshot only moves forward, whatever order,
repetition or age the changes come in, and changes of another lineage (another store
or one that was made anew) are refused.

A document that can't be parsed leaves the one before it in force and is reported.

Entries and documents are in persistent maps, so that a change costs the same however
many there are.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from immutables import Map, MapMutation

from lavenderstack.core.entry import Change
from lavenderstack.core.view import View

PREFIXES = ("lavenderstack/", "platform/vms/")
DELETIONS_KEPT = 1000
RECENT_KEPT = 1000

_SINGLE = {"lavenderstack/plans": "plans", "lavenderstack/bought": "bought"}
_FOLDERS = {
    "lavenderstack/keys/": "keys",
    "lavenderstack/groups/": "groups",
    "lavenderstack/secrets/": "secrets",
    "lavenderstack/duties/": "duties",
    "platform/vms/": "vms",
}


class BadDocument(Exception):
    """A value of the store that can't be understood; the text says why."""


class StoreChanged(Exception):
    """The answer is from another store than the one that is followed."""


@dataclass(frozen=True, slots=True)
class DocumentLocation:
    """Where a key's document goes: a field of the view, and a name in it.

    ``name`` is empty for a document that is the whole field.
    """

    field: str
    name: str


@dataclass(frozen=True, slots=True)
class RejectedChange:
    """A change whose value was not understood."""

    key: str
    revision: int
    why: str


Parse = Callable[[DocumentLocation, bytes], Any]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The entries known, complete up to ``revision``, and the view made of them.

    ``newest`` is the highest revision of any change applied. ``deletions`` are the
    last ones, so that another node can be told of them; those up to ``floor`` have
    been forgotten. ``recent`` are the last changes of all kinds, which saves looking
    through the entries for them; it has all changes after ``recent_floor``.
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
        """Tell whether the change, or a later one of its key, is in force."""
        entry = self.entries.get(change.key)
        return entry is not None and entry.revision >= change.revision

    def changes_since(self, revision: int) -> tuple[Change, ...] | None:
        """Return the changes after a revision, or None if some are forgotten."""
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
        # Of several changes of one key only the last one is in force.
        last = {change.key: change for change in later}
        return tuple(change for change in later if last[change.key] is change)


EMPTY = Snapshot()


def location_of(key: str) -> DocumentLocation | None:
    """Return where the key's document goes, or None if it is none of the view's.

    >>> place_of("lavenderstack/keys/ab")
    Place(field='keys', name='ab')
    """
    if key in _SINGLE:
        return DocumentLocation(_SINGLE[key], "")
    folder, slash, name = key.rpartition("/")
    place = _FOLDERS.get(folder + slash)
    return DocumentLocation(place, name) if place and name else None


class _Draft:
    """A snapshot in the making."""

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
        """Tell whether the change, or a later one of its key, is in force."""
        entry = self.entries.get(change.key)
        if entry is not None and entry.revision >= change.revision:
            return True
        return self._deleted.get(change.key, 0) >= change.revision

    def put(self, change: Change) -> None:
        """Bring a change in force."""
        self.newest = max(self.newest, change.revision)
        self.recent.append(change)
        if change.value is None:
            self.entries.pop(change.key, None)
            self.deletions.append(change)
            self._deleted[change.key] = change.revision
        else:
            self.entries[change.key] = change
        self._place(change)

    def _place(self, change: Change) -> None:
        place = location_of(change.key)
        if place is None:
            return
        document = None
        if change.value is not None:
            try:
                document = self._parse(place, change.value)
            except BadDocument as exc:
                why = RejectedChange(change.key, change.revision, str(exc))
                self.rejected[change.key] = why
                return
        self.rejected.pop(change.key, None)
        if not place.name:
            self.fields[place.field] = Map(document or {}).mutate()
        elif document is None:
            self._copy(place.field).pop(place.name, None)
        else:
            self._copy(place.field)[place.name] = document

    def _copy(self, name: str) -> MapMutation:
        if name not in self.fields:
            self.fields[name] = Map(getattr(self.snapshot.view, name)).mutate()
        return self.fields[name]

    def done(self, store_id: str, revision: int) -> Snapshot:
        """Return the finished snapshot."""
        fields = {name: made.finish() for name, made in self.fields.items()}
        dropped = self.recent[:-RECENT_KEPT]
        recent_floor = max((change.revision for change in dropped), default=0)
        forgotten = self.deletions[:-DELETIONS_KEPT]
        floor = max((d.revision for d in forgotten), default=self.snapshot.floor)
        return Snapshot(
            store_id=store_id,
            revision=revision,
            newest=self.newest,
            entries=self.entries.finish(),
            deletions=tuple(self.deletions[-DELETIONS_KEPT:]),
            floor=floor,
            view=replace(self.snapshot.view, revision=self.newest, **fields),
            rejected=tuple(self.rejected.values()),
            recent=tuple(self.recent[-RECENT_KEPT:]),
            recent_floor=max(recent_floor, self.snapshot.recent_floor),
        )


def _checked(snapshot: Snapshot, store_id: str) -> str:
    if not store_id:
        raise StoreChanged("the answer names no lineage")
    if snapshot.store_id not in ("", store_id):
        raise StoreChanged(f"{store_id} instead of {snapshot.store_id}")
    return store_id


def apply(
    snapshot: Snapshot,
    changes: Iterable[Change],
    revision: int,
    store_id: str,
    parse: Parse,
) -> Snapshot:
    """Return the snapshot with the changes in force, complete up to ``revision``.

    With a ``revision`` no higher than that of the snapshot the changes are taken as
    known out of turn. The same snapshot is returned if nothing is new. Raises
    ``StoreChanged``.
    """
    _checked(snapshot, store_id)
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
    return draft.done(store_id, complete)


def apply_listing(
    snapshot: Snapshot,
    prefixes: tuple[str, ...],
    entries: Iterable[Change],
    revision: int,
    store_id: str,
    parse: Parse,
) -> Snapshot:
    """Return the snapshot brought up to a whole listing of the prefixes.

    What the listing lacks was deleted at some time up to ``revision``; which other
    deletions there were isn't known, so the floor is there. An older listing than
    the snapshot changes nothing.
    """
    _checked(snapshot, store_id)
    if revision <= snapshot.revision:
        return snapshot
    entries = tuple(entries)
    listed = {entry.key for entry in entries}
    gone = [
        Change(entry.key, None, revision)
        for entry in snapshot.entries.values()
        if entry.key.startswith(prefixes) and entry.key not in listed
    ]
    whole = apply(snapshot, [*entries, *gone], revision, store_id, parse)
    return replace(whole, floor=revision)
