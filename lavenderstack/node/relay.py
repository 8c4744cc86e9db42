"""The relay: keeps this node's view, proves how current it is, and passes it on.

Changes come from the store (at a store reader) or from other nodes over streams.
``core/view_freshness.py`` defines the proofs, and ``core/relay_tree.py`` which nodes
each node asks.
"""

import asyncio
from collections.abc import Callable, Sequence

from lavenderstack.border.store import Store
from lavenderstack.core import clock as boot_clock
from lavenderstack.core.entry import Change
from lavenderstack.core.failover.ownership import Claims
from lavenderstack.node import ownership_claims, relay_handlers, relay_links
from lavenderstack.node.relay_state import Addr, RelayState
from lavenderstack.node.relay_store import StoreReader
from lavenderstack.node.streams import StreamPool

RECONCILE_INTERVAL_S = 1.0
REFRESH_INTERVAL_S = 0.5


class Relay(RelayState):
    """The node's copy of the store; ``run`` keeps it up to date."""

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
        self._refreshed_at = -REFRESH_INTERVAL_S
        self._refresh_task: asyncio.Future | None = None

    def handlers(self) -> dict:
        """Return the handlers of the relay's messages, for the stream server."""
        return relay_handlers.handlers(self, self.reader.refresh)

    async def refresh_view(self, after_revision: int, timeout_s: float) -> bool:
        """Ask for a view newer than ``after_revision``; return whether there is one.

        Waits at most ``timeout_s`` seconds. Calls share one request, and a new one is
        sent no sooner than ``REFRESH_INTERVAL_S`` after the last, so that unknown keys
        cost the store readers and the store a bounded number of calls.
        """
        if self.view.revision > after_revision:
            return True
        if (
            self._refresh_task is None
            and self.clock() - self._refreshed_at >= REFRESH_INTERVAL_S
        ):
            self._refresh_task = asyncio.ensure_future(self._refresh())
        if self._refresh_task is not None:
            await asyncio.wait([self._refresh_task], timeout=timeout_s)
        return self.view.revision > after_revision

    async def _refresh(self) -> None:
        try:
            if self.is_reader:
                await self.reader.refresh()
            else:
                await relay_links.request_refresh(self)
        finally:
            self._refreshed_at = self.clock()
            self._refresh_task = None

    async def announce(self, change: Change) -> bool:
        """Apply a change that the store has just accepted from this node.

        Returns whether every store reader of this zone has it too; see
        ``ownership_claims.announce``.
        """
        return await ownership_claims.announce(self, change)

    def owns(self, name: str, now: float) -> int | None:
        """Return the epoch under which this node may act as owner, or None.

        Call it right before each use, and again after any await that follows.
        """
        if not self.usable(now):
            return None
        return self.claims.epoch(name, self.view.duties.get(name), now)

    def pending(self, name: str) -> bool:
        """Return whether this node has a claim that may not be effective yet."""
        return self.claims.pending(name, self.view.duties.get(name))

    async def claim(self, name: str, stopped_epoch: int = 0) -> int | None:
        """Try to become the owner; return the epoch, or None if that failed.

        ``owns`` returns the epoch once the node may act: after the predecessor must
        have noticed the claim, or at once if the predecessor has confirmed that it no
        longer acts under the epoch ``stopped_epoch``.
        """
        return await ownership_claims.claim(self, self.claims, name, stopped_epoch)

    async def run(self) -> None:
        """Keep the view up to date until cancelled."""
        running: dict[str, asyncio.Task] = {}
        async with asyncio.TaskGroup() as tasks:
            while True:
                self._reconcile_tasks(tasks, running)
                await self.wait_for_change(RECONCILE_INTERVAL_S)

    def _reconcile_tasks(
        self, tasks: asyncio.TaskGroup, running: dict[str, asyncio.Task]
    ) -> None:
        """Start the tasks that the node's place in the relay tree needs; end others."""
        required_tasks = relay_links.required_tasks(self)
        if self.is_reader:
            required_tasks |= self.reader.required_tasks()
        for label in [label for label in running if label not in required_tasks]:
            running.pop(label).cancel()
        for label, work in required_tasks.items():
            if label not in running or running[label].done():
                running[label] = tasks.create_task(work(), name=f"relay {label}")
