"""Whether a node that gets no answers is itself cut off or too slow to hear them.

Answers the load of a VM with a small share of processor or network, when hundreds of
changes arrive at once, as after a cut that has healed: for half a second and more each
of its questions times out, and every primary that it asks for seems lost.
"""

from dataclasses import dataclass

# An owner that is isolated for so long gives its groups to other nodes.
ISOLATED_LIMIT_S = 1.0


def is_isolated(answered: int, asked: int) -> bool:
    """Return whether too few nodes answered to conclude anything from silence.

    Both counts include the asking node. With half of the nodes behind a cut the other
    half goes on deciding.

    >>> is_isolated(answered=2, asked=6)
    True
    """
    return 2 * answered < asked


@dataclass(slots=True)
class Isolation:
    """How long a node has been isolated; ``since`` is in seconds on the clock."""

    since: float | None = None

    def observe(self, isolated: bool, now: float) -> bool:
        """Record a check; return whether the node should give up its duties."""
        if not isolated:
            self.since = None
            return False
        if self.since is None:
            self.since = now
        return now - self.since >= ISOLATED_LIMIT_S
