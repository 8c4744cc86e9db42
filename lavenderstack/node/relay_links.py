"""The relay's requests to other nodes: one task for each upward link.

A link polls its best candidate again as soon as it has an answer. The other node holds
the request until it has changes, so changes are passed down the tree at once and an
idle link costs one exchange a second. If a candidate fails or can't keep this node
current, the link switches to the next one; the best is tried again after
``RETURN_TO_BEST_S``.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from functools import partial

import structlog

from lavenderstack.core.documents import StoreChanged
from lavenderstack.core.entry import Change
from lavenderstack.core.readers import proved_at
from lavenderstack.core.relay_messages import (
    ChangesReport,
    EntriesPage,
    PageRequest,
    PollRequest,
    RefreshRequest,
)
from lavenderstack.core.relay_tree import Link
from lavenderstack.core.view_freshness import StoreReport
from lavenderstack.node.relay_state import Addr, RelayState
from lavenderstack.node.streams import NotSent, StreamLost

POLL_TIMEOUT_S = 1.5
REFRESH_TIMEOUT_S = 1.5
FETCH_TIMEOUT_S = 5.0
MIN_POLL_INTERVAL_S = 0.1
RETRY_S = 0.2
# A parent that leaves the view older than this is replaced by the next candidate.
STALE_AGE_S = 2.5
RETURN_TO_BEST_S = 10.0
# Sent as the age of a view that was never proved, which is infinite.
MAX_AGE_S = 1e9
SEEDS = "seeds"

log = structlog.get_logger()


def required_tasks(relay: RelayState) -> dict[str, Callable[[], Awaitable[None]]]:
    """Return the tasks that the relay's links need, by label."""
    if not relay.snapshot.revision:
        return {SEEDS: partial(_follow_seeds, relay)} if relay.seeds else {}
    return {
        link.label: partial(_follow, relay, link.label) for link in relay.tree.links
    }


def _link(relay: RelayState, label: str) -> Link | None:
    return next((link for link in relay.tree.links if link.label == label), None)


async def _follow_seeds(relay: RelayState) -> None:
    while True:
        for addr in relay.seeds:
            await _poll(relay, addr, "")
        await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))


async def _follow(relay: RelayState, label: str) -> None:
    index, switched_at = 0, relay.clock()
    vms, link = None, None
    while True:
        if relay.view.vms is not vms:
            vms, link, index = relay.view.vms, _link(relay, label), 0
        if link is None:
            return
        if index and relay.clock() - switched_at > RETURN_TO_BEST_S:
            index = 0
        vm = link.candidates[index % len(link.candidates)]
        sent_at = relay.clock()
        answered = await _poll(relay, (vm.host, vm.port), link.zone)
        stale = label == "parent" and relay.age_s(relay.clock()) > STALE_AGE_S
        if not answered or stale:
            index, switched_at = index + 1, relay.clock()
            await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))
        await asyncio.sleep(max(0.0, sent_at + MIN_POLL_INTERVAL_S - relay.clock()))


async def _poll(relay: RelayState, addr: Addr, zone: str) -> bool:
    """Poll a node once; return whether its answer could be applied."""
    sent_at = relay.clock()
    request = PollRequest(
        revision=relay.snapshot.revision,
        newest=relay.snapshot.newest,
        age_s=0.0 if relay.has_store_proof else min(relay.age_s(sent_at), MAX_AGE_S),
    )
    try:
        report = await relay.pool.call(addr, request, POLL_TIMEOUT_S)
        return isinstance(report, ChangesReport) and await apply_report(
            relay, addr, report, sent_at, zone
        )
    except (NotSent, StreamLost, TimeoutError):
        return False


async def request_refresh(relay: RelayState) -> None:
    """Have a store reader of the zone probe the store, and apply its changes."""
    for vm in relay.tree.readers:
        sent_at = relay.clock()
        addr = (vm.host, vm.port)
        request = RefreshRequest(revision=relay.snapshot.revision)
        try:
            report = await relay.pool.call(addr, request, REFRESH_TIMEOUT_S)
            if isinstance(report, ChangesReport):
                await apply_report(relay, addr, report, sent_at, "")
                return
        except (NotSent, StreamLost, TimeoutError):
            continue


async def apply_report(
    relay: RelayState, addr: Addr, report: ChangesReport, sent_at: float, zone: str
) -> bool:
    """Apply a report; its proof counts only once its changes are applied.

    Returns False if the changes could not be applied.
    """
    if not report.store_id:
        return False
    try:
        if report.changes is None:
            if not await _fetch_all(relay, addr, report.store_id):
                return False
        else:
            relay.apply_changes(report.changes, report.revision, report.store_id)
    except StoreChanged as exc:
        log.error("relay: entries of another store refused", error=str(exc))
        return False
    if relay.snapshot.revision < report.revision:
        return False
    if not relay.has_store_proof:
        relay.prove(proved_at(sent_at, report.held_s, report.age_s))
    if zone and report.reader:
        store_report = StoreReport(sent_at + report.held_s, report.unreachable)
        relay.freshness.record_report(zone, store_report)
        relay.prove_from_outage()
    return True


async def _fetch_all(relay: RelayState, addr: Addr, store_id: str) -> bool:
    """Fetch all entries of a store, page by page; return whether they were applied.

    Pages may have different revisions; together they are complete up to the lowest.
    Nothing is applied if the other node has restarted and has no entries yet, or if a
    page doesn't go beyond the one before. Raises
    ``StoreChanged`` if a page is of another store than the report that led here, since
    neither its entries nor that report's proof may count for the other.
    """
    entries: list[Change] = []
    revisions: list[int] = []
    after, more = "", True
    while more:
        page = await relay.pool.call(addr, PageRequest(after=after), FETCH_TIMEOUT_S)
        if not isinstance(page, EntriesPage) or not page.store_id:
            return False
        if page.store_id != store_id:
            raise StoreChanged(f"page of store {page.store_id}, report of {store_id}")
        entries += page.entries
        revisions.append(page.revision)
        more = page.more
        last = page.entries[-1].key if page.entries else after
        if more and last <= after:
            log.warning("relay: pages do not advance", holder=addr[0], after=after)
            return False
        after = last
    relay.apply_listing(entries, min(revisions), store_id)
    return True
