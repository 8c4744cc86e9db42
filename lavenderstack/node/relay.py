"""The relay: keeps this node's view, proves how current it is, and passes it on.

A relay owns the node's snapshot and its ``Freshness``. News come from the store (at
a reader) or from other nodes over streams, and are told at once to whoever waits
for them here. ``core/freshness.py`` says what is proved and how, and
``core/relay_tree.py`` who asks whom.
"""

import asyncio
from collections.abc import Callable, Sequence

import structlog

from lavenderstack.border.documents import parse
from lavenderstack.border.store import Store
from lavenderstack.core import clock as boot_clock
from lavenderstack.core import documents, relay_tree
from lavenderstack.core.documents import EMPTY, Snapshot
from lavenderstack.core.duty import Claims
from lavenderstack.core.entry import Change
from lavenderstack.core.freshness import Freshness
from lavenderstack.core.relay_messages import Hand, Handed
from lavenderstack.core.view import View
from lavenderstack.node import duties, relay_answers, relay_links
from lavenderstack.node.relay_store import StoreReader
from lavenderstack.node.streams import NotSent, StreamLost, StreamPool

BOOT_S = 0.5
OWN_PROOF_S = 1.5
RECONCILE_S = 1.0
NEWER_MEMORY_S = 0.5
HAND_TIMEOUT_S = 1.0

log = structlog.get_logger()

Addr = tuple[str, int]


class Relay:
    """Copy of the store in this node; one task tree, run by ``run``.

    ``seeds`` are addresses of other nodes, asked first while nothing is known.
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
        self.freshness = Freshness(zone)
        self.claims = Claims(name)
        self.reader = StoreReader(self)
        self.flips = 0
        self._news = asyncio.Event()
        self._started_at = clock()
        self._asked_at = -NEWER_MEMORY_S
        self._asking: asyncio.Future | None = None
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

    def handlers(self) -> dict:
        """Return the handlers of this part's messages, for the stream server."""
        return relay_answers.handlers(self)

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

    def take(self, changes: Sequence[Change], revision: int, lineage: str) -> None:
        """Bring changes in force; complete up to ``revision``. See ``apply``."""
        self._adopt(documents.apply(self.snapshot, changes, revision, lineage, parse))

    def take_listing(
        self, entries: Sequence[Change], revision: int, lineage: str
    ) -> None:
        """Bring a listing of all entries in force. See ``apply_listing``."""
        prefixes = documents.PREFIXES
        self._adopt(
            documents.apply_listing(
                self.snapshot, prefixes, entries, revision, lineage, parse
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
        self.reader.settle()
        if snapshot.newest == old.newest:
            return
        self.tell()

    def prove(self, at: float) -> None:
        """Note that the view is current as of ``at``, a time of this node's clock."""
        if at > self.freshness.current_at:
            self.freshness.prove(at)
            self.tell()

    def attest(self) -> None:
        """Prove the view current by a store outage, if all zones report one."""
        before = self.freshness.current_at
        self.freshness.attest(self.tree.zones)
        if self.freshness.current_at > before:
            self.tell()

    async def newer(self, after_revision: int, timeout_s: float) -> bool:
        """Ask for a view newer than ``after_revision``; tell whether there is one.

        Calls within half a second share one question, so that unknown keys cost the
        readers and the store a bounded number of calls.
        """
        if self.view.revision > after_revision:
            return True
        if self._asking is None and self.clock() - self._asked_at >= NEWER_MEMORY_S:
            self._asking = asyncio.ensure_future(self._ask_newer())
        if self._asking is not None:
            await asyncio.wait([self._asking], timeout=timeout_s)
        return self.view.revision > after_revision

    async def _ask_newer(self) -> None:
        try:
            if self.is_reader:
                await self.reader.look()
            else:
                await relay_links.ask(self)
        finally:
            self._asked_at = self.clock()
            self._asking = None

    async def announce(self, change: Change) -> bool:
        """Bring a change in force that the store has just accepted from this node.

        Returns whether every reader of this zone has it too. Until then the change
        must not be called accepted: other zones may hold an outage for proved.
        """
        lineage = self.snapshot.lineage
        if not lineage:
            return False
        self.take([change], 0, lineage)
        if not self.snapshot.holds(change):
            return False
        readers = self.tree.readers
        if not readers and self.tree.links:
            return False
        hand = Hand(lineage=lineage, change=change)
        addrs = [(vm.host, vm.port) for vm in readers if vm.name != self.name]
        asks = [self._hand(addr, hand) for addr in addrs]
        return all(await asyncio.gather(*asks))

    async def _hand(self, addr: Addr, hand: Hand) -> bool:
        try:
            answer = await self.pool.call(addr, hand, HAND_TIMEOUT_S)
        except (NotSent, StreamLost, TimeoutError):
            return False
        return isinstance(answer, Handed) and answer.known and answer.reader

    def owns(self, duty: str, now: float) -> int | None:
        """Return the epoch under which this node may act on a duty, or None.

        Check it at the moment of use, and again after any await that follows.
        """
        if not self.usable(now):
            return None
        return self.claims.epoch(duty, self.view.duties.get(duty), now)

    def pending(self, duty: str) -> bool:
        """Tell whether this node has claimed a duty and only waits to act on it."""
        return self.claims.pending(duty, self.view.duties.get(duty))

    async def claim(self, duty: str, stopped: int = 0) -> int | None:
        """Try to take a duty over; return the epoch, or None if that failed.

        ``owns`` tells when the node may act: after a predecessor must have noticed,
        or at once if it has said that it acts no more under the epoch ``stopped``.
        """
        return await duties.claim(self, duty, stopped)

    async def run(self) -> None:
        """Keep the view up to date until cancelled."""
        running: dict[str, asyncio.Task] = {}
        async with asyncio.TaskGroup() as tasks:
            while True:
                self._reconcile(tasks, running)
                await self.news(RECONCILE_S)

    def _reconcile(
        self, tasks: asyncio.TaskGroup, running: dict[str, asyncio.Task]
    ) -> None:
        """Start the tasks that the node's place asks for, end the others."""
        wanted = relay_links.wanted(self)
        if self.is_reader:
            wanted |= self.reader.wanted()
        for label in [label for label in running if label not in wanted]:
            running.pop(label).cancel()
        for label, work in wanted.items():
            if label not in running or running[label].done():
                running[label] = tasks.create_task(work(), name=f"relay {label}")
