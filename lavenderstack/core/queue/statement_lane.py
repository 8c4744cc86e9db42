"""Waiting statements of one kind, all on time or all late, fair by organisation.

It adds to ``FairQueue`` what the expected wait of a statement is derived from: how many
statements each organisation has waiting, and the weights of these organisations.
"""

from collections import Counter
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field

from lavenderstack.core.queue.fair_queue import FairQueue

# An organisation gets twice the slot time of one of the next lower priority.
PRIORITY_FACTOR = 2.0


def organisation_weight(priority: int) -> float:
    """Return the weight of an organisation; 0 is the highest priority.

    >>> organisation_weight(0), organisation_weight(2)
    (1.0, 0.25)
    """
    return PRIORITY_FACTOR ** -max(0, priority)


@dataclass(frozen=True, slots=True)
class Entry:
    """A waiting statement of an organisation; ``weight`` is the organisation's."""

    item: Hashable
    organisation: str
    weight: float


@dataclass(slots=True)
class StatementLane:
    """A fair queue that knows its organisations.

    ``weight`` is the sum of the weights of organisations with waiting statements, each
    with that of its first one: a catalog may change it meanwhile.
    """

    queue: FairQueue = field(default_factory=FairQueue)
    entries: dict[Hashable, Entry] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    weight: float = 0.0
    _weights: dict[str, float] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.entries)

    def push(self, entry: Entry, until: float, max_waiting: int, cost_s: float) -> None:
        """Add a statement that must start before ``until``.

        Raises ``QueueFull`` if ``max_waiting`` of its organisation wait already.
        """
        organisation, weight = entry.organisation, entry.weight
        self.queue.push(organisation, weight, entry.item, until, max_waiting, cost_s)
        self.entries[entry.item] = entry
        self.counts[organisation] += 1
        if self.counts[organisation] == 1:
            self.weight += weight
            self._weights[organisation] = weight

    def pop(self, now: float) -> Hashable | None:
        """Remove and return the next statement, None if none can start in time."""
        item = self.queue.pop(now)
        if item is not None:
            self._forget(item)
        return item

    def remove(self, item: Hashable) -> bool:
        """Remove a statement; return False if it isn't here."""
        if not self.queue.remove(item):
            return False
        self._forget(item)
        return True

    def expire(self, now: float) -> list[Entry]:
        """Remove and return the statements that can no longer start in time."""
        return [self._forget(item) for item in self.queue.expire(now)]

    def _forget(self, item: Hashable) -> Entry:
        entry = self.entries.pop(item)
        self.counts[entry.organisation] -= 1
        if self.counts[entry.organisation]:
            return entry
        del self.counts[entry.organisation]
        weight = self._weights.pop(entry.organisation)
        # Without statements the sum is exactly zero, so rounding errors don't add up.
        self.weight = self.weight - weight if self.entries else 0.0
        return entry

    def ahead(self, organisation: str, weight: float) -> float:
        """Return how many statements go before a new one of the organisation."""
        own = self.counts.get(organisation, 0)
        total = self.weight if own else self.weight + weight
        return self._before(own, total / weight)

    def _before(self, index: int, ratio: float) -> float:
        return max(0.0, min(len(self), (index + 1) * ratio - 1))

    def unfit(self, fits: Callable[[Entry, float], bool]) -> list[Entry]:
        """Return the statements that can't be served in time, in order of arrival.

        ``fits`` tells whether one can, from the number of statements that go before it.
        Those that can't are not counted for the others.
        """
        kept: Counter[str] = Counter()
        found = []
        for entry in self.entries.values():
            index = kept[entry.organisation]
            if fits(entry, self._before(index, self.weight / entry.weight)):
                kept[entry.organisation] += 1
            else:
                found.append(entry)
        return found
