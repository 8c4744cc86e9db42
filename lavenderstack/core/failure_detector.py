"""When a watcher of a group should replace its primary.

A few nodes watch each group. Each probes the targets and takes the primary for
lost after ``SILENT_S`` without an answer, sooner when connections are refused, and
later by ``RANK_DELAY_S`` for each watcher that goes before it. Silence of the
primary alone is no reason to act: the watcher must hear a majority of the group
without it, and it asks the other watchers first, since a primary that another one
hears with a majority is cut off from this watcher and not from the group. That
answer holds a watcher off for ``HOLD_OFF_S`` at most.

A primary that answers is replaced in three cases only: it is leaving; a majority
makes no progress towards what it wrote ``STALL_S`` ago; or a target has adopted a
later term than its own, in which case a new term takes that target back.

Nothing here is needed for safety, which rests on terms alone. A wrong suspicion
costs a short gap in writes, and a late one a long gap.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto

from lavenderstack.core.evidence import Observation
from lavenderstack.core.position import START
from lavenderstack.core.routing import Leader

SILENT_S = 1.0
REFUSED_SILENT_S = 0.3
REFUSALS = 2
RANK_DELAY_S = 0.7
ORPHAN_S = 2.0
LEAVING_S = 0.3
STALL_S = 2.0
HOLD_OFF_S = 4.0
OPINION_S = 0.5
PAUSED_S = 0.6

PRIMARY_PROBE_S = 0.5
LOWER_RANK_PROBE_S = 1.0
REPLICA_PROBE_S = 4.0
DOUBT_PROBE_S = 0.25


class Verdict(Enum):
    """What a watcher should do now."""

    HOLD = auto()
    ASK_OTHERS = auto()
    PROPOSE = auto()


@dataclass(frozen=True, slots=True)
class Decision:
    """A verdict; a proposal starts above ``term`` and asks only the ``voters``."""

    verdict: Verdict
    term: int = 0
    voters: tuple[str, ...] = ()


HOLD = Decision(Verdict.HOLD)


@dataclass(slots=True)
class _Health:
    """When a target answered last, and its failures since then."""

    heard_at: float
    probed_at: float
    refusals: int = 0
    failures: int = 0


class FailureDetector:
    """One watcher's view of one group; ``rank`` 0 is the watcher that goes first."""

    def __init__(self, targets: Sequence[str], rank: int, now: float) -> None:
        self.targets = tuple(targets)
        self.majority = len(self.targets) // 2 + 1
        self.rank = rank
        self.leaving: frozenset[str] = frozenset()
        self.seen: dict[str, Observation] = {}
        self._health = {name: _Health(-1e9, -1e9) for name in self.targets}
        self._quiet_from = now
        self._ticked_at = now
        self._opinion_at = -1e9
        self._held_from: float | None = None
        self._fault_from: float | None = None
        self._leader: Leader | None = None
        self._written_before = START
        self._marks = (START, START)
        self._marked_at = now
        self._moved_at = now

    def record_observation(self, seen: Observation, now: float) -> None:
        """Take in a target's answer; those of one target come in their order."""
        before = self._leader
        known = self.seen.get(seen.target)
        if known is not None and known.leads:
            self._written_before = known.last
        elif known is not None and known.last != seen.last:
            self._moved_at = now
        self.seen[seen.target] = seen
        self.answered(seen.target, now)
        if seen.leads and now - self._marked_at > STALL_S:
            self._marked_at = now
            self._marks = (self._marks[1], seen.last)
        self._leader = self._find_leader()
        if self._leader != before:
            self._quiet_from = now

    def answered(self, target: str, now: float) -> None:
        """Note that a target is alive, though it told nothing of its state."""
        health = self._health[target]
        health.heard_at = now
        health.refusals = health.failures = 0

    def record_failure(self, target: str, refused: bool) -> None:
        """Note a probe without an answer; ``refused`` if nobody listens there."""
        health = self._health[target]
        health.failures += 1
        health.refusals = health.refusals + 1 if refused else 0

    def leader(self) -> Leader | None:
        """Return the primary of the highest term that any target tells of.

        One that is known to have adopted a later term leads no more.
        """
        return self._leader

    def _find_leader(self) -> Leader | None:
        told = [seen for seen in self.seen.values() if seen.leads or seen.primary]
        if not told:
            return None
        seen = max(told, key=lambda seen: seen.term)
        leader = seen.target if seen.leads else seen.primary
        return None if self._term_of(leader) > seen.term else Leader(seen.term, leader)

    def highest_term(self) -> int:
        """Return the highest term that any target has told of."""
        return max((seen.term for seen in self.seen.values()), default=0)

    def healthy(self, since: float) -> bool:
        """Tell whether the primary and a majority under its term answered since."""
        leader = self.leader()
        heard = [n for n, health in self._health.items() if health.heard_at >= since]
        if leader is None or leader.target not in heard:
            return False
        under = [name for name in heard if self._term_of(name) == leader.term]
        return len(under) >= self.majority

    def unreachable(self) -> bool:
        """Tell whether nobody listens any more where the primary was."""
        leader = self.leader()
        health = self._health.get(leader.target) if leader else None
        return health is not None and health.refusals > 0

    def due(self, now: float) -> list[str]:
        """Return the targets that should be probed now."""
        in_doubt = self.in_doubt()
        return [
            name
            for name, health in self._health.items()
            if now - health.probed_at >= self._interval(name, in_doubt)
        ]

    def in_doubt(self) -> bool:
        """Tell whether there is no primary or something is wrong with it."""
        leader = self._leader
        health = self._health.get(leader.target) if leader else None
        if health is None or health.failures or leader.target in self.leaving:
            return True
        return self.highest_term() > leader.term or self._stalled(leader)

    def record_probe(self, target: str, now: float) -> None:
        """Note that a probe of a target leaves."""
        self._health[target].probed_at = now

    def request_probes(self) -> None:
        """Make every target due for a probe."""
        for health in self._health.values():
            health.probed_at = -1e9

    def record_peer_opinion(self, healthy: bool, now: float) -> None:
        """Take in whether another watcher finds the group healthy."""
        if healthy:
            self._held_from = now if self._held_from is None else self._held_from
        else:
            self._held_from = None
        self._opinion_at = now

    def decide(self, now: float) -> Decision:
        """Return what to do; call this several times a second."""
        if now - self._ticked_at > PAUSED_S:
            self._wake(now)
        self._ticked_at = now
        leader = self.leader()
        if leader is None or now - self._silent_from(leader.target) > self._limit_s(
            leader.target
        ):
            return self._about_silence(leader, now)
        self._held_from = None
        return self._about_fault(leader, now)

    def _wake(self, now: float) -> None:
        """Forget silence that this watcher slept through."""
        self._quiet_from = now
        self._fault_from = None
        for health in self._health.values():
            health.refusals = 0

    def _about_silence(self, leader: Leader | None, now: float) -> Decision:
        if leader is None and now - self._quiet_from <= self._limit_s(""):
            return HOLD
        lost = leader.target if leader else ""
        if len(self._heard(now) - {lost}) < self.majority:
            return HOLD
        if now - self._opinion_at > OPINION_S:
            return Decision(Verdict.ASK_OTHERS)
        if self._held_from is not None and now - self._held_from < HOLD_OFF_S:
            return HOLD
        return Decision(Verdict.PROPOSE, self.highest_term())

    def _about_fault(self, leader: Leader, now: float) -> Decision:
        """Replace a living primary that leaves, or under which writes can't go on."""
        voters = self._successors(leader, now)
        wait_s = LEAVING_S
        still = now - self._moved_at > STALL_S
        if not voters and still and self._stalled(leader):
            voters = self._heard(now) - {leader.target}
            wait_s = STALL_S
        elif not voters and self.highest_term() > leader.term:
            voters = self._heard(now)
            wait_s = ORPHAN_S
        if len(voters) < self.majority:
            self._fault_from = None
            return HOLD
        if self._fault_from is None:
            self._fault_from = now
        if now - self._fault_from < wait_s + self.rank * RANK_DELAY_S:
            return HOLD
        self._fault_from = now
        return Decision(Verdict.PROPOSE, self.highest_term(), tuple(sorted(voters)))

    def _stalled(self, leader: Leader) -> bool:
        """Tell whether too few hold what the primary wrote some seconds ago.

        Then no write can be acknowledged, though this watcher hears everybody.
        """
        mark = self._marks[0]
        under = [n for n in self.seen if self._term_of(n) == leader.term]
        reached = [name for name in under if self.seen[name].last >= mark]
        return mark.term == leader.term and len(reached) < self.majority

    def _successors(self, leader: Leader, now: float) -> set[str]:
        """Return those that may replace a leaving primary, none if it should stay.

        They must be a majority that was just heard, and one of them must hold what
        the primary held one probe ago.
        """
        if leader.target not in self.leaving:
            return set()
        staying = {
            name
            for name in self._heard(now) - self.leaving
            if self._term_of(name) == leader.term
        }
        caught_up = any(self.seen[n].last >= self._written_before for n in staying)
        return staying if caught_up else set()

    def _term_of(self, target: str) -> int:
        seen = self.seen.get(target)
        return seen.term if seen else -1

    def _silent_from(self, target: str) -> float:
        health = self._health.get(target)
        heard_at = health.heard_at if health else -1e9
        return max(heard_at, self._quiet_from)

    def _limit_s(self, target: str) -> float:
        health = self._health.get(target)
        refused = health is not None and health.refusals >= REFUSALS
        silent_s = REFUSED_SILENT_S if refused else SILENT_S
        return silent_s + self.rank * RANK_DELAY_S

    def _heard(self, now: float) -> set[str]:
        return {
            name
            for name, health in self._health.items()
            if now - health.heard_at <= SILENT_S
        }

    def _interval(self, target: str, in_doubt: bool) -> float:
        if in_doubt:
            return DOUBT_PROBE_S
        if target != self._leader.target:
            return REPLICA_PROBE_S
        return LOWER_RANK_PROBE_S if self.rank else PRIMARY_PROBE_S
