"""Tests of the failure detector of a group's watcher, on a clock of their own."""

import pytest

from lavenderstack.core.evidence import Observation
from lavenderstack.core.failure_detector import HOLD, FailureDetector, Verdict
from lavenderstack.core.position import Position
from lavenderstack.core.routing import Leader

NAMES = ("a", "b", "c")
STEP_S = 0.05
PROBE_S = 0.3
FAULT_AT = 10.0


class Watched:
    """Three targets led by ``a`` under term 3, watched from time 0 on.

    ``faults`` maps a target to ``silent``, ``refused`` or a state to answer with,
    from ``FAULT_AT`` on. ``opinions`` is what the other watchers say.
    """

    def __init__(self, rank=0, faults=(), opinion=False, leaving=()):
        self.now = 0.0
        self.faults = dict(faults)
        self.opinion = opinion
        self.suspicion = FailureDetector(NAMES, rank, 0.0)
        self.leaving = frozenset(leaving)
        self.late = {}
        self.probes = 0
        self.asked = 0

    def answer(self, name):
        fault = self.faults.get(name, "") if self.now >= FAULT_AT else ""
        if fault == "silent":
            self.late[name] = self.now + PROBE_S
        elif fault == "refused":
            self.suspicion.record_failure(name, refused=True)
        else:
            usual = (3, (3, 9), "primary" if name == "a" else "replica", "a")
            state = fault(self.now) if callable(fault) else fault
            term, last, role, primary = state or usual
            seen = Observation(name, term, Position(*last), self.now, role, primary)
            self.suspicion.record_observation(seen, self.now)

    def probe(self):
        due = self.suspicion.due(self.now)
        for name in NAMES:
            if name in self.late:
                if self.now >= self.late[name]:
                    del self.late[name]
                    self.suspicion.record_failure(name, refused=False)
            elif name in due:
                self.probes += 1
                self.suspicion.record_probe(name, self.now)
                self.answer(name)

    def until_proposal(self, limit=40.0):
        """Return the decision to propose and its time after the fault, or None."""
        while self.now < limit:
            self.now += STEP_S
            if self.now >= FAULT_AT:
                self.suspicion.leaving = self.leaving
            self.probe()
            decision = self.suspicion.decide(self.now)
            if decision.verdict is Verdict.ASK_OTHERS:
                self.asked += 1
                self.suspicion.record_peer_opinion(self.opinion, self.now)
            if decision.verdict is Verdict.PROPOSE:
                return decision, self.now - FAULT_AT
        return None


ORPHAN = (4, (3, 9), "replica", "")
DEPOSED = (4, (3, 9), "replica", "")


def writing(now):
    return 3, (3, 9 + int(now * 100)), "primary", "a"


def lagging(now):
    return 3, (3, 9 + int(now * 50)), "replica", "a"


AHEAD = (3, (3, 20), "primary", "a")


class TestProposal:
    @pytest.mark.parametrize(
        ("case", "options", "earliest", "latest"),
        [
            ("silent", {"faults": {"a": "silent"}}, 0.4, 1.3),
            ("closed", {"faults": {"a": "refused"}}, 0.2, 1.0),
            ("rank 1", {"rank": 1, "faults": {"a": "silent"}}, 0.6, 2.0),
            ("rank 2", {"rank": 2, "faults": {"a": "silent"}}, 1.3, 2.7),
            (
                "others hear it, for a while only",
                {"faults": {"a": "silent"}, "opinion": True},
                4.4,
                5.5,
            ),
            ("deposed", {"faults": {"a": DEPOSED}}, 0.9, 1.8),
            ("one target has a later term", {"faults": {"b": ORPHAN}}, 1.9, 6.5),
            ("leaving", {"leaving": {"a"}}, 0.2, 0.8),
            ("replicas stand still", {"faults": {"a": writing}}, 3.0, 8.0),
            (
                "leaving, successors behind",
                {"leaving": {"a"}, "faults": {"a": AHEAD}},
                3.0,
                8.0,
            ),
        ],
    )
    def test_in_time(self, case, options, earliest, latest):
        decision, after_s = Watched(**options).until_proposal()
        assert earliest <= after_s <= latest
        faults = options.get("faults", {}).values()
        assert decision.term == (4 if ORPHAN in faults else 3)

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
            {"faults": {"a": writing, "b": lagging, "c": lagging}},
        ],
    )
    def test_never(self, options):
        assert Watched(**options).until_proposal() is None

    def test_the_successors_of_a_leaving_primary_vote_without_it(self):
        decision, _ = Watched(leaving={"a"}).until_proposal()
        assert decision.voters == ("b", "c")

    def test_a_group_without_terms_gets_its_first_primary(self):
        watched = Watched()
        watched.answer = lambda name: watched.suspicion.record_observation(
            Observation(name, 0, Position(0, 0), watched.now), watched.now
        )
        decision, at = watched.until_proposal()
        assert at + FAULT_AT < 1.5
        assert decision.term == 0

    def test_silence_that_the_watcher_slept_through_does_not_count(self):
        watched = Watched()
        watched.until_proposal(limit=5.0)
        assert watched.suspicion.decide(65.0) == HOLD
        watched.now = 65.0
        assert watched.until_proposal(limit=75.0) is None


class TestKnowledge:
    def test_probes_of_a_quiet_group_are_few(self):
        for rank, most in ((0, 26), (1, 16)):
            watched = Watched(rank)
            watched.until_proposal(limit=2.0)
            watched.probes = 0
            watched.until_proposal(limit=12.0)
            assert watched.probes <= most

    def test_a_replica_tells_of_a_primary_that_is_not_reached(self):
        suspicion = FailureDetector(NAMES, 0, 0.0)
        suspicion.record_observation(
            Observation("a", 3, Position(3, 9), 0, "primary", "a"), 0.0
        )
        suspicion.record_observation(
            Observation("b", 4, Position(3, 9), 0, "replica", "c"), 0.0
        )
        assert suspicion.leader() == Leader(4, "c")

    def test_healthy_needs_a_majority_under_the_term_heard_since(self):
        watched = Watched(faults={"b": "silent", "c": ORPHAN})
        watched.until_proposal(limit=5.0)
        assert watched.suspicion.healthy(since=0.0)
        assert not watched.suspicion.healthy(since=4.9)
        watched.until_proposal(limit=FAULT_AT + 1.5)
        assert not watched.suspicion.healthy(since=FAULT_AT)
