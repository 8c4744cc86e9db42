"""Keeps the directory of this node up to date with the platform's store.

One watch covers everything: the operators' lists, the targets' reports, and the
records of this service. It is asked with a short wait, since only an answer proves
anything: what is known is proved current as of the moment at which the question was
sent. Where the store has dropped its history, everything is listed anew; a listing is
no snapshot, so what is newer than its first page is taken from the next watch.

In a large zone most nodes ask another node instead (``core/readers.py``), which passes
on the entries as they are, with the age of its own proof.
"""

import asyncio
from collections import deque

import structlog

from lavenderstack.core import clock
from lavenderstack.core.change_messages import ChangesReply, ChangesRequest, Entry
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.readers import (
    MAX_PROOF_AGE_S,
    SKIP_NODE_S,
    proved_at,
    upstream_nodes,
)
from lavenderstack.core.view import Target, Vm
from lavenderstack.node.directory import Directory
from lavenderstack.node.peers import Peers
from lavenderstack.node.streams import NotSent, StreamLost
from lavenderstack.platform import documents
from lavenderstack.platform.store import (
    Changes,
    HistoryGone,
    Item,
    LeaseEnded,
    Store,
    StoreFailed,
)

log = structlog.get_logger()

WATCH_S = 1.0
FIRST_WATCH_S = 0.001
RETRY_S = 0.3
# A change that comes alone is heard of at once; others that follow it share a call.
WATCHES_APART_S = 0.4
# An answer with more events than this may have been cut short, and proves nothing.
MOST_EVENTS = 200
# After an outage in which leases ran out, this node's registration has ended with all
# others; the nodes are there and register again, so they are kept for a while.
LINGER_S = 3.0
LOOK_AGAIN_S = 0.2
# The changes that a reader keeps for those who ask it; older ones cost a whole listing.
MOST_RECENT = 500
NEWS_MARGIN_S = 0.4


