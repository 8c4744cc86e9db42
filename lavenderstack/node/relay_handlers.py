"""The answering end of the relay: other nodes ask, this node reports."""

from collections.abc import Awaitable, Callable

from lavenderstack.core.documents import StoreChanged
from lavenderstack.core.entry import Change
from lavenderstack.core.relay_messages import (
    ChangeForwarded,
    ChangesReport,
    EntriesPage,
    ForwardChange,
    InForce,
    PageRequest,
    PollRequest,
    RefreshRequest,
    WhichRevision,
)
from lavenderstack.node.relay_state import RelayState

HOLD_S = 1.0
NEWS_STEP_S = 0.25
PAGE_B = 512 * 1024
LONGEST_REPORT_B = 1024 * 1024


def handlers(relay: RelayState, look: Callable[[], Awaitable[None]]) -> dict:
    """Return the handler of each message type; ``look`` looks in the store now."""

    async def beat(message: PollRequest) -> ChangesReport:
        return await _beat(relay, message)

    async def ask(message: RefreshRequest) -> ChangesReport:
        received = relay.clock()
        if relay.is_reader:
            await look()
        return report(relay, message.revision, received)

    async def fetch(message: PageRequest) -> EntriesPage:
        return page(relay, message.after)

    async def hand(message: ForwardChange) -> ChangeForwarded:
        return _hand(relay, message)

    async def which(_: WhichRevision) -> InForce:
        now = relay.clock()
        age_s = min(relay.age_s(now), 1e9)
        return InForce(
            revision=relay.view.revision, age_s=age_s, usable=relay.usable(now)
        )

    return {
        PollRequest: beat,
        RefreshRequest: ask,
        PageRequest: fetch,
        ForwardChange: hand,
        WhichRevision: which,
    }


async def _beat(relay: RelayState, message: PollRequest) -> ChangesReport:
    """Keep the question until there are news for the asker, or for ``HOLD_S``."""
    received = relay.clock()
    flips = relay.flips
    asker_at = received - message.age_s
    while True:
        left_s = received + HOLD_S - relay.clock()
        newer = relay.snapshot.newest > max(message.newest, message.revision)
        fresher = relay.freshness.current_at >= asker_at + NEWS_STEP_S
        if newer or fresher or relay.flips != flips or left_s <= 0:
            return report(relay, message.revision, received)
        await relay.news(left_s)


def report(relay: RelayState, revision: int, received: float) -> ChangesReport:
    """Return what a node lacks that is complete up to ``revision``."""
    snapshot = relay.snapshot
    now = relay.clock()
    changes = snapshot.changes_since(revision)
    if changes is not None and _size_b(changes) > LONGEST_REPORT_B:
        changes = None
    return ChangesReport(
        store_id=snapshot.store_id,
        revision=snapshot.revision,
        age_s=relay.age_s(now),
        held_s=max(0.0, now - received),
        unreachable=relay.freshness.unreachable,
        reader=relay.is_reader,
        changes=None if changes is None else list(changes),
    )


def _size_b(changes: tuple[Change, ...]) -> int:
    return sum(len(c.key) + len(c.value or b"") for c in changes)


def page(relay: RelayState, after: str) -> EntriesPage:
    """Return the entries that follow a key, as many as fit into a page."""
    snapshot = relay.snapshot
    keys = sorted(key for key in snapshot.entries if key > after)
    entries: list[Change] = []
    size_b = 0
    for key in keys:
        entry = snapshot.entries[key]
        size_b += len(key) + len(entry.value or b"")
        if entries and size_b > PAGE_B:
            break
        entries.append(entry)
    return EntriesPage(
        store_id=snapshot.store_id,
        revision=snapshot.revision,
        entries=entries,
        more=len(entries) < len(keys),
    )


def _hand(relay: RelayState, message: ForwardChange) -> ChangeForwarded:
    try:
        relay.take([message.change], 0, message.store_id)
    except StoreChanged:
        return ChangeForwarded(known=False, reader=relay.is_reader)
    known = relay.snapshot.holds(message.change)
    return ChangeForwarded(known=known, reader=relay.is_reader)
