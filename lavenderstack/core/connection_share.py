"""Limits the connections of one node to a target, and says when to close idle ones.

A target allows a fixed number of connections to all nodes together. One node holds them
at a time, but nodes learn of each other at different moments, so two nodes may hold
some for a while. Each node stays within a share that leaves some to the other, and
closes its idle connections once it is no longer the first choice. A target that has too
many connections refuses a new one, and then no statement has run.

Connections of a node that lost power count at the target for some seconds. So the first
choice and the nodes that serve a second try of a read together leave enough for the
next holder: at least one connection for each slot.
"""

# The rest is left for the next holder while both nodes have connections open.
NODE_SHARE = 0.5
# Slots' worth of connections that the first choice leaves: for two nodes that serve
# second tries, and for the next holder.
SPARE_SLOT_COUNTS = 3
# A node that is not the first choice closes connections unused for longer than this.
MAX_IDLE_S = 1.0


def max_connections(allowed: int, slots: int, first_choice: bool) -> int:
    """Return one node's limit if the target allows ``allowed`` connections in all.

    A node that is not the first choice needs one for each of the target's ``slots``.

    >>> max_connections(82, slots=6, first_choice=True)
    41
    """
    share = int(allowed * NODE_SHARE)
    if not first_choice:
        return max(1, min(slots, share))
    return max(1, min(share, max(slots, allowed - SPARE_SLOT_COUNTS * slots)))


def should_close_idle(first_choice: bool, idle_s: float) -> bool:
    """Return whether to close a connection that was unused for ``idle_s`` seconds."""
    return not first_choice and idle_s > MAX_IDLE_S
