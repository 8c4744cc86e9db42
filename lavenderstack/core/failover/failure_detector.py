"""Decides when a monitor of a group should replace the group's primary.

A few nodes monitor each group. Each one probes the targets and considers the primary
failed after ``SILENT_S`` without an answer, sooner when connections are refused, and
later by ``RANK_DELAY_S`` for each monitor ranked before it. Silence of the primary
alone is not enough to act: the monitor must reach a majority of the group without the
primary. It also asks the other monitors first, since a primary that another monitor
reaches together with a majority is only partitioned from this monitor, not from the
group. Such an answer delays a monitor by ``HOLD_OFF_S`` at most.

A primary that answers is replaced in four cases only: it is leaving; its zone is
evacuated and a target outside of all evacuated zones can lead; a majority makes
no progress towards what it wrote ``STALL_S`` ago; or a target has adopted a later term
than the primary's, in which case a new term brings that target back into the group.

Safety does not depend on this module, only on terms. A false detection costs a short
gap in writes, a late one a long gap.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto

from lavenderstack.core.failover.evidence import Observation
from lavenderstack.core.position import START
from lavenderstack.core.routing import TermPrimary

# A target counts as answering for this long after its last answer. A primary that has
# been silent for longer has failed.
SILENT_S = 1.0
# Applies to the primary instead of SILENT_S after MIN_REFUSALS refused connections in
# a row.
SILENT_AFTER_REFUSALS_S = 0.3
MIN_REFUSALS = 2
# Added for each monitor ranked before this one, so that they don't act at once.
RANK_DELAY_S = 0.7
# How long each fault of an answering primary must last: a target in a later term, the
# primary leaving, no progress towards what it wrote.
LATER_TERM_S = 2.0
LEAVING_S = 0.3
STALL_S = 2.0
# Longest delay because another monitor reports the primary as healthy.
HOLD_OFF_S = 4.0
# Another monitor's report is asked for again when it is older than this.
PEER_OPINION_MAX_AGE_S = 0.5
# A longer gap between two calls of decide means that this process was paused.
PAUSE_THRESHOLD_S = 0.6

# Intervals between probes of a target.
PRIMARY_PROBE_S = 0.5
LOWER_RANK_PROBE_S = 1.0
REPLICA_PROBE_S = 4.0
IN_DOUBT_PROBE_S = 0.25


class Verdict(Enum):
    """What a monitor should do now.

    ``HOLD``: nothing. ``ASK_OTHERS``: ask the other monitors whether they reach the
    primary. ``PROPOSE``: propose a new term. ``EVACUATED``: the primary is lost, but
    only targets in evacuated zones answer, and none of them may lead.
    """

    HOLD = auto()
    ASK_OTHERS = auto()
    PROPOSE = auto()
    EVACUATED = auto()


@dataclass(frozen=True, slots=True)
class Decision:
    """A verdict; a proposal starts above ``term`` and asks only the ``voters``."""

    verdict: Verdict
    term: int = 0
    voters: tuple[str, ...] = ()


HOLD = Decision(Verdict.HOLD)


@dataclass(slots=True)
class _Health:
    """Times of a target's last answer and last probe, and the failures since."""

    answered_at: float
    probed_at: float
    refusals: int = 0
    failures: int = 0


