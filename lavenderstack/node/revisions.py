"""Counts the nodes on which a revision is in force, by asking them over streams.

At most ``MAX_ASKED`` nodes of a zone are asked, chosen at random, so that the cost
doesn't grow with the size of the fleet.
"""

import asyncio
import random

from lavenderstack.core.relay_messages import InForce, WhichRevision
from lavenderstack.core.relay_tree import ranked
from lavenderstack.core.view import Vm
from lavenderstack.node.relay_state import RelayState
from lavenderstack.node.streams import NotSent, StreamLost

MAX_ASKED = 32
TIMEOUT_S = 1.0


async def where_in_force(relay: RelayState, revision: int) -> dict[str, dict[str, int]]:
    """Return counts of nodes by zone.

    The keys of each zone are listed, asked, in_force, behind, unusable and silent;
    behind, in_force and unusable count only nodes that answered.
    """
    zones = relay.tree.zones
    counts = await asyncio.gather(*(_count_zone(relay, z, revision) for z in zones))
    return dict(zip(zones, counts, strict=True))


async def _count_zone(relay: RelayState, zone: str, revision: int) -> dict[str, int]:
    vms = ranked(relay.view, zone)
    asked = random.sample(vms, min(MAX_ASKED, len(vms)))
    answers = await asyncio.gather(*(_ask_node(relay, vm) for vm in asked))
    answered = [answer for answer in answers if answer is not None]
    in_force = sum(answer.revision >= revision for answer in answered)
    return {
        "listed": len(vms),
        "asked": len(asked),
        "in_force": in_force,
        "behind": len(answered) - in_force,
        "unusable": sum(not answer.usable for answer in answered),
        "silent": len(asked) - len(answered),
    }


async def _ask_node(relay: RelayState, vm: Vm) -> InForce | None:
    if vm.name == relay.name:
        now = relay.clock()
        usable = relay.usable(now)
        return InForce(revision=relay.view.revision, age_s=0.0, usable=usable)
    try:
        request = WhichRevision()
        answer = await relay.pool.call((vm.host, vm.port), request, TIMEOUT_S)
    except (NotSent, StreamLost, TimeoutError):
        return None
    return answer if isinstance(answer, InForce) else None
