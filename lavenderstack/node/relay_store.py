"""The tasks of a store reader: a watch on the store and a probe each second.

The watch delivers the changes. The probe proves that all have been delivered, because a
watch can go silent permanently without an error. A watch that hasn't delivered what a
probe saw is closed, and all entries are listed again.
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

PROBE_INTERVAL_S = 1.0
WATCH_RETRY_S = 0.3
WATCH_SILENT_S = 1.5
REFRESH_TIMEOUT_S = 0.5

log = structlog.get_logger()


class OlderRevision(Exception):
    """The store answered with an older revision than this node has seen."""


@dataclass(frozen=True, slots=True)
class _PendingProbe:
    """A probe, sent at ``at``, whose changes may not all have been delivered yet."""

    at: float
    probe: Probe


class StoreReader:
    """Reads the store for a relay while its node is a store reader."""

    def __init__(self, relay: RelayState) -> None:
        self._relay = relay
        relay.on_snapshot_changed = self.complete_probes
        self._pending_probes: list[_PendingProbe] = []
        self._probe_lock = asyncio.Lock()
        self._probed_at = -1.0
        self._watch_task: asyncio.Task | None = None
        self._must_relist = False

    def required_tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the tasks that a store reader runs, by label."""
        return {"probe": self._keep_probing, "watch": self._keep_watching}

    async def _keep_probing(self) -> None:
        try:
            while True:
                await self.probe()
                await asyncio.sleep(PROBE_INTERVAL_S)
        finally:
            self._relay.freshness.store_answered()

    async def refresh(self) -> None:
        """Probe the store now and wait until the view has all that it holds.

        Waits at most ``REFRESH_TIMEOUT_S`` after the probe was sent.
        """
        now = self._relay.clock()
        await self.probe()
        until = now + REFRESH_TIMEOUT_S
        while self._relay.freshness.current_at < now:
            left_s = until - self._relay.clock()
            if left_s <= 0:
                return
            await self._relay.wait_for_change(left_s)

    async def probe(self) -> None:
        """Ask the store what is newer than the view; waiting calls share a probe."""
        arrived = self._relay.clock()
        async with self._probe_lock:
            if self._probed_at > arrived or not self._relay.snapshot.revision:
                return
            self._probed_at = self._relay.clock()
            await self._probe(self._probed_at)

    async def _probe(self, asked_at: float) -> None:
        relay = self._relay
        snapshot = relay.snapshot
        try:
            probe = await relay.store.probe(PREFIXES, snapshot.revision)
            _check_probe(probe, snapshot.revision, snapshot.store_id)
        except (StoreError, OlderRevision, StoreChanged) as exc:
            self._record_failure(exc)
            return
        self._record_answer()
        self._pending_probes.append(_PendingProbe(asked_at, probe))
        self.complete_probes()
        if (
            self._pending_probes
            and asked_at - self._pending_probes[0].at > WATCH_SILENT_S
        ):
            self._restart_watch()

    def _record_failure(self, exc: Exception) -> None:
        relay = self._relay
        newly_unreachable = not relay.freshness.unreachable
        relay.freshness.store_failed(relay.clock())
        if newly_unreachable:
            log.warning("relay: store unreachable", error=repr(exc))
            relay.reachability_changes += 1
            relay.notify_waiters()
        relay.prove_from_outage()

    def _record_answer(self) -> None:
        relay = self._relay
        if relay.freshness.unreachable:
            log.info("relay: store reachable again")
            relay.reachability_changes += 1
        relay.freshness.store_answered()

    def complete_probes(self) -> None:
        """Prove the view current by the probes whose changes were all delivered."""
        snapshot = self._relay.snapshot
        delivered = [
            pending
            for pending in self._pending_probes
            if _is_delivered(snapshot, pending.probe)
        ]
        if not delivered:
            return
        last = max(delivered, key=lambda pending: pending.at)
        self._pending_probes = [
            pending for pending in self._pending_probes if pending.at > last.at
        ]
        self._relay.apply_changes((), last.probe.revision, last.probe.store_id)
        self._relay.prove(last.at)

    def _restart_watch(self) -> None:
        log.warning("relay: watch silent, listing again")
        self._pending_probes.clear()
        self._must_relist = True
        if self._watch_task is not None:
            self._watch_task.cancel()

    async def _keep_watching(self) -> None:
        while True:
            self._watch_task = asyncio.ensure_future(self._watch())
            try:
                await asyncio.wait([self._watch_task])
                if not self._watch_task.cancelled():
                    self._watch_task.result()
            finally:
                self._watch_task.cancel()
            await asyncio.sleep(WATCH_RETRY_S * random.uniform(0.5, 1.5))

    async def _watch(self) -> None:
        relay = self._relay
        try:
            if self._must_relist or not relay.snapshot.revision:
                await self._list()
            watch = relay.store.watch(PREFIXES, relay.snapshot.revision)
            async with aclosing(watch) as batches:
                async for batch in batches:
                    relay.apply_changes(batch.changes, batch.revision, batch.store_id)
        except Compacted:
            self._must_relist = True
        except StoreError as exc:
            log.info("relay: watch broken", error=repr(exc))
        except StoreChanged as exc:
            log.error("relay: entries of another store refused", error=str(exc))

    async def _list(self) -> None:
        """List the entries of all prefixes.

        Listings may have different revisions; together they are complete up to the
        lowest.
        """
        listings = [await self._relay.store.list(prefix) for prefix in PREFIXES]
        entries = [entry for listing in listings for entry in listing.entries]
        first = listings[0]
        if any(listing.store_id != first.store_id for listing in listings):
            raise StoreChanged("the store ID changed between two listings")
        revision = min(listing.revision for listing in listings)
        self._relay.apply_listing(entries, revision, first.store_id)
        self._must_relist = False


def _is_delivered(snapshot, probe: Probe) -> bool:
    return is_complete(snapshot, probe.revision, probe.newest, probe.count)


def _check_probe(probe: Probe, revision: int, store_id: str) -> None:
    if probe.store_id != store_id:
        raise StoreChanged(f"store ID {probe.store_id} instead of {store_id}")
    if probe.revision < revision:
        raise OlderRevision(f"store revision {probe.revision} is older than {revision}")
