"""Explores which replica may take over, for every order of events in a small group.

The model has a primary and two replicas. Steps: a write, which is acknowledged when a
replica that isn't paused receives it; a replica stops or resumes receiving; a replica
is paused or resumed; a replica becomes unreachable. In every state, the replica that
may take over has every acknowledged write. Tests without one of the guards show that a
write is lost then.
"""

from dataclasses import dataclass, replace
from itertools import combinations

import pytest

from lavenderstack.core.failover.replacement import (
    Obstacle,
    ReplicaState,
    choose_successor,
    most_advanced,
    takeover_obstacle,
)
from lavenderstack.core.position import Position
from tests.explore import depth, explore

REPLICAS = ("b", "c")
SHORT_DEPTH = 7


@dataclass(frozen=True)
class State:
    """The group's state; ``reported`` is what the replicas reported when paused."""

    last: int = 0
    acknowledged: int = 0
    received: tuple[int, int] = (0, 0)
    paused: tuple[bool, bool] = (False, False)
    disconnected: tuple[bool, bool] = (False, False)
    reachable: tuple[bool, bool] = (True, True)
    reported: tuple[int | None, int | None] = (None, None)


def with_item(pair, index, value):
    return tuple(value if n == index else old for n, old in enumerate(pair))


def write(state):
    last = state.last + 1
    received, acknowledged = state.received, state.acknowledged
    for index in range(2):
        if not state.paused[index] and not state.disconnected[index]:
            received, acknowledged = with_item(received, index, last), last
    return replace(state, last=last, received=received, acknowledged=acknowledged)


def pause(state, index):
    if not state.reachable[index]:
        return replace(state, reported=with_item(state.reported, index, None))
    return replace(
        state,
        paused=with_item(state.paused, index, True),
        reported=with_item(state.reported, index, state.received[index]),
    )


def resume(state, index):
    return replace(
        state,
        paused=with_item(state.paused, index, False),
        reported=with_item(state.reported, index, None),
    )


def steps(state):
    yield write(state)
    for index in range(2):
        yield pause(state, index)
        yield resume(state, index)
        yield replace(
            state,
            disconnected=with_item(
                state.disconnected, index, not state.disconnected[index]
            ),
        )
        yield replace(state, reachable=with_item(state.reachable, index, False))


STATES = explore(State(), steps, depth(SHORT_DEPTH))


def replica_states(state):
    return [
        ReplicaState(
            name,
            leaving=False,
            received=None
            if state.reported[index] is None
            else Position(1, state.reported[index]),
            paused=state.reported[index] is not None,
        )
        for index, name in enumerate(REPLICAS)
    ]


def holds_all(state, name):
    return state.received[REPLICAS.index(name)] >= state.acknowledged


class TestLostPrimary:
    def test_the_chosen_replica_has_every_acknowledged_write(self):
        chosen_count = 0
        for state in STATES:
            chosen = choose_successor(replica_states(state), replicated=True)
            if isinstance(chosen, ReplicaState):
                chosen_count += 1
                assert holds_all(state, chosen.name), state
        assert chosen_count > 100

    def test_without_the_wait_for_silent_replicas_a_write_is_lost(self):
        lost = [
            state
            for state in STATES
            if (best := most_advanced(replica_states(state)))
            and not holds_all(state, best.name)
        ]
        assert lost

    def test_without_pausing_a_write_is_lost(self):
        def unpaused(state):
            return [
                replace(
                    replica, received=Position(1, state.received[index]), paused=False
                )
                for index, replica in enumerate(replica_states(state))
            ]

        # The replicas are queried, then another write happens before the promotion.
        lost = [
            state
            for state in STATES
            if not holds_all(write(state), most_advanced(unpaused(state)).name)
        ]
        assert lost

    def test_none_is_chosen_if_there_is_already_a_primary(self):
        replica, other = replica_states(pause(pause(State(), 0), 1))
        assert (
            choose_successor([replace(replica, leads=True), other], True)
            is Obstacle.LED
        )


class TestLeavingPrimary:
    """The candidate continues to receive while the others are paused."""

    def test_an_allowed_candidate_has_every_acknowledged_write(self):
        allowed = 0
        for state in STATES:
            for index, name in enumerate(REPLICAS):
                received = Position(1, state.received[index])
                candidate = ReplicaState(name, False, received)
                others = [
                    replica for replica in replica_states(state) if replica.name != name
                ]
                if takeover_obstacle(candidate, others, replicated=True) is None:
                    allowed += 1
                    assert holds_all(state, name), state
        assert allowed > 100

    def test_without_pausing_the_others_a_write_is_lost(self):
        lost = []
        for state in STATES:
            for index, other in ((0, 1), (1, 0)):
                if state.received[other] <= state.received[index]:
                    after = write(state)
                    lost += [after] * (not holds_all(after, REPLICAS[index]))
        assert lost

    def test_a_candidate_that_gives_no_answer_is_named_as_silent(self):
        candidate = ReplicaState("b", False, None)
        assert takeover_obstacle(candidate, [], True) is Obstacle.SILENT_REPLICA

    @pytest.mark.parametrize("paused", [True, False])
    def test_another_replica_that_received_more_is_an_obstacle(self, paused):
        candidate = ReplicaState("b", False, Position(1, 3))
        other = ReplicaState("c", False, Position(1, 4), paused=paused)
        assert takeover_obstacle(candidate, [other], True) is not None


class TestMostAdvanced:
    def test_of_two_equal_replicas_the_staying_one_is_chosen(self):
        for first, second in combinations(("b", "c"), 2):
            leaving = ReplicaState(first, True, Position(1, 2))
            staying = ReplicaState(second, False, Position(1, 2))
            assert most_advanced([leaving, staying]) is staying

    def test_a_leaving_one_is_chosen_if_it_alone_has_the_last_write(self):
        leaving = ReplicaState("b", True, Position(1, 3))
        staying = ReplicaState("c", False, Position(1, 2))
        assert most_advanced([leaving, staying]) is leaving

    def test_a_later_term_is_ahead_of_any_sequence_number(self):
        old = ReplicaState("b", False, Position(1, 99))
        new = ReplicaState("c", False, Position(2, 1))
        assert most_advanced([old, new]) is new