class FailureDetector:
    """One monitor's state for one group; the monitor with ``rank`` 0 acts first.

    All times are in seconds on the clock of ``core.clock``.
    """

    def __init__(self, targets: Sequence[str], rank: int, now: float) -> None:
        self.targets = tuple(targets)
        self.majority = len(self.targets) // 2 + 1
        self.rank = rank
        self.leaving: frozenset[str] = frozenset()
        self.evacuated: frozenset[str] = frozenset()
        self.seen: dict[str, Observation] = {}
        self._health = {name: _Health(-1e9, -1e9) for name in self.targets}
        self._silence_counted_from = now
        self._decided_at = now
        self._peer_opinion_at = -1e9
        self._held_off_since: float | None = None
        self._fault_since: float | None = None
        self._primary: TermPrimary | None = None
        self._previous_primary_position = START
        # The primary's last two sampled positions, more than STALL_S apart.
        self._primary_positions = (START, START)
        self._position_sampled_at = now
        self._replica_progress_at = now

    def record_observation(self, seen: Observation, now: float) -> None:
        """Record a target's answer; the answers of one target arrive in order."""
        before = self._primary
        known = self.seen.get(seen.target)
        if known is not None and known.leads:
            self._previous_primary_position = known.last
        elif known is not None and known.last != seen.last:
            self._replica_progress_at = now
        self.seen[seen.target] = seen
        self.record_answer(seen.target, now)
        if seen.leads and now - self._position_sampled_at > STALL_S:
            self._position_sampled_at = now
            self._primary_positions = (self._primary_positions[1], seen.last)
        self._primary = self._find_primary()
        if self._primary != before:
            self._silence_counted_from = now

    def record_answer(self, target: str, now: float) -> None:
        """Record that a target answered, even if it reported no state."""
        health = self._health[target]
        health.answered_at = now
        health.refusals = health.failures = 0

    def record_failure(self, target: str, refused: bool) -> None:
        """Record a failed probe; ``refused`` if the connection was refused."""
        health = self._health[target]
        health.failures += 1
        health.refusals = health.refusals + 1 if refused else 0

    def primary(self) -> TermPrimary | None:
        """Return the primary of the highest term that any target reports, or None.

        A primary that is known to have adopted a later term does not count.
        """
        return self._primary

    def _find_primary(self) -> TermPrimary | None:
        reporting = [seen for seen in self.seen.values() if seen.leads or seen.primary]
        if not reporting:
            return None
        seen = max(reporting, key=lambda seen: seen.term)
        primary = seen.target if seen.leads else seen.primary
        return (
            None
            if self._term_of(primary) > seen.term
            else TermPrimary(seen.term, primary)
        )

    def highest_term(self) -> int:
        """Return the highest term that any target has reported."""
        return max((seen.term for seen in self.seen.values()), default=0)

    def healthy(self, since: float) -> bool:
        """Return whether the primary and a majority in its term have answered since."""
        primary = self.primary()
        answering = [
            n for n, health in self._health.items() if health.answered_at >= since
        ]
        if primary is None or primary.target not in answering:
            return False
        in_term = [name for name in answering if self._term_of(name) == primary.term]
        return len(in_term) >= self.majority

    def unreachable(self) -> bool:
        """Return whether the primary's address refused the last connection."""
        primary = self.primary()
        health = self._health.get(primary.target) if primary else None
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
        """Return whether there is no primary or a problem with it was seen."""
        primary = self._primary
        health = self._health.get(primary.target) if primary else None
        if health is None or health.failures or self._should_hand_over(primary):
            return True
        return self.highest_term() > primary.term or self._stalled(primary)

    def record_probe(self, target: str, now: float) -> None:
        """Record that a probe of a target was sent."""
        self._health[target].probed_at = now

    def request_probes(self) -> None:
        """Make every target due for a probe."""
        for health in self._health.values():
            health.probed_at = -1e9

    def record_peer_opinion(self, healthy: bool, now: float) -> None:
        """Record whether another monitor reports the group as healthy."""
        if healthy:
            self._held_off_since = (
                now if self._held_off_since is None else self._held_off_since
            )
        else:
            self._held_off_since = None
        self._peer_opinion_at = now

    def decide(self, now: float) -> Decision:
        """Return what to do; call this several times a second."""
        if now - self._decided_at > PAUSE_THRESHOLD_S:
            self._reset_after_pause(now)
        self._decided_at = now
        primary = self.primary()
        if primary is None or now - self._silent_since(
            primary.target
        ) > self._silence_limit_s(primary.target):
            return self._decide_on_silence(primary, now)
        self._held_off_since = None
        return self._decide_on_fault(primary, now)

    def _reset_after_pause(self, now: float) -> None:
        """Discard silence observed while this monitor was paused."""
        self._silence_counted_from = now
        self._fault_since = None
        for health in self._health.values():
            health.refusals = 0

    def _decide_on_silence(self, primary: TermPrimary | None, now: float) -> Decision:
        if (
            primary is None
            and now - self._silence_counted_from <= self._silence_limit_s("")
        ):
            return HOLD
        failed_target = primary.target if primary else ""
        answering = self._answering(now) - {failed_target}
        if len(answering) < self.majority:
            return HOLD
        if answering <= self.evacuated:
            return Decision(Verdict.EVACUATED, self.highest_term())
        if now - self._peer_opinion_at > PEER_OPINION_MAX_AGE_S:
            return Decision(Verdict.ASK_OTHERS)
        if self._held_off_since is not None and now - self._held_off_since < HOLD_OFF_S:
            return HOLD
        return Decision(Verdict.PROPOSE, self.highest_term())

    def _decide_on_fault(self, primary: TermPrimary, now: float) -> Decision:
        """Decide whether to replace a primary that answers but has a fault."""
        voters = self._successors(primary, now)
        wait_s = LEAVING_S
        no_progress = now - self._replica_progress_at > STALL_S
        if not voters and no_progress and self._stalled(primary):
            voters = self._answering(now) - {primary.target}
            wait_s = STALL_S
        elif not voters and self.highest_term() > primary.term:
            voters = self._answering(now)
            wait_s = LATER_TERM_S
        if len(voters) < self.majority or voters <= self.evacuated:
            self._fault_since = None
            return HOLD
        if self._fault_since is None:
            self._fault_since = now
        if now - self._fault_since < wait_s + self.rank * RANK_DELAY_S:
            return HOLD
        self._fault_since = now
        return Decision(Verdict.PROPOSE, self.highest_term(), tuple(sorted(voters)))

    def _stalled(self, primary: TermPrimary) -> bool:
        """Return whether too few targets hold what the primary wrote a few seconds ago.

        Then no write can be acknowledged, although this monitor reaches all targets.
        """
        earlier_position = self._primary_positions[0]
        in_term = [n for n in self.seen if self._term_of(n) == primary.term]
        reached = [name for name in in_term if self.seen[name].last >= earlier_position]
        return earlier_position.term == primary.term and len(reached) < self.majority

    def _should_hand_over(self, primary: TermPrimary) -> bool:
        """Return whether the primary is to be replaced although it has no fault."""
        if primary.target in self.leaving:
            return True
        outside = set(self.targets) - self.evacuated
        return primary.target in self.evacuated and bool(outside)

    def _successors(self, primary: TermPrimary, now: float) -> set[str]:
        """Return the targets that vote on a planned replacement, none if it stays.

        They must be a majority that answered recently, and one of them, neither leaving
        nor in an evacuated zone, must hold what the primary held one probe ago.
        """
        if not self._should_hand_over(primary):
            return set()
        in_term = {n for n in self._answering(now) if self._term_of(n) == primary.term}
        staying = in_term - self.leaving - self.evacuated
        earlier_position = self._previous_primary_position
        caught_up = [n for n in staying if self.seen[n].last >= earlier_position]
        if not caught_up:
            return set()
        if len(staying) >= self.majority or not self.evacuated:
            return staying
        # The others must vote too, so one that stays must hold all that they hold. The
        # log no longer grows once writes to the zone are refused.
        known = self.seen.get(primary.target)
        is_quiet = known is not None and known.last == earlier_position
        return in_term if is_quiet else set()

    def _term_of(self, target: str) -> int:
        seen = self.seen.get(target)
        return seen.term if seen else -1

    def _silent_since(self, target: str) -> float:
        health = self._health.get(target)
        answered_at = health.answered_at if health else -1e9
        return max(answered_at, self._silence_counted_from)

    def _silence_limit_s(self, target: str) -> float:
        health = self._health.get(target)
        refused = health is not None and health.refusals >= MIN_REFUSALS
        silent_s = SILENT_AFTER_REFUSALS_S if refused else SILENT_S
        return silent_s + self.rank * RANK_DELAY_S

    def _answering(self, now: float) -> set[str]:
        return {
            name
            for name, health in self._health.items()
            if now - health.answered_at <= SILENT_S
        }

    def _interval(self, target: str, in_doubt: bool) -> float:
        if in_doubt:
            return IN_DOUBT_PROBE_S
        if target != self._primary.target:
            return REPLICA_PROBE_S
        return LOWER_RANK_PROBE_S if self.rank else PRIMARY_PROBE_S
