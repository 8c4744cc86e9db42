"""The relay's handlers of messages from other nodes."""

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

MAX_HOLD_S = 1.0
# A held poll is answered once the proof is newer than the requester's by this much.
MIN_FRESHNESS_GAIN_S = 0.25
PAGE_B = 512 * 1024
MAX_REPORT_B = 1024 * 1024


def handlers(relay: RelayState, refresh: Callable[[], Awaitable[None]]) -> dict:
    """Return the handler of each message type; ``refresh`` probes the store now."""

    async def on_poll(message: PollRequest) -> ChangesReport:
        return await _answer_poll(relay, message)

    async def on_refresh(message: RefreshRequest) -> ChangesReport:
        received_at = relay.clock()
        if relay.is_reader:
            await refresh()
        return build_report(relay, message.revision, received_at)

    async def on_page_request(message: PageRequest) -> EntriesPage:
        return build_page(relay, message.after)

    async def on_forward(message: ForwardChange) -> ChangeForwarded:
        return _apply_forwarded(relay, message)

    async def on_which_revision(_: WhichRevision) -> InForce:
        now = relay.clock()
        age_s = min(relay.age_s(now), 1e9)
        return InForce(
            revision=relay.view.revision, age_s=age_s, usable=relay.usable(now)
        )

    return {
        PollRequest: on_poll,
        RefreshRequest: on_refresh,
        PageRequest: on_page_request,
        ForwardChange: on_forward,
        WhichRevision: on_which_revision,
    }


async def _answer_poll(relay: RelayState, message: PollRequest) -> ChangesReport:
    """Answer once there are changes or a newer proof, at the latest after a second.

    The limit is ``MAX_HOLD_S``. A change of the store's reachability is also
    reported at once.
    """
    received_at = relay.clock()
    reachability_changes = relay.reachability_changes
    requester_proved_at = received_at - message.age_s
    while True:
        left_s = received_at + MAX_HOLD_S - relay.clock()
        newer = relay.snapshot.newest > max(message.newest, message.revision)
        fresher = (
            relay.freshness.current_at >= requester_proved_at + MIN_FRESHNESS_GAIN_S
        )
        if (
            newer
            or fresher
            or relay.reachability_changes != reachability_changes
            or left_s <= 0
        ):
            return build_report(relay, message.revision, received_at)
        await relay.wait_for_change(left_s)


def build_report(relay: RelayState, revision: int, received_at: float) -> ChangesReport:
    """Return the changes for a node that has all those up to ``revision``."""
    snapshot = relay.snapshot
    now = relay.clock()
    changes = snapshot.changes_since(revision)
    if changes is not None and _size_b(changes) > MAX_REPORT_B:
        changes = None
    return ChangesReport(
        store_id=snapshot.store_id,
        revision=snapshot.revision,
        age_s=relay.age_s(now),
        held_s=max(0.0, now - received_at),
        unreachable=relay.freshness.unreachable,
        reader=relay.is_reader,
        changes=None if changes is None else list(changes),
    )


def _size_b(changes: tuple[Change, ...]) -> int:
    return sum(len(c.key) + len(c.value or b"") for c in changes)


def build_page(relay: RelayState, after: str) -> EntriesPage:
    """Return the entries that follow a key, as many as fit into ``PAGE_B``."""
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


def _apply_forwarded(relay: RelayState, message: ForwardChange) -> ChangeForwarded:
    try:
        relay.apply_changes([message.change], 0, message.store_id)
    except StoreChanged:
        return ChangeForwarded(known=False, reader=relay.is_reader)
    known = relay.snapshot.holds(message.change)
    return ChangeForwarded(known=known, reader=relay.is_reader)