class Loader:
    """Reads the store into a directory."""

    def __init__(
        self, store: Store, directory: Directory, peers: Peers | None = None
    ) -> None:
        self._peers = peers
        self._passed_over: dict[str, float] = {}
        self._entries: dict[str, Item] = {}
        self._recent: deque[Item] = deque(maxlen=MOST_RECENT)
        self._recent_after = 0
        self._moved = asyncio.Event()
        self._store = store
        self._directory = directory
        self._revs: dict[str, int] = {}
        self._reports: dict[str, documents.Report] = {}
        self._as_of = 0
        self._asked_at = float("-inf")
        self._listed = False
        self._lost_at: float | None = None

    def store_calls(self) -> int:
        """Return how many calls of the store this process has made."""
        return sum(self._store.calls.values())

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                if await self._ask_node():
                    continue
                if not self._listed:
                    await self._list()
                await self._watch()
            except HistoryGone:
                log.info("loader: history unavailable, listing", after=self._as_of)
                self._listed = False
            except (StoreFailed, LeaseEnded) as exc:
                self._note_lost(exc)
                await asyncio.sleep(RETRY_S)

    def _note_lost(self, exc: Exception) -> None:
        if self._lost_at is None:
            self._lost_at = clock.now()
            age_s = round(self._directory.proof.age_s(self._lost_at), 3)
            log.warning("loader: store lost", error=str(exc), proof_age_s=age_s)

    def _note_answer(self) -> None:
        if self._lost_at is not None:
            gone_s = round(clock.now() - self._lost_at, 3)
            log.info("loader: store reachable again", after_s=gone_s)
            self._lost_at = None

    def _source(self) -> Vm | None:
        """Return the node to ask, None if this one reads the store itself."""
        if self._peers is None:
            return None
        directory = self._directory
        vms = directory.view.vms.values()
        found = upstream_nodes(vms, directory.zone, directory.name)
        now = clock.now()
        fit = [vm for vm in found if self._passed_over.get(vm.name, 0.0) < now]
        return fit[0] if fit else None

    async def _ask_node(self) -> bool:
        """Learn from another node of the zone; False if none has news."""
        vm = self._source() if self._listed else None
        if vm is None:
            return False
        asked_at = clock.now()
        try:
            answer = await self._peers.ask(
                vm, ChangesRequest(self._as_of, WATCH_S), WATCH_S + NEWS_MARGIN_S
            )
        except (NotSent, StreamLost, TimeoutError) as exc:
            log.info("loader: no changes received", holder=vm.name, error=repr(exc))
            answer = None
        if not isinstance(answer, ChangesReply) or answer.age_s > MAX_PROOF_AGE_S:
            self._passed_over[vm.name] = clock.now() + SKIP_NODE_S
            return False
        self._take_news(answer)
        self._prove(proved_at(asked_at, answer.held_s, answer.age_s))
        return True

    def _take_news(self, news: ChangesReply) -> None:
        items = [
            Item(one.key, one.revision, one.data, deleted=one.deleted)
            for one in news.entries
        ]
        for item in items:
            self._take(item)
        if news.whole:
            for key in self._entries.keys() - {item.key for item in items}:
                self._take(Item(key=key, rev=news.as_of, deleted=True))
        self._move(news.as_of)

    def _move(self, as_of: int) -> None:
        """Note up to which revision everything is known."""
        self._as_of = max(self._as_of, as_of)
        self._tell()

    def _prove(self, at: float) -> None:
        self._directory.proof.prove(at)
        self._tell()

    def _tell(self) -> None:
        """Wake those who wait for news here."""
        self._moved.set()
        self._moved = asyncio.Event()

    async def news(self, msg: ChangesRequest) -> Message:
        """Handle ``ChangesRequest`` of another node of the zone.

        A newer proof is news as well: passed on at once, it is hardly older at the end
        of the tree than at its beginning.
        """
        came_at = clock.now()
        if not self._listed:
            return Failed(run=False, reason=Reason.STALE_VIEW)
        await self._wait_for_news(msg.after, msg.wait_s)
        whole = msg.after < self._recent_after
        found = self._entries.values() if whole else self._recent
        entries = [
            Entry(one.key, one.rev, one.value, one.deleted)
            for one in found
            if whole or one.rev > msg.after
        ]
        now = clock.now()
        age_s = self._directory.proof.age_s(now)
        return ChangesReply(entries, self._as_of, whole, now - came_at, age_s)

    async def _wait_for_news(self, after: int, wait_s: float) -> None:
        proof = self._directory.proof
        proved = proof.at
        try:
            async with asyncio.timeout(wait_s):
                while self._as_of <= after and proof.at <= proved:
                    await self._moved.wait()
        except TimeoutError:
            # That nothing is new is an answer as well.
            return

    async def _list(self) -> None:
        page = await self._store.list("")
        as_of = page.as_of
        seen: set[str] = set()
        while True:
            self._note_answer()
            for item in page.items:
                seen.add(item.key)
                self._take(item)
            if not page.has_more or not page.items:
                break
            page = await self._store.list("", after=page.items[-1].key)
        for key in self._entries.keys() - seen:
            self._take(Item(key=key, rev=as_of, deleted=True))
        # What went before the first page is only known as a whole. What changed while
        # the pages were read is in them, so the next watch will not add it again.
        self._recent.clear()
        self._recent.extend(one for one in self._entries.values() if one.rev > as_of)
        self._recent_after = as_of
        self._move(as_of)
        self._listed = True

    async def _watch(self) -> None:
        held = self._directory.proof.holds(clock.now())
        if held:
            await asyncio.sleep(self._asked_at + WATCHES_APART_S - clock.now())
        self._asked_at = asked_at = clock.now()
        wait_s = WATCH_S if held else FIRST_WATCH_S
        changes: Changes = await self._store.watch("", self._as_of, wait_s)
        self._note_answer()
        for item in changes.events:
            self._take(item)
        self._move(changes.as_of)
        if len(changes.events) <= MOST_EVENTS:
            self._prove(asked_at)

    def _take(self, item: Item) -> None:
        """Take over a change unless a later one of the same entry is known."""
        if item.rev <= self._revs.get(item.key, 0):
            return
        self._revs[item.key] = item.rev
        if len(self._recent) == MOST_RECENT:
            self._recent_after = max(self._recent_after, self._recent[0].rev)
        self._recent.append(item)
        if item.deleted:
            self._entries.pop(item.key, None)
            self._remove(item)
            return
        self._entries[item.key] = item
        try:
            self._put(item, item.data)
        except ValueError as exc:
            log.warning("loader: value can't be decoded", key=item.key, error=str(exc))

    def _put(self, item: Item, data: bytes) -> None:
        key, directory = item.key, self._directory
        if key == documents.CATALOG_KEY:
            catalog = documents.decode_catalog(data)
            if catalog is not None and directory.update_catalog(catalog):
                self._put_all_targets()
        elif key.startswith(documents.TARGETS_PREFIX):
            self._put_target(item, documents.decode_report(key, data))
        elif key.startswith(documents.NODES_PREFIX):
            node = documents.decode_node(key, data)
            if node is not None:
                directory.put_member(node)
        elif key == documents.RESERVE_KEY:
            reserve = documents.decode_reserve(key, data, item.rev)
            if reserve is not None:
                directory.put_reserve(reserve)
        elif key.startswith(documents.DUTIES_PREFIX):
            claim = documents.decode_duty(key, data, item.rev)
            if claim is not None:
                duty = key.removeprefix(documents.DUTIES_PREFIX)
                directory.put_ownership(duty, claim)

    def _put_target(self, item: Item, report: documents.Report | None) -> None:
        name = item.key.removeprefix(documents.TARGETS_PREFIX)
        if report is None:
            self._reports.pop(name, None)
            self._directory.drop_target(name, item.rev)
            return
        self._reports[name] = report
        self._directory.put_target(
            self._limited(report),
            report.group,
            report.leaving,
            report.leads,
            item.rev,
        )

    def _limited(self, report: documents.Report) -> Target:
        """Return the target with the connections that the operators allow it."""
        limits = self._directory.catalog.groups.get(report.group)
        one = report.target
        most = limits.connections if limits else 1
        return Target(one.name, one.zone, one.host, one.port, one.slots, most)

    def _put_all_targets(self) -> None:
        """Apply the limits of a new catalog to the targets known."""
        for report in self._reports.values():
            self._directory.update_target_limits(self._limited(report))

    def _remove(self, item: Item) -> None:
        key, directory = item.key, self._directory
        if key.startswith(documents.TARGETS_PREFIX):
            name = key.removeprefix(documents.TARGETS_PREFIX)
            self._reports.pop(name, None)
            directory.drop_target(name, item.rev)
        elif key.startswith(documents.NODES_PREFIX):
            loop = asyncio.get_running_loop()
            loop.call_later(LOOK_AGAIN_S, self._member_gone, key, item.rev)
        elif key.startswith(documents.DUTIES_PREFIX):
            directory.drop_ownership(key.removeprefix(documents.DUTIES_PREFIX))

    def _member_gone(self, key: str, rev: int) -> None:
        """Drop a node at once, unless all registrations ended together."""
        own = documents.NODES_PREFIX + self._directory.name
        if own in self._entries:
            self._drop_member(key, rev)
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(LINGER_S, self._drop_member, key, rev)

    def _drop_member(self, key: str, rev: int) -> None:
        if self._revs.get(key) == rev:
            self._directory.drop_member(key.removeprefix(documents.NODES_PREFIX))
