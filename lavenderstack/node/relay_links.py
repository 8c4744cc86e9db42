"""The asking end of the relay: one task for each upward link.

A link asks its best candidate again as soon as it has an answer; the other end keeps
the question until there are news, so changes run down the tree at once and a quiet
link costs one exchange a second. A candidate that fails, or can't keep this node
current, gives way to the next; the best is tried again after a while.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from functools import partial

import structlog

from lavenderstack.core.documents import StoreChanged
from lavenderstack.core.entry import Change
from lavenderstack.core.relay_messages import (
    ChangesReport,
    EntriesPage,
    PageRequest,
    PollRequest,
    RefreshRequest,
)
from lavenderstack.core.relay_tree import Link
from lavenderstack.core.view_freshness import StoreReport, proof_time
from lavenderstack.node.relay_state import Addr, RelayState
from lavenderstack.node.streams import NotSent, StreamLost

BEAT_TIMEOUT_S = 1.5
ASK_TIMEOUT_S = 1.5
FETCH_TIMEOUT_S = 5.0
LEAST_BETWEEN_BEATS_S = 0.1
RETRY_S = 0.2
AGED_S = 2.5
RETURN_S = 10.0
LONGEST_AGE_S = 1e9
SEEDS = "seeds"

log = structlog.get_logger()


def wanted(relay: RelayState) -> dict[str, Callable[[], Awaitable[None]]]:
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
            await _beat(relay, addr, "")
        await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))


async def _follow(relay: RelayState, label: str) -> None:
    turn, turned_at = 0, relay.clock()
    vms, link = None, None
    while True:
        if relay.view.vms is not vms:
            vms, link, turn = relay.view.vms, _link(relay, label), 0
        if link is None:
            return
        if turn and relay.clock() - turned_at > RETURN_S:
            turn = 0
        vm = link.candidates[turn % len(link.candidates)]
        sent = relay.clock()
        answered = await _beat(relay, (vm.host, vm.port), link.zone)
        aged = label == "parent" and relay.age_s(relay.clock()) > AGED_S
        if not answered or aged:
            turn, turned_at = turn + 1, relay.clock()
            await asyncio.sleep(RETRY_S * random.uniform(0.5, 1.5))
        await asyncio.sleep(max(0.0, sent + LEAST_BETWEEN_BEATS_S - relay.clock()))


async def _beat(relay: RelayState, addr: Addr, zone: str) -> bool:
    """Exchange one beat; tell whether the other end was of use."""
    sent = relay.clock()
    beat = PollRequest(
        revision=relay.snapshot.revision,
        newest=relay.snapshot.newest,
        age_s=0.0 if relay.proves_itself else min(relay.age_s(sent), LONGEST_AGE_S),
    )
    try:
        report = await relay.pool.call(addr, beat, BEAT_TIMEOUT_S)
        return isinstance(report, ChangesReport) and await learn(
            relay, addr, report, sent, zone
        )
    except (NotSent, StreamLost, TimeoutError):
        return False


async def ask(relay: RelayState) -> None:
    """Have a reader of the zone look in the store, and take over what it has."""
    for vm in relay.tree.readers:
        sent = relay.clock()
        addr = (vm.host, vm.port)
        question = RefreshRequest(revision=relay.snapshot.revision)
        try:
            report = await relay.pool.call(addr, question, ASK_TIMEOUT_S)
            if isinstance(report, ChangesReport):
                await learn(relay, addr, report, sent, "")
                return
        except (NotSent, StreamLost, TimeoutError):
            continue


async def learn(
    relay: RelayState, addr: Addr, report: ChangesReport, sent: float, zone: str
) -> bool:
    """Take over a report; what it proves counts only once its changes are in force."""
    if not report.store_id:
        return False
    try:
        if report.changes is None:
            await _fetch(relay, addr)
        else:
            relay.take(report.changes, report.revision, report.store_id)
    except StoreChanged as exc:
        log.error("relay: changes of another store refused", error=str(exc))
        return False
    if relay.snapshot.revision < report.revision:
        return False
    if not relay.proves_itself:
        relay.prove(proof_time(sent, report.held_s, report.age_s))
    if zone and report.reader:
        statement = StoreReport(sent + report.held_s, report.unreachable)
        relay.freshness.record_report(zone, statement)
        relay.prove_from_outage()
    return True


async def _fetch(relay: RelayState, addr: Addr) -> None:
    """Fetch all entries, page by page; complete up to the oldest page's revision."""
    entries: list[Change] = []
    revisions: list[int] = []
    store_id, after, more = "", "", True
    while more:
        page = await relay.pool.call(addr, PageRequest(after=after), FETCH_TIMEOUT_S)
        if not isinstance(page, EntriesPage) or store_id not in ("", page.store_id):
            return
        entries += page.entries
        revisions.append(page.revision)
        store_id, more = page.store_id, page.more
        after = page.entries[-1].key if page.entries else after
    relay.take_listing(entries, min(revisions), store_id)
