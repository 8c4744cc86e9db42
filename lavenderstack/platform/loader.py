"""Keeps the directory of this node up to date with the platform's store.

A single watch covers the catalog, the targets' reports and this service's own records.
Each watch call waits only briefly, since only an answer proves that the directory is
current, as of the time at which the call was sent. If the store no longer has the
history that the watch needs, all entries are listed again. A listing of one page proves
that the directory is current, like a watch. One of several pages is not a snapshot, so
changes newer than its first page are read by the next watch.

If the store is restored from an older copy, the directory stays as it is until the
operators and the targets have had time to write again (``core/store_era.py``). Then all
entries are listed again.

In a large zone most nodes ask another node instead of the store (``core/readers.py``).
That node passes the entries on unchanged, with the age of its own proof.
"""

import asyncio

import structlog

from lavenderstack.core import clock
from lavenderstack.core.change_messages import ChangesReply, ChangesRequest
from lavenderstack.core.entry_compression import BadValue, compress
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.readers import (
    MAX_PROOF_AGE_S,
    SKIP_NODE_S,
    proved_at,
    upstream_nodes,
)
from lavenderstack.core.store_position import era_of, format_position
from lavenderstack.core.unique_id import node_of
from lavenderstack.core.view import Vm
from lavenderstack.node.directory import Directory
from lavenderstack.node.peers import Peers
from lavenderstack.node.streams import NotSent, StreamLost
from lavenderstack.platform import documents, records
from lavenderstack.platform.directory_writer import DirectoryWriter
from lavenderstack.platform.history import HistoryReader
from lavenderstack.platform.received_changes import (
    evacuations_last,
    items_of,
    log_if_large,
)
from lavenderstack.platform.recent_changes import RecentChanges
from lavenderstack.platform.store import (
    Changes,
    HistoryGone,
    Item,
    LeaseEnded,
    Store,
    StoreFailed,
)

log = structlog.get_logger()

WATCH_WAIT_S = 1.0
# Used while there is no valid proof, so that the answer comes at once.
FIRST_WATCH_WAIT_S = 0.001
RETRY_DELAY_S = 0.3
# A single change is received at once; those that follow it closely share one call.
MIN_WATCH_INTERVAL_S = 0.4
# An answer with more events than this may be truncated, so it does not prove that the
# directory is current.
MAX_EVENTS = 200
# Removed entries whose position is remembered, so that an older change of them that
# arrives late is ignored.
MAX_REMOVED_KEYS = 1000
# Added to the wait of a request to another node, for the round trip.
REPLY_MARGIN_S = 0.4


