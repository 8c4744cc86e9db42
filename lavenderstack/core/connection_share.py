"""How many connections to a target one node may hold, and when it lets them go.

A target allows so many connections to all nodes together. One node holds it at a time,
but nodes learn of each other at different moments, so two may hold it for a while. Each
keeps to a part that leaves the other some, and lets go of what it has once it is no
longer the first choice; a target that has too many refuses, and nothing has run then.
"""

# The rest is left to the node that holds the target next, while both have some open.
OWN_SHARE = 0.66
# A node that is not the first choice keeps a connection no longer than this unused.
KEPT_IDLE_S = 1.0


def max_connections(allowed: int) -> int:
    """Return how many connections one node may have open, of those allowed to all.

    >>> most(82)
    54
    """
    return max(1, int(allowed * OWN_SHARE))


def should_close_idle(first_choice: bool, idle_s: float) -> bool:
    """Tell whether a connection that has been unused for so long is closed."""
    return not first_choice and idle_s > KEPT_IDLE_S
