"""Which promotion orders of a group may still take effect.

The platform may carry out an order seconds after it was sent, whether or not its sender
still runs. The target then leads with what it has received, and whatever else was
acknowledged is lost. So until an order is known to be over, every commit that is
acknowledged must be in the log of the target that it names. An order is over

- once a later one was answered (the platform refuses earlier epochs from then on) and
  those that were carried out just before have had the time to take effect, or
- while its target leads: to order the primary again changes nothing.

The owner knows its own orders. Of those of former owners it finds traces: before an
order is sent replicas are paused and nodes hold back acknowledgements, and both outlast
the owner.

=================  ==================================================================
``traces``         what the owner may do
=================  ==================================================================
``NOT_SOUGHT``     no planned change. In place of a lost primary a replica may be
                   ordered, while nodes hold back commits of every term
``NONE``           everything, as far as its own orders allow it
``FOUND``          as ``NOT_SOUGHT``; the present primary is ordered again, and
                   nothing is resumed or released before all orders are over
=================  ==================================================================
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum, auto


class Traces(Enum):
    """Whether a former owner may have left an order that is under way."""

    NOT_SOUGHT = auto()
    NONE = auto()
    FOUND = auto()


@dataclass(frozen=True, slots=True)
class _Fence:
    """An answered order; those of earlier epochs are over at ``over_at``."""

    epoch: int
    over_at: float


@dataclass(slots=True)
class PendingOrders:
    """The orders of one group that may still take effect, as its owner knows them.

    ``own`` maps the epochs of this owner's orders to the targets that they name. Times
    are in seconds on the clock.
    """

    own: dict[int, str] = field(default_factory=dict)
    traces: Traces = Traces.NOT_SOUGHT
    _fence: _Fence | None = None

    def begin_ownership(self) -> None:
        """Forget what was known: another node may have been the owner meanwhile."""
        self.own.clear()
        self.traces = Traces.NOT_SOUGHT
        self._fence = None

    def sent(self, target: str, epoch: int) -> None:
        """Record an order whose first call is about to be sent."""
        self.own[epoch] = target

    def unanswered(self, epoch: int) -> None:
        """Record that a call had no answer.

        It stands for the earlier ones that name the same target.
        """
        for earlier in [one for one in self.own if one < epoch]:
            if self.own[earlier] == self.own[epoch]:
                del self.own[earlier]

    def refused(self, epoch: int) -> None:
        """Record that all calls of an order were refused: none is carried out."""
        del self.own[epoch]

    def fenced(self, epoch: int, over_at: float, repeated: bool) -> None:
        """Record that an order of the present primary was answered.

        Those of earlier epochs are over at ``over_at``. ``repeated`` tells that earlier
        calls of this order had no answer; they name the primary, and are harmless as
        long as it leads.
        """
        self._fence = _Fence(epoch, over_at)
        if not repeated:
            del self.own[epoch]

    def took_effect(self) -> None:
        """Record that the target of an accepted order leads: earlier ones are over."""
        self.begin_ownership()
        self.traces = Traces.NONE

    def sought(self, found: bool, complete: bool) -> None:
        """Record whether traces of a former owner's order were found.

        ``complete`` tells that every replica has answered. What this owner leaves
        itself isn't a trace, so nothing changes once there were none.
        """
        if self.traces is Traces.NONE:
            return
        if found:
            self.traces = Traces.FOUND
        elif complete and self.traces is Traces.NOT_SOUGHT:
            self.traces = Traces.NONE

    def are_ending(self, now: float) -> bool:
        """Return whether orders may take effect that were carried out already."""
        return self._fence is not None and now < self._fence.over_at

    def end_fenced(self) -> None:
        """Drop the orders that the fence has ended, once its time is over.

        Calls of the fence's own epoch stay, since the platform still accepts them.
        """
        fence, self._fence = self._fence, None
        if fence is None:
            return
        self.traces = Traces.NONE
        for epoch in [one for one in self.own if one < fence.epoch]:
            del self.own[epoch]

    def others(self, target: str) -> set[str]:
        """Return the other targets that an own order may still make the primary."""
        return {one for one in self.own.values() if one != target}

    def may_undo(self, primary: str) -> bool:
        """Return whether an order is known that may put another target in its place.

        While it is, replicas stay paused and nodes go on holding back.
        """
        return self.traces is Traces.FOUND or bool(self.others(primary))

    def endanger(self, primary: str) -> bool:
        """Return whether there may be such an order, known or not.

        Whoever orders another target must expect that both orders are carried out.
        """
        return self.may_undo(primary) or self.traces is Traces.NOT_SOUGHT

    def successor(self, primary: str, candidates: Collection[str]) -> str | None:
        """Return the candidate that an own order names already, None if none does.

        A planned change may go on with this one: it has every acknowledged commit.
        """
        others = self.others(primary)
        if self.traces is not Traces.NONE or len(others) != 1:
            return None
        (target,) = others
        return target if target in candidates else None
