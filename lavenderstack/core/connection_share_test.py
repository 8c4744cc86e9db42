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

from lavenderstack.core import connection_share
from tests.explore import depth, explore

ALLOWED = 4
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
    """The guards; a test may disable one."""

    max_connections: int = connection_share.max_connections(ALLOWED)
    should_close_idle: bool = True


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
    if node.open >= rules.max_connections or state.counted >= ALLOWED:
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
        if filled(settled(state, rules, owner), rules, owner) < rules.max_connections
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


class TestMaxConnections:
    @pytest.mark.parametrize("allowed", range(1, 400))
    def test_one_holder_leaves_some_for_the_next(self, allowed):
        max_connections = connection_share.max_connections(allowed)
        assert 1 <= max_connections <= allowed
        assert allowed < 2 or max_connections < allowed
