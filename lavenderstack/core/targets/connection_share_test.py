"""Explores all states of a target's connections for three nodes that disagree.

Each node decides alone whether it is the first choice, and entry nodes that disagree
may send work to any node at any time. Steps: a node changes its state of being first
choice; work opens a connection or uses an idle one; work ends; idle connections are
checked; a node dies, and the target still counts its connections for a while; the
target notices. A paused node is one that takes no step. Tests without one of the guards
show that each is needed.
"""

from dataclasses import dataclass, replace
from functools import partial

import pytest

from lavenderstack.core.targets import connection_share
from tests.explore import depth, explore

ALLOWED = 6
SLOTS = 1
NODES = 3
LONG_IDLE_S = 5.0
# Every reachable state is reached within this number of steps.
SHORT_DEPTH = 40


@dataclass(frozen=True)
class Node:
    """The connections of one node, and whether it considers itself the first choice."""

    busy: int = 0
    idle: int = 0
    first_choice: bool = False

    @property
    def open(self):
        return self.busy + self.idle


@dataclass(frozen=True)
class State:
    """The nodes, and the connections of dead ones that the target still counts."""

    nodes: tuple[Node, ...] = (Node(),) * NODES
    dead: int = 0

    @property
    def counted(self):
        return self.dead + sum(node.open for node in self.nodes)


@dataclass(frozen=True)
class Rules:
    """The guards; a test may disable one.

    ``max_connections`` is the limit of every node, None for the limits of the code.
    """

    max_connections: int | None = None
    should_close_idle: bool = True

    def limit(self, first_choice):
        if self.max_connections is not None:
            return self.max_connections
        return connection_share.max_connections(ALLOWED, SLOTS, first_choice)


def with_node(state, index, node):
    nodes = tuple(node if n == index else old for n, old in enumerate(state.nodes))
    return replace(state, nodes=nodes)


def work(state, index, rules):
    """Start a piece of work at a node; the state is unchanged if it is refused."""
    node = state.nodes[index]
    if node.idle:
        return with_node(
            state, index, replace(node, busy=node.busy + 1, idle=node.idle - 1)
        )
    limit = rules.limit(node.first_choice)
    if node.open >= limit or state.counted >= ALLOWED:
        return state
    return with_node(state, index, replace(node, busy=node.busy + 1))


def check_idle(state, index, rules):
    node = state.nodes[index]
    if rules.should_close_idle and connection_share.should_close_idle(
        node.first_choice, LONG_IDLE_S
    ):
        return with_node(state, index, replace(node, idle=0))
    return state


def steps(state, rules):
    if state.dead:
        yield replace(state, dead=0)
    for index, node in enumerate(state.nodes):
        yield with_node(state, index, replace(node, first_choice=not node.first_choice))
        yield work(state, index, rules)
        yield check_idle(state, index, rules)
        if node.busy:
            ended = replace(node, busy=node.busy - 1, idle=node.idle + 1)
            yield with_node(state, index, ended)
        if node.open:
            without_node = with_node(state, index, Node())
            yield replace(without_node, dead=state.dead + node.open)


def reachable(rules):
    return explore(State(), partial(steps, rules=rules), depth(SHORT_DEPTH))


def settled(state, rules, owner):
    """Return the state after all agree on the owner and all running work has ended."""
    for index, node in enumerate(state.nodes):
        ended = Node(0, node.open, first_choice=index == owner)
        state = check_idle(with_node(state, index, ended), index, rules)
    return replace(state, dead=0)


def filled(state, rules, owner):
    """Return how many pieces of work the owner can run at once."""
    for _ in range(ALLOWED + 1):
        state = work(state, owner, rules)
    return state.nodes[owner].busy


def starved(states, rules):
    """Return states where a node without connections is refused its first one.

    Only one other node has connections in these states.
    """
    return [
        state
        for state in states
        for index, node in enumerate(state.nodes)
        if not node.open
        and not state.dead
        and sum(bool(other.open) for other in state.nodes) == 1
        and work(state, index, rules) == state
    ]


def blocked(states, rules):
    """Return states from which the agreed owner gets less than its share."""
    return [
        state
        for state in states
        for owner in range(NODES)
        if filled(settled(state, rules, owner), rules, owner) < rules.limit(True)
    ]


RULES = Rules()
STATES = reachable(RULES)


