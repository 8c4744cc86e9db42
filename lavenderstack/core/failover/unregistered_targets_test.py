"""Explores promotions while a replica may live on without a registration.

The model is that of ``replica_set_test``, with two more steps: the registration of a
replica ends while it goes on receiving, and it registers again. A primary that is taken
for lost writes once more while the order to replace it is under way: the registered
replicas are paused then, one without a registration isn't. Each write is acknowledged
through one of two nodes.
"""

from dataclasses import dataclass, field, replace
from functools import cache

from lavenderstack.core.catalog import TargetState
from lavenderstack.core.failover.replacement import (
    ReplicaState,
    choose_successor,
    commit_obstacle,
)
from lavenderstack.core.failover.replica_set import TargetRun, is_complete
from lavenderstack.core.failover.replica_set_test import (
    MAX_WRITES,
    Node,
    State,
    check_set,
    leave,
    members,
    statuses,
    with_node,
    with_replica,
)
from lavenderstack.core.failover.unregistered_targets import (
    MAX_UNREGISTERED,
    UnregisteredTargets,
)
from lavenderstack.core.position import START, Position
from lavenderstack.core.view import Target
from tests.explore import depth, explore

SHORT_DEPTH = 6


@dataclass(frozen=True)
class LivingState(State):
    """``living`` are the replicas that run, also without a registration."""

    living: tuple[bool, bool] = (True, True)
    nodes: tuple[Node, Node] = field(default=(Node(), Node()))


def write(state, node, paused=False):
    """Write; with ``paused`` the registered replicas receive nothing."""
    last = state.last + 1
    after = replace(state, last=last)
    for index, replica in enumerate(state.replicas):
        is_paused = paused and replica.registered
        if state.living[index] and not replica.deaf and not is_paused:
            after = with_replica(after, index, received=last)
            after = with_node(after, node, acknowledged=last)
            after = replace(after, acknowledged=last)
    return after


def end_registration(state, index):
    """End a registration, as ``leave`` does, of a replica that lives on."""
    return leave(state, index)


def end(state, index):
    living = [alive and n != index for n, alive in enumerate(state.living)]
    return replace(leave(state, index), living=tuple(living))


def steps(state):
    if state.last < MAX_WRITES:
        yield write(state, 0)
        yield write(state, 1)
    yield check_set(state)
    for index, replica in enumerate(state.replicas):
        if replica.registered:
            yield with_replica(state, index, deaf=not replica.deaf)
            yield end_registration(state, index)
            yield end(state, index)
        elif state.living[index]:
            yield with_replica(state, index, registered=True)


@cache
def complete_states():
    found = explore(check_set(LivingState()), steps, depth(SHORT_DEPTH))
    return [one for one in found if is_complete(one.recorded, "a", members(one))]


def loses_commit(state, silent, holds=True, counts_unregistered=True):
    """Return whether a promotion that is allowed loses a commit.

    ``silent`` are the nodes that don't answer the owner. The lost primary writes once
    more through each node before the order takes effect. Without ``holds`` the others
    acknowledge that.
    """
    chosen = choose_successor(statuses(state), replicated=True)
    if not isinstance(chosen, ReplicaState):
        return False
    answers = [i for i in range(len(state.nodes)) if i not in silent]
    told = max(
        (Position(1, state.nodes[i].acknowledged) for i in answers), default=START
    )
    unregistered = any(not one.registered for one in state.replicas)
    unregistered = counts_unregistered and unregistered
    if commit_obstacle(chosen, told, unregistered, held=not silent):
        return False
    if chosen.received.seq < state.acknowledged:
        return True
    writing = [i for i in range(len(state.nodes)) if not (holds and i in answers)]
    return any(
        write(state, node, paused=True).acknowledged > chosen.received.seq
        for node in writing
    )


class TestLivingReplica:
    def test_no_commit_is_lost_whichever_nodes_are_silent(self):
        for state in complete_states():
            for silent in ((), (0,), (1,), (0, 1)):
                assert not loses_commit(state, silent), (state, silent)

    def test_promotions_are_allowed_in_many_states(self):
        chosen = [choose_successor(statuses(one), True) for one in complete_states()]
        assert sum(isinstance(one, ReplicaState) for one in chosen) > 100

    def test_without_holds_a_commit_is_lost(self):
        assert any(loses_commit(one, (), holds=False) for one in complete_states())

    def test_without_counting_the_unregistered_a_commit_is_lost(self):
        assert any(
            loses_commit(one, (1,), counts_unregistered=False)
            for one in complete_states()
        )


def reported(name, port, started_ms=1, group="g", leaving=False):
    target = Target(name, "z1", "10.0.0.1", port, 2, 30)
    return TargetState(target, group, leaving, False, 1, 0, started_ms)


class TestUnregisteredTargets:
    """A run counts until something shows that it has ended."""

    def left(self, *states):
        unregistered = UnregisteredTargets()
        for state in states:
            unregistered.left(state)
        return unregistered

    def test_it_counts_until_its_name_is_registered_again(self):
        unregistered = self.left(reported("b", 1))
        assert unregistered.of("g", "a") == {TargetRun("b", 1)}
        unregistered.registered(reported("b", 9, started_ms=5))
        assert unregistered.of("g", "a") == frozenset()

    def test_it_counts_until_another_target_has_its_address(self):
        unregistered = self.left(reported("b", 1))
        unregistered.registered(reported("c", 2))
        assert unregistered.of("g", "a") == {TargetRun("b", 1)}
        unregistered.registered(reported("d", 1, group="h"))
        assert unregistered.of("g", "a") == frozenset()

    def test_one_that_announced_its_end_has_ended(self):
        """Else a zone that is cut off after a release stays without a primary."""
        assert self.left(reported("b", 1, leaving=True)).of("g", "a") == frozenset()

    def test_the_primary_itself_does_not_count(self):
        unregistered = self.left(reported("a", 1), reported("b", 2))
        assert unregistered.of("g", "a") == {TargetRun("b", 1)}
        assert unregistered.of("other", "a") == frozenset()

    def test_the_memory_is_bounded(self):
        states = [reported(f"t{n}", n) for n in range(MAX_UNREGISTERED + 5)]
        runs = self.left(*states).of("g", "a")
        assert len(runs) == MAX_UNREGISTERED
        assert TargetRun(f"t{MAX_UNREGISTERED + 4}", 1) in runs
