"""Claims of ownership, made by compare-and-swap in the store."""

import asyncio
import json
from dataclasses import asdict

import structlog

from lavenderstack.border.documents import parse
from lavenderstack.border.store import StoreError, StoreOutcomeUnknown, SwapDone
from lavenderstack.core.documents import BadDocument, DocumentLocation
from lavenderstack.core.entry import Change
from lavenderstack.core.failover.ownership import Claims
from lavenderstack.core.relay_messages import ChangeForwarded, ForwardChange
from lavenderstack.core.view import Ownership
from lavenderstack.node.relay_state import Addr, RelayState
from lavenderstack.node.streams import NotSent, StreamLost

MAX_ANNOUNCE_TRIES = 3
ANNOUNCE_RETRY_S = 0.5
FORWARD_TIMEOUT_S = 1.0

log = structlog.get_logger()


async def claim(
    relay: RelayState, claims: Claims, name: str, stopped_epoch: int = 0
) -> int | None:
    """Write this node as the owner; return the epoch, or None if that failed.

    The claim is valid only once all store readers of this zone have it. From then on
    this node waits until the predecessor must have noticed the claim.
    """
    key = f"lavenderstack/duties/{name}"
    try:
        entry = await relay.store.get(key)
        recorded = _parse_ownership(name, entry)
        claimed = claims.next_ownership(recorded)
        change = await _write(relay, key, claimed, entry)
    except (StoreError, BadDocument) as exc:
        log.info("ownership: claim failed", duty=name, error=repr(exc))
        return None
    if change is None or not await _announce_with_retries(relay, change):
        return None
    claims.record_accepted(name, claimed, recorded, relay.clock(), stopped_epoch)
    log.info("ownership: claimed", duty=name, epoch=claimed.epoch)
    return claimed.epoch


def _parse_ownership(name: str, entry: Change | None) -> Ownership | None:
    return parse(DocumentLocation("duties", name), entry.value) if entry else None


async def _write(
    relay: RelayState, key: str, claimed: Ownership, entry: Change | None
) -> Change | None:
    value = json.dumps(asdict(claimed)).encode()
    expected = entry.revision if entry else 0
    try:
        done = await relay.store.swap(key, value, expected)
    except StoreOutcomeUnknown:
        current = await relay.store.get(key)
        return current if current and current.value == value else None
    if isinstance(done, SwapDone):
        return Change(key, value, done.revision)
    return None


async def _announce_with_retries(relay: RelayState, change: Change) -> bool:
    for _ in range(MAX_ANNOUNCE_TRIES):
        if await announce(relay, change):
            return True
        await asyncio.sleep(ANNOUNCE_RETRY_S)
    return False


async def announce(relay: RelayState, change: Change) -> bool:
    """Apply a change that the store has just accepted from this node.

    Returns whether every store reader of this zone has it too. Until then the change
    must not be reported as accepted: when all zones report that the store is
    unreachable, nodes take their views, without the change, as proved current.
    """
    store_id = relay.snapshot.store_id
    if not store_id:
        return False
    relay.apply_changes([change], 0, store_id)
    if not relay.snapshot.holds(change):
        return False
    readers = relay.tree.readers
    if not readers and relay.tree.links:
        return False
    request = ForwardChange(store_id=store_id, change=change)
    addrs = [(vm.host, vm.port) for vm in readers if vm.name != relay.name]
    forwards = [_forward(relay, addr, request) for addr in addrs]
    return all(await asyncio.gather(*forwards))


async def _forward(relay: RelayState, addr: Addr, request: ForwardChange) -> bool:
    try:
        answer = await relay.pool.call(addr, request, FORWARD_TIMEOUT_S)
    except (NotSent, StreamLost, TimeoutError):
        return False
    return isinstance(answer, ChangeForwarded) and answer.known and answer.reader
