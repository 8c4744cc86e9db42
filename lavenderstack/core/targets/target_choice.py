"""Selects the target of a read that several targets may serve.

Entry nodes decide alone, many of them with the same reports. If each took the target
that looks best, all would take the same one, and leave it together once it reports the
result. So a node compares two candidates only. The first is drawn at random, weighted
by the statements per second that targets can run, among the replicas in the node's own
zone if there are any. The second is drawn the same way among those that are expected
to be faster. The read goes to the second with a probability that rises with the gain:
0 for a gain that callers don't notice, 1 for a good part of their latency goal. So the
reads of all nodes together shift gradually.

The distance between zones is part of the expected time, so a read leaves its zone only
if the gain exceeds the distance.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from lavenderstack.core.targets.load_view import Expectation

# Shares of the latency goal: the gain up to which a read stays where it is, and the one
# from which all reads go to the faster target.
MIN_GAIN_GOAL_SHARE = 0.1
FULL_GAIN_GOAL_SHARE = 0.5
# The wait that is assumed at a target without a recent report.
USUAL_WAIT_GOAL_SHARE = 0.1
# By how much a primary must be faster: only it can run writes.
PRIMARY_GOAL_SHARE = 0.15
# A target that has answered nothing for some time is expected to take as long again.
SILENCE_FACTOR = 2.0
# Retries of statements that were lost with a holder are spread over the time that its
# queue would have taken, or this if the queue isn't known.
UNKNOWN_SPREAD_S = 0.05
# The longest spread as a share of the latency goal, less than that of a hedged read.
SPREAD_GOAL_SHARE = 0.4


class ChoiceReason(StrEnum):
    """Why a target was selected.

    ``OWN_ZONE``: it is in the zone of the entry node. ``LESS_LOAD``: its load is known,
    and none in the own zone was better. ``UNKNOWN``: nothing recent is known of it.
    """

    OWN_ZONE = "own_zone"
    LESS_LOAD = "less_load"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may serve a read.

    ``slots`` are those that the target declares. ``distance_s`` is the round trip to
    its zone, in seconds. ``full`` tells whether its holder refuses the read.
    """

    target: str
    own_zone: bool
    slots: int
    expectation: Expectation
    distance_s: float = 0.0
    primary: bool = False
    full: bool = False

    @property
    def rate(self) -> float:
        """The statements per second that the target can run."""
        limit = self.expectation.limit or self.slots
        return max(1, limit) / max(1e-3, self.expectation.mean_s)

    def expected_s(self, goal_s: float) -> float:
        """Return the expected time to the answer; ``goal_s`` is the latency goal."""
        known = self.expectation
        usual_s = USUAL_WAIT_GOAL_SHARE * goal_s
        wait_s = known.weight * known.wait_s + (1.0 - known.weight) * usual_s
        silent_s = SILENCE_FACTOR * known.silent_s
        answer_s = max(wait_s + known.mean_s, silent_s)
        reserved_s = PRIMARY_GOAL_SHARE * goal_s if self.primary else 0.0
        return self.distance_s + answer_s + reserved_s

    @property
    def reason(self) -> ChoiceReason:
        """Why the target was selected, if it was."""
        if self.own_zone:
            return ChoiceReason.OWN_ZONE
        if self.expectation.weight:
            return ChoiceReason.LESS_LOAD
        return ChoiceReason.UNKNOWN


@dataclass(frozen=True, slots=True)
class Choice:
    """The selected target, and the one that was passed over for it, if any."""

    selected: Candidate
    passed_over: Candidate | None = None


def choose(candidates: Sequence[Candidate], goal_s: float, random: Random) -> Choice:
    """Select one of the candidates, of which there is at least one.

    A target that refuses is selected only if all do, a primary only if it is clearly
    better than all replicas.
    """
    accepting = [one for one in candidates if not one.full] or list(candidates)
    replicas = [one for one in accepting if not one.primary] or accepting
    first = _draw([one for one in replicas if one.own_zone] or replicas, random)
    expected_s = {one.target: one.expected_s(goal_s) for one in accepting}
    first_s = expected_s[first.target]
    best_s = min(expected_s[one.target] for one in replicas)
    faster = [
        one
        for one in accepting
        if expected_s[one.target] < (best_s if one.primary else first_s)
    ]
    if not faster:
        return Choice(first)
    second = _draw(faster, random)
    gain_s = first_s - expected_s[second.target]
    if random.random() < _shift_probability(gain_s, goal_s):
        return Choice(second, first)
    return Choice(first)


def _draw(candidates: Sequence[Candidate], random: Random) -> Candidate:
    if len(candidates) == 1:
        return candidates[0]
    return random.choices(candidates, [one.rate for one in candidates])[0]


def _shift_probability(gain_s: float, goal_s: float) -> float:
    lowest_s = MIN_GAIN_GOAL_SHARE * goal_s
    range_s = (FULL_GAIN_GOAL_SHARE - MIN_GAIN_GOAL_SHARE) * goal_s
    return min(1.0, max(0.0, gain_s - lowest_s) / range_s)


def retry_spread_s(drain_s: float | None, goal_s: float) -> float:
    """Return over how many seconds retries are spread after a holder was lost.

    ``drain_s`` is how long the statements there would have taken, None if it isn't
    known. They all come back at the same time, to one successor.
    """
    window_s = UNKNOWN_SPREAD_S if drain_s is None else drain_s
    return min(window_s, SPREAD_GOAL_SHARE * goal_s)
