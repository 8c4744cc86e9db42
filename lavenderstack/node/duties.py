"""Taking a duty over by compare-and-swap in the store."""

import asyncio
import json
from dataclasses import asdict
from typing import TYPE_CHECKING

import structlog

from lavenderstack.border.documents import parse
from lavenderstack.border.store import StoreError, StoreUnknown, SwapDone
from lavenderstack.core.documents import BadDocument, Place
from lavenderstack.core.entry import Change
from lavenderstack.core.view import Duty

if TYPE_CHECKING:
    from lavenderstack.node.relay import Relay

ANNOUNCE_TRIES = 3
ANNOUNCE_RETRY_S = 0.5

log = structlog.get_logger()


async def claim(relay: "Relay", duty: str, stopped: int = 0) -> int | None:
    """Write this node as the holder; return the epoch, or None if that failed.

    The claim counts only after the readers of the zone know it, since the wait for
    the predecessor starts there.
    """
    key = f"lavenderstack/duties/{duty}"
    try:
        entry = await relay.store.get(key)
        held = _duty(duty, entry)
        wanted = relay.claims.wanted(held)
        change = await _write(relay, key, wanted, entry)
    except (StoreError, BadDocument) as exc:
        log.info("duty: claim failed", duty=duty, error=repr(exc))
        return None
    if change is None or not await _announced(relay, change):
        return None
    relay.claims.accepted(duty, wanted, held, relay.clock(), stopped)
    log.info("duty: claimed", duty=duty, epoch=wanted.epoch)
    return wanted.epoch


def _duty(name: str, entry: Change | None) -> Duty | None:
    return parse(Place("duties", name), entry.value) if entry else None


async def _write(
    relay: "Relay", key: str, wanted: Duty, entry: Change | None
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


async def _announced(relay: "Relay", change: Change) -> bool:
    for _ in range(ANNOUNCE_TRIES):
        if await relay.announce(change):
            return True
        await asyncio.sleep(ANNOUNCE_RETRY_S)
    return False