class TestConnectionShare:
    def test_many_states_are_reachable(self):
        assert len(STATES) > 1000

    def test_the_target_never_exceeds_its_limit(self):
        assert all(state.counted <= ALLOWED for state in STATES)

    def test_a_new_holder_gets_some_while_the_previous_keeps_its_own(self):
        assert starved(STATES, RULES) == []

    def test_once_all_agree_the_owner_gets_its_full_share(self):
        assert blocked(STATES, RULES) == []

    def test_without_a_share_for_the_next_holder_it_gets_none(self):
        rules = Rules(max_connections=ALLOWED)
        assert starved(reachable(rules), rules)

    def test_without_closing_idle_ones_the_owner_gets_too_little(self):
        rules = Rules(should_close_idle=False)
        assert blocked(reachable(rules), rules)


# Connections and slots of a target on all deployments of the users' pages.
TARGETS = [(21, 3), (33, 5), (38, 3), (69, 5), (82, 6), (180, 5), (258, 5)]


class TestMaxConnections:
    @pytest.mark.parametrize("allowed", range(1, 400))
    @pytest.mark.parametrize("first_choice", [False, True])
    def test_one_holder_leaves_some_for_the_next(self, allowed, first_choice):
        limit = connection_share.max_connections(allowed, 5, first_choice)
        assert 1 <= limit <= allowed
        assert allowed < 2 or limit < allowed

    @pytest.mark.parametrize(("allowed", "slots"), TARGETS)
    def test_all_slots_can_be_used_after_all_holders_lost_power(self, allowed, slots):
        """Connections of nodes without power count at a target for 3 s.

        Found on cbwca-pool trouble-2: 13 of the first choice and 8 of the nodes that
        serve second tries filled a target; 2,299 connections were refused in 2 s.
        """
        first = connection_share.max_connections(allowed, slots, first_choice=True)
        other = connection_share.max_connections(allowed, slots, first_choice=False)
        assert allowed - first - 2 * other >= slots

    @pytest.mark.parametrize(("allowed", "slots"), TARGETS)
    def test_each_node_can_use_all_slots(self, allowed, slots):
        for first_choice in (False, True):
            limit = connection_share.max_connections(allowed, slots, first_choice)
            assert limit >= slots

    @pytest.mark.parametrize(("allowed", "slots"), TARGETS)
    def test_two_nodes_that_both_believe_to_be_first_fit(self, allowed, slots):
        first = connection_share.max_connections(allowed, slots, first_choice=True)
        assert 2 * first <= allowed


class TestSettledFirstChoice:
    """Guards against two nodes that leave each other no connections."""

    def settled_after(self, seconds, proof_age_s=0.5, state=None, start=100.0):
        state = state or connection_share.SettledFirstChoice()
        for step in range(int(seconds * 4) + 1):
            state.update(True, proof_age_s, start + step / 4)
        return state

    @pytest.mark.parametrize(("allowed", "slots"), [(58, 5), (70, 4), *TARGETS])
    def test_a_successor_gets_a_connection_for_each_slot_at_once(self, allowed, slots):
        """Also while two nodes serve second tries and the former holder is dead."""
        settled = connection_share.max_settled_connections(allowed, slots)
        other = connection_share.max_connections(allowed, slots, first_choice=False)
        assert allowed - settled - 2 * other >= slots
        assert settled >= connection_share.max_connections(allowed, slots, True)

    def test_a_new_first_choice_waits_until_its_predecessor_has_given_back(self):
        assert not self.settled_after(connection_share.SETTLED_S - 0.5).settled
        assert self.settled_after(connection_share.SETTLED_S).settled

    def test_a_node_with_an_old_view_never_becomes_settled(self):
        assert not self.settled_after(60.0, proof_age_s=3.0).settled

    @pytest.mark.parametrize(
        ("first_choice", "proof_age_s", "gap_s"),
        [(False, 0.5, 0.25), (True, 5.0, 0.25), (True, 0.5, 3.0)],
        ids=["no longer first", "no proof", "frozen"],
    )
    def test_what_it_may_no_longer_prove_is_given_back_at_once(
        self, first_choice, proof_age_s, gap_s
    ):
        state = self.settled_after(10.0)
        assert not state.update(first_choice, proof_age_s, 110.0 + gap_s)
        assert not state.update(True, 0.5, 110.5 + gap_s)

    def test_a_refusal_shows_that_another_node_has_connections(self):
        state = self.settled_after(10.0)
        state.record_refusal(110.0)
        assert not state.update(True, 0.5, 110.25)
        assert self.settled_after(5.0, state=state, start=110.25).settled
