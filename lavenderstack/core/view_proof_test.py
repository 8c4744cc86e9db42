"""Until when a key may be believed, explored for small schedules.

Time runs in ticks. The operator withdraws the key at one of them; questions to the
store may be answered late, lost, or overtaken; the node may be frozen between asking
and hearing. Whatever the schedule, nothing is sent later than the bound allows.
"""

from itertools import product

import pytest

from lavenderstack.core.view_proof import MARGIN_S, ViewProof
from tests.explore import depth

LIMIT_S = 5.0
TICK_S = 0.5
TICKS = 16
SHORT_DEPTH = 7


def last_sent(withdrawn_at, questions, counts_from):
    """Play a schedule; return the last moment at which keyed work is sent.

    ``questions`` are pairs of ticks, asked and answered. The store answers with what it
    knows when the question arrives; ``counts_from`` tells what the proof counts from.
    """
    proof = ViewProof(LIMIT_S)
    knows = False
    proof.prove(0.0)
    last = 0.0
    for tick in range(TICKS):
        now = tick * TICK_S
        for asked, answered in questions:
            if answered == tick:
                knows = knows or asked * TICK_S >= withdrawn_at
                proof.prove(counts_from(asked * TICK_S, now))
        if not knows and proof.holds(now):
            last = now
    return last


# Every second and third moment by itself, every one when asked for more steps.
EVERY = 2 if depth(SHORT_DEPTH) == SHORT_DEPTH else 1
SCHEDULES = [
    ((a, a + da), (b, b + db))
    for a, da, b, db in product(
        range(0, 14, EVERY),
        (0, 1, 5, 9),
        range(1, 14, 2 * EVERY - 1),
        (0, 6),
    )
]


class TestWithdrawnKey:
    @pytest.mark.parametrize("withdrawn_at", [0.5, 2.0, 4.5, 6.0])
    def test_it_never_works_for_longer_than_the_limit(self, withdrawn_at):
        for questions in SCHEDULES:
            last = last_sent(withdrawn_at, questions, lambda asked, _: asked)
            assert last <= withdrawn_at + LIMIT_S - MARGIN_S, questions

    def test_counted_from_the_answer_it_would(self):
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

    def test_before_any_proof_nothing_holds(self):
        assert not ViewProof(LIMIT_S).holds(0.0)
