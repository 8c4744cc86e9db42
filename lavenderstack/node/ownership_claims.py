"""Taking a duty over by compare-and-swap in the store."""

import asyncio
import json
from dataclasses import asdict

import structlog

from lavenderstack.border.documents import parse
from lavenderstack.border.store import StoreError, StoreUnknown, SwapDone
from lavenderstack.core.documents import BadDocument, DocumentLocation
from lavenderstack.core.entry import Change
from lavenderstack.core.ownership import Claims
from lavenderstack.core.relay_messages import ChangeForwarded, ForwardChange
from lavenderstack.core.view import Ownership
from lavenderstack.node.relay_state import Addr, RelayState
from lavenderstack.node.streams import NotSent, StreamLost

ANNOUNCE_TRIES = 3
ANNOUNCE_RETRY_S = 0.5
HAND_TIMEOUT_S = 1.0

log = structlog.get_logger()


async def claim(
    relay: RelayState, claims: Claims, duty: str, stopped: int = 0
) -> int | None:
    """Write this node as the holder; return the epoch, or None if that failed.

    The claim counts only after the readers of the zone know it, since the wait for
    the predecessor starts there.
    """
    key = f"lavenderstack/duties/{duty}"
    try:
        entry = await relay.store.get(key)
        held = _duty(duty, entry)
        wanted = claims.wanted(held)
        change = await _write(relay, key, wanted, entry)
    except (StoreError, BadDocument) as exc:
        log.info("duty: claim failed", duty=duty, error=repr(exc))
        return None
    if change is None or not await _announced(relay, change):
        return None
    claims.accepted(duty, wanted, held, relay.clock(), stopped)
    log.info("duty: claimed", duty=duty, epoch=wanted.epoch)
    return wanted.epoch


def _duty(name: str, entry: Change | None) -> Ownership | None:
    return parse(DocumentLocation("duties", name), entry.value) if entry else None


async def _write(
    relay: RelayState, key: str, wanted: Ownership, entry: Change | None
) -> Change | None:
    value = json.dumps(asdict(wanted)).encode()
    expected = entry.revision if entry else 0
    try:
        done = await relay.store.swap(key, value, expected)
    except StoreUnknown:
        current = await relay.store.get(key)
        return current if current and current.value == value else None
    if isinstance(done, SwapDone):
        return Change(key, value, done.revision)
    return None


async def _announced(relay: RelayState, change: Change) -> bool:
    for _ in range(ANNOUNCE_TRIES):
        if await announce(relay, change):
            return True
        await asyncio.sleep(ANNOUNCE_RETRY_S)
    return False


async def announce(relay: RelayState, change: Change) -> bool:
    """Bring a change in force that the store has just accepted from this node.

    Returns whether every reader of this zone has it too. Until then the change
    must not be called accepted: other zones may hold an outage for proved.
    """
    store_id = relay.snapshot.store_id
    if not store_id:
        return False
    relay.take([change], 0, store_id)
    if not relay.snapshot.holds(change):
        return False
    readers = relay.tree.readers
    if not readers and relay.tree.links:
        return False
    hand = ForwardChange(store_id=store_id, change=change)
    addrs = [(vm.host, vm.port) for vm in readers if vm.name != relay.name]
    asks = [_hand(relay, addr, hand) for addr in addrs]
    return all(await asyncio.gather(*asks))


async def _hand(relay: RelayState, addr: Addr, hand: ForwardChange) -> bool:
    try:
        answer = await relay.pool.call(addr, hand, HAND_TIMEOUT_S)
    except (NotSent, StreamLost, TimeoutError):
        return False
    return isinstance(answer, ChangeForwarded) and answer.known and answer.reader
