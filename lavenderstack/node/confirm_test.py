"""Tests of the confirmer with fake targets."""

import asyncio

import pytest

from lavenderstack.core import clock
from lavenderstack.core.failover.evidence import PRIMARY, Observation
from lavenderstack.core.outcome import Refused, Unknown
from lavenderstack.core.position import Position
from lavenderstack.node.confirm import running_confirmer

NAMES = ["a", "b", "c"]
WRITTEN = Position(2, 7)


class FakeTargets:
    """Targets with a term and a log position each; ``silent`` ones don't answer."""

    def __init__(self, **states):
        self.states = {"a": (2, 7), "b": (2, 7), "c": (2, 7), **states}
        self.silent = set()
        self.running = dict.fromkeys(NAMES, 0)
        self.max_running = 0
        self.questions = 0

    async def ask(self, name):
        self.questions += 1
        self.running[name] += 1
        self.max_running = max(self.max_running, self.running[name])
        try:
            await asyncio.sleep(30 if name in self.silent else 0.001)
        finally:
            self.running[name] -= 1
        term, seq = self.states[name]
        role = PRIMARY if name == "a" else "replica"
        return Observation(name, term, Position(term, seq), 1e12, role, "a")


def deadline_in(seconds=0.15):
    return clock.now() + seconds


class TestWrites:
    @pytest.mark.parametrize(
        ("states", "silent", "holders"),
        [
            ({}, "", {"a", "b", "c"}),
            ({"c": (2, 6)}, "", {"a", "b"}),
            ({"c": (3, 9)}, "", {"a", "b"}),
            ({}, "c", {"a", "b"}),
            ({}, "a", {"b", "c"}),
        ],
    )
    async def test_write_stored_by_a_majority_is_acknowledged(
        self, states, silent, holders
    ):
        targets = FakeTargets(**states)
        targets.silent = set(silent)
        async with running_confirmer(NAMES, targets.ask) as confirmer:
            found = await confirmer.confirm_write(WRITTEN, deadline_in(5))
            assert len(found) >= 2
            assert set(found) <= holders

    @pytest.mark.parametrize(
        ("states", "silent", "detail"),
        [
            ({"b": (2, 6), "c": (2, 6)}, "", "no proof in time"),
            ({}, "bc", "no proof in time"),
            ({"b": (3, 1), "c": (3, 1)}, "", "the primary was replaced"),
        ],
    )
    async def test_write_without_proof_has_an_unknown_outcome(
        self, states, silent, detail
    ):
        targets = FakeTargets(**states)
        targets.silent = set(silent)
        async with running_confirmer(NAMES, targets.ask) as confirmer:
            with pytest.raises(Unknown) as caught:
                await confirmer.confirm_write(
                    WRITTEN, deadline_in(0.15 if "no" in detail else 5)
                )
            assert caught.value.detail == detail

    async def test_an_answer_to_an_earlier_question_does_not_count(self):
        targets = FakeTargets()
        async with running_confirmer(NAMES, targets.ask) as confirmer:
            for name in NAMES:
                confirmer.add_observation(
                    Observation(name, 2, WRITTEN, clock.now() - 0.001)
                )
            targets.silent = set(NAMES)
            with pytest.raises(Unknown):
                await confirmer.confirm_write(WRITTEN, deadline_in())

    async def test_a_replica_that_catches_up_is_asked_again(self):
        targets = FakeTargets(b=(2, 1), c=(2, 1))
        async with running_confirmer(NAMES, targets.ask) as confirmer:
            waiting = asyncio.create_task(
                confirmer.confirm_write(WRITTEN, deadline_in(5))
            )
            await asyncio.sleep(0.02)
            targets.states["b"] = (2, 8)
            assert set(await waiting) == {"a", "b"}

    async def test_many_writes_share_the_questions(self):
        targets = FakeTargets()
        async with running_confirmer(NAMES, targets.ask) as confirmer:
            writes = [
                confirmer.confirm_write(WRITTEN, deadline_in(5)) for _ in range(200)
            ]
            await asyncio.gather(*writes)
            assert targets.max_running == 1
            assert targets.questions < 20
            asked = targets.questions
            await asyncio.sleep(0.05)
            assert targets.questions <= asked + len(NAMES)


class TestReads:
    async def test_a_term_is_confirmed_whatever_the_positions(self):
        targets = FakeTargets(b=(2, 1), c=(2, 1))
        async with running_confirmer(NAMES, targets.ask) as confirmer:
            await confirmer.confirm_term(2, clock.now(), deadline_in(5))

    @pytest.mark.parametrize("states", [{"b": (3, 1), "c": (3, 1)}, {"b": (1, 1)}])
    async def test_a_term_that_does_not_hold_is_refused(self, states):
        targets = FakeTargets(**states)
        targets.silent = {"c"} if len(states) == 1 else set()
        async with running_confirmer(NAMES, targets.ask) as confirmer:
            with pytest.raises(Refused):
                await confirmer.confirm_term(2, clock.now(), deadline_in())

    async def test_an_age_is_proved_only_for_data_that_reaches_the_primary(self):
        targets = FakeTargets(b=(2, 5), c=(2, 7))
        async with running_confirmer(NAMES, targets.ask) as confirmer:
            assert await confirmer.confirm_age(WRITTEN, 5.0, deadline_in(5)) <= 5.0
            with pytest.raises(Refused):
                await confirmer.confirm_age(Position(2, 5), 5.0, deadline_in())
