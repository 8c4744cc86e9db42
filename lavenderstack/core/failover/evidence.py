"""What is proved about the term, the positions and the age of a group's data.

A target reports its adopted term and its last position with every answer. One answer
proves little: a primary that was replaced may still report that it is the primary, and
a replica on an abandoned branch reports a high position. The rules here say which sets
of answers prove something. They rest on these facts about targets: an adopted term
never falls; a majority adopts a term before one target leads it; the target that leads
it is the most advanced of that majority; and entries of a term are written only by the
one target that leads it.

*A write at (t, s) may be acknowledged* when a majority of the group's targets has
answered, to questions asked after the commit, that their adopted term is t and their
last position is at least (t, s). At the time of the earliest of these answers no later
term had a majority, so the primary had not been replaced. Any majority that adopts a
later term includes one of these targets, so the write is in the log of the next
primary. The primary is one of the targets and counts by the same rule; the answer to
the commit itself does not count, since it was requested before the commit.

*A read is fresh* when its answer comes from the target that leads t, with term t, and a
majority has answered, to questions asked after the read began, that their adopted term
is t. Positions do not matter for this.

*A read has a proved age* when the target's last position is at least P, where P is the
last position of the target that leads t, asked for at or after T0, and a majority has
answered, to questions asked at or after T0, that their adopted term is t. Everything
acknowledged before T0 is then in the data read, and the age is the time since T0. This
remains true when t is replaced later.
"""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, replace

from lavenderstack.core.position import Position

PRIMARY = "primary"
# Proofs closer in time than this are thinned out.
PROOF_SPACING_S = 0.02
# Above this number every second proof of the older half is dropped.
MAX_PROOFS = 512


@dataclass(frozen=True, slots=True)
class Observation:
    """One answer of a target; ``asked_at`` is when this node sent the question.

    ``role`` and ``primary`` are the target's own statements, empty if the answer did
    not contain them. Times are in seconds on the asking node's clock.
    """

    target: str
    term: int
    last: Position
    asked_at: float
    role: str = ""
    primary: str = ""

    @property
    def leads(self) -> bool:
        """Whether the target reports that it leads its term."""
        return self.role == PRIMARY


def merge_observations(known: Observation, seen: Observation) -> Observation:
    """Merge a further answer, possibly a late one, into what is known of a target.

    An answer with a lower term than the known one is outdated and ignored. Within a
    term, the entries of that term in a target's log only grow in number. An abandoned
    branch of an earlier term may be truncated, so there the lower position may be the
    newer one.
    """
    if seen.term != known.term:
        return seen if seen.term > known.term else known
    late, early = (seen, known) if seen.asked_at >= known.asked_at else (known, seen)
    last = late.last
    if early.last.term == early.term:
        last = max(last, early.last)
    if early.leads or not late.role:
        return replace(late, last=last, role=early.role, primary=early.primary)
    return replace(late, last=last)


@dataclass(frozen=True, slots=True)
class AgeProof:
    """A holder of ``position`` has all that was acknowledged before ``since``."""

    position: Position
    since: float


class GroupEvidence:
    """The answers of one group's targets, and what they prove together.

    The set of targets is fixed; a group whose targets change gets a new
    ``GroupEvidence``.
    """

    def __init__(self, targets: Iterable[str]) -> None:
        self.targets = tuple(targets)
        self.majority = len(self.targets) // 2 + 1
        self._seen: dict[str, Observation] = {}
        self._proofs: list[AgeProof] = []

    def add_observation(self, seen: Observation) -> None:
        """Add an answer, in any order; answers of unknown targets are dropped."""
        if seen.target not in self.targets:
            return
        known = self._seen.get(seen.target)
        self._seen[seen.target] = (
            seen if known is None else merge_observations(known, seen)
        )
        self._update_proofs()

    def seen(self, target: str) -> Observation | None:
        """Return the merged observation of a target, or None."""
        return self._seen.get(target)

    def primary(self) -> Observation | None:
        """Return the known target that leads the highest term, or None."""
        primaries = [seen for seen in self._seen.values() if seen.leads]
        return max(primaries, key=lambda seen: seen.term, default=None)

    def holders(self, position: Position) -> list[str]:
        """Return the targets known to hold a position written in their current term."""
        return [
            seen.target
            for seen in self._seen.values()
            if seen.term == position.term and seen.last >= position
        ]

    def confirmed(self, position: Position, after: float) -> list[str] | None:
        """Return the targets that hold a write, None if it can't be acknowledged yet.

        ``after`` is a time, in seconds, at which the write was already committed.
        """
        holders = self.holders(position)
        current = [name for name in holders if self._seen[name].asked_at >= after]
        return holders if len(current) >= self.majority else None

    def term_holds(self, term: int, after: float) -> bool:
        """Return whether a majority, asked after a time, reported the term."""
        asked = self._majority_asked_at(term)
        return asked is not None and asked >= after

    def superseded(self, term: int) -> bool:
        """Return whether the term can no longer get a majority.

        A single target with a higher term is not enough: its proposer may have failed,
        and the other targets can still provably continue under the old term.
        """
        higher = [seen for seen in self._seen.values() if seen.term > term]
        left = len(self.targets) - len(higher)
        return left < self.majority or any(seen.leads for seen in higher)

    def proved_age(self, last: Position, now: float) -> float | None:
        """Return the proved age in seconds of data at a position, None if unproved."""
        index = bisect_right(self._proofs, last, key=lambda proof: proof.position)
        return now - self._proofs[index - 1].since if index else None

    def _majority_asked_at(self, term: int) -> float | None:
        """Return the latest time since which a majority was asked and had the term."""
        asked = [seen.asked_at for seen in self._seen.values() if seen.term == term]
        if len(asked) < self.majority:
            return None
        return sorted(asked, reverse=True)[self.majority - 1]

    def _update_proofs(self) -> None:
        primary = self.primary()
        if primary is None:
            return
        asked = self._majority_asked_at(primary.term)
        if asked is not None:
            self._add_proof(AgeProof(primary.last, min(asked, primary.asked_at)))

    def _add_proof(self, proof: AgeProof) -> None:
        """Keep proofs ordered by position and time, one per ``PROOF_SPACING_S``."""
        proofs = self._proofs
        if proofs and proof.since <= proofs[-1].since:
            return
        while proofs and proofs[-1].position >= proof.position:
            proofs.pop()
        if len(proofs) > 1 and proofs[-1].since - proofs[-2].since < PROOF_SPACING_S:
            proofs.pop()
        proofs.append(proof)
        if len(proofs) > MAX_PROOFS:
            del proofs[1 : MAX_PROOFS // 2 : 2]
