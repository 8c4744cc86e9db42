"""Proposes a new term for a group and chooses its primary.

A proposer asks the targets to adopt a term higher than any it knows. Each target adopts
a term at most once, so only one proposer can get a majority for it. From that majority
it picks the most advanced target, by the term of the last entry first, and requests it
to lead; every acknowledged write is in that target's log (see
``core/failover/evidence.py``). A proposer requests only one target to lead a term, even
if the answer is lost: another choice needs a new term.

A proposer that was paused may resume at any time. What it then sends carries an old
term, and targets that have adopted a later one refuse it.

The state machine does no I/O. ``propose`` and ``handle_event`` return the actions to
take; the caller executes them and reports the results to ``handle_event``.
"""

import random
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from functools import singledispatchmethod

from lavenderstack.core.failover.evidence import Observation
from lavenderstack.core.position import Position

ADOPT_TIMEOUT_S = 0.8
LEAD_TIMEOUT_S = 0.8
# The delay after a failed proposal doubles up to the maximum, with jitter.
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0


@dataclass(frozen=True, slots=True)
class SendAdopt:
    """Ask a target to adopt a term."""

    target: str
    term: int


@dataclass(frozen=True, slots=True)
class SendLead:
    """Request a target to lead a term that it has adopted."""

    target: str
    term: int
    followers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SendFollow:
    """Request a target to follow the primary of a term."""

    target: str
    term: int
    primary: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Report a ``Tick`` at this time if nothing else has happened."""

    until: float


@dataclass(frozen=True, slots=True)
class PrimaryElected:
    """The target ``primary`` leads the term."""

    term: int
    primary: str


@dataclass(frozen=True, slots=True)
class ProposalFailed:
    """The proposal failed; ``term`` is the highest known term.

    A new proposal may start at ``retry_at``, in seconds on the caller's clock. If
    ``all_excluded``, the targets that have every acknowledged write may not lead.
    """

    term: int
    retry_at: float
    all_excluded: bool = False


Action = SendAdopt | SendLead | SendFollow | Wait | PrimaryElected | ProposalFailed


@dataclass(frozen=True, slots=True)
class Adopted:
    """A target adopted a term and reported the last position of its log."""

    target: str
    term: int
    last: Position


@dataclass(frozen=True, slots=True)
class Leading:
    """A target reported that it leads a term."""

    target: str
    term: int


@dataclass(frozen=True, slots=True)
class RefusedTerm:
    """A target refused to adopt or to lead a term.

    ``known`` is the target's own term, 0 if it did not report it.
    """

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
    """The time of the last ``Wait`` may have come."""


Event = Adopted | Leading | RefusedTerm | TimedOut | Tick


class Stage(Enum):
    """The progress of a proposal."""

    IDLE = auto()
    ADOPTING = auto()
    LEADING = auto()


class Proposer:
    """The proposals of one monitor for one group, one at a time.

    ``rng`` gives the jitter of the delay after a failed proposal.
    """

    def __init__(self, targets: Sequence[str], rng: random.Random) -> None:
        self.targets = tuple(targets)
        self.majority = len(self.targets) // 2 + 1
        self.stage = Stage.IDLE
        self.term = 0
        self.retry_at = 0.0
        self._rng = rng
        self._failures = 0
        self._highest_term = 0
        self._deadline = 0.0
        self._voters: tuple[str, ...] = ()
        self._less_preferred: frozenset[str] = frozenset()
        self._excluded: frozenset[str] = frozenset()
        self._adopted: dict[str, Position] = {}
        self._failed_voters: set[str] = set()
        self._choice = ""

    def propose(
        self,
        known_term: int,
        now: float,
        voters: Iterable[str] = (),
        less_preferred: Iterable[str] = (),
        excluded: Iterable[str] = (),
    ) -> list[Action]:
        """Start a proposal for a term above all known ones, unless one is running.

        ``voters`` are asked to adopt the term, all targets if it is empty. A target in
        ``less_preferred`` is chosen only if no other is as advanced, one in
        ``excluded`` is never chosen.
        """
        if self.stage is not Stage.IDLE or now < self.retry_at:
            return []
        self.term = max(self.term, self._highest_term, known_term) + 1
        self.stage = Stage.ADOPTING
        self._voters = tuple(voters) or self.targets
        self._less_preferred = frozenset(less_preferred)
        self.exclude(excluded)
        self._adopted = {}
        self._failed_voters = set()
        self._choice = ""
        self._deadline = now + ADOPT_TIMEOUT_S
        adopts = [SendAdopt(target, self.term) for target in self._voters]
        return [*adopts, Wait(self._deadline)]

    def exclude(self, targets: Iterable[str]) -> None:
        """Set the targets that may not lead, also for a proposal that is running."""
        self._excluded = frozenset(targets)

    def handle_event(self, event: Event, now: float) -> list[Action]:
        """Handle an event and return actions; events of another term are ignored."""
        if self.stage is Stage.IDLE:
            return []
        if not isinstance(event, Tick) and event.term != self.term:
            return []
        if now >= self._deadline:
            return self._fail(now)
        return self._handle(event, now)

    @singledispatchmethod
    def _handle(self, event: Event, now: float) -> list[Action]:
        return []

    @_handle.register
    def _(self, event: Adopted, now: float) -> list[Action]:
        if self.stage is not Stage.ADOPTING or event.target not in self._voters:
            return []
        self._adopted[event.target] = event.last
        if len(self._adopted) < self.majority:
            return []
        eligible = eligible_primaries(self._adopted, self._excluded, self.majority)
        if not eligible:
            return self._fail(now) if self._all_answered() else []
        self.stage = Stage.LEADING
        self._choice = max(eligible, key=self._preference)
        self._deadline = now + LEAD_TIMEOUT_S
        lead = SendLead(self._choice, self.term, self._followers())
        return [lead, Wait(self._deadline)]

    @_handle.register
    def _(self, event: Leading, now: float) -> list[Action]:
        if self.stage is not Stage.LEADING or event.target != self._choice:
            return []
        self.stage = Stage.IDLE
        self._failures = 0
        follows = [
            SendFollow(target, self.term, self._choice) for target in self._followers()
        ]
        return [PrimaryElected(self.term, self._choice), *follows]

    @_handle.register
    def _(self, event: RefusedTerm, now: float) -> list[Action]:
        self._highest_term = max(self._highest_term, event.known)
        return self._record_failure(event.target, now)

    @_handle.register
    def _(self, event: TimedOut, now: float) -> list[Action]:
        return self._record_failure(event.target, now)

    def _all_answered(self) -> bool:
        return self._failed_voters | self._adopted.keys() >= set(self._voters)

    def _preference(self, target: str) -> tuple:
        return self._adopted[target], target not in self._less_preferred, target

    def _followers(self) -> tuple[str, ...]:
        return tuple(target for target in self.targets if target != self._choice)

    def _record_failure(self, target: str, now: float) -> list[Action]:
        if self.stage is Stage.LEADING:
            return self._fail(now) if target == self._choice else []
        if target not in self._adopted:
            self._failed_voters.add(target)
        if len(self._voters) - len(self._failed_voters) < self.majority:
            return self._fail(now)
        return self._fail(now) if self._all_answered() else []

    def _fail(self, now: float) -> list[Action]:
        is_adopted = len(self._adopted) >= self.majority
        all_excluded = self.stage is Stage.ADOPTING and is_adopted
        self.stage = Stage.IDLE
        backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**self._failures)
        self._failures += 1
        self.retry_at = now + backoff_s * self._rng.uniform(0.5, 1.5)
        term = max(self.term, self._highest_term)
        return [ProposalFailed(term, self.retry_at, all_excluded)]


def eligible_primaries(
    adopted: Mapping[str, Position], excluded: Collection[str], majority: int
) -> list[str]:
    """Return the targets that may lead a term, by the logs of those that adopted it.

    An acknowledged write is in the log of one of any majority. So a target that is as
    advanced as each of some majority has all of them, also if another is ahead.

    >>> logs = {"a": Position(1, 7), "b": Position(1, 5), "c": Position(1, 4)}
    >>> eligible_primaries(logs, excluded={"a"}, majority=2)
    ['b']
    """
    return [
        name
        for name, last in adopted.items()
        if name not in excluded
        and sum(other <= last for other in adopted.values()) >= majority
    ]


def follow_actions(
    seen: Mapping[str, Observation], primary: Observation
) -> list[Action]:
    """Return the calls for all targets that don't follow the primary yet.

    ``primary`` is a target that itself reported that it leads, so any monitor may send
    these calls at any time. Targets with a later term would refuse and are left out.
    """
    return [
        SendFollow(name, primary.term, primary.target)
        for name, target in seen.items()
        if name != primary.target
        and target.term <= primary.term
        and (target.term, target.primary) != (primary.term, primary.target)
    ]
