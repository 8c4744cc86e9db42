"""A reader's tasks: it follows the store by a watch and probes it each second.

The watch brings the changes, the probe proves that the watch has brought them all:
a watch can go silent for good without an error. One that lacks what a probe saw is
given up, and everything is listed anew.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import aclosing
from dataclasses import dataclass

import structlog

from lavenderstack.border.store import Compacted, Probe, StoreError
from lavenderstack.core.documents import PREFIXES, StoreChanged
from lavenderstack.core.view_freshness import is_complete
from lavenderstack.node.relay_state import RelayState

PROBE_EVERY_S = 1.0
WATCH_RETRY_S = 0.3
WATCH_SILENT_S = 1.5
LOOK_S = 0.5

log = structlog.get_logger()


class OlderStore(Exception):
    """The store answered with an older revision than this node has seen."""


@dataclass(frozen=True, slots=True)
class _Asked:
    """A probe whose changes have not all been delivered yet."""

    at: float
    probe: Probe


class StoreReader:
    """Follows the store for a relay while that is a reader."""

    def __init__(self, relay: RelayState) -> None:
        self._relay = relay
        relay.when_adopted = self.settle
        self._pending: list[_Asked] = []
        self._lock = asyncio.Lock()
        self._probed_at = -1.0
        self._following: asyncio.Task | None = None
        self._relist = False

    def wanted(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the tasks that a reader runs, by label."""
        return {"probe": self._keep_probing, "watch": self._keep_watching}

    async def _keep_probing(self) -> None:
        try:
            while True:
                await self.probe()
                await asyncio.sleep(PROBE_EVERY_S)
        finally:
            self._relay.freshness.store_answered()

    async def look(self) -> None:
        """Look in the store now; return when the view has all that is there."""
        now = self._relay.clock()
        await self.probe()
        until = now + LOOK_S
        while self._relay.freshness.current_at < now:
            left_s = until - self._relay.clock()
            if left_s <= 0:
                return
            await self._relay.news(left_s)

    async def probe(self) -> None:
        """Ask the store what is newer than the view; calls that wait share one."""
        arrived = self._relay.clock()
        async with self._lock:
            if self._probed_at > arrived or not self._relay.snapshot.revision:
                return
            self._probed_at = self._relay.clock()
            await self._probe(self._probed_at)

    async def _probe(self, asked: float) -> None:
        relay = self._relay
        snapshot = relay.snapshot
        try:
            probe = await relay.store.probe(PREFIXES, snapshot.revision)
            _check(probe, snapshot.revision, snapshot.store_id)
        except (StoreError, OlderStore, StoreChanged) as exc:
            self._failed(exc)
            return
        self._answered()
        self._pending.append(_Asked(asked, probe))
        self.settle()
        if self._pending and asked - self._pending[0].at > WATCH_SILENT_S:
            self._give_up_watch()

    def _failed(self, exc: Exception) -> None:
        relay = self._relay
        flipped = not relay.freshness.unreachable
        relay.freshness.store_failed(relay.clock())
        if flipped:
            log.warning("relay: store out of reach", error=repr(exc))
            relay.flips += 1
            relay.tell()
        relay.prove_from_outage()

    def _answered(self) -> None:
        relay = self._relay
        if relay.freshness.unreachable:
            log.info("relay: store back in reach")
            relay.flips += 1
        relay.freshness.store_answered()

    def settle(self) -> None:
        """Prove the view current by those probes whose changes have all come."""
        snapshot = self._relay.snapshot
        done = [asked for asked in self._pending if _settled(snapshot, asked.probe)]
        if not done:
            return
        last = max(done, key=lambda asked: asked.at)
        self._pending = [asked for asked in self._pending if asked.at > last.at]
        self._relay.take((), last.probe.revision, last.probe.store_id)
        self._relay.prove(last.at)

    def _give_up_watch(self) -> None:
        log.warning("relay: watch silent")
        self._pending.clear()
        self._relist = True
        if self._following is not None:
            self._following.cancel()

    async def _keep_watching(self) -> None:
        while True:
            self._following = asyncio.ensure_future(self._watch())
            try:
                await asyncio.wait([self._following])
                if not self._following.cancelled():
                    self._following.result()
            finally:
                self._following.cancel()
            await asyncio.sleep(WATCH_RETRY_S * random.uniform(0.5, 1.5))

    async def _watch(self) -> None:
        relay = self._relay
        try:
            if self._relist or not relay.snapshot.revision:
                await self._list()
            watch = relay.store.watch(PREFIXES, relay.snapshot.revision)
            async with aclosing(watch) as batches:
                async for batch in batches:
                    relay.take(batch.changes, batch.revision, batch.store_id)
        except Compacted:
            self._relist = True
        except StoreError as exc:
            log.info("relay: watch broken", error=repr(exc))
        except StoreChanged as exc:
            log.error("relay: changes of another store refused", error=str(exc))

    async def _list(self) -> None:
        """List all prefixes; complete up to the revision of the first listing."""
        listings = [await self._relay.store.list(prefix) for prefix in PREFIXES]
        entries = [entry for listing in listings for entry in listing.entries]
        first = listings[0]
        if any(listing.store_id != first.store_id for listing in listings):
            raise StoreChanged("the lineage changed between two listings")
        revision = min(listing.revision for listing in listings)
        self._relay.take_listing(entries, revision, first.store_id)
        self._relist = False


def _settled(snapshot, probe: Probe) -> bool:
    return is_complete(snapshot, probe.revision, probe.newest, probe.count)


def _check(probe: Probe, revision: int, store_id: str) -> None:
    if probe.store_id != store_id:
        raise StoreChanged(f"{probe.store_id} instead of {store_id}")
    if probe.revision < revision:
        raise OlderStore(f"{probe.revision}, though {revision} was seen")
