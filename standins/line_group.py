"""A stand-in of a database group with a replicated log, for whole processes.

A group has one primary and replicas; a commit that writes is acknowledged once a
replica has received it. The protocol is that of ``standins.line_target``, with the
calls for replication. ``standins.line_server`` serves a target over TCP.

Each position names one entry, since a term has one primary. ``Lineage`` knows where
each term branched off, so it can tell which entries a log holds from its end alone.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from lavenderstack.core import clock
from standins.target_session import Seen

SYNC_TIMEOUT_S = 10.0
MAX_CONNECTIONS = 40


class LogPosition(NamedTuple):
    """The term in which an entry was written, and its number in the log."""

    term: int
    number: int

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"


# Every log begins with this entry.
FIRST = LogPosition(1, 1)


@dataclass
class Lineage:
    """``bases`` has the end of the log with which the primary of each term began."""

    bases: dict[int, LogPosition] = field(default_factory=lambda: {1: FIRST})

    def holds(self, end: LogPosition, position: LogPosition) -> bool:
        """Return whether the log that ends at ``end`` holds the entry."""
        if position.number > end.number:
            return False
        while end.term > 1 and self.bases[end.term].number >= position.number:
            end = self.bases[end.term]
        return end.term == position.term


@dataclass(frozen=True, slots=True)
class Entry:
    """One commit: its position, the request that committed it and what it wrote."""

    position: LogPosition
    request: str
    changes: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Run:
    """A statement that a target ran.

    ``end`` is the end of the log that it ran on. ``led`` tells whether the target was
    the primary according to the orders. ``seen`` has its text, shape and values.
    """

    at: float
    target: str
    organisation: str
    request: str
    verb: str
    end: LogPosition
    led: bool
    receipt: str
    row: str = ""
    seen: Seen | None = None


@dataclass(frozen=True, slots=True)
class Commit:
    """An entry that was appended by a target; ``led`` is that of ``Run``."""

    at: float
    target: str
    entry: Entry
    led: bool


@dataclass(frozen=True, slots=True)
class Promotion:
    """A target that became primary of ``term`` with the log that ends at ``base``."""

    at: float
    target: str
    term: int
    base: LogPosition


@dataclass
class GroupTarget:
    """One target of a group; ``applied`` is the number of entries that reads see.

    ``deaf`` replicas receive nothing but answer. ``held_term`` is that of a pause. A
    target that is not ``up`` answers nothing. ``on_down`` breaks its connections.
    ``on_dark`` returns a function that breaks those that are open now, for connections
    whose far end has gone dark.
    """

    name: str
    zone: str
    leads: bool = False
    term: int = 1
    log: list[Entry] = field(default_factory=lambda: [Entry(FIRST, "first")])
    applied: int = 1
    items: dict[str, str] = field(default_factory=dict)
    up: bool = True
    deaf: bool = False
    draining: bool = False
    held_term: int = 0
    connections: int = 0
    on_down: Callable[[], None] = lambda: None
    on_dark: Callable[[], Callable[[], None]] = lambda: lambda: None

    @property
    def received(self) -> LogPosition:
        """The position of the last entry received."""
        return self.log[-1].position

    @property
    def end(self) -> LogPosition:
        """The position up to which reads see the log."""
        return self.log[self.applied - 1].position

    def status_row(self) -> str:
        """Return the row that answers STATUS, PAUSE, RESUME and STEPDOWN."""
        role = "primary" if self.leads else "replica"
        return (
            f"ROW {role} {self.term} {self.received} {self.held_term}"
            f" 0 0 {self.connections}"
        )

    def apply_all(self) -> None:
        """Let reads see all that was received."""
        for entry in self.log[self.applied :]:
            self.items.update(entry.changes)
        self.applied = len(self.log)

    def truncate(self, length: int) -> None:
        """Remove the entries after the first ``length``."""
        del self.log[length:]
        self.items.clear()
        for entry in self.log[: self.applied]:
            self.items.update(entry.changes)
        self.applied = min(self.applied, length)


@dataclass
class LineGroup:
    """The targets of a group and the record of what they ran.

    ``work_s`` has the shortest and the longest time that a statement takes.
    ``leader`` is the primary by order, ``term`` its term. ``too_long`` has the start of
    each message that was longer than the protocol allows. ``changed`` is called with a
    target whose role changed, which then reports itself.
    """

    name: str
    targets: dict[str, GroupTarget]
    rng: random.Random = field(default_factory=random.Random)
    work_s: tuple[float, float] = (0.0005, 0.004)
    term: int = 1
    leader: str = ""
    lineage: Lineage = field(default_factory=Lineage)
    runs: list[Run] = field(default_factory=list)
    commits: list[Commit] = field(default_factory=list)
    promotions: list[Promotion] = field(default_factory=list)
    too_long: list[str] = field(default_factory=list)
    changed: Callable[[GroupTarget], None] = lambda target: None
    _moved: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.leader = next(iter(self.targets))
        self.targets[self.leader].leads = True

    @property
    def end(self) -> LogPosition:
        """The end of the log of the primary by order."""
        return self.targets[self.leader].received

    def notify(self) -> None:
        """Wake the tasks that wait for a log or a role to change."""
        self._moved.set()
        self._moved = asyncio.Event()

    async def commit(
        self, target: GroupTarget, request: str, changes: tuple[tuple[str, str], ...]
    ) -> bool:
        """Append an entry; return whether a replica received it in time."""
        position = LogPosition(target.term, target.received.number + 1)
        entry = Entry(position, request, changes)
        target.log.append(entry)
        target.apply_all()
        led = target.name == self.leader
        self.commits.append(Commit(clock.now(), target.name, entry, led))
        self.notify()
        try:
            async with asyncio.timeout(SYNC_TIMEOUT_S):
                while not self._is_received(target, position):
                    if not target.leads or not target.up:
                        return False
                    await self._moved.wait()
        except TimeoutError:
            return False
        return target.leads and target.up

    def _is_received(self, target: GroupTarget, position: LogPosition) -> bool:
        return any(
            self.lineage.holds(other.received, position)
            for other in self.targets.values()
            if other is not target
        )

    async def follow(self, target: GroupTarget) -> None:
        """Receive and apply the primary's entries until cancelled."""
        while True:
            moved = self._moved
            await asyncio.sleep(self.rng.uniform(0.001, 0.02))
            if self._receive(target):
                self.notify()
                await asyncio.sleep(self.rng.uniform(0.0, 0.03))
                target.apply_all()
                continue
            if moved is self._moved:
                await moved.wait()

    def _receive(self, target: GroupTarget) -> bool:
        leader = self.targets[self.leader]
        if target is leader or target.leads or not (target.up and leader.up):
            return False
        if target.deaf or target.held_term:
            return False
        self._roll_back(target, leader)
        missing = leader.log[len(target.log) :]
        target.term = leader.term
        target.log.extend(missing)
        return bool(missing)

    def _roll_back(self, target: GroupTarget, leader: GroupTarget) -> None:
        """Remove the entries that the primary lacks."""
        common = min(len(target.log), len(leader.log))
        while target.log[common - 1].position != leader.log[common - 1].position:
            common -= 1
        if common < len(target.log):
            target.truncate(common)

    def promote(self, name: str) -> None:
        """Make a target the primary of the next term with what it has received."""
        if name == self.leader:
            return
        former, target = self.targets[self.leader], self.targets[name]
        self.term += 1
        self.lineage.bases[self.term] = target.received
        self.leader = name
        target.leads, target.term, target.deaf = True, self.term, False
        target.apply_all()
        former.leads = False
        promotion = Promotion(clock.now(), name, self.term, target.received)
        self.promotions.append(promotion)
        for one in self.targets.values():
            one.held_term = 0
            if one.up:
                one.term = self.term
                self._roll_back(one, target)
                self.changed(one)
        self.notify()

    def crash(self, target: GroupTarget) -> None:
        """End a target; its log is kept."""
        target.up = False
        target.on_down()
        self.notify()

    def restart(self, target: GroupTarget) -> None:
        """Start a target again with its log, as a replica if another one leads."""
        target.up, target.held_term, target.deaf = True, 0, False
        target.leads = target.name == self.leader
        target.draining = False
        if not target.leads:
            target.term = self.term
        self.changed(target)
        self.notify()
