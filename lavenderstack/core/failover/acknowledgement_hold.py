"""Which commits a node may acknowledge while a replica is chosen to take over.

A primary that is taken for lost may still run and commit through a replica that could
not be paused for certain: one that is not registered, or one of an older term, which
ends its pause when it learns of the newer one. The owner of the group therefore asks
the nodes to hold back acknowledgements. A node that does answers with the highest
position that it has acknowledged, and until the hold is released it acknowledges
nothing beyond it under a primary of the lost one's term or an earlier one. If all nodes
hold, a replica that has received the highest of their answers has every commit that is
ever acknowledged under that primary.

A primary that leaves goes on serving until its successor takes over. Then the owner
repeats the hold with what the successor has received so far, and nodes acknowledge
commits up to there. So nothing is acknowledged that a replica received alone which
joined unnoticed in the meantime.

Holds are numbered by the owner's epoch and its attempt. A release ends all holds up to
its number, also those that arrive after it.
"""

from dataclasses import dataclass, replace
from typing import NamedTuple

from lavenderstack.core.position import Position

# A hold ends by itself after this time if its release is lost. The owner repeats the
# hold at each check while an order of it may still be carried out.
HOLD_LIMIT_S = 20.0


class HoldNumber(NamedTuple):
    """The epoch of the owner that asks for a hold, and its attempt under it."""

    epoch: int = 0
    attempt: int = 0


# The number in a request that neither asks for a hold nor releases one.
NO_HOLD = HoldNumber()


@dataclass(frozen=True, slots=True)
class Hold:
    """A node's promise: under terms up to ``term``, nothing beyond ``position``.

    It ends at ``until``, in seconds on the clock. ``final`` means that the replica has
    taken over, so that the hold isn't going to be released.
    """

    number: HoldNumber
    position: Position
    term: int
    until: float
    final: bool = False

    def excludes(self, position: Position, now: float) -> bool:
        """Return whether a commit at this position may not be acknowledged now."""
        if now > self.until or position.term > self.term:
            return False
        return position > self.position


class AcknowledgementHolds:
    """The holds of one node, by group."""

    def __init__(self) -> None:
        self._holds: dict[str, Hold] = {}
        # The highest number up to which the holds of a group are released.
        self._released: dict[str, HoldNumber] = {}

    def hold(
        self, group: str, number: HoldNumber, position: Position, term: int, now: float
    ) -> bool:
        """Hold back acknowledgements beyond ``position``; return whether that is done.

        It isn't if the hold was released before it arrived, or belongs to a former
        owner.
        """
        held = self._holds.get(group)
        released = self._released.get(group, NO_HOLD)
        if number <= released or (held is not None and number < held.number):
            return False
        self._holds[group] = Hold(number, position, term, now + HOLD_LIMIT_S)
        return True

    def release(self, group: str, number: HoldNumber) -> None:
        """End the holds of a group up to this number."""
        self._released[group] = max(self._released.get(group, NO_HOLD), number)
        held = self._holds.get(group)
        if held is not None and held.number <= number:
            del self._holds[group]

    def make_final(self, group: str) -> None:
        """Record that a replica has taken over while acknowledgements were held."""
        held = self._holds.get(group)
        if held is not None:
            self._holds[group] = replace(held, final=True)

    def is_final(self, group: str) -> bool:
        """Return whether the group's hold isn't going to be released."""
        held = self._holds.get(group)
        return held is not None and held.final

    def in_force(self, group: str, now: float) -> HoldNumber:
        """Return the number of a group's hold that awaits a decision, or ``NO_HOLD``.

        Its owner may have sent an order that is still under way.
        """
        held = self._holds.get(group)
        if held is None or held.final or now > held.until:
            return NO_HOLD
        return held.number

    def excludes(self, group: str, position: Position, now: float) -> bool:
        """Return whether a commit of a group may not be acknowledged now."""
        held = self._holds.get(group)
        return held is not None and held.excludes(position, now)
