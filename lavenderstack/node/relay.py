"""The relay: keeps this node's view, proves how current it is, and passes it on.

News come from the store (at a reader) or from other nodes over streams.
``core/view_freshness.py`` says what is proved and how, and ``core/relay_tree.py`` who asks
whom.
"""

import asyncio
from collections.abc import Callable, Sequence

from lavenderstack.border.store import Store
from lavenderstack.core import clock as boot_clock
from lavenderstack.core.entry import Change
from lavenderstack.core.ownership import Claims
from lavenderstack.node import ownership_claims, relay_handlers, relay_links
from lavenderstack.node.relay_state import Addr, RelayState
from lavenderstack.node.relay_store import StoreReader
from lavenderstack.node.streams import StreamPool

RECONCILE_S = 1.0
NEWER_MEMORY_S = 0.5


class Relay(RelayState):
    """Copy of the store in this node; one task tree, run by ``run``."""

    def __init__(
        self,
        name: str,
        zone: str,
        store: Store,
        pool: StreamPool,
        seeds: Sequence[Addr] = (),
        clock: Callable[[], float] = boot_clock.now,
    ) -> None:
        super().__init__(name, zone, store, pool, seeds, clock)
        self.claims = Claims(name)
        self.reader = StoreReader(self)
        self._asked_at = -NEWER_MEMORY_S
        self._asking: asyncio.Future | None = None

    def handlers(self) -> dict:
        """Return the handlers of this part's messages, for the stream server."""
        return relay_handlers.handlers(self, self.reader.look)

    async def refresh_view(self, after_revision: int, timeout_s: float) -> bool:
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

        Returns whether every reader of this zone has it too; see ``ownership_claims.announce``.
        """
        return await ownership_claims.announce(self, change)

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
        return await ownership_claims.claim(self, self.claims, duty, stopped)

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