class Loader:
    """Copies the store's entries into a directory.

    ``peers`` is None if this node must always read the store itself. ``first_era`` is
    the era of the store when it was empty.
    """

    def __init__(
        self,
        store: Store,
        directory: Directory,
        peers: Peers | None = None,
        first_era: int = 0,
    ) -> None:
        self._peers = peers
        # By node without a usable reply: the clock time until which it is not asked.
        self._skipped_until: dict[str, float] = {}
        self._entries: dict[str, Item] = {}
        self._recent = RecentChanges(self._entries)
        self._updated = asyncio.Event()
        self._stopping = False
        self._store = store
        store.on_answer = directory.proof.record_store_answer
        self._directory = directory
        # The position of the last change, by key; removed entries are included.
        self._revisions: dict[str, int] = {}
        self._writer = DirectoryWriter(
            directory, store.era, self._entries, self._revisions
        )
        self._as_of = 0
        self._watch_sent_at = float("-inf")
        self._listed = False
        self._listed_at = float("-inf")
        self._restores_seen = 0
        self._store_lost_at: float | None = None
        self._history = HistoryReader(store, directory.history, first_era)

    def store_calls(self) -> int:
        """Return the number of calls to the store that this process has made."""
        return sum(self._store.calls.values())

    def store_restores(self) -> int:
        """Return how often this process saw the store come back from a copy."""
        return self._store.era.restores

    async def run(self) -> None:
        """Follow the changes of the store until cancelled."""
        while True:
            try:
                await self._wait_out_restore()
                if self._owns_a_group():
                    await self._history.read_once(self._as_of)
                if await self._poll_upstream():
                    continue
                if not self._listed:
                    await self._list()
                    if not self._needs_watch_after_listing():
                        continue
                await self._watch()
            except HistoryGone:
                log.info("loader: history unavailable, listing", after=self._as_of)
                self._listed = False
            except (StoreFailed, LeaseEnded) as exc:
                self._record_store_lost(exc)
                await asyncio.sleep(RETRY_DELAY_S)

    def _owns_a_group(self) -> bool:
        """Return whether a claim of this node is in force; only owners need history."""
        name, claims = self._directory.name, self._directory.ownerships.values()
        return self._listed and any(node_of(one.node) == name for one in claims)

    def _needs_watch_after_listing(self) -> bool:
        """Return whether the store must prove the view now rather than another node.

        After a listing of several pages the view is not proved yet, and the other nodes
        of the zone may have started at the same time and not answer.
        """
        now = clock.now()
        must_wait = self._store.era.read_wait_s(now) > 0
        return not must_wait and not self._directory.proof.holds(now)

    async def _wait_out_restore(self) -> None:
        """Wait until what a restored store holds may be taken over.

        A node that has just started learns only from the first listing whether the
        store was restored shortly before, so it lists once more after the wait.
        """
        while True:
            self._record_restore()
            wait_s = self._store.era.read_wait_s(clock.now())
            if wait_s <= 0 or not self._as_of:
                return
            await asyncio.sleep(wait_s)
            self._listed = False

    def _record_restore(self) -> None:
        """Require a new listing if the era of the store has risen."""
        era = self._store.era
        if era.restores == self._restores_seen:
            return
        self._restores_seen = era.restores
        self._listed = False
        self._history.end("the store was restored from a copy")
        log.warning(
            "loader: store restored from a copy",
            before=format_position(self._as_of),
            era=era.number,
        )

    def _record_store_lost(self, exc: Exception) -> None:
        if self._store_lost_at is None:
            self._store_lost_at = clock.now()
            age_s = round(self._directory.proof.age_s(self._store_lost_at), 3)
            log.warning("loader: store lost", error=str(exc), proof_age_s=age_s)

    def _record_store_answer(self) -> None:
        if self._store_lost_at is not None:
            outage_s = round(clock.now() - self._store_lost_at, 3)
            log.info("loader: store reachable again", after_s=outage_s)
            self._store_lost_at = None

    def _upstream_node(self) -> Vm | None:
        """Return the node to ask, or None if this one reads the store itself."""
        if self._peers is None:
            return None
        directory = self._directory
        vms = directory.view.vms.values()
        upstream = upstream_nodes(vms, directory.zone, directory.name)
        now = clock.now()
        usable = [vm for vm in upstream if self._skipped_until.get(vm.name, 0.0) < now]
        return usable[0] if usable else None

    async def _poll_upstream(self) -> bool:
        """Ask another node of the zone for changes; return whether one replied.

        A reply with a proof that is too old is treated as no reply.
        """
        vm = self._upstream_node() if self._listed else None
        if vm is None:
            return False
        asked_at = clock.now()
        try:
            reply = await self._peers.ask(
                vm,
                ChangesRequest(self._as_of, WATCH_WAIT_S, compressed=True),
                WATCH_WAIT_S + REPLY_MARGIN_S,
            )
        except (NotSent, StreamLost, TimeoutError) as exc:
            log.info("loader: no changes received", holder=vm.name, error=repr(exc))
            reply = None
        if not self._is_usable(reply):
            self._skipped_until[vm.name] = clock.now() + SKIP_NODE_S
            return False
        size_b = sum(len(entry.data) for entry in reply.entries)
        size_b += sum(map(len, reply.compressed.values()))
        log_if_large(vm.name, size_b, asked_at + reply.held_s)
        # The sender has waited before it took over entries of a new era.
        self._store.era.observe(era_of(reply.as_of), clock.now())
        try:
            self._apply_reply(reply)
        except BadValue as exc:
            log.warning(
                "loader: changes not understood", holder=vm.name, error=str(exc)
            )
            self._skipped_until[vm.name] = clock.now() + SKIP_NODE_S
            return False
        self._prove(proved_at(asked_at, reply.held_s, reply.age_s))
        return True

    def _is_usable(self, reply: Message | None) -> bool:
        """Return whether a reply is recent and not of an older era of the store."""
        if not isinstance(reply, ChangesReply) or reply.age_s > MAX_PROOF_AGE_S:
            return False
        return era_of(reply.as_of) >= (self._store.era.number or 0)

    def _apply_reply(self, reply: ChangesReply) -> None:
        """Apply the changes of a reply; raises ``BadValue`` before the first one."""
        items = items_of(reply)
        for item in evacuations_last(items):
            self._apply(item)
        if reply.listed:
            self._recent.received_listed(reply.as_of)
            self._history.end("entries were received from a listing")
        if reply.whole:
            for key in self._entries.keys() - {item.key for item in items}:
                self._apply(Item(key=key, rev=reply.as_of, deleted=True))
        self._advance_revision(reply.as_of)

    def _advance_revision(self, as_of: int) -> None:
        """Record that all changes up to the position ``as_of`` are known."""
        self._as_of = max(self._as_of, as_of)
        self._directory.as_of = self._as_of
        self._notify_waiters()

    def _prove(self, at: float) -> None:
        self._directory.proof.prove(at)
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        """Wake the requests that wait for changes."""
        self._updated.set()
        self._updated = asyncio.Event()

    async def handle_changes_request(self, msg: ChangesRequest) -> Message:
        """Handle ``ChangesRequest`` of another node of the zone.

        A newer proof is also sent at once, even without a change, so that each level of
        the tree of nodes adds only a round trip to the proof's age.
        """
        received_at = clock.now()
        if not self._listed:
            return Failed(run=False, reason=Reason.STALE_VIEW)
        await self._wait_for_changes(msg.after, msg.wait_s)
        entries, whole = self._recent.entries_since(msg.after)
        compressed: dict[int, bytes] = {}
        if msg.compressed:
            entries, compressed = compress(entries)
        age_s = self._directory.proof.age_s(now := clock.now())
        listed = self._recent.is_listed(msg.after)
        held_s = now - received_at
        as_of = self._as_of
        return ChangesReply(entries, as_of, whole, held_s, age_s, listed, compressed)

    def stop_waiting(self) -> None:
        """Answer the nodes that wait for changes, now and from now on."""
        self._stopping = True
        self._updated.set()

    async def _wait_for_changes(self, after: int, wait_s: float) -> None:
        proof = self._directory.proof
        proved_before = proof.at
        try:
            async with asyncio.timeout(wait_s):
                while self._as_of <= after and proof.at <= proved_before:
                    if self._stopping:
                        return
                    await self._updated.wait()
        except TimeoutError:
            # A reply without changes still proves that the asking node is up to date.
            return

    async def _list(self) -> None:
        # A store that refuses every watch must not be asked for listings all the time.
        await asyncio.sleep(self._listed_at + RETRY_DELAY_S - clock.now())
        self._listed_at = sent_at = clock.now()
        self._history.end("all entries are listed anew")
        page = await self._store.list("")
        as_of, is_snapshot = page.as_of, not page.has_more
        seen: set[str] = set()
        evacuations: list[Item] = []
        while True:
            self._record_store_answer()
            for item in page.items:
                seen.add(item.key)
                if documents.evacuated_zone(item.key) is None:
                    self._apply(item)
                else:
                    evacuations.append(item)
            if not page.has_more or not page.items:
                break
            page = await self._store.list("", after=page.items[-1].key)
        for item in evacuations:
            self._apply(item)
        for key in self._entries.keys() - seen:
            self._apply(Item(key=key, rev=as_of, deleted=True))
        self._recent.begin_after_listing(as_of)
        self._advance_revision(as_of)
        self._listed = True
        if is_snapshot and self._store.era.read_wait_s(clock.now()) <= 0:
            self._prove(sent_at)

    async def _watch(self) -> None:
        proof_holds = self._directory.proof.holds(clock.now())
        if proof_holds:
            await asyncio.sleep(
                self._watch_sent_at + MIN_WATCH_INTERVAL_S - clock.now()
            )
        self._watch_sent_at = sent_at = clock.now()
        wait_s = WATCH_WAIT_S if proof_holds else FIRST_WATCH_WAIT_S
        changes: Changes = await self._store.watch("", self._as_of, wait_s)
        self._record_store_answer()
        log_if_large("store", sum(len(item.value) for item in changes.events), sent_at)
        for item in changes.events:
            self._apply(item)
        self._advance_revision(changes.as_of)
        if len(changes.events) <= MAX_EVENTS:
            self._prove(sent_at)
        else:
            self._history.end("an answer may be truncated")

    def _apply(self, item: Item) -> None:
        """Apply a change unless a later one of the same entry is known."""
        if item.rev <= self._revisions.get(item.key, 0):
            return
        self._record_position(item)
        self._history.record(item)
        try:
            data = item.data
        except ValueError as exc:
            log.warning("loader: value can't be decoded", key=item.key, error=str(exc))
            data = None
        if data and records.is_void(item.key, data, item.rev):
            log.info("loader: record of an older era ignored", key=item.key)
            item = Item(item.key, item.rev, deleted=True)
        self._recent.record(item)
        if item.deleted:
            self._entries.pop(item.key, None)
            self._writer.remove(item)
            return
        self._entries[item.key] = item
        zone = documents.evacuated_zone(item.key)
        if zone is not None:
            self._directory.put_evacuation(zone, item.rev)
        elif data is not None:
            self._writer.put(item, data)

    def _record_position(self, item: Item) -> None:
        # Removed first, so that the dict stays ordered by the time of the last change.
        self._revisions.pop(item.key, None)
        self._revisions[item.key] = item.rev
        if len(self._revisions) - len(self._entries) <= MAX_REMOVED_KEYS:
            return
        removed = (key for key in self._revisions if key not in self._entries)
        oldest = next(removed, None)
        if oldest is not None:
            del self._revisions[oldest]
