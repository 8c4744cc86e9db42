"""Explores which replica may take over after replicas left, for every order of events.

The model has a primary and two replicas. Steps: a write, which is acknowledged when a
replica receives it; a replica stops or resumes receiving; a replica leaves for good; it
starts again without its log; the owner checks the replica set, with the proof made in
one step. In every state in which the replica set is complete, the most advanced of the
registered replicas has every acknowledged write. Tests without one of the guards show
that a write is lost then.

For an owner without a recorded set, each write is acknowledged through one of two
nodes, which may start again and so forget it.
"""

from dataclasses import dataclass, replace
from functools import cache

import pytest

from lavenderstack.core.failover.replacement import ReplicaState, choose_successor
from lavenderstack.core.failover.replica_set import (
    AcknowledgedPosition,
    Membership,
    ReplicaSet,
    TargetRun,
    highest_acknowledged,
    is_complete,
    is_proof,
    joined,
    missing_replicas,
)
from lavenderstack.core.failover.store_history import (
    MAX_ABSENT,
    ToldPosition,
    highest_told,
    holds_every_commit,
)
from lavenderstack.core.position import START, Position
from tests.explore import depth, explore

NAMES = ("b", "c")
PRIMARY = TargetRun("a", 1)
MAX_WRITES = 3
MAX_RUNS = 2
SHORT_DEPTH = 8
# States with nodes are many more.
NODES_DEPTH = 6


@dataclass(frozen=True)
class Replica:
    """One replica; ``run`` counts its starts, ``registered`` is False once it left."""

    run: int = 1
    received: int = 0
    deaf: bool = False
    registered: bool = True


@dataclass(frozen=True)
class Node:
    """One node; ``run`` counts its starts, ``acknowledged`` is of the present run."""

    run: int = 1
    acknowledged: int = 0


@dataclass(frozen=True)
class State:
    """The group's state; ``recorded`` is the replica set in the store."""

    last: int = 0
    acknowledged: int = 0
    replicas: tuple[Replica, Replica] = (Replica(), Replica())
    recorded: ReplicaSet | None = None
    departed: frozenset[TargetRun] = frozenset()
    nodes: tuple[Node, Node] = (Node(), Node())


def members(state):
    present = frozenset(
        TargetRun(name, replica.run)
        for name, replica in zip(NAMES, state.replicas, strict=True)
        if replica.registered
    )
    return Membership(present, state.departed)


def statuses(state):
    """Return what the registered replicas answer to PAUSE."""
    return [
        ReplicaState(name, False, Position(1, replica.received), paused=True)
        for name, replica in zip(NAMES, state.replicas, strict=True)
        if replica.registered
    ]


def with_replica(state, index, **changes):
    replicas = list(state.replicas)
    replicas[index] = replace(replicas[index], **changes)
    return replace(state, replicas=tuple(replicas))


def with_node(state, index, **changes):
    nodes = list(state.nodes)
    nodes[index] = replace(nodes[index], **changes)
    return replace(state, nodes=tuple(nodes))


def write(state, node=0):
    last = state.last + 1
    after = replace(state, last=last)
    for index, replica in enumerate(state.replicas):
        if replica.registered and not replica.deaf:
            after = replace(
                with_replica(after, index, received=last), acknowledged=last
            )
            after = with_node(after, node, acknowledged=last)
    return after


def check_set(state, proof=is_proof):
    """Do what the owner does at a check while the primary answers."""
    known, recorded = members(state), state.recorded
    updated = joined(recorded, "a", known)
    if not is_complete(recorded, "a", known) and proof(
        Position(1, state.last), statuses(state)
    ):
        updated = ReplicaSet("a", known.present)
    if updated is None:
        return state
    return replace(state, recorded=updated, departed=frozenset())


def leave(state, index):
    run = TargetRun(NAMES[index], state.replicas[index].run)
    after = with_replica(state, index, registered=False)
    return replace(after, departed=state.departed | {run})


