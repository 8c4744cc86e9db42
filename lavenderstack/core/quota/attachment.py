"""Attachment of entry nodes to quota coordinators, on both sides.

An entry node is attached to one coordinator at a time. The attachment ends
``ATTACHMENT_TIMEOUT_S`` after the entry node's last request, or when it detaches. The
entry node measures this time from sending the request, and attaches to another
coordinator only after it. So two coordinators count the entry node at the same time for
no longer than a message is in transit.
"""

from dataclasses import dataclass, field, replace
from enum import Enum, auto

ATTACHMENT_TIMEOUT_S = 0.4
# An entry node that has changed its coordinator changes again only after this time, if
# the present one may still serve others. This limits how many attachments are counted
# twice within a few seconds.
MIN_CHANGE_INTERVAL_S = 1.0
# While some nodes are attached elsewhere, a coordinator hands out only this fraction of
# its part of the rate. The rest makes up for attachments that are counted twice.
PARTIAL_RATE_FACTOR = 0.96


@dataclass(slots=True)
class AttachedNodes:
    """The entry nodes that are attached to a coordinator.

    ``filled_s`` is the time in seconds for which the buckets have filled, weighted by
    the fraction of the rate that is handed out here: a second in which half of all
    nodes are attached counts as a little less than half a second.
    """

    asked_at: dict[str, float] = field(default_factory=dict)
    filled_s: float = 0.0
    _advanced_at: float = float("-inf")

    def record_request(self, node: str, nodes: int, now: float) -> None:
        """Record a request of a node; ``nodes`` is the number of all nodes."""
        self.advance(nodes, now)
        # Removed first, so that the dict stays ordered by the time of the last request.
        self.asked_at.pop(node, None)
        self.asked_at[node] = now

    def remove(self, node: str, nodes: int, now: float) -> None:
        """Remove a node that has detached."""
        self.advance(nodes, now)
        self.asked_at.pop(node, None)

    def advance(self, nodes: int, now: float) -> None:
        """Account for the time up to ``now``, and end attachments that timed out."""
        while self.asked_at:
            node, asked_at = next(iter(self.asked_at.items()))
            if asked_at + ATTACHMENT_TIMEOUT_S >= now:
                break
            self._accrue(nodes, asked_at + ATTACHMENT_TIMEOUT_S)
            del self.asked_at[node]
        self._accrue(nodes, now)

    def _accrue(self, nodes: int, now: float) -> None:
        if now > self._advanced_at:
            if self.asked_at:
                self.filled_s += (now - self._advanced_at) * self.rate_fraction(nodes)
            self._advanced_at = now

    def attached_fraction(self, nodes: int) -> float:
        """Return the fraction of all nodes that are attached here, from 0 to 1."""
        return min(1.0, len(self.asked_at) / max(1, nodes))

    def rate_fraction(self, nodes: int) -> float:
        """Return the fraction of every rate that is handed out here, from 0 to 1."""
        attached_fraction = self.attached_fraction(nodes)
        return (
            attached_fraction
            if attached_fraction >= 1.0
            else attached_fraction * PARTIAL_RATE_FACTOR
        )


class CoordinatorState(Enum):
    """What an entry node knows of the coordinator that it is attached to.

    ``SERVES``: live and reachable. ``SILENT``: live, but recent requests failed.
    ``LEAVING``: stopping. ``ENDED``: no longer registered.
    """

    SERVES = auto()
    SILENT = auto()
    LEAVING = auto()
    ENDED = auto()


# A coordinator, the time of the last request to it, and when it replaced another one.
@dataclass(frozen=True, slots=True)
class _Current:
    coordinator: str = ""
    asked_at: float = float("-inf")
    changed_at: float = float("-inf")


@dataclass(slots=True)
class Attachment:
    """The coordinator that an entry node is attached to, and its last request there.

    A request that was certainly not sent creates no attachment, so another coordinator
    may be asked at once. ``_previous`` is the state to restore in this case.
    """

    _current: _Current = _Current()
    _previous: _Current | None = None

    @property
    def coordinator(self) -> str:
        """The name of the present coordinator, empty if there was none yet."""
        return self._current.coordinator

    @property
    def asked_at(self) -> float:
        """When the coordinator was last asked, in seconds on this node's clock."""
        return self._current.asked_at

    def choose(
        self, preferred: str, state: CoordinatorState, now: float, probing: bool = False
    ) -> str:
        """Return the coordinator to ask now, or an empty string if none may be asked.

        ``preferred`` is the one that all entry nodes should use at present. With
        ``probing`` no operation waits for the answer, so a silent coordinator may be
        tried again.
        """
        current = self._current
        if preferred == current.coordinator:
            return preferred
        recent = now - current.changed_at <= MIN_CHANGE_INTERVAL_S
        if state is CoordinatorState.SERVES and recent:
            return current.coordinator
        if state is CoordinatorState.SILENT and recent:
            return current.coordinator if probing else ""
        return preferred if now - current.asked_at > ATTACHMENT_TIMEOUT_S else ""

    def should_detach(
        self, preferred: str, state: CoordinatorState, now: float
    ) -> bool:
        """Return whether this entry node should detach from its coordinator."""
        if preferred == self._current.coordinator:
            return False
        if state is CoordinatorState.LEAVING:
            return True
        return (
            state is CoordinatorState.SERVES
            and now - self._current.changed_at > MIN_CHANGE_INTERVAL_S
        )

    def record_request(self, coordinator: str, now: float) -> None:
        """Record that a request is being sent to a coordinator."""
        if coordinator == self._current.coordinator:
            self._current = replace(self._current, asked_at=now)
            return
        self._previous = self._current
        changed_at = now if self._current.coordinator else float("-inf")
        self._current = _Current(coordinator, now, changed_at)

    def record_sent(self) -> None:
        """Record that a request to the present coordinator may have arrived."""
        self._previous = None

    def record_not_sent(self, coordinator: str) -> None:
        """Record that a request to a coordinator was certainly not sent."""
        if self._previous is not None and self._current.coordinator == coordinator:
            self._current, self._previous = self._previous, None

    def record_detached(self) -> None:
        """Record that the present coordinator has detached this entry node."""
        self._current = replace(self._current, asked_at=float("-inf"))
