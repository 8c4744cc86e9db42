"""Whom a node of a zone asks for what is new in the store.

Each call to the store costs, a waiting one as well, and its rates grow more slowly than
the number of nodes. In a large zone the nodes form a tree: the first one reads the
store, the others ask the node above them. In a small zone all read, since a hop saves
little there and costs a moment.

A node that gets no news, or old ones, goes on to the nodes further up, then to the
second of the zone, which does the same, and then to the store. It only asks nodes that
stand before it, so no two ever wait for each other.
"""

from collections.abc import Iterable

from lavenderstack.core.hash_ring import HashRing, hash_position
from lavenderstack.core.view import Vm

SMALL_ZONE = 5
# With 390 nodes in a zone the tree has three steps, each of a round trip.
FAN_OUT = 16
# What a node passes on is no use if it is older than this; another one is asked then.
OLDEST_PROOF_S = 2.4
# A node that gave no or old news is passed over for so long.
PASSED_OVER_S = 2.0


def sources(vms: Iterable[Vm], zone: str, name: str) -> list[Vm]:
    """Return the nodes that a node asks, the best first; the store comes after them.

    Empty for the node that reads the store, for one that isn't known yet, and in a
    small zone.
    """
    here = {vm.name: vm for vm in vms if vm.zone == zone and vm.state == "live"}
    if len(here) <= SMALL_ZONE or name not in here:
        return []
    order = list(HashRing(here).nodes_after(hash_position(f"readers/{zone}")))
    at = order.index(name)
    above = list(_above(at))
    if at > 1 and 1 not in above:
        above.append(1)
    return [here[order[one]] for one in above]


def _above(at: int) -> Iterable[int]:
    """Yield the places on the way to the first node."""
    while at > 0:
        at = (at - 1) // FAN_OUT
        yield at


def proved_at(asked_at: float, held_s: float, age_s: float) -> float:
    """Return as of when news prove what is known, on the asker's clock.

    The news were sent at least ``held_s`` after the question, and were proved ``age_s``
    before they were sent. No clocks of two nodes are compared.

    >>> proved_at(asked_at=10.0, held_s=0.5, age_s=1.5)
    9.0
    """
    return asked_at + held_s - age_s
