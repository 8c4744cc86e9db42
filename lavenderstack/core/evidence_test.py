"""Tests of the rules of proof, one by one; their interplay is in safety_test."""

import pytest

from lavenderstack.core.evidence import GroupEvidence, Observation, newer
from lavenderstack.core.position import Position

W = Position(2, 7)


def seen(target, term, last, asked_at, role=""):
    return Observation(target, term, Position(*last), asked_at, role)


def evidence(*observations):
    made = GroupEvidence(["a", "b", "c"])
    for observation in observations:
        made.add_observation(observation)
    return made


class TestConfirmed:
    @pytest.mark.parametrize(
        ("case", "answers", "holders"),
        [
            ("both after", [("a", 2, (2, 7), 5), ("b", 2, (2, 8), 5)], ["a", "b"]),
            ("one is no majority", [("a", 2, (2, 9), 5)], None),
            ("asked before", [("a", 2, (2, 7), 4), ("b", 2, (2, 7), 5)], None),
            ("replica behind", [("a", 2, (2, 7), 5), ("b", 2, (2, 6), 5)], None),
            ("dead branch", [("a", 2, (2, 7), 5), ("b", 2, (1, 900), 5)], None),
            ("later term", [("a", 2, (2, 7), 5), ("b", 3, (2, 7), 5)], None),
            ("later branch", [("a", 2, (2, 7), 5), ("b", 3, (3, 8), 5)], None),
            ("stranger", [("a", 2, (2, 7), 5), ("x", 2, (2, 7), 5)], None),
            (
                "a late answer of the old term",
                [("a", 2, (2, 7), 5), ("b", 3, (2, 7), 5), ("b", 2, (2, 7), 6)],
                None,
            ),
            (
                "position first, time later",
                [("a", 2, (2, 7), 5), ("b", 2, (2, 7), 4), ("b", 2, (2, 7), 6)],
                ["a", "b"],
            ),
        ],
    )
    def test_write(self, case, answers, holders):
        made = evidence(*(seen(*answer) for answer in answers))
        assert made.confirmed(W, after=5) == holders


class TestTerm:
    @pytest.mark.parametrize(
        ("answers", "holds", "superseded"),
        [
            ([("a", 2, (1, 1), 5), ("b", 2, (2, 1), 6)], True, False),
            ([("a", 2, (1, 1), 4), ("b", 2, (2, 1), 6)], False, False),
            ([("a", 1, (1, 1), 5), ("b", 2, (2, 1), 6)], False, False),
            ([("a", 3, (1, 1), 5), ("b", 2, (1, 1), 5)], False, False),
            ([("a", 3, (1, 1), 5), ("b", 3, (1, 1), 5)], False, True),
            ([("a", 3, (3, 1), 5, "primary"), ("b", 2, (1, 1), 5)], False, True),
        ],
    )
    def test_held_or_superseded(self, answers, holds, superseded):
        made = evidence(*(seen(*answer) for answer in answers))
        assert made.term_holds(2, after=5) is holds
        assert made.superseded(2) is superseded


class TestNewer:
    @pytest.mark.parametrize(
        ("known", "answer", "result"),
        [
            # Within the term the log only grows, whichever answer comes first.
            (("a", 2, (2, 9), 5), ("a", 2, (2, 8), 6), ("a", 2, (2, 9), 6)),
            (("a", 2, (2, 8), 6), ("a", 2, (2, 9), 5), ("a", 2, (2, 9), 6)),
            # A dead branch is cut off.
            (("a", 4, (3, 2), 5), ("a", 4, (2, 1), 6), ("a", 4, (2, 1), 6)),
            # A later term may come from an earlier question.
            (("a", 2, (2, 9), 5), ("a", 3, (2, 9), 4), ("a", 3, (2, 9), 4)),
        ],
    )
    def test_merge(self, known, answer, result):
        assert newer(seen(*known), seen(*answer)) == seen(*result)


class TestAge:
    def test_data_is_as_old_as_the_newest_proof_that_it_covers(self):
        made = evidence()
        for at in (10, 11, 12):
            made.add_observation(seen("a", 2, (2, at), at, "primary"))
            made.add_observation(seen("b", 2, (2, 5), at))
        assert made.proved_age(Position(2, 12), 13) == 1
        assert made.proved_age(Position(2, 10), 13) == 3
        assert made.proved_age(Position(2, 9), 13) is None

    def test_the_position_of_an_unconfirmed_primary_proves_nothing(self):
        made = evidence(seen("a", 2, (2, 9), 10, "primary"), seen("b", 3, (2, 9), 10))
        assert made.proved_age(Position(2, 9), 11) is None

    def test_the_number_of_proofs_stays_bounded(self):
        made = evidence()
        for at in range(3000):
            made.add_observation(seen("a", 2, (2, at), at, "primary"))
            made.add_observation(seen("b", 2, (2, at), at))
        assert made.proved_age(Position(2, 2999), 3000) == 1
        assert len(made._proofs) <= 512
