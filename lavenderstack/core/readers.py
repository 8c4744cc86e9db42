"""Which nodes a node of a zone asks for changes of the store.

Each call to the store has a cost, even one that only waits, and the store's rate limits
grow more slowly than the number of nodes. In a large zone the nodes form a tree: the
first node reads the store, the others ask the node above them. In a small zone all
nodes read the store, since a relay would save few calls and add delay.

In a zone whose nodes differ in size, the larger ones come first in the tree: a node
that passes a large catalog on to many others needs a link that is fast enough for it.

A node that gets no changes, or outdated ones, tries the nodes further up, then the
second node of the zone, which does the same, and then the store. A node only asks nodes
that precede it in the zone's order, so no two nodes ever wait for each other.
"""

from collections.abc import Iterable, Mapping

from lavenderstack.core.features import Feature, all_have
from lavenderstack.core.hash_ring import HashRing, hash_position
from lavenderstack.core.view import Vm

# Up to this number of nodes in a zone, all read the store.
SMALL_ZONE = 5
# Nodes that ask one node. With 390 nodes in a zone the tree has three levels, each
# adding a round trip.
FAN_OUT = 16
# A node with at least this part of the greatest capacity in its zone is a larger one.
LARGE_SHARE = 0.5
# If a reply's proof is older than this, another node is asked.
MAX_PROOF_AGE_S = 2.4
# A node that gave no reply or an outdated one is not asked again for this long.
SKIP_NODE_S = 2.0


def upstream_nodes(vms: Iterable[Vm], zone: str, name: str) -> list[Vm]:
    """Return the nodes that a node asks, the best first; the store comes after them.

    Empty for the node that reads the store, for a node that is not listed yet, and in a
    small zone.
    """
    live_in_zone = {vm.name: vm for vm in vms if vm.zone == zone and vm.state == "live"}
    if len(live_in_zone) <= SMALL_ZONE or name not in live_in_zone:
        return []
    order = _reading_order(live_in_zone, zone)
    index = order.index(name)
    above = list(_above(index))
    if index > 1 and 1 not in above:
        above.append(1)
    return [live_in_zone[order[other]] for other in above]


def _reading_order(vms: Mapping[str, Vm], zone: str) -> list[str]:
    """Return the names of a zone's nodes in the order of their places in the tree.

    The larger ones come first once all nodes have a build that knows this order. Nodes
    that order differently for a moment may ask each other; the age of their proof then
    grows until they ask elsewhere.
    """
    order = list(HashRing(vms).nodes_after(hash_position(f"readers/{zone}")))
    if not all_have(vms.values(), Feature.READERS_BY_CAPACITY):
        return order
    large = LARGE_SHARE * max(vm.capacity for vm in vms.values())
    return sorted(order, key=lambda name: vms[name].capacity < large)


def _above(index: int) -> Iterable[int]:
    """Yield the indexes of a node's ancestors, up to the first node."""
    while index > 0:
        index = (index - 1) // FAN_OUT
        yield index


def proved_at(asked_at: float, held_s: float, age_s: float) -> float:
    """Return as of when a reply proves the node's state, on the asker's clock.

    The reply was sent at least ``held_s`` after the request, and its state was proved
    current ``age_s`` before it was sent. No clocks of two nodes are compared.

    >>> proved_at(asked_at=10.0, held_s=0.5, age_s=1.5)
    9.0
    """
    return asked_at + held_s - age_s
