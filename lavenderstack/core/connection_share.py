"""Limits the connections of one node to a target, and says when to close idle ones.

A target allows a fixed number of connections to all nodes together. One node holds them
at a time, but nodes learn of each other at different moments, so two nodes may hold
some for a while. Each node stays within a share that leaves some to the other, and
closes its idle connections once it is no longer the first choice. A target that has too
many connections refuses a new one, and then no statement has run.
"""

# The rest is left for the next holder while both nodes have connections open.
NODE_SHARE = 0.66
# A node that is not the first choice closes connections unused for longer than this.
MAX_IDLE_S = 1.0


def max_connections(allowed: int) -> int:
    """Return one node's limit if the target allows ``allowed`` connections in all.

    >>> max_connections(82)
    54
    """
    return max(1, int(allowed * NODE_SHARE))


def should_close_idle(first_choice: bool, idle_s: float) -> bool:
    """Return whether to close a connection that was unused for ``idle_s`` seconds."""
    return not first_choice and idle_s > MAX_IDLE_S
