"""Who may take over, explored for every order of events in a small group.

The model has a primary and two replicas. Steps are: a write that is acknowledged when
a replica that isn't paused gets it, a replica that falls deaf or hears again, pausing
each replica, resuming, and asking for a successor. Whatever the order, who may take
over has every acknowledged write. Each guard is taken out once, and a loss is found.
"""

from dataclasses import dataclass, replace
from itertools import combinations

import pytest

from lavenderstack.core.position import Position
from lavenderstack.core.replacement import (
    Obstacle,
    ReplicaState,
    choose_successor,
    most_advanced,
    takeover_obstacle,
)
from tests.explore import depth, explore

REPLICAS = ("b", "c")
SHORT_DEPTH = 7


@dataclass(frozen=True)
class State:
    """The group as it is; ``seen`` is what the replacer was told when it paused."""

    last: int = 0
    acked: int = 0
    got: tuple[int, int] = (0, 0)
    paused: tuple[bool, bool] = (False, False)
    deaf: tuple[bool, bool] = (False, False)
    reachable: tuple[bool, bool] = (True, True)
    seen: tuple[int | None, int | None] = (None, None)


def put(pair, at, value):
    return tuple(value if n == at else old for n, old in enumerate(pair))


def write(state):
    last = state.last + 1
    got, acked = state.got, state.acked
    for at in range(2):
        if not state.paused[at] and not state.deaf[at]:
            got, acked = put(got, at, last), last
    return replace(state, last=last, got=got, acked=acked)


def pause(state, at):
    if not state.reachable[at]:
        return replace(state, seen=put(state.seen, at, None))
    return replace(
        state,
        paused=put(state.paused, at, True),
        seen=put(state.seen, at, state.got[at]),
    )


def resume(state, at):
    return replace(
        state,
        paused=put(state.paused, at, False),
        seen=put(state.seen, at, None),
    )


def steps(state):
    yield write(state)
    for at in range(2):
        yield pause(state, at)
        yield resume(state, at)
        yield replace(state, deaf=put(state.deaf, at, not state.deaf[at]))
        yield replace(state, reachable=put(state.reachable, at, False))


STATES = explore(State(), steps, depth(SHORT_DEPTH))


def followers(state):
    return [
        ReplicaState(
            name,
            leaving=False,
            received=None if state.seen[at] is None else Position(1, state.seen[at]),
            paused=state.seen[at] is not None,
        )
        for at, name in enumerate(REPLICAS)
    ]


def holds_all(state, name):
    return state.got[REPLICAS.index(name)] >= state.acked


class TestLostPrimary:
    def test_whoever_takes_over_has_every_acknowledged_write(self):
        taken = 0
        for state in STATES:
            chosen = choose_successor(followers(state), replicated=True)
            if isinstance(chosen, ReplicaState):
                taken += 1
                assert holds_all(state, chosen.name), state
        assert taken > 100

    def test_without_the_wait_for_silent_replicas_a_write_is_lost(self):
        lost = [
            state
            for state in STATES
            if (best := most_advanced(followers(state)))
            and not holds_all(state, best.name)
        ]
        assert lost

    def test_without_pausing_a_write_is_lost(self):
        def unpaused(state):
            return [
                replace(one, received=Position(1, state.got[at]), paused=False)
                for at, one in enumerate(followers(state))
            ]

        # Asked at one moment and promoted after another write.
        lost = [
            state
            for state in STATES
            if not holds_all(write(state), most_advanced(unpaused(state)).name)
        ]
        assert lost

    def test_nobody_is_chosen_where_one_already_leads(self):
        one, other = followers(pause(pause(State(), 0), 1))
        assert choose_successor([replace(one, leads=True), other], True) is Obstacle.LED


class TestLeavingPrimary:
    """The candidate goes on receiving while the others are paused."""

    def test_whoever_may_succeed_has_every_acknowledged_write(self):
        allowed = 0
        for state in STATES:
            for at, name in enumerate(REPLICAS):
                received = Position(1, state.got[at])
                candidate = ReplicaState(name, False, received)
                others = [one for one in followers(state) if one.name != name]
                if takeover_obstacle(candidate, others, replicated=True) is None:
                    allowed += 1
                    assert holds_all(state, name), state
        assert allowed > 100

    def test_without_pausing_the_others_a_write_is_lost(self):
        lost = []
        for state in STATES:
            for at, other in ((0, 1), (1, 0)):
                if state.got[other] <= state.got[at]:
                    after = write(state)
                    lost += [after] * (not holds_all(after, REPLICAS[at]))
        assert lost

    @pytest.mark.parametrize("paused", [True, False])
    def test_an_other_that_received_more_stands_in_the_way(self, paused):
        candidate = ReplicaState("b", False, Position(1, 3))
        other = ReplicaState("c", False, Position(1, 4), paused=paused)
        assert takeover_obstacle(candidate, [other], True) is not None


class TestMostAdvanced:
    def test_of_two_alike_the_one_that_stays_is_taken(self):
        for first, second in combinations(("b", "c"), 2):
            leaving = ReplicaState(first, True, Position(1, 2))
            staying = ReplicaState(second, False, Position(1, 2))
            assert most_advanced([leaving, staying]) is staying

    def test_one_that_leaves_is_taken_if_it_alone_has_the_last_write(self):
        leaving = ReplicaState("b", True, Position(1, 3))
        staying = ReplicaState("c", False, Position(1, 2))
        assert most_advanced([leaving, staying]) is leaving

    def test_a_later_term_is_ahead_of_any_number(self):
        old = ReplicaState("b", False, Position(1, 99))
        new = ReplicaState("c", False, Position(2, 1))
        assert most_advanced([old, new]) is new
