"""A relay's state: its copy of the store, and how current that is proved to be.

The other modules of the relay (``relay_store``, ``relay_links``, ``relay_handlers``,
``ownership_claims``) read and update it; each change wakes the tasks that wait for one.
"""

import asyncio
from collections.abc import Callable, Sequence

import structlog

from lavenderstack.border.documents import parse
from lavenderstack.border.store import Store
from lavenderstack.core import clock as boot_clock
from lavenderstack.core import documents, relay_tree
from lavenderstack.core.documents import EMPTY, Snapshot
from lavenderstack.core.entry import Change
from lavenderstack.core.view import View
from lavenderstack.core.view_freshness import ViewFreshness
from lavenderstack.node.streams import StreamPool

# For this long a new node with seeds polls them before it reads the store itself.
SEED_WAIT_S = 0.5
MAX_STORE_PROOF_AGE_S = 1.5

log = structlog.get_logger()

Addr = tuple[str, int]


class RelayState:
    """The snapshot and freshness of one node, and its place in the relay tree.

    ``seeds`` are addresses of other nodes, polled first while the snapshot is empty.
    ``reachability_changes`` counts how often the store became unreachable or reachable.
    ``on_snapshot_changed`` is called after each change of the snapshot.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store: Store,
        pool: StreamPool,
        seeds: Sequence[Addr] = (),
        clock: Callable[[], float] = boot_clock.now,
    ) -> None:
        self.name = name
        self.zone = zone
        self.store = store
        self.pool = pool
        self.seeds = tuple(seeds)
        self.clock = clock
        self.snapshot: Snapshot = EMPTY
        self.freshness = ViewFreshness(zone)
        self.reachability_changes = 0
        self.on_snapshot_changed: Callable[[], None] = lambda: None
        self._changed = asyncio.Event()
        self._started_at = clock()
        self._tree_vms = self.view.vms
        self._tree = relay_tree.tree(self.view, name, zone)

    @property
    def view(self) -> View:
        """The current view; each change replaces the whole object."""
        return self.snapshot.view

    def usable(self, now: float) -> bool:
        """Return whether the view may be used now for requests with a key."""
        return self.freshness.usable(now)

    def age_s(self, now: float) -> float:
        """Return the seconds since the view was proved current."""
        return self.freshness.age_s(now)

    @property
    def tree(self) -> relay_tree.Tree:
        """The node's place in the relay tree; recomputed when the VM list changes."""
        if self._tree_vms is not self.view.vms:
            self._tree_vms = self.view.vms
            self._tree = relay_tree.tree(self.view, self.name, self.zone)
        return self._tree

    @property
    def is_reader(self) -> bool:
        """Whether this node is a store reader, one that reads the store itself."""
        if not self.snapshot.revision:
            booting = self.clock() - self._started_at < SEED_WAIT_S
            return not (self.seeds and booting)
        names = [vm.name for vm in self.tree.readers]
        return self.name in names or not self.tree.links

    @property
    def has_store_proof(self) -> bool:
        """Whether this node is a store reader whose view the store has just proved.

        It needs no proofs from other nodes then, which saves messages to and from
        them and its children.
        """
        age_s = self.age_s(self.clock())
        return (
            age_s <= MAX_STORE_PROOF_AGE_S
            and self.is_reader
            and not self.freshness.unreachable
        )

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until the snapshot or its proof changes, at most ``timeout_s``."""
        event = self._changed
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            return

    def notify_waiters(self) -> None:
        """Wake all tasks in ``wait_for_change``."""
        event, self._changed = self._changed, asyncio.Event()
        event.set()

    def apply_changes(
        self, changes: Sequence[Change], revision: int, store_id: str
    ) -> None:
        """Apply changes, complete up to ``revision``; see ``documents.apply``."""
        self._adopt(documents.apply(self.snapshot, changes, revision, store_id, parse))

    def apply_listing(
        self, entries: Sequence[Change], revision: int, store_id: str
    ) -> None:
        """Apply a listing of all entries; see ``documents.apply_listing``."""
        prefixes = documents.PREFIXES
        self._adopt(
            documents.apply_listing(
                self.snapshot, prefixes, entries, revision, store_id, parse
            )
        )

    def _adopt(self, snapshot: Snapshot) -> None:
        old, self.snapshot = self.snapshot, snapshot
        if snapshot is old:
            return
        for document in set(snapshot.rejected) - set(old.rejected):
            log.error(
                "relay: document rejected",
                key=document.key,
                revision=document.revision,
            )
        self.on_snapshot_changed()
        if snapshot.newest == old.newest:
            return
        self.notify_waiters()

    def prove(self, at: float) -> None:
        """Record that the view is current as of ``at``, a time of this node's clock."""
        if at > self.freshness.current_at:
            self.freshness.prove(at)
            self.notify_waiters()

    def prove_from_outage(self) -> None:
        """Prove the view current if all zones report that the store is unreachable."""
        before = self.freshness.current_at
        self.freshness.prove_from_outage(self.tree.zones)
        if self.freshness.current_at > before:
            self.notify_waiters()