def steps_with(check):
    def steps(state):
        if state.last < MAX_WRITES:
            yield write(state)
        yield check(state)
        for index, replica in enumerate(state.replicas):
            if replica.registered:
                yield with_replica(state, index, deaf=not replica.deaf)
                yield leave(state, index)
            elif replica.run < MAX_RUNS:
                yield with_replica(
                    state, index, run=replica.run + 1, received=0, registered=True
                )

    return steps


def explored(check=check_set):
    """Return all states from a group whose replica set was proved at its start."""
    start = check_set(State())
    return explore(start, steps_with(check), depth(SHORT_DEPTH))


def is_lost(state):
    """Return whether the most advanced registered replica lacks a write."""
    chosen = choose_successor(statuses(state), replicated=True)
    return isinstance(chosen, ReplicaState) and chosen.received.seq < state.acknowledged


class TestCompleteSet:
    def test_the_most_advanced_replica_has_every_acknowledged_write(self):
        complete = 0
        for state in explored():
            if is_complete(state.recorded, "a", members(state)):
                complete += 1
                assert not is_lost(state), state
        assert complete > 100

    def test_without_the_recorded_set_a_write_is_lost(self):
        assert any(is_lost(state) for state in explored())

    def test_without_the_proof_a_write_is_lost(self):
        def check_without_proof(state):
            return check_set(state, proof=lambda end, replicas: True)

        assert any(
            is_lost(state)
            for state in explored(check_without_proof)
            if is_complete(state.recorded, "a", members(state))
        )

    def test_without_counting_those_that_joined_and_left_a_write_is_lost(self):
        assert any(
            is_lost(state)
            for state in explored()
            if is_complete(state.recorded, "a", Membership(members(state).present))
        )

    def test_without_telling_runs_apart_a_write_is_lost(self):
        def names(targets):
            return frozenset(run._replace(started_ms=0) for run in targets)

        def is_complete_by_name(state):
            recorded, known = state.recorded, members(state)
            return is_complete(
                replace(recorded, replicas=names(recorded.replicas)),
                "a",
                Membership(names(known.present), names(known.departed)),
            )

        assert any(is_lost(state) for state in explored() if is_complete_by_name(state))

    def test_it_is_not_complete_for_another_primary(self):
        recorded = ReplicaSet("a", frozenset({TargetRun("b")}))
        known = Membership(frozenset({TargetRun("b")}))
        assert is_complete(recorded, "a", known)
        assert is_complete(recorded, "", known)
        assert not is_complete(recorded, "c", known)
        assert not is_complete(None, "", known)

    def test_the_end_of_the_lost_primary_itself_does_not_stand_in_the_way(self):
        recorded = ReplicaSet("a", frozenset({TargetRun("b")}))
        departed = frozenset({TargetRun("a")})
        known = Membership(frozenset({TargetRun("b")}), departed)
        assert is_complete(recorded, "", known)

    def test_a_replica_that_started_again_is_missing(self):
        recorded = ReplicaSet("a", frozenset({TargetRun("b", 5), TargetRun("c", 6)}))
        known = Membership(frozenset({TargetRun("b", 7), TargetRun("c", 6)}))
        assert missing_replicas(recorded, known) == {TargetRun("b", 5)}


class TestAcknowledgedPositions:
    def test_a_replica_with_all_that_nodes_observed_has_every_acknowledged_write(self):
        """Each acknowledgement passes through a node, so one observed the last one."""
        chosen_count = 0
        for state in explored():
            node = AcknowledgedPosition(Position(1, state.acknowledged), 60.0)
            end = highest_acknowledged(START, 5.0, [node])
            chosen = choose_successor(statuses(state), replicated=True)
            if isinstance(chosen, ReplicaState) and chosen.received >= end:
                chosen_count += 1
                assert not is_lost(state), state
        assert chosen_count > 100

    @pytest.mark.parametrize(
        ("nodes", "expected"),
        [
            ([], Position(1, 4)),
            ([AcknowledgedPosition(Position(1, 3), 60.0)], Position(1, 4)),
            ([AcknowledgedPosition(Position(1, 6), 60.0)], Position(1, 6)),
            ([AcknowledgedPosition(Position(1, 6), 60.0), None], None),
            ([AcknowledgedPosition(Position(1, 3), 1.9)], None),
        ],
        ids=["no node", "older", "newer", "one is silent", "one has started since"],
    )
    def test_all_nodes_that_ran_since_the_last_answer_must_tell(self, nodes, expected):
        assert highest_acknowledged(Position(1, 4), 2.0, nodes) == expected


