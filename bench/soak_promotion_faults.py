"""Faults of a soak that hide a replica that lives, and make its primary seem lost."""

import asyncio
import base64
import json
import random
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

from bench.soak_fault import Fault, NotPossible, recorded
from bench.soak_fleet import REPORT_LIFETIME_S, Fleet, Node
from standins.line_group import LineGroup

# Longer than the owner of a group waits for an answer.
SLOW_S = 0.8
SLOW_FOR_S = 2.5
# After a report has ended: until the replica set is proved without it.
PROOF_S = (0.2, 2.5)


def _owner(fleet: Fleet, group: LineGroup) -> Node:
    """Return the node that supervises a group, by its claim in the store."""
    item = fleet.store.items.get(f"ls/duties/{group.name}")
    record = json.loads(base64.b64decode(item["value"])) if item else {}
    node = fleet.nodes.get(record.get("node", "").partition("#")[0])
    if node is None or not node.running or node.paused or node.stopping:
        raise NotPossible
    return node


@contextmanager
def _slow(fleet: Fleet, owner: Node, primary: str) -> Iterator[None]:
    """Delay all that a node exchanges with other nodes and with a primary."""
    others = [name for name in fleet.nodes if name != owner.name]
    paths = [fleet.network.path(owner.name, name) for name in (*others, primary)]
    for path in paths:
        path.delay_s = SLOW_S
    try:
        yield
    finally:
        for path in paths:
            path.delay_s = 0.0


@asynccontextmanager
async def hidden_replica(fleet: Fleet, rng: random.Random) -> AsyncIterator[None]:
    """End the report of a replica that lives on, then slow down the group's owner."""
    group = rng.choice(list(fleet.groups.values()))
    replicas = [one for one in group.targets.values() if one.up and not one.leads]
    if not replicas:
        raise NotPossible
    replica = rng.choice(replicas)
    fleet.unreported.add(replica.name)
    try:
        with recorded(fleet, "hidden-replica", [replica.name]):
            await asyncio.sleep(REPORT_LIFETIME_S + rng.uniform(*PROOF_S))
            owner = _owner(fleet, group)
            with (
                recorded(fleet, "slow-owner", [owner.name]),
                _slow(fleet, owner, group.leader),
            ):
                await asyncio.sleep(SLOW_FOR_S)
            yield
    finally:
        fleet.unreported.discard(replica.name)
        fleet.report(group, replica)


FAULTS: tuple[tuple[Fault, int], ...] = ((hidden_replica, 2),)
