"""Tests of a group monitor's failure detector with a simulated clock."""

import pytest

from lavenderstack.core.failover.evidence import Observation
from lavenderstack.core.failover.failure_detector import HOLD, FailureDetector, Verdict
from lavenderstack.core.position import Position
from lavenderstack.core.routing import TermPrimary

NAMES = ("a", "b", "c")
STEP_S = 0.05
PROBE_S = 0.3
FAULT_AT = 10.0


class SimulatedGroup:
    """Three targets with primary ``a`` under term 3, monitored from time 0 on.

    ``faults`` maps a target to ``silent``, ``refused`` or a state to answer with, in
    effect from ``FAULT_AT`` on. ``opinion`` is whether the other monitors report
    the primary as healthy.
    """

    def __init__(self, rank=0, faults=(), opinion=False, leaving=(), evacuated=()):
        self.now = 0.0
        self.faults = dict(faults)
        self.opinion = opinion
        self.detector = FailureDetector(NAMES, rank, 0.0)
        self.leaving = frozenset(leaving)
        self.evacuated = frozenset(evacuated)
        self.timeouts_at = {}
        self.probes = 0
        self.asked = 0

    def answer(self, name):
        fault = self.faults.get(name, "") if self.now >= FAULT_AT else ""
        if fault == "silent":
            self.timeouts_at[name] = self.now + PROBE_S
        elif fault == "refused":
            self.detector.record_failure(name, refused=True)
        else:
            healthy_state = (3, (3, 9), "primary" if name == "a" else "replica", "a")
            state = fault(self.now) if callable(fault) else fault
            term, last, role, primary = state or healthy_state
            seen = Observation(name, term, Position(*last), self.now, role, primary)
            self.detector.record_observation(seen, self.now)

    def probe(self):
        due = self.detector.due(self.now)
        for name in NAMES:
            if name in self.timeouts_at:
                if self.now >= self.timeouts_at[name]:
                    del self.timeouts_at[name]
                    self.detector.record_failure(name, refused=False)
            elif name in due:
                self.probes += 1
                self.detector.record_probe(name, self.now)
                self.answer(name)

    def until_proposal(self, end_at=40.0):
        """Return the decision to propose and its time after the fault, or None."""
        while self.now < end_at:
            self.now += STEP_S
            if self.now >= FAULT_AT:
                self.detector.leaving = self.leaving
                self.detector.evacuated = self.evacuated
            self.probe()
            decision = self.detector.decide(self.now)
            if decision.verdict is Verdict.ASK_OTHERS:
                self.asked += 1
                self.detector.record_peer_opinion(self.opinion, self.now)
            if decision.verdict is Verdict.PROPOSE:
                return decision, self.now - FAULT_AT
        return None


LATER_TERM = (4, (3, 9), "replica", "")
PRIMARY_IN_LATER_TERM = (4, (3, 9), "replica", "")


def writing(now):
    return 3, (3, 9 + int(now * 100)), "primary", "a"


def following(now):
    return 3, (3, 9 + int((now - 0.1) * 100)), "replica", "a"


def lagging(now):
    return 3, (3, 9 + int(now * 50)), "replica", "a"


PRIMARY_AHEAD = (3, (3, 20), "primary", "a")


