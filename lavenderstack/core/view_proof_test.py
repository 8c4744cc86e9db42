"""Explores small schedules for requests sent after their key was withdrawn.

Time runs in ticks. The operator withdraws the key at one of them. Answers of the store
may be late, lost, or overtaken by others, and the node may be paused between question
and answer. In every schedule, nothing is sent later than the limit allows.
"""

from itertools import product

import pytest

from lavenderstack.core.view_proof import MARGIN_S, ViewProof
from tests.explore import depth

LIMIT_S = 5.0
CATALOG_LIMIT_S = 3.0
TICK_S = 0.5
TICKS = 16
SHORT_DEPTH = 7


def last_sent(
    withdrawn_at,
    questions,
    counts_from,
    holds=ViewProof.holds,
    is_store_answering=lambda now: False,
):
    """Run a schedule; return the last moment at which a request with the key is sent.

    ``questions`` are pairs of ticks, asked and answered. The store answers with its
    state when the question arrives; ``counts_from`` gives the time from which the proof
    counts. ``holds`` is the check before a request is sent. The store answers other
    calls whenever ``is_store_answering``.
    """
    proof = ViewProof(LIMIT_S, CATALOG_LIMIT_S)
    knows_withdrawal = False
    proof.prove(0.0)
    last = 0.0
    for tick in range(TICKS):
        now = tick * TICK_S
        for asked, answered in questions:
            if answered == tick:
                knows_withdrawal = knows_withdrawal or asked * TICK_S >= withdrawn_at
                proof.prove(counts_from(asked * TICK_S, now))
        if is_store_answering(now):
            proof.record_store_answer(now)
        if not knows_withdrawal and holds(proof, now):
            last = now
    return last


# Every second or third tick by default, every tick when a greater depth is requested.
STRIDE = 2 if depth(SHORT_DEPTH) == SHORT_DEPTH else 1
SCHEDULES = [
    ((a, a + delay_a), (b, b + delay_b))
    for a, delay_a, b, delay_b in product(
        range(0, 14, STRIDE),
        (0, 1, 5, 9),
        range(1, 14, 2 * STRIDE - 1),
        (0, 6),
    )
]


class TestWithdrawnKey:
    @pytest.mark.parametrize("withdrawn_at", [0.5, 2.0, 4.5, 6.0])
    def test_a_withdrawn_key_never_works_longer_than_the_limit(self, withdrawn_at):
        for questions in SCHEDULES:
            last = last_sent(withdrawn_at, questions, lambda asked, _: asked)
            assert last <= withdrawn_at + LIMIT_S - MARGIN_S, questions

    def test_counting_from_the_answer_would_exceed_the_limit(self):
        worst = max(
            last_sent(2.0, questions, lambda _, answered: answered)
            for questions in SCHEDULES
        )
        assert worst > 2.0 + LIMIT_S - MARGIN_S

    def test_an_older_proof_never_replaces_a_newer_one(self):
        proof = ViewProof(LIMIT_S)
        proof.prove(9.0)
        proof.prove(3.0)
        assert proof.age_s(10.0) == 1.0

    def test_does_not_hold_before_any_proof(self):
        assert not ViewProof(LIMIT_S).holds(0.0)


class TestCatalog:
    """A route is removed in place of a key; it is used by requests without one too."""

    @pytest.mark.parametrize("removed_at", [0.5, 2.0, 4.5, 6.0])
    def test_a_removed_route_ends_in_time_while_the_store_answers(self, removed_at):
        for questions in SCHEDULES:
            last = last_sent(
                removed_at,
                questions,
                lambda asked, _: asked,
                ViewProof.catalog_holds,
                is_store_answering=lambda now: True,
            )
            assert last <= removed_at + CATALOG_LIMIT_S, questions

    @pytest.mark.parametrize("removed_at", [0.5, 2.0, 4.5, 6.0])
    def test_a_removed_route_ends_with_the_limit_of_keys_otherwise(self, removed_at):
        for questions in SCHEDULES:
            last = last_sent(
                removed_at, questions, lambda asked, _: asked, ViewProof.catalog_holds
            )
            assert last <= removed_at + LIMIT_S - MARGIN_S, questions

    def test_a_store_that_went_away_ends_nothing_before_the_limit_of_keys(self):
        proof = ViewProof(LIMIT_S, CATALOG_LIMIT_S, at=0.0)
        proof.record_store_answer(CATALOG_LIMIT_S - MARGIN_S)
        assert proof.catalog_holds(LIMIT_S - MARGIN_S)

    def test_a_limit_longer_than_that_of_keys_counts_for_the_catalog(self):
        proof = ViewProof(LIMIT_S, catalog_limit_s=6.0, at=0.0)
        assert (proof.holds(5.5), proof.catalog_holds(5.5)) == (False, True)
        assert not proof.catalog_holds(6.0)
