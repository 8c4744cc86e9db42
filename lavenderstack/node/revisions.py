"""Where a revision is in force: asks other nodes over streams.

At most ``MOST_ASKED`` nodes of a zone are asked, chosen at random, so that the
question costs the same in a fleet of any size.
"""

import asyncio
import random

from lavenderstack.core.relay_messages import InForce, WhichRevision
from lavenderstack.core.relay_tree import ranked
from lavenderstack.core.view import Vm
from lavenderstack.node.relay_state import RelayState
from lavenderstack.node.streams import NotSent, StreamLost

MOST_ASKED = 32
TIMEOUT_S = 1.0


async def where_in_force(relay: RelayState, revision: int) -> dict[str, dict[str, int]]:
    """Return counts by zone: listed, asked, in_force, behind, unusable, silent."""
    zones = relay.tree.zones
    counts = await asyncio.gather(*(_zone(relay, z, revision) for z in zones))
    return dict(zip(zones, counts, strict=True))


async def _zone(relay: RelayState, zone: str, revision: int) -> dict[str, int]:
    vms = ranked(relay.view, zone)
    asked = random.sample(vms, min(MOST_ASKED, len(vms)))
    answers = await asyncio.gather(*(_ask(relay, vm) for vm in asked))
    heard = [found for found in answers if found is not None]
    in_force = sum(found.revision >= revision for found in heard)
    return {
        "listed": len(vms),
        "asked": len(asked),
        "in_force": in_force,
        "behind": len(heard) - in_force,
        "unusable": sum(not found.usable for found in heard),
        "silent": len(asked) - len(heard),
    }


async def _ask(relay: RelayState, vm: Vm) -> InForce | None:
    if vm.name == relay.name:
        now = relay.clock()
        usable = relay.usable(now)
        return InForce(revision=relay.view.revision, age_s=0.0, usable=usable)
    try:
        question = WhichRevision()
        found = await relay.pool.call((vm.host, vm.port), question, TIMEOUT_S)
    except (NotSent, StreamLost, TimeoutError):
        return None
    return found if isinstance(found, InForce) else None
