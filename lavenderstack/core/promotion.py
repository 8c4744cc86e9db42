"""The proposal of a new term for a group, and the choice of its primary.

A proposer asks the targets to adopt a term that is higher than any it knows. Each
target grants a term once, so only one proposer can get a majority for it. From
that majority it picks the most advanced target, by the term of the last entry
first, and tells it to lead; every acknowledged write is in that target's log (see
``core/evidence.py``). A term is offered to one target only, also when the answer
is lost: a second choice needs a new term.

A proposer that was paused may go on at any time. What it then sends carries an old
term, and targets that have adopted a later one refuse it.

The state machine does no I/O. ``propose`` and ``handle_event`` return the actions to
take; whoever takes them reports the outcome by ``handle_event``.
"""

import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from functools import singledispatchmethod

from lavenderstack.core.evidence import Observation
from lavenderstack.core.position import Position

ADOPT_TIMEOUT_S = 0.8
LEAD_TIMEOUT_S = 0.8
FIRST_BACKOFF_S = 0.2
LONGEST_BACKOFF_S = 2.0


@dataclass(frozen=True, slots=True)
class SendAdopt:
    """Ask a target to adopt a term."""

    target: str
    term: int


@dataclass(frozen=True, slots=True)
class SendLead:
    """Tell a target to lead a term that it has adopted."""

    target: str
    term: int
    followers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SendFollow:
    """Tell a target to follow the primary of a term."""

    target: str
    term: int
    primary: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Report a ``Tick`` at this time if nothing else has happened."""

    until: float


@dataclass(frozen=True, slots=True)
class PrimaryElected:
    """The term has its primary."""

    term: int
    primary: str


@dataclass(frozen=True, slots=True)
class ProposalFailed:
    """The proposal failed; ``term`` is the highest term that is known."""

    term: int
    retry_at: float


Action = SendAdopt | SendLead | SendFollow | Wait | PrimaryElected | ProposalFailed


@dataclass(frozen=True, slots=True)
class Adopted:
    """A target adopted a term and told the last position of its log."""

    target: str
    term: int
    last: Position


@dataclass(frozen=True, slots=True)
class Leading:
    """A target said that it leads a term."""

    target: str
    term: int


@dataclass(frozen=True, slots=True)
class RefusedTerm:
    """A target refused to adopt or to lead a term; ``known`` is its own, if told."""

    target: str
    term: int
    known: int = 0


@dataclass(frozen=True, slots=True)
class TimedOut:
    """A target gave no answer about a term; the call may have taken effect."""

    target: str
    term: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = Adopted | Leading | RefusedTerm | TimedOut | Tick


class Stage(Enum):
    """How far a proposal has come."""

    IDLE = auto()
    ADOPTING = auto()
    LEADING = auto()


class Proposer:
    """The proposals of one watcher for one group, one at a time.

    ``rng`` gives the jitter of the pause after a lost proposal.
    """

    def __init__(self, targets: Sequence[str], rng: random.Random) -> None:
        self.targets = tuple(targets)
        self.majority = len(self.targets) // 2 + 1
        self.stage = Stage.IDLE
        self.term = 0
        self.retry_at = 0.0
        self._rng = rng
        self._losses = 0
        self._highest = 0
        self._until = 0.0
        self._voters: tuple[str, ...] = ()
        self._shunned: frozenset[str] = frozenset()
        self._adopted: dict[str, Position] = {}
        self._denied: set[str] = set()
        self._choice = ""

    def propose(
        self,
        known_term: int,
        now: float,
        voters: Iterable[str] = (),
        less_preferred: Iterable[str] = (),
    ) -> list[Action]:
        """Start a proposal for a term above all that are known, unless one runs.

        ``voters`` are asked to adopt the term, all targets if none are named. A
        target in ``less_preferred`` leads only if no other is as advanced.
        """
        if self.stage is not Stage.IDLE or now < self.retry_at:
            return []
        self.term = max(self.term, self._highest, known_term) + 1
        self.stage = Stage.ADOPTING
        self._voters = tuple(voters) or self.targets
        self._shunned = frozenset(less_preferred)
        self._adopted = {}
        self._denied = set()
        self._choice = ""
        self._until = now + ADOPT_TIMEOUT_S
        asks = [SendAdopt(target, self.term) for target in self._voters]
        return [*asks, Wait(self._until)]

    def handle_event(self, event: Event, now: float) -> list[Action]:
        """Take in what happened; events of another term count for nothing."""
        if self.stage is Stage.IDLE:
            return []
        if not isinstance(event, Tick) and event.term != self.term:
            return []
        if now >= self._until:
            return self._lose(now)
        return self._absorb(event, now)

    @singledispatchmethod
    def _absorb(self, event: Event, now: float) -> list[Action]:
        return []

    @_absorb.register
    def _(self, event: Adopted, now: float) -> list[Action]:
        if self.stage is not Stage.ADOPTING or event.target not in self._voters:
            return []
        self._adopted[event.target] = event.last
        if len(self._adopted) < self.majority:
            return []
        self.stage = Stage.LEADING
        self._choice = max(self._adopted, key=self._preference)
        self._until = now + LEAD_TIMEOUT_S
        lead = SendLead(self._choice, self.term, self._followers())
        return [lead, Wait(self._until)]

    @_absorb.register
    def _(self, event: Leading, now: float) -> list[Action]:
        if self.stage is not Stage.LEADING or event.target != self._choice:
            return []
        self.stage = Stage.IDLE
        self._losses = 0
        follows = [
            SendFollow(target, self.term, self._choice) for target in self._followers()
        ]
        return [PrimaryElected(self.term, self._choice), *follows]

    @_absorb.register
    def _(self, event: RefusedTerm, now: float) -> list[Action]:
        self._highest = max(self._highest, event.known)
        return self._deny(event.target, now)

    @_absorb.register
    def _(self, event: TimedOut, now: float) -> list[Action]:
        return self._deny(event.target, now)

    def _preference(self, target: str) -> tuple:
        return self._adopted[target], target not in self._shunned, target

    def _followers(self) -> tuple[str, ...]:
        return tuple(target for target in self.targets if target != self._choice)

    def _deny(self, target: str, now: float) -> list[Action]:
        if self.stage is Stage.LEADING:
            return self._lose(now) if target == self._choice else []
        if target not in self._adopted:
            self._denied.add(target)
        if len(self._voters) - len(self._denied) < self.majority:
            return self._lose(now)
        return []

    def _lose(self, now: float) -> list[Action]:
        self.stage = Stage.IDLE
        backoff_s = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2**self._losses)
        self._losses += 1
        self.retry_at = now + backoff_s * self._rng.uniform(0.5, 1.5)
        return [ProposalFailed(max(self.term, self._highest), self.retry_at)]


def follow_actions(
    seen: Mapping[str, Observation], leader: Observation
) -> list[Action]:
    """Return the calls that make targets follow a primary that they don't follow.

    ``leader`` is a target that said itself that it leads, so any watcher may send
    these at any time. A target with a later term would refuse and is left alone.
    """
    return [
        SendFollow(name, leader.term, leader.target)
        for name, target in seen.items()
        if name != leader.target
        and target.term <= leader.term
        and (target.term, target.primary) != (leader.term, leader.target)
    ]
