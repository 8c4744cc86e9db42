"""Tests of eras of the store, and an exploration of ownership across restores.

The model has two nodes, one group and a store that may be restored from a copy. Steps:
some time passes; the store is copied; it is restored; a node renews its lease; a node
claims the group. A node acts while its lease is valid by its own clock. In every state
at most one node may act, and no epoch was given twice. Tests without one of the guards
show that one of the two is broken then.
"""

from dataclasses import dataclass, replace
from functools import cache

import pytest

from lavenderstack.core.store_era import (
    CLAIM_HOLD_S,
    READ_HOLD_S,
    EraNews,
    StoreEra,
)
from lavenderstack.core.store_position import store_position
from tests.explore import depth, explore

SHORT_DEPTH = 8
LEASE_S = 3.0
TICK_S = 1.5
MAX_RESTORES = 2


class TestObserving:
    def test_first_answer_sets_the_era(self):
        era = StoreEra()
        assert era.observe(4, 10.0) is EraNews.SAME
        assert (era.number, era.restores) == (4, 0)

    def test_newer_era_is_news_once_and_older_answers_stay_older(self):
        era = StoreEra()
        era.observe(4, 10.0)
        assert era.observe(5, 20.0) is EraNews.NEWER
        assert era.observe(5, 20.1) is EraNews.SAME
        assert era.observe(4, 20.2) is EraNews.OLDER
        assert (era.number, era.restores) == (5, 1)

    def test_store_that_was_never_restored_is_settled(self):
        era = StoreEra()
        era.observe(0, 10.0)
        assert era.read_wait_s(10.0) == era.claim_wait_s(10.0) == 0.0


class TestWaiting:
    def test_waits_count_from_the_first_answer_of_the_era(self):
        era = StoreEra()
        era.observe(1, 0.0)
        era.settle(1)
        era.observe(2, 100.0)
        era.observe(2, 101.0)
        assert era.read_wait_s(101.0) == pytest.approx(READ_HOLD_S - 1.0)
        assert era.claim_wait_s(101.0) == pytest.approx(CLAIM_HOLD_S - 1.0)
        assert era.claim_wait_s(200.0) == 0.0

    def test_second_restore_starts_the_waits_again(self):
        era = StoreEra()
        era.observe(1, 0.0)
        era.observe(2, 100.0)
        era.observe(3, 102.0)
        assert era.claim_wait_s(102.0) == CLAIM_HOLD_S

    def test_record_of_the_same_era_ends_the_waits(self):
        era = StoreEra()
        era.observe(7, 0.0)
        era.settle(7)
        assert era.read_wait_s(0.0) == era.claim_wait_s(0.0) == 0.0

    def test_record_that_came_with_the_copy_ends_nothing(self):
        era = StoreEra()
        era.observe(7, 0.0)
        era.settle(6)
        assert era.claim_wait_s(0.0) == CLAIM_HOLD_S


@dataclass(frozen=True)
class Record:
    """The recorded owner; the store removes it when its lease ends."""

    node: int
    era: int
    lease_until: float


@dataclass(frozen=True)
class Node:
    """A node's view; it holds a lease of era ``lease_era`` until ``lease_until``."""

    era: int | None = None
    seen_at: float = 0.0
    lease_era: int = -1
    lease_until: float = -1.0
    epoch: int | None = None


@dataclass(frozen=True)
class State:
    """The store, its copy and both nodes; ``epochs`` are those given so far."""

    now: float = 0.0
    era: int = 0
    revision: int = 1
    record: Record | None = None
    copy: tuple[int, Record | None] = (1, None)
    nodes: tuple[Node, Node] = (Node(), Node())
    epochs: tuple[int, ...] = ()


@dataclass(frozen=True)
class Guards:
    """Which guards are in place."""

    hold: bool = True
    stop_on_sight: bool = True
    era_in_epoch: bool = True


def with_node(state, index, node):
    nodes = tuple(node if n == index else old for n, old in enumerate(state.nodes))
    return replace(state, nodes=nodes)


def observed(node, era, now, guards):
    """Return the node after an answer of the store; as ``StoreEra.observe``."""
    known = StoreEra(node.era, node.seen_at, settled=node.era == 0)
    if known.observe(era, now) is EraNews.NEWER and guards.stop_on_sight:
        node = replace(node, lease_until=-1.0, epoch=None)
    return replace(node, era=known.number, seen_at=known.seen_at)


def look(state, index, guards):
    """Return the state after a call that renews no lease, such as a watch."""
    return with_node(
        state, index, observed(state.nodes[index], state.era, state.now, guards)
    )


def renew(state, index, guards):
    node = observed(state.nodes[index], state.era, state.now, guards)
    record = state.record
    if node.lease_era != state.era or node.lease_until <= state.now:
        node = replace(node, epoch=None, lease_era=state.era)
    until = state.now + LEASE_S
    node = replace(node, lease_until=until)
    if record and (record.node, record.era) == (index, state.era):
        record = replace(record, lease_until=until)
    return with_node(replace(state, record=record), index, node)


def claim(state, index, guards):
    node = state.nodes[index]
    if node.era != state.era or node.lease_era != state.era:
        return state
    hold = StoreEra(node.era, node.seen_at, settled=node.era == 0)
    waits = guards.hold and hold.claim_wait_s(state.now) > 0
    if waits or node.lease_until <= state.now:
        return state
    record = state.record
    if record and record.era == state.era and record.lease_until > state.now:
        return state
    revision = state.revision + 1
    epoch = store_position(state.era if guards.era_in_epoch else 0, revision)
    node = replace(node, epoch=epoch)
    return replace(
        with_node(state, index, node),
        revision=revision,
        record=Record(index, state.era, node.lease_until),
        epochs=(*state.epochs, epoch),
    )


def restore(state):
    revision, record = state.copy
    return replace(state, era=state.era + 1, revision=revision, record=record)


def steps_with(guards):
    def steps(state):
        yield replace(state, now=state.now + TICK_S)
        yield replace(state, copy=(state.revision, state.record))
        if state.era < MAX_RESTORES:
            yield restore(state)
        for index in range(2):
            yield look(state, index, guards)
            yield renew(state, index, guards)
            yield claim(state, index, guards)

    return steps


def acting(state):
    return [
        node
        for node in state.nodes
        if node.epoch is not None and state.now < node.lease_until
    ]


@cache
def explored(guards):
    return explore(State(), steps_with(guards), depth(SHORT_DEPTH))


class TestOwnershipAcrossRestores:
    def test_at_most_one_node_acts_and_no_epoch_repeats(self):
        states = explored(Guards())
        taken_over = 0
        for state in states:
            assert len(acting(state)) <= 1, state
            assert len(set(state.epochs)) == len(state.epochs), state
            assert list(state.epochs) == sorted(state.epochs), state
            taken_over += state.era > 0 and bool(acting(state))
        assert taken_over > 10

    def test_without_the_wait_two_nodes_act(self):
        assert any(len(acting(s)) > 1 for s in explored(Guards(hold=False)))

    def test_without_the_stop_on_sight_a_node_acts_without_a_record(self):
        states = explored(Guards(stop_on_sight=False))
        assert any(
            node.era == state.era and node.lease_era != state.era
            for state in states
            for node in acting(state)
        )
        for state in explored(Guards()):
            for node in acting(state):
                assert node.era != state.era or node.lease_era == state.era

    def test_without_the_era_in_the_epoch_one_is_given_twice(self):
        states = explored(Guards(era_in_epoch=False))
        assert any(len(set(s.epochs)) < len(s.epochs) for s in states)
