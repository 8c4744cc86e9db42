"""Reads which targets and nodes were ever registered in the platform's store.

The store keeps its changes for some time. If it has all from the first one on when this
process first owns a group, they are read once, and ``core/failover/store_history.py``
follows the later ones. Nodes that own nothing don't read them, since many nodes start
together and each reading takes the bytes of all entries. The loader tells when a change
may have been missed.
"""

import structlog

from lavenderstack.core.failover.store_history import StoreHistory
from lavenderstack.core.store_position import (
    era_of,
    revision_of,
    store_position,
)
from lavenderstack.platform import documents, records
from lavenderstack.platform.decoding import TARGETS_PREFIX
from lavenderstack.platform.store import (
    HistoryGone,
    Item,
    LeaseEnded,
    Store,
    StoreFailed,
)
from lavenderstack.platform.target_reports import decode_target_run

log = structlog.get_logger()

# A store with more changes than this is not read from the first one on.
MAX_REVISIONS = 2000
# An answer with more events may be truncated; the next call then goes on from its end.
MAX_EVENTS = 200
MAX_CALLS = 10
# The answer is wanted at once.
WAIT_S = 0.001


class HistoryReader:
    """Records the changes of the store in a history.

    ``first_era`` is the era of the store when it was empty. In a later one it lacks the
    changes that were lost with a restore.
    """

    def __init__(self, store: Store, history: StoreHistory, first_era: int) -> None:
        self._store = store
        self._first_era = first_era
        self._history = history
        self._tried = False

    async def read_once(self, as_of: int) -> None:
        """Read all changes from the first one on, once a process.

        ``as_of`` is the store's position now.
        """
        if self._tried:
            return
        self._tried = True
        if era_of(as_of) != self._first_era:
            reason = "the store may have been restored from a copy"
            log.info("history: not read", as_of=as_of, reason=reason)
            return
        if revision_of(as_of) > MAX_REVISIONS:
            log.info("history: not read", as_of=as_of, reason="too many changes")
            return
        try:
            items = await self._changes(as_of)
        except (HistoryGone, StoreFailed, LeaseEnded) as exc:
            log.info("history: not read", as_of=as_of, reason=repr(exc))
            return
        if items is None or self._store.era.number != self._first_era:
            log.info("history: not read", as_of=as_of, reason="too many changes")
            return
        self._history.begin()
        for item in items:
            self.record(item)
        log.info("history: read", changes=len(items), known=self._history.known)

    async def _changes(self, as_of: int) -> list[Item] | None:
        """Return all changes up to a position or later, None if they are too many."""
        found: list[Item] = []
        after = store_position(self._first_era, 0)
        for _ in range(MAX_CALLS):
            changes = await self._store.watch("", after, WAIT_S)
            found += changes.events
            if len(changes.events) <= MAX_EVENTS and changes.as_of >= as_of:
                return found
            if not changes.events:
                return None
            # The changes of one transaction share a position and may be cut apart.
            after = changes.events[-1].rev - 1
        return None

    def record(self, item: Item) -> None:
        """Record a change of the store, if all before it are recorded."""
        if not self._history.known:
            return
        if item.key.startswith(TARGETS_PREFIX):
            name = item.key.removeprefix(TARGETS_PREFIX)
            self._check_complete(item, self._history.has_target(name))
        elif item.key.startswith(records.NODES_PREFIX):
            name = item.key.removeprefix(records.NODES_PREFIX)
            self._check_complete(item, self._history.has_node(name))
        if not item.deleted and self._history.known:
            self._record_value(item)

    def _check_complete(self, item: Item, known: bool) -> None:
        """End the history if a change of the entry before this one is missing."""
        if not known and (item.deleted or 0 < item.created < revision_of(item.rev)):
            self.end(f"changes of {item.key} are missing")

    def _record_value(self, item: Item) -> None:
        try:
            data = item.data
        except ValueError:
            data = b""
        if item.key == documents.CATALOG_KEY:
            self._record_catalog(data)
        elif item.key.startswith(TARGETS_PREFIX):
            found = decode_target_run(item.key, data)
            if found is None:
                self.end(f"{item.key} not understood")
            else:
                self._history.add_target(*found)
        elif item.key.startswith(records.NODES_PREFIX):
            name = item.key.removeprefix(records.NODES_PREFIX)
            self._history.add_node(name, records.decode_node_run(data))

    def _record_catalog(self, data: bytes) -> None:
        catalog = documents.decode_catalog(data)
        groups = catalog.groups if catalog is not None else {}
        for name, limits in groups.items():
            if not limits.replicated:
                self._history.add_unreplicated(name)

    def end(self, reason: str) -> None:
        """Record that a change may have been missed."""
        if self._history.known:
            log.info("history: ended", reason=reason)
        self._history.end()
