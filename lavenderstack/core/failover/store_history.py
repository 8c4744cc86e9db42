"""Who was ever registered in the store, and what follows for a lost primary.

A node that owns a group for the first time knows nothing of the time before it. It can
still read the changes of the store from the first one on, if the store has them all.
Then it knows every run of a target that was ever in a group, and every run of a node
that was ever registered, and so whoever may have acknowledged a commit. Two conclusions
follow without a recorded replica set and without an answer of the primary:

- A commit is acknowledged once two targets have it. If at most one run of all that were
  ever in the group is absent, one of the present ones has each acknowledged commit, so
  the most advanced of them has all (``holds_every_commit``).
- Each acknowledgement passes through a registered node. If every run of a node that was
  ever registered tells its highest acknowledged position, nothing beyond the highest of
  these is acknowledged (``highest_told``).

A gap in the changes, such as a new listing, a truncated answer or a store that came
back from a copy, ends this for the process: a run may have come and gone in the gap.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from lavenderstack.core.failover.replica_set import TargetRun
from lavenderstack.core.position import START, Position

# Names of nodes, and runs of one group or node, that are remembered. Beyond these the
# history counts as unknown, which bounds the memory of a process that runs for months.
MAX_NODES = 10_000
MAX_RUNS = 50
# The run of a node whose registration doesn't name it.
UNKNOWN_RUN = ""
# Two targets have each acknowledged commit, so one of them may be absent.
MAX_ABSENT = 1


@dataclass(slots=True)
class StoreHistory:
    """The runs that were registered since the store was empty, while that is known.

    Nothing is recorded before ``begin`` and after ``end``.
    """

    known: bool = False
    _targets: dict[str, set[TargetRun]] = field(default_factory=dict)
    _target_names: set[str] = field(default_factory=set)
    _nodes: dict[str, set[str]] = field(default_factory=dict)
    # Groups that acknowledged commits without a replica at some time.
    _unreplicated: set[str] = field(default_factory=set)

    def begin(self) -> None:
        """Record that all changes from the first one on follow."""
        self.end()
        self.known = True

    def end(self) -> None:
        """Record that a change may have been missed."""
        self.known = False
        self._targets.clear()
        self._target_names.clear()
        self._nodes.clear()
        self._unreplicated.clear()

    def add_target(self, group: str, run: TargetRun) -> None:
        """Record a run of a target that reported itself as one of a group."""
        if not self.known:
            return
        runs = self._targets.setdefault(group, set())
        runs.add(run)
        self._target_names.add(run.name)
        if len(runs) > MAX_RUNS:
            self.end()

    def add_node(self, name: str, run: str) -> None:
        """Record a registration of a node; ``run`` identifies its process."""
        if not self.known:
            return
        runs = self._nodes.setdefault(name, set())
        runs.add(run)
        if len(self._nodes) > MAX_NODES or len(runs) > MAX_RUNS:
            self.end()

    def add_unreplicated(self, group: str) -> None:
        """Record that commits of a group needed no replica to be acknowledged."""
        if self.known:
            self._unreplicated.add(group)

    def has_target(self, name: str) -> bool:
        """Return whether a run of a target is recorded."""
        return name in self._target_names

    def has_node(self, name: str) -> bool:
        """Return whether a registration of a node is recorded."""
        return name in self._nodes

    def targets(self, group: str) -> frozenset[TargetRun] | None:
        """Return every run that was ever in a group, None if that isn't known.

        It isn't either if a commit may have been acknowledged by one target alone.
        """
        if not self.known or group in self._unreplicated:
            return None
        return frozenset(self._targets.get(group, ()))

    def nodes(self) -> Mapping[str, Collection[str]] | None:
        """Return the runs of every node ever registered, None if they aren't known."""
        return self._nodes if self.known else None


def absent_targets(
    runs: frozenset[TargetRun] | None, present: frozenset[TargetRun]
) -> frozenset[TargetRun] | None:
    """Return which runs that were ever in a group are absent, None if not known.

    ``runs`` are all that were ever in the group, None if they aren't known. A target
    that doesn't tell when it started may have started again without its log.
    """
    if runs is None or not present or not present <= runs:
        return None
    if any(not run.started_ms for run in runs):
        return None
    return runs - present


def holds_every_commit(
    runs: frozenset[TargetRun] | None,
    present: frozenset[TargetRun],
    max_absent: int = MAX_ABSENT,
) -> bool:
    """Return whether the most advanced of the present targets has every commit.

    ``present`` are those that are paused before one is chosen.
    """
    absent = absent_targets(runs, present)
    return absent is not None and len(absent) <= max_absent


@dataclass(frozen=True, slots=True)
class ToldPosition:
    """The highest position that a process of a node acknowledged since its start."""

    run: str
    position: Position


def untold(
    nodes: Mapping[str, Collection[str]], told: Mapping[str, ToldPosition | None]
) -> list[str]:
    """Return the nodes of which a run may have acknowledged something untold.

    ``nodes`` are the runs of all nodes ever registered, ``told`` the answers by node.
    """
    return sorted(
        name for name, runs in nodes.items() if not _tells_all(told.get(name), runs)
    )


def _tells_all(answer: ToldPosition | None, runs: Collection[str]) -> bool:
    """Return whether an answer is that of the node's only run."""
    if answer is None or answer.run == UNKNOWN_RUN:
        return False
    return set(runs) == {answer.run}


def highest_told(
    nodes: Mapping[str, Collection[str]] | None,
    told: Mapping[str, ToldPosition | None],
) -> Position | None:
    """Return the highest position ever acknowledged, None if that isn't known."""
    if nodes is None or untold(nodes, told):
        return None
    return max((one.position for one in told.values() if one), default=START)