def steps_with_nodes(state):
    """Return the steps while no set gets recorded; nodes start again as well."""
    yield from steps_with(lambda state: state)(state)
    if state.last < MAX_WRITES:
        yield write(state, node=1)
    for index, node in enumerate(state.nodes):
        if node.run < MAX_RUNS:
            yield with_node(state, index, run=node.run + 1, acknowledged=0)


@cache
def explored_with_nodes():
    return explore(State(), steps_with_nodes, depth(NODES_DEPTH))


def registered_runs(state):
    """Return the runs of all nodes that were ever registered, by node."""
    return {
        index: {f"{index}#{run}" for run in range(1, node.run + 1)}
        for index, node in enumerate(state.nodes)
    }


def told(state, silent):
    """Return what the nodes tell of which ``silent`` don't answer."""
    return {
        index: ToldPosition(f"{index}#{node.run}", Position(1, node.acknowledged))
        if index not in silent
        else None
        for index, node in enumerate(state.nodes)
    }


def is_told(state, silent=(), nodes=None):
    """Return whether a replica has what the nodes tell, if that is known."""
    end = highest_told(nodes or registered_runs(state), told(state, silent))
    chosen = choose_successor(statuses(state), replicated=True)
    known = end is not None and isinstance(chosen, ReplicaState)
    return known and chosen.received >= end


def all_runs(state):
    """Return every run that was ever in the group; the primary has one."""
    return frozenset(
        TargetRun(name, run)
        for name, replica in zip(NAMES, state.replicas, strict=True)
        for run in range(1, replica.run + 1)
    ) | {PRIMARY}


def are_present(state, runs=all_runs, max_absent=MAX_ABSENT, key=lambda run: run):
    """Return whether the registered replicas have every write together."""
    known, present = map(key, runs(state)), map(key, members(state).present)
    return holds_every_commit(frozenset(known), frozenset(present), max_absent)


class TestOwnerWithoutRecord:
    """It knows all that were ever registered, and nothing of the primary's log."""

    @pytest.mark.parametrize(
        "concludes",
        [
            is_told,
            lambda state: is_told(state, silent=(0,)),
            lambda state: is_told(state, silent=(1,)),
            are_present,
        ],
        ids=["all nodes", "without 0", "without 1", "targets"],
    )
    def test_no_write_is_lost(self, concludes):
        safe = [state for state in explored_with_nodes() if concludes(state)]
        assert not any(is_lost(state) for state in safe)

    def test_a_conclusion_is_drawn_in_many_states(self):
        states = explored_with_nodes()
        assert sum(map(is_told, states)) > 100
        assert sum(map(are_present, states)) > 100

    @pytest.mark.parametrize(
        "concludes",
        [
            lambda state: is_told(state, (1,), {0: registered_runs(state)[0]}),
            lambda state: is_told(
                state, (), {i: {f"{i}#{n.run}"} for i, n in enumerate(state.nodes)}
            ),
            lambda state: are_present(state, max_absent=2),
            lambda state: are_present(
                state, runs=lambda one: members(one).present | {PRIMARY}
            ),
            lambda state: are_present(state, key=lambda run: TargetRun(run.name, 1)),
        ],
        ids=["silent node", "runs of a node", "one absent", "those that left", "runs"],
    )
    def test_without_one_of_the_guards_a_write_is_lost(self, concludes):
        assert any(is_lost(s) and concludes(s) for s in explored_with_nodes())

    @pytest.mark.parametrize(
        "runs", [None, {PRIMARY}, {PRIMARY, TargetRun("b"), TargetRun("c", 1)}]
    )
    def test_nothing_follows_from_an_incomplete_history(self, runs):
        present = frozenset({TargetRun("b"), TargetRun("c", 1)})
        assert not holds_every_commit(runs and frozenset(runs), present)
