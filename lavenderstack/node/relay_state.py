"""What a relay knows: its copy of the store, and how current that is proved to be.

The parts of the relay (``relay_store``, ``relay_links``, ``relay_answers``,
``duties``) read it and bring in what they learn; whoever waits for news here is told
at once.
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

BOOT_S = 0.5
OWN_PROOF_S = 1.5

log = structlog.get_logger()

Addr = tuple[str, int]


class RelayState:
    """The snapshot and freshness of one node, and its place among the others.

    ``seeds`` are addresses of other nodes, asked first while nothing is known.
    ``flips`` counts how often the store went out of reach or came back.
    ``when_adopted`` is called after each change of the snapshot.
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
        self.flips = 0
        self.when_adopted: Callable[[], None] = lambda: None
        self._news = asyncio.Event()
        self._started_at = clock()
        self._tree_of = self.view.vms
        self._tree = relay_tree.tree(self.view, name, zone)

    @property
    def view(self) -> View:
        """The view in force; replaced whole by each change."""
        return self.snapshot.view

    def usable(self, now: float) -> bool:
        """Tell whether the view may be used for keyed work at this moment."""
        return self.freshness.usable(now)

    def age_s(self, now: float) -> float:
        """Return the seconds since the view was proved current."""
        return self.freshness.age_s(now)

    @property
    def tree(self) -> relay_tree.Tree:
        """The node's place among the others; made anew with the list of VMs."""
        if self._tree_of is not self.view.vms:
            self._tree_of = self.view.vms
            self._tree = relay_tree.tree(self.view, self.name, self.zone)
        return self._tree

    @property
    def is_reader(self) -> bool:
        """Whether this node follows the store itself."""
        if not self.snapshot.revision:
            booting = self.clock() - self._started_at < BOOT_S
            return not (self.seeds and booting)
        names = [vm.name for vm in self.tree.readers]
        return self.name in names or not self.tree.links

    @property
    def proves_itself(self) -> bool:
        """Whether this node is a reader whose store has just proved its view.

        It needs no proof of other nodes then, and spares them and its children the
        messages.
        """
        age_s = self.age_s(self.clock())
        return (
            age_s <= OWN_PROOF_S and self.is_reader and not self.freshness.unreachable
        )

    async def news(self, timeout_s: float) -> None:
        """Wait until something has changed here, no longer than ``timeout_s``."""
        event = self._news
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            return

    def tell(self) -> None:
        """Wake everything that waits for news."""
        event, self._news = self._news, asyncio.Event()
        event.set()

    def take(self, changes: Sequence[Change], revision: int, store_id: str) -> None:
        """Bring changes in force; complete up to ``revision``. See ``apply``."""
        self._adopt(documents.apply(self.snapshot, changes, revision, store_id, parse))

    def take_listing(
        self, entries: Sequence[Change], revision: int, store_id: str
    ) -> None:
        """Bring a listing of all entries in force. See ``apply_listing``."""
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
        for bad in set(snapshot.rejected) - set(old.rejected):
            log.error(
                "relay: document not understood", key=bad.key, revision=bad.revision
            )
        self.when_adopted()
        if snapshot.newest == old.newest:
            return
        self.tell()

    def prove(self, at: float) -> None:
        """Note that the view is current as of ``at``, a time of this node's clock."""
        if at > self.freshness.current_at:
            self.freshness.prove(at)
            self.tell()

    def prove_from_outage(self) -> None:
        """Prove the view current by a store outage, if all zones report one."""
        before = self.freshness.current_at
        self.freshness.prove_from_outage(self.tree.zones)
        if self.freshness.current_at > before:
            self.tell()
