"""Which allotter an entry is attached to, and how much that is worth there.

An entry is attached to one allotter at a time. The attachment ends ``ATTACHED_S`` after
the entry's last question, or when the entry says so. The entry counts from when it sent
the question, and attaches to another allotter only after that, so it is never counted
twice for longer than a message takes.
"""

from dataclasses import dataclass, field, replace
from enum import Enum, auto

ATTACHED_S = 0.4
# An allotter that may still serve others is left again only after this long, so that
# few attachments are counted twice within a window of some seconds.
CHANGE_S = 1.0
# The part of a rate handed out while some nodes are attached elsewhere; the rest
# covers attachments counted twice.
HANDED_OUT = 0.96


@dataclass(slots=True)
class AttachedNodes:
    """The entries attached to an allotter, and for how long they have been.

    ``filled_s`` counts the seconds for which the buckets have filled: one that passes
    while half of all nodes are attached counts for a little less than half.
    """

    asked_at: dict[str, float] = field(default_factory=dict)
    filled_s: float = 0.0
    _at: float = float("-inf")

    def note(self, node: str, nodes: int, now: float) -> None:
        """Note a question of a node; ``nodes`` is how many there are in all."""
        self.advance(nodes, now)
        # Taken out first, so that the order remains that of the last questions.
        self.asked_at.pop(node, None)
        self.asked_at[node] = now

    def drop(self, node: str, nodes: int, now: float) -> None:
        """Note that a node asks here no longer."""
        self.advance(nodes, now)
        self.asked_at.pop(node, None)

    def advance(self, nodes: int, now: float) -> None:
        """Count the time that has passed, and end attachments when they ended."""
        while self.asked_at:
            node, asked_at = next(iter(self.asked_at.items()))
            if asked_at + ATTACHED_S >= now:
                break
            self._pass(nodes, asked_at + ATTACHED_S)
            del self.asked_at[node]
        self._pass(nodes, now)

    def _pass(self, nodes: int, now: float) -> None:
        if now > self._at:
            if self.asked_at:
                self.filled_s += (now - self._at) * self.share(nodes)
            self._at = now

    def attached_fraction(self, nodes: int) -> float:
        """Return which part of all nodes is attached here."""
        return min(1.0, len(self.asked_at) / max(1, nodes))

    def share(self, nodes: int) -> float:
        """Return the part of every rate that is handed out here."""
        attached_fraction = self.attached_fraction(nodes)
        return (
            attached_fraction
            if attached_fraction >= 1.0
            else attached_fraction * HANDED_OUT
        )


class CoordinatorState(Enum):
    """What an entry knows of the allotter that it is attached to."""

    SERVES = auto()
    SILENT = auto()
    LEAVING = auto()
    ENDED = auto()


@dataclass(frozen=True, slots=True)
class _Held:
    coordinator: str = ""
    asked_at: float = float("-inf")
    changed_at: float = float("-inf")


@dataclass(slots=True)
class Attachment:
    """Which allotter an entry is attached to, and since which question.

    A question that certainly never left attaches to nobody, so another allotter may be
    asked at once. ``_before`` is what held until then.
    """

    _held: _Held = _Held()
    _before: _Held | None = None

    @property
    def coordinator(self) -> str:
        """The name of the present allotter, empty if there was none yet."""
        return self._held.coordinator

    @property
    def asked_at(self) -> float:
        """When it was last asked, in seconds on the clock."""
        return self._held.asked_at

    def choose(
        self, first: str, present: CoordinatorState, now: float, probing: bool = False
    ) -> str:
        """Return which allotter to ask now, empty if none may be asked.

        ``first`` is the one that all entries should use at this moment. ``probing``
        says that nobody waits for the answer, so a silent one may be tried again.
        """
        held = self._held
        if first == held.coordinator:
            return first
        recent = now - held.changed_at <= CHANGE_S
        if present is CoordinatorState.SERVES and recent:
            return held.coordinator
        if present is CoordinatorState.SILENT and recent:
            return held.coordinator if probing else ""
        return first if now - held.asked_at > ATTACHED_S else ""

    def should_detach(self, first: str, present: CoordinatorState, now: float) -> bool:
        """Tell whether the present allotter should be told that this entry leaves."""
        if first == self._held.coordinator:
            return False
        if present is CoordinatorState.LEAVING:
            return True
        return (
            present is CoordinatorState.SERVES
            and now - self._held.changed_at > CHANGE_S
        )

    def ask(self, coordinator: str, now: float) -> None:
        """Note that the entry sends a question to an allotter."""
        if coordinator == self._held.coordinator:
            self._held = replace(self._held, asked_at=now)
            return
        self._before = self._held
        changed_at = now if self._held.coordinator else float("-inf")
        self._held = _Held(coordinator, now, changed_at)

    def record_sent(self) -> None:
        """Note that a question to the present allotter may have arrived."""
        self._before = None

    def record_not_sent(self, coordinator: str) -> None:
        """Note that a question to an allotter certainly never left."""
        if self._before is not None and self._held.coordinator == coordinator:
            self._held, self._before = self._before, None

    def record_detached(self) -> None:
        """Note that the present allotter counts this entry no longer."""
        self._held = replace(self._held, asked_at=float("-inf"))
