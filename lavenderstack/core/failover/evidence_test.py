"""Tests of each proof rule alone; safety_test covers their combination."""

import pytest

from lavenderstack.core.failover.evidence import (
    GroupEvidence,
    Observation,
    merge_observations,
)
from lavenderstack.core.position import Position

WRITE = Position(2, 7)


def seen(target, term, last, asked_at, role=""):
    return Observation(target, term, Position(*last), asked_at, role)


def evidence(*observations):
    group = GroupEvidence(["a", "b", "c"])
    for observation in observations:
        group.add_observation(observation)
    return group


class TestConfirmed:
    @pytest.mark.parametrize(
        ("case", "answers", "holders"),
        [
            ("both after", [("a", 2, (2, 7), 5), ("b", 2, (2, 8), 5)], ["a", "b"]),
            ("no majority", [("a", 2, (2, 9), 5)], None),
            ("asked before", [("a", 2, (2, 7), 4), ("b", 2, (2, 7), 5)], None),
            ("replica behind", [("a", 2, (2, 7), 5), ("b", 2, (2, 6), 5)], None),
            ("abandoned branch", [("a", 2, (2, 7), 5), ("b", 2, (1, 900), 5)], None),
            ("later term", [("a", 2, (2, 7), 5), ("b", 3, (2, 7), 5)], None),
            ("later branch", [("a", 2, (2, 7), 5), ("b", 3, (3, 8), 5)], None),
            ("unknown target", [("a", 2, (2, 7), 5), ("x", 2, (2, 7), 5)], None),
            (
                "late answer of the old term",
                [("a", 2, (2, 7), 5), ("b", 3, (2, 7), 5), ("b", 2, (2, 7), 6)],
                None,
            ),
            (
                "position reached before, asked again after",
                [("a", 2, (2, 7), 5), ("b", 2, (2, 7), 4), ("b", 2, (2, 7), 6)],
                ["a", "b"],
            ),
        ],
    )
    def test_only_a_current_majority_confirms_a_write(self, case, answers, holders):
        group = evidence(*(seen(*answer) for answer in answers))
        assert group.confirmed(WRITE, after=5) == holders


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
    def test_term_holds_or_is_superseded(self, answers, holds, superseded):
        group = evidence(*(seen(*answer) for answer in answers))
        assert group.term_holds(2, after=5) is holds
        assert group.superseded(2) is superseded


class TestMergeObservations:
    @pytest.mark.parametrize(
        ("known", "answer", "result"),
        [
            # Within the term the log only grows, in whichever order answers arrive.
            (("a", 2, (2, 9), 5), ("a", 2, (2, 8), 6), ("a", 2, (2, 9), 6)),
            (("a", 2, (2, 8), 6), ("a", 2, (2, 9), 5), ("a", 2, (2, 9), 6)),
            # An abandoned branch is truncated.
            (("a", 4, (3, 2), 5), ("a", 4, (2, 1), 6), ("a", 4, (2, 1), 6)),
            # The answer to an earlier question may report a later term.
            (("a", 2, (2, 9), 5), ("a", 3, (2, 9), 4), ("a", 3, (2, 9), 4)),
        ],
    )
    def test_merge(self, known, answer, result):
        assert merge_observations(seen(*known), seen(*answer)) == seen(*result)


class TestAge:
    def test_age_is_that_of_the_newest_proof_covered_by_the_data(self):
        group = evidence()
        for at in (10, 11, 12):
            group.add_observation(seen("a", 2, (2, at), at, "primary"))
            group.add_observation(seen("b", 2, (2, 5), at))
        assert group.proved_age(Position(2, 12), 13) == 1
        assert group.proved_age(Position(2, 10), 13) == 3
        assert group.proved_age(Position(2, 9), 13) is None

    def test_the_position_of_an_unconfirmed_primary_proves_nothing(self):
        group = evidence(seen("a", 2, (2, 9), 10, "primary"), seen("b", 3, (2, 9), 10))
        assert group.proved_age(Position(2, 9), 11) is None

    def test_the_number_of_proofs_stays_bounded(self):
        group = evidence()
        for at in range(3000):
            group.add_observation(seen("a", 2, (2, at), at, "primary"))
            group.add_observation(seen("b", 2, (2, at), at))
        assert group.proved_age(Position(2, 2999), 3000) == 1
        assert len(group._proofs) <= 512
