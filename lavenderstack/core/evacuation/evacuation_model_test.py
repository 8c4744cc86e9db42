"""Explores evacuate, return, partition, lost targets and promote in any order.

The model has the store's request for one zone, a node that follows the store, and a
group with the primary in the zone, another replica in it and one outside. Time passes
in steps of a second; the model's limit is 3 s. In every state nothing may be sent later
than the limit after the acknowledgement, no promotion leads into a zone that the owner
knows to be evacuated, and no acknowledged commit is lost.
"""

from dataclasses import dataclass, replace

from lavenderstack.core.evacuation import evacuation
from lavenderstack.core.evacuation.evacuation import Use
from lavenderstack.core.evacuation.evacuation_routing import is_proof_recent
from lavenderstack.core.evacuation.evacuations import Evacuations
from lavenderstack.core.failover.replacement import (
    ReplicaState,
    choose_successor,
    most_advanced,
    takeover_obstacle,
)
from lavenderstack.core.position import Position
from tests.explore import depth, explore

LIMIT_S = 3.0
MAX_S = 6
MAX_REVISION = 4
STEPS = 8
# The first two targets are in the zone, the third is outside.
NAMES = ("a1", "a2", "b")
OUTSIDE = 2


@dataclass(frozen=True)
class State:
    """``requested`` is when the present request was acknowledged.

    ``known`` is the node's evacuation, ``proved_at`` the time of its proof.
    ``received`` is what each target has; ``into`` tells that a promotion led into the
    zone while the node knew it to be evacuated.
    """

    now: int = 0
    revision: int = 0
    requested: int | None = None
    known: evacuation.Evacuation | None = None
    withdrawn_at: int = 0
    proved_at: int = 0
    partitioned: bool = False
    primary: int = 0
    primary_lost: bool = False
    received: tuple[int, ...] = (0, 0, 0)
    deaf: bool = False
    acknowledged: int = 0
    into: bool = False


def knowledge(state):
    in_force = {"a": state.known} if state.known else {}
    return Evacuations(in_force, {"a": state.withdrawn_at})


def sync(state):
    """Apply the store's answer, then prove the view, as the loader does."""
    known = knowledge(state)
    if state.requested is None:
        known.drop("a", state.revision)
    else:
        known.put("a", state.revision, float(state.now), float(state.proved_at))
    return replace(
        state,
        known=known.in_force.get("a"),
        withdrawn_at=known.withdrawn_at.get("a", 0),
        proved_at=state.now,
    )


def may_send(state, use):
    age_s = state.now - state.proved_at
    if not is_proof_recent(age_s, LIMIT_S):
        return False
    return evacuation.may_send(state.known, use, float(state.now), LIMIT_S)


def commit(state):
    """Append a commit at the primary; all replicas but a deaf one outside get it."""
    number = state.received[state.primary] + 1
    deaf = OUTSIDE if state.deaf and state.primary != OUTSIDE else None
    received = tuple(
        have if index == deaf else number for index, have in enumerate(state.received)
    )
    return replace(state, received=received, acknowledged=number)


def replicas(state):
    """Return the replicas' answers to PAUSE."""
    return [
        ReplicaState(
            name,
            False,
            Position(1, state.received[index]),
            paused=True,
            evacuated=index != OUTSIDE and state.known is not None,
        )
        for index, name in enumerate(NAMES)
        if index != state.primary
    ]


def promote(state, choose):
    chosen = choose(state)
    if not isinstance(chosen, ReplicaState):
        return state
    index = NAMES.index(chosen.name)
    end = state.received[index]
    received = tuple(min(have, end) for have in state.received)
    return replace(
        state,
        primary=index,
        primary_lost=False,
        received=received,
        into=state.into or chosen.evacuated,
    )


def choose(state):
    """Choose as the owner does: a lost primary, or one of an evacuated zone."""
    found = replicas(state)
    if state.primary_lost:
        return choose_successor(found, replicated=True)
    if state.known is None or state.primary == OUTSIDE:
        return None
    candidate = most_advanced([one for one in found if not one.evacuated])
    others = [one for one in found if one is not candidate]
    if candidate is None or takeover_obstacle(candidate, others, replicated=True):
        return None
    if candidate.received.seq < state.received[state.primary]:
        return None
    return candidate


def steps_with(choose):
    def steps(state):
        if state.now < MAX_S:
            yield replace(state, now=state.now + 1)
        if state.revision < MAX_REVISION:
            yield replace(state, requested=state.now, revision=state.revision + 1)
            yield replace(state, requested=None, revision=state.revision + 1)
        yield replace(state, partitioned=not state.partitioned)
        yield replace(state, deaf=not state.deaf)
        if not state.partitioned:
            yield sync(state)
        if state.primary_lost:
            yield replace(state, primary_lost=False)
        else:
            yield replace(state, primary_lost=True)
            if state.acknowledged < 2:
                yield commit(state)
        yield promote(state, choose)

    return steps


def explored(choose=choose):
    return explore(State(), steps_with(choose), depth(STEPS))


def is_late(state, may_send):
    """Return whether a statement for the zone is sent after the limit."""
    if state.requested is None or state.now <= state.requested + LIMIT_S:
        return False
    return any(may_send(state, use) for use in Use)


def is_lost(state):
    return state.received[state.primary] < state.acknowledged


def choose_anywhere(state):
    return most_advanced(replicas(state))


class TestModel:
    def test_nothing_is_late_lost_or_led_back_in(self):
        states = explored()
        assert len(states) > 10_000
        assert sum(state.known is not None for state in states) > 1_000
        assert any(state.primary == OUTSIDE for state in states)
        for state in states:
            assert not is_late(state, may_send), state
            assert not is_lost(state), state
            assert not state.into, state

    def test_without_the_rule_on_proofs_a_statement_is_late(self):
        def unproved(state, use):
            now = float(state.now)
            return evacuation.may_send(state.known, use, now, LIMIT_S)

        assert any(is_late(state, unproved) for state in explored())

    def test_without_the_rule_on_zones_a_promotion_leads_back_in(self):
        assert any(state.into for state in explored(choose_anywhere))
