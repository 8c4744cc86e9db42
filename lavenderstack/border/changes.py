"""Changes to single entries of the store by compare-and-swap.

Each value carries the id of the change that wrote it. So an answer that was lost
after the change took effect is resolved by sending the same swap again: either it
takes effect now, or what stands there shows the id. A change is ``Accepted`` only
when the store has it and the readers of this zone have been handed it.
"""

import json
from dataclasses import dataclass
from typing import Any, Protocol

from lavenderstack.border.store import Store, StoreUnknown, StoreUnreachable, SwapDone
from lavenderstack.core.documents import Snapshot
from lavenderstack.core.entry import Change
from lavenderstack.core.view import View

SWAP_TRIES = 3
CHANGE_ID = "change_id"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in the store and on its way to every node."""

    revision: int


@dataclass(frozen=True, slots=True)
class Stored:
    """The change is in the store, but it isn't known to be in force anywhere."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Something else stands there; nothing of this change is in force.

    ``lost`` is True if an answer was lost before, so that the change may have been
    in force for a moment.
    """

    current: Change | None
    lost: bool = False


@dataclass(frozen=True, slots=True)
class NotChanged:
    """Nothing was changed; ``why`` says what stood in the way."""

    why: str


@dataclass(frozen=True, slots=True)
class MaybeChanged:
    """No answer came: the change may take effect. The same request resolves it."""


Outcome = Accepted | Stored | Conflict | NotChanged | MaybeChanged


class Control(Protocol):
    """The relay, as far as the administration needs it."""

    snapshot: Snapshot
    view: View
    is_reader: bool

    def usable(self, now: float) -> bool:
        """Tell whether the view may be used for keyed work."""

    def age_s(self, now: float) -> float:
        """Return the seconds since the view was proved current."""

    async def announce(self, change: Change) -> bool:
        """Bring a stored change in force; tell if the zone's readers have it."""


def change_id_of(entry: Change | None) -> str:
    """Return the id of the change that wrote an entry, or an empty string."""
    document = document_of(entry)
    found = document.get(CHANGE_ID, "") if isinstance(document, dict) else ""
    return found if isinstance(found, str) else ""


def document_of(entry: Change | None) -> Any:
    """Return the JSON document of an entry, None if there is none."""
    try:
        return json.loads(entry.value) if entry and entry.value else None
    except ValueError:
        return None


class Changes:
    """Makes changes for operators on one node."""

    def __init__(self, store: Store, control: Control) -> None:
        self._store = store
        self._control = control

    async def read(self, key: str) -> Change | None:
        """Return what stands in the store; raises ``StoreError``."""
        return await self._store.get(key)

    async def write(self, key: str, document: dict, expected_revision: int) -> Outcome:
        """Replace the entry of the given revision (0: there must be none).

        ``document`` has its ``change_id``.
        """
        known = self._control.snapshot
        held = known.entries.get(key)
        if held is not None and expected_revision < held.revision:
            return await self._overtaken(key, document)
        value = json.dumps(document, separators=(",", ":")).encode()
        outcome = await self._swap(key, value, document[CHANGE_ID], expected_revision)
        if not isinstance(outcome, Stored):
            return outcome
        if outcome.revision <= known.newest and not known.holds(
            Change(key, value, outcome.revision)
        ):
            return outcome
        change = Change(key, value, outcome.revision)
        in_force = await self._control.announce(change)
        return Accepted(outcome.revision) if in_force else outcome

    async def _overtaken(self, key: str, document: dict) -> Outcome:
        """Answer a change that rests on an older entry than the one in force."""
        try:
            current = await self._store.get(key)
        except (StoreUnreachable, StoreUnknown):
            return NotChanged("the store is out of reach")
        held = self._control.snapshot.entries[key]
        if current is None or current.revision < held.revision:
            return NotChanged("the store is older than what is in force")
        if change_id_of(current) != document[CHANGE_ID]:
            return Conflict(current)
        in_force = await self._control.announce(current)
        return (Accepted if in_force else Stored)(current.revision)

    async def _swap(
        self, key: str, value: bytes, change_id: str, expected_revision: int
    ) -> Outcome:
        lost = False
        for _ in range(SWAP_TRIES):
            try:
                answer = await self._store.swap(key, value, expected_revision)
            except StoreUnreachable:
                continue
            except StoreUnknown:
                lost = True
                continue
            if isinstance(answer, SwapDone):
                return Stored(answer.revision)
            current = answer.current
            if current is not None and change_id_of(current) == change_id:
                return Stored(current.revision)
            return Conflict(current, lost)
        if lost:
            return MaybeChanged()
        return NotChanged("the store is out of reach")