class TestProposal:
    @pytest.mark.parametrize(
        ("case", "options", "earliest", "latest"),
        [
            ("silent", {"faults": {"a": "silent"}}, 0.4, 1.3),
            ("refused", {"faults": {"a": "refused"}}, 0.2, 1.0),
            ("rank 1", {"rank": 1, "faults": {"a": "silent"}}, 0.6, 2.0),
            ("rank 2", {"rank": 2, "faults": {"a": "silent"}}, 1.3, 2.7),
            (
                "others report it healthy, which delays only for a while",
                {"faults": {"a": "silent"}, "opinion": True},
                4.4,
                5.5,
            ),
            (
                "primary in a later term",
                {"faults": {"a": PRIMARY_IN_LATER_TERM}},
                0.9,
                1.8,
            ),
            ("one target has a later term", {"faults": {"b": LATER_TERM}}, 1.9, 6.5),
            ("leaving", {"leaving": {"a"}}, 0.2, 0.8),
            ("evacuated", {"evacuated": {"a"}}, 0.2, 0.8),
            ("evacuated with a replica", {"evacuated": {"a", "b"}}, 0.2, 1.0),
            ("lost", {"evacuated": {"b"}, "faults": {"a": "silent"}}, 0.4, 1.3),
            ("replicas make no progress", {"faults": {"a": writing}}, 3.0, 8.0),
            (
                "leaving, successors behind",
                {"leaving": {"a"}, "faults": {"a": PRIMARY_AHEAD}},
                3.0,
                8.0,
            ),
        ],
    )
    def test_proposes_in_time(self, case, options, earliest, latest):
        decision, after_s = SimulatedGroup(**options).until_proposal()
        assert earliest <= after_s <= latest
        faults = options.get("faults", {}).values()
        assert decision.term == (4 if LATER_TERM in faults else 3)

    @pytest.mark.parametrize(
        "options",
        [
            {},
            {"faults": {"b": "silent"}},
            {"faults": {"a": "silent", "b": "silent"}},
            {"faults": {"a": "refused", "b": "silent"}},
            {"faults": {name: "silent" for name in NAMES}},
            {"leaving": {"a"}, "faults": {"b": "silent"}},
            {"leaving": {"b"}},
            {"evacuated": {"b"}},
            {"evacuated": set(NAMES)},
            {"evacuated": {"b", "c"}, "faults": {"a": "silent"}},
            {"evacuated": set(NAMES), "faults": {"b": LATER_TERM}},
            {
                "evacuated": {"a", "b"},
                "faults": {"a": writing, "b": following, "c": following},
            },
            {"faults": {"a": writing, "b": lagging, "c": lagging}},
        ],
    )
    def test_does_not_propose(self, options):
        assert SimulatedGroup(**options).until_proposal() is None

    def test_the_successors_of_a_leaving_primary_vote_without_it(self):
        decision, _ = SimulatedGroup(leaving={"a"}).until_proposal()
        assert decision.voters == ("b", "c")

    def test_evacuated_replicas_vote_only_where_the_others_are_too_few(self):
        """Guards against a zone's loss of its say while others can decide alone."""
        decision, _ = SimulatedGroup(evacuated={"a"}).until_proposal()
        assert decision.voters == ("b", "c")
        decision, _ = SimulatedGroup(evacuated={"a", "b"}).until_proposal()
        assert decision.voters == NAMES

    def test_a_group_without_terms_gets_its_first_primary(self):
        group = SimulatedGroup()
        group.answer = lambda name: group.detector.record_observation(
            Observation(name, 0, Position(0, 0), group.now), group.now
        )
        decision, at = group.until_proposal()
        assert at + FAULT_AT < 1.5
        assert decision.term == 0

    def test_silence_while_the_monitor_was_paused_does_not_count(self):
        group = SimulatedGroup()
        group.until_proposal(end_at=5.0)
        assert group.detector.decide(65.0) == HOLD
        group.now = 65.0
        assert group.until_proposal(end_at=75.0) is None


class TestState:
    def test_probes_of_a_quiet_group_are_few(self):
        for rank, max_probes in ((0, 26), (1, 16)):
            group = SimulatedGroup(rank)
            group.until_proposal(end_at=2.0)
            group.probes = 0
            group.until_proposal(end_at=12.0)
            assert group.probes <= max_probes

    def test_a_replica_reports_a_primary_that_is_unreachable(self):
        detector = FailureDetector(NAMES, 0, 0.0)
        detector.record_observation(
            Observation("a", 3, Position(3, 9), 0, "primary", "a"), 0.0
        )
        detector.record_observation(
            Observation("b", 4, Position(3, 9), 0, "replica", "c"), 0.0
        )
        assert detector.primary() == TermPrimary(4, "c")

    def test_healthy_needs_recent_answers_of_a_majority_in_the_term(self):
        group = SimulatedGroup(faults={"b": "silent", "c": LATER_TERM})
        group.until_proposal(end_at=5.0)
        assert group.detector.healthy(since=0.0)
        assert not group.detector.healthy(since=4.9)
        group.until_proposal(end_at=FAULT_AT + 1.5)
        assert not group.detector.healthy(since=FAULT_AT)
