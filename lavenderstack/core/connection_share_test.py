"""Who holds the connections of a target, explored for three nodes that disagree.

Each node believes by itself whether it is the first choice, and entries with other
beliefs may ask any node for work at any time. Steps are: a belief that changes, work
that opens a connection or uses an idle one, work that ends, a look at idle ones, a node
that dies, whose connections the target still counts for a while, and the target
noticing that. A paused node is one that takes no step. Without each guard a fault is
found.
"""

from dataclasses import dataclass, replace
from functools import partial

import pytest

from lavenderstack.core import connection_share
from tests.explore import depth, explore

ALLOWED = 4
NODES = 3
LONG_IDLE_S = 5.0
# Within this many steps every state that can be reached is.
SHORT_DEPTH = 40


@dataclass(frozen=True)
class Node:
    """What one node has open, and whether it takes itself for the first choice."""

    busy: int = 0
    idle: int = 0
    first: bool = False

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
    """The guards; each may be taken out."""

    most: int = connection_share.max_connections(ALLOWED)
    should_close_idle: bool = True


def put(state, at, node):
    nodes = tuple(node if n == at else old for n, old in enumerate(state.nodes))
    return replace(state, nodes=nodes)


def work(state, at, rules):
    """Start a piece of work at a node; the state remains if it is refused."""
    node = state.nodes[at]
    if node.idle:
        return put(state, at, replace(node, busy=node.busy + 1, idle=node.idle - 1))
    if node.open >= rules.most or state.counted >= ALLOWED:
        return state
    return put(state, at, replace(node, busy=node.busy + 1))


def look(state, at, rules):
    node = state.nodes[at]
    if rules.should_close_idle and connection_share.should_close_idle(
        node.first, LONG_IDLE_S
    ):
        return put(state, at, replace(node, idle=0))
    return state


def steps(state, rules):
    if state.dead:
        yield replace(state, dead=0)
    for at, node in enumerate(state.nodes):
        yield put(state, at, replace(node, first=not node.first))
        yield work(state, at, rules)
        yield look(state, at, rules)
        if node.busy:
            ended = replace(node, busy=node.busy - 1, idle=node.idle + 1)
            yield put(state, at, ended)
        if node.open:
            gone = put(state, at, Node())
            yield replace(gone, dead=state.dead + node.open)


def reachable(rules):
    return explore(State(), partial(steps, rules=rules), depth(SHORT_DEPTH))


def settled(state, rules, owner):
    """Return the state once all agree on the owner and what was under way has ended."""
    for at, node in enumerate(state.nodes):
        ended = Node(0, node.open, first=at == owner)
        state = look(put(state, at, ended), at, rules)
    return replace(state, dead=0)


def filled(state, rules, owner):
    """Return how many pieces of work the owner can run at once."""
    for _ in range(ALLOWED + 1):
        state = work(state, owner, rules)
    return state.nodes[owner].busy


def starved(states, rules):
    """Return states in which a node can open nothing though one other alone holds."""
    return [
        state
        for state in states
        for at, node in enumerate(state.nodes)
        if not node.open
        and not state.dead
        and sum(bool(other.open) for other in state.nodes) == 1
        and work(state, at, rules) == state
    ]


def blocked(states, rules):
    """Return states after which an agreed owner gets less than it may have."""
    return [
        state
        for state in states
        for owner in range(NODES)
        if filled(settled(state, rules, owner), rules, owner) < rules.most
    ]


RULES = Rules()
STATES = reachable(RULES)


class TestOwnership:
    def test_all_states_are_seen(self):
        assert len(STATES) > 1000

    def test_the_target_never_has_more_than_it_allows(self):
        assert all(state.counted <= ALLOWED for state in STATES)

    def test_a_new_holder_gets_some_while_the_one_before_keeps_its_own(self):
        assert starved(STATES, RULES) == []

    def test_once_all_agree_the_owner_gets_all_that_it_may_have(self):
        assert blocked(STATES, RULES) == []

    def test_without_a_part_for_the_next_holder_it_gets_none(self):
        rules = Rules(most=ALLOWED)
        assert starved(reachable(rules), rules)

    def test_without_letting_go_the_owner_gets_too_little(self):
        rules = Rules(should_close_idle=False)
        assert blocked(reachable(rules), rules)


class TestMost:
    @pytest.mark.parametrize("allowed", range(1, 400))
    def test_one_holder_leaves_the_next_some(self, allowed):
        most = connection_share.max_connections(allowed)
        assert 1 <= most <= allowed
        assert allowed < 2 or most < allowed
