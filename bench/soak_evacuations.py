"""Evacuations of a soak: the operator evacuates a zone and returns it.

They are no disturbances: callers are owed all that they are owed otherwise, and the
check ``evacuated_zones`` tells that nothing reaches the zone.
"""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from bench.soak_fault import Fault, NotPossible
from bench.soak_fleet import Fleet

# Longest pause between a return and the next evacuation of the same zone.
FLAP_PAUSE_S = 0.8


def _begin(fleet: Fleet, zone: str):
    store = fleet.store
    if store.down or store.silent or zone in fleet.operator.evacuated():
        raise NotPossible
    return fleet.operator.evacuate(zone)


def _draw(fleet: Fleet, rng: random.Random) -> str:
    return rng.choice(sorted(set(fleet.record.zones.values())))


@asynccontextmanager
async def evacuate(fleet: Fleet, rng: random.Random) -> AsyncIterator[None]:
    """Evacuate a zone, and return it."""
    span = _begin(fleet, _draw(fleet, rng))
    try:
        yield
    finally:
        fleet.operator.give_back(span)


@asynccontextmanager
async def flap(fleet: Fleet, rng: random.Random) -> AsyncIterator[None]:
    """Evacuate a zone, return it and evacuate it again within a second."""
    zone = _draw(fleet, rng)
    span = _begin(fleet, zone)
    try:
        await asyncio.sleep(rng.uniform(0.0, FLAP_PAUSE_S))
    finally:
        fleet.operator.give_back(span)
    await asyncio.sleep(rng.uniform(0.0, FLAP_PAUSE_S))
    span = _begin(fleet, zone)
    try:
        yield
    finally:
        fleet.operator.give_back(span)


FAULTS: tuple[tuple[Fault, int], ...] = (
    (evacuate, 4),
    (flap, 1),
)
