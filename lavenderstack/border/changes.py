"""Changes to single entries of the store by compare-and-swap.

Each value contains the id of the change that wrote it. If the answer to a swap is
lost, the same swap is sent again: either it takes effect now, or the stored value
shows the id, so the first one took effect. A change is ``Accepted`` only when the store
has it and it has been passed on to the store readers of this zone.
"""

import json
from dataclasses import dataclass
from typing import Any, Protocol

from lavenderstack.border.store import (
    Store,
    StoreError,
    StoreOutcomeUnknown,
    StoreUnreachable,
    SwapDone,
)
from lavenderstack.core.documents import Snapshot
from lavenderstack.core.entry import Change
from lavenderstack.core.view import View

MAX_SWAP_ATTEMPTS = 3  # while the store is unreachable or its answers are lost
CHANGE_ID = "change_id"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in the store and is being passed on to every node."""

    revision: int


@dataclass(frozen=True, slots=True)
class Stored:
    """The change is in the store, but not known to be in force on any node."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another change was stored instead; nothing of this change is in force.

    ``current`` is the stored entry, None if there is none. ``answer_lost`` is True if
    an earlier attempt got no answer, so that the change may have been in force until
    the other one replaced it.
    """

    current: Change | None
    answer_lost: bool = False


@dataclass(frozen=True, slots=True)
class NotChanged:
    """Nothing was changed; ``why`` gives the reason."""

    why: str


@dataclass(frozen=True, slots=True)
class MaybeChanged:
    """No answer was received, so the change may take effect.

    Repeating the same request resolves it.
    """


Outcome = Accepted | Stored | Conflict | NotChanged | MaybeChanged

_STORE_IS_OLDER = NotChanged("the store is older than the entry in force")


class AdminRelay(Protocol):
    """The part of the relay that the operators' API uses."""

    snapshot: Snapshot
    view: View
    is_reader: bool

    def usable(self, now: float) -> bool:
        """Return whether the view may be used for requests that need a key."""

    def age_s(self, now: float) -> float:
        """Return the seconds since the view was last proved current."""

    async def announce(self, change: Change) -> bool:
        """Put a stored change into force.

        Returns whether the store readers of this zone have it.
        """


def change_id_of(entry: Change | None) -> str:
    """Return the id of the change that wrote an entry, or an empty string."""
    document = document_of(entry)
    change_id = document.get(CHANGE_ID, "") if isinstance(document, dict) else ""
    return change_id if isinstance(change_id, str) else ""


def document_of(entry: Change | None) -> Any:
    """Return the JSON document of an entry, None if it is missing or not JSON."""
    try:
        return json.loads(entry.value) if entry and entry.value else None
    except ValueError:
        return None


class ChangeWriter:
    """Writes operators' changes to the store on one node."""

    def __init__(self, store: Store, relay: AdminRelay) -> None:
        self._store = store
        self._relay = relay

    async def read(self, key: str) -> Change | None:
        """Return the stored entry, if any; raises ``StoreError``."""
        return await self._store.get(key)

    async def write(self, key: str, document: dict, expected_revision: int) -> Outcome:
        """Replace the entry if it has the expected revision (0: it must not exist).

        ``document`` must contain its ``change_id``.
        """
        snapshot = self._relay.snapshot
        known_entry = snapshot.entries.get(key)
        if known_entry is not None and expected_revision < known_entry.revision:
            return await self._resolve_outdated(key, document)
        value = json.dumps(document, separators=(",", ":")).encode()
        outcome = await self._swap(key, value, document[CHANGE_ID], expected_revision)
        if not isinstance(outcome, Stored):
            return outcome
        if outcome.revision <= snapshot.newest and not snapshot.holds(
            Change(key, value, outcome.revision)
        ):
            return outcome
        change = Change(key, value, outcome.revision)
        in_force = await self._relay.announce(change)
        return Accepted(outcome.revision) if in_force else outcome

    async def _resolve_outdated(self, key: str, document: dict) -> Outcome:
        """Return the outcome of a change based on an older entry than the one in force.

        The entry in force may come from the same change, sent earlier.
        """
        try:
            current = await self._store.get(key)
        except (StoreUnreachable, StoreOutcomeUnknown):
            return NotChanged("the store is unreachable")
        known_entry = self._relay.snapshot.entries[key]
        if current is None or current.revision < known_entry.revision:
            return _STORE_IS_OLDER
        if change_id_of(current) != document[CHANGE_ID]:
            return Conflict(current)
        return await self.put_into_force(current)

    async def put_into_force(self, stored: Change) -> Outcome:
        """Announce an entry read from the store and return its change's outcome.

        For a change that is sent again: it may have been stored without having been
        passed on.
        """
        known_entry = self._relay.snapshot.entries.get(stored.key)
        if known_entry is not None and stored.revision < known_entry.revision:
            return _STORE_IS_OLDER
        in_force = await self._relay.announce(stored)
        return (Accepted if in_force else Stored)(stored.revision)

    async def remove(self, key: str, expected_revision: int) -> Outcome:
        """Delete the entry if it has the expected revision.

        An entry that is gone counts as deleted, whoever did it.
        """
        outcome = await self._swap(key, None, None, expected_revision)
        if isinstance(outcome, Conflict) and outcome.current is None:
            try:
                return await self.put_absence_into_force(key, expected_revision)
            except StoreError:
                return MaybeChanged()
        if not isinstance(outcome, Stored):
            return outcome
        return await self.put_into_force(Change(key, None, outcome.revision))

    async def put_absence_into_force(self, key: str, after_revision: int) -> Outcome:
        """Announce that an entry, last known at a revision, is gone from the store.

        Raises ``StoreError``. The revision of the deletion isn't known, so the earliest
        possible one is announced: with a later one than the store's watch delivers,
        views could not be proved current.
        """
        known_entry = self._relay.snapshot.entries.get(key)
        if known_entry is not None:
            after_revision = max(after_revision, known_entry.revision)
        listing = await self._store.list(key)
        for entry in listing.entries:
            if entry.key == key:
                return Conflict(entry)
        if listing.revision <= after_revision:
            return _STORE_IS_OLDER
        return await self.put_into_force(Change(key, None, after_revision + 1))

    async def _swap(
        self,
        key: str,
        value: bytes | None,
        change_id: str | None,
        expected_revision: int,
    ) -> Outcome:
        """Write or delete; ``change_id`` is None for a deletion, which stores none."""
        answer_lost = False
        for _ in range(MAX_SWAP_ATTEMPTS):
            try:
                answer = await self._store.swap(key, value, expected_revision)
            except StoreUnreachable:
                continue
            except StoreOutcomeUnknown:
                answer_lost = True
                continue
            if isinstance(answer, SwapDone):
                return Stored(answer.revision)
            current = answer.current
            if current is not None and change_id_of(current) == change_id:
                return Stored(current.revision)
            return Conflict(current, answer_lost)
        if answer_lost:
            return MaybeChanged()
        return NotChanged("the store is unreachable")
