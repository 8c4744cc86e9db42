"""An in-memory store with fault injection, for tests of modules that use the store.

It follows the contract of ``store.Store``: store_test.py runs the same tests against
it and against the adapter.
"""

import asyncio
from collections.abc import AsyncIterator, Sequence

from lavenderstack.border.store import (
    Batch,
    Compacted,
    Listing,
    Probe,
    StoreOutcomeUnknown,
    StoreUnreachable,
    SwapConflict,
    SwapDone,
)
from lavenderstack.core.entry import Change


class MemoryStore:
    """The state that any number of ``FakeStore`` clients share."""

    def __init__(self, store_id: str = "1") -> None:
        self.store_id = store_id
        self.revision = 1
        self.entries: dict[str, Change] = {}
        self.history: list[Change] = []
        self.compacted = 0
        self.leases: dict[int, int] = {}
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes | None) -> int:
        """Write or delete; return the revision."""
        self.revision += 1
        change = Change(key, value, self.revision)
        self.history.append(change)
        if value is None:
            self.entries.pop(key, None)
        else:
            self.entries[key] = change
        self.wake()
        return self.revision

    def wake(self) -> None:
        """Wake all watches, so that they notice a change or a fault."""
        event, self.changed = self.changed, asyncio.Event()
        event.set()


class FakeStore:
    """One client's connection to a ``MemoryStore``.

    If ``down`` is set, calls fail and have no effect. If ``lose_answer`` is set, calls
    fail after they have taken effect.
    """

    def __init__(self, memory: MemoryStore | None = None) -> None:
        self.memory = memory or MemoryStore()
        self.down = False
        self.lose_answer = False
        self.calls = 0

    def _fail_if_down(self) -> None:
        self.calls += 1
        if self.down:
            raise StoreUnreachable("down")

    def _fail_if_answer_lost(self) -> None:
        if self.lose_answer:
            raise StoreOutcomeUnknown("answer lost")

    async def get(self, key: str) -> Change | None:
        """Return the entry under the key."""
        self._fail_if_down()
        self._fail_if_answer_lost()
        return self.memory.entries.get(key)

    def _entries_under(self, prefixes: Sequence[str]) -> tuple[Change, ...]:
        entries = self.memory.entries.values()
        return tuple(e for e in entries if e.key.startswith(tuple(prefixes)))

    async def list(self, prefix: str) -> Listing:
        """Return all entries under the prefix."""
        self._fail_if_down()
        self._fail_if_answer_lost()
        memory = self.memory
        return Listing(self._entries_under([prefix]), memory.revision, memory.store_id)

    async def probe(self, prefixes: Sequence[str], after_revision: int) -> Probe:
        """Return what changed under the prefixes after a revision."""
        self._fail_if_down()
        self._fail_if_answer_lost()
        entries = self._entries_under(prefixes)
        newer = [e.revision for e in entries if e.revision > after_revision]
        memory = self.memory
        newest = max(newer, default=0)
        return Probe(memory.revision, newest, len(entries), memory.store_id)

    async def swap(
        self, key: str, value: bytes | None, expected_revision: int, lease: int = 0
    ) -> SwapDone | SwapConflict:
        """Write or delete if the revision is as expected."""
        self._fail_if_down()
        current = self.memory.entries.get(key)
        if (current.revision if current else 0) != expected_revision:
            self._fail_if_answer_lost()
            return SwapConflict(current)
        revision = self.memory.put(key, value)
        self._fail_if_answer_lost()
        return SwapDone(revision)

    async def grant_lease(self, ttl_s: int) -> int:
        """Return the id of a new lease of ``ttl_s`` seconds."""
        self._fail_if_down()
        lease = len(self.memory.leases) + 1
        self.memory.leases[lease] = ttl_s
        self._fail_if_answer_lost()
        return lease

    async def keep_lease(self, lease: int) -> int:
        """Renew a lease; return the seconds it has left, 0 if it has expired."""
        self._fail_if_down()
        self._fail_if_answer_lost()
        return self.memory.leases.get(lease, 0)

    async def watch(
        self, prefixes: Sequence[str], after_revision: int
    ) -> AsyncIterator[Batch]:
        """Yield the changes after a revision until the store is down."""
        self._fail_if_down()
        last_revision = after_revision
        if last_revision < self.memory.compacted:
            raise Compacted(str(self.memory.compacted))
        while True:
            memory, changed = self.memory, self.memory.changed
            newer = [c for c in memory.history if c.revision > last_revision]
            changes = tuple(c for c in newer if c.key.startswith(tuple(prefixes)))
            last_revision = max([last_revision, *(c.revision for c in newer)])
            if changes:
                yield Batch(changes[-1].revision, changes, memory.store_id)
            else:
                await changed.wait()
            if self.down:
                raise StoreOutcomeUnknown("watch ended")
