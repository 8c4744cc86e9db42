"""Faults of a soak that hit the platform's store and its promotion orders."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from bench.soak_fault import Fault, NotPossible, recorded
from bench.soak_fleet import Fleet

STORE = "store"
ORDERS = "orders"
SLOW_S = (0.1, 1.5)
UNANSWERED_SHARE = (0.1, 0.6)
# How old a copy is, how long the store is away before it comes back from it, and how
# long the operator and the targets then take to write again. The pages say about two
# seconds for the last.
COPY_AGE_S, RESTORE_S, WRITE_AGAIN_S = (0.5, 4.0), (0.1, 1.5), (0.0, 1.0)


@asynccontextmanager
async def away(fleet: Fleet, rng: random.Random) -> AsyncIterator[None]:
    """Let the store answer nothing but 503."""
    if fleet.store.down:
        raise NotPossible
    with recorded(fleet, "store-away", [STORE]):
        fleet.store.down = True
        try:
            yield
        finally:
            fleet.store.down = False


@asynccontextmanager
async def slow(fleet: Fleet, rng: random.Random) -> AsyncIterator[None]:
    """Delay each call of the store."""
    with recorded(fleet, "store-slow", [STORE]):
        fleet.store.slow_s = rng.uniform(*SLOW_S)
        try:
            yield
        finally:
            fleet.store.slow_s = 0.0


@asynccontextmanager
async def lost_answers(fleet: Fleet, rng: random.Random) -> AsyncIterator[None]:
    """Carry out calls of the store without an answer."""
    with recorded(fleet, "store-lost", [STORE]):
        fleet.store.lost_share = rng.uniform(*UNANSWERED_SHARE)
        try:
            yield
        finally:
            fleet.store.lost_share = 0.0


@asynccontextmanager
async def late_calls(fleet: Fleet, rng: random.Random) -> AsyncIterator[None]:
    """Carry out calls of the store seconds later."""
    with recorded(fleet, "store-late", [STORE]):
        fleet.store.late_share = rng.uniform(*UNANSWERED_SHARE)
        try:
            yield
        finally:
            fleet.store.late_share = 0.0


@asynccontextmanager
async def compact(fleet: Fleet, rng: random.Random) -> AsyncIterator[None]:
    """Drop the history of the store several times, so that watches get 410."""
    with recorded(fleet, "store-410", [STORE]):
        for _ in range(rng.randint(1, 5)):
            fleet.store.compact()
            await asyncio.sleep(rng.uniform(0.05, 0.3))
    yield


@asynccontextmanager
async def refuse_some(fleet: Fleet, rng: random.Random) -> AsyncIterator[None]:
    """Refuse some nodes at the store, or break their connections."""
    free = [name for name in fleet.nodes if name not in fleet.store.refusing]
    if not free:
        raise NotPossible
    nodes = rng.sample(free, rng.randint(1, len(free)))
    status = rng.choice((503, 429, 0))
    with recorded(fleet, f"store-refuses-{status}", [f"{one}/store" for one in nodes]):
        fleet.store.refusing |= dict.fromkeys(nodes, status)
        try:
            yield
        finally:
            for node in nodes:
                del fleet.store.refusing[node]


@asynccontextmanager
async def restore(fleet: Fleet, rng: random.Random) -> AsyncIterator[None]:
    """Bring the store back from an older copy, in its next era."""
    if fleet.store.down:
        raise NotPossible
    with recorded(fleet, "store-restored", [STORE]):
        kept = fleet.store.take_copy()
        await asyncio.sleep(rng.uniform(*COPY_AGE_S))
        fleet.store.down = True
        try:
            await asyncio.sleep(rng.uniform(*RESTORE_S))
        finally:
            fleet.store.keeps_leased = rng.random() < 0.5
            fleet.store.restore(kept)
            fleet.store.down = False
        await asyncio.sleep(rng.uniform(*WRITE_AGAIN_S))
        fleet.operator.write_again()
        for group, target in fleet.targets():
            fleet.report(group, target)
    yield


@asynccontextmanager
async def orders_down(fleet: Fleet, rng: random.Random) -> AsyncIterator[None]:
    """Refuse promotion orders with 503."""
    with recorded(fleet, "orders-down", [ORDERS]):
        fleet.orders.down = True
        try:
            yield
        finally:
            fleet.orders.down = False


@asynccontextmanager
async def orders_late(fleet: Fleet, rng: random.Random) -> AsyncIterator[None]:
    """Carry out promotion orders seconds later, without an answer."""
    with recorded(fleet, "orders-late", [ORDERS]):
        fleet.orders.late = True
        try:
            yield
        finally:
            fleet.orders.late = False


FAULTS: tuple[tuple[Fault, int], ...] = (
    (away, 2),
    (slow, 1),
    (lost_answers, 2),
    (late_calls, 2),
    (compact, 1),
    (refuse_some, 2),
    (restore, 2),
    (orders_down, 1),
    (orders_late, 1),
)
