"""Limits the connections of one node to a target, and says when to close idle ones.

A target allows a fixed number of connections to all nodes together. One node holds them
at a time, but nodes learn of each other at different moments, so two nodes may hold
some for a while. Each node stays within a share that leaves some to the other, and
closes its idle connections once it is no longer the first choice. A target that has too
many connections refuses a new one, and then no statement has run.

Connections of a node that lost power count at the target for some seconds. So the first
choice and the nodes that serve a second try of a read together leave enough for the
next holder: at least one connection for each slot.

Under load control, the first choice may use more than its half once it is settled: it
has been the first choice for some seconds, its view was recent all the time, and the
target refused it no connection. It leaves as much as above for a successor, the dead
connections of the successor's predecessor included. A node that is no longer the first
choice, or can't prove it, is back at its half at once and closes idle connections.
"""

import math
from dataclasses import dataclass

# The rest is left for the next holder while both nodes have connections open.
NODE_SHARE = 0.5
# Slots' worth of connections that the first choice leaves: for two nodes that serve
# second tries, and for the next holder.
SPARE_SLOT_COUNTS = 3
# A node that is not the first choice closes connections unused for longer than this.
MAX_IDLE_S = 1.0
# For how long a node must be the first choice until it may use more than its half. More
# than the 3 s for which a predecessor's connections count, and more than twice
# ``MAX_GAIN_AGE_S``, by when another node with a recent view knows of the change.
SETTLED_S = 5.0
# Ages of the proof of the view, up to which a node may become settled and stay so.
MAX_GAIN_AGE_S = 2.0
MAX_KEEP_AGE_S = 4.0


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


def max_settled_connections(allowed: int, slots: int) -> int:
    """Return the limit of a settled first choice under load control.

    >>> max_settled_connections(70, slots=4)
    58
    """
    half = max_connections(allowed, slots, first_choice=True)
    return max(half, allowed - SPARE_SLOT_COUNTS * slots)


@dataclass(slots=True)
class SettledFirstChoice:
    """Whether a node has been the undisputed first choice for ``SETTLED_S``.

    ``since`` is the time from which it counts; ``updated_at`` is that of the last
    update. Times and ages are in seconds.
    """

    settled: bool = False
    since: float = math.inf
    updated_at: float = -math.inf

    def update(self, first_choice: bool, proof_age_s: float, now: float) -> bool:
        """Take in what the node knows now, and return whether it is settled.

        A gap as long as ``MAX_GAIN_AGE_S`` since the last update means that the node
        was frozen; others may have taken over meanwhile, so it starts anew.
        """
        frozen = now - self.updated_at > MAX_GAIN_AGE_S
        self.updated_at = now
        max_age_s = MAX_KEEP_AGE_S if self.settled else MAX_GAIN_AGE_S
        if frozen or not first_choice or proof_age_s > max_age_s:
            self.settled, self.since = False, math.inf
        if first_choice and proof_age_s <= MAX_GAIN_AGE_S:
            self.since = min(self.since, now)
        self.settled = now - self.since >= SETTLED_S
        return self.settled

    def record_refusal(self, now: float) -> None:
        """Start anew, since the target has too many connections: another has some."""
        self.settled, self.since = False, now


def should_close_idle(first_choice: bool, idle_s: float) -> bool:
    """Return whether to close a connection that was unused for ``idle_s`` seconds."""
    return not first_choice and idle_s > MAX_IDLE_S
