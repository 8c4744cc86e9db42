"""Tests of the proposer, event by event; safety_test covers whole runs."""

import random

import pytest

from lavenderstack.core.failover.evidence import Observation
from lavenderstack.core.failover.promotion import (
    Adopted,
    Leading,
    PrimaryElected,
    ProposalFailed,
    Proposer,
    RefusedTerm,
    SendAdopt,
    SendFollow,
    SendLead,
    Tick,
    TimedOut,
    follow_actions,
)
from lavenderstack.core.position import START, Position

NAMES = "abc"


class TestProposer:
    def adopting(self):
        proposer = Proposer(NAMES, random.Random(1))
        proposer.propose(4, 0.0)
        return proposer

    def test_the_most_advanced_by_term_leads_and_the_others_follow(self):
        proposer = self.adopting()
        assert proposer.handle_event(Adopted("a", 5, Position(2, 900)), 0.1) == []
        lead, _ = proposer.handle_event(Adopted("b", 5, Position(3, 1)), 0.1)
        assert lead == SendLead("b", 5, ("a", "c"))
        done, *follows = proposer.handle_event(Leading("b", 5), 0.2)
        assert done == PrimaryElected(5, "b")
        assert follows == [SendFollow("a", 5, "b"), SendFollow("c", 5, "b")]

    def test_a_lost_answer_to_lead_takes_a_new_term(self):
        proposer = self.adopting()
        proposer.handle_event(Adopted("a", 5, Position(2, 1)), 0.1)
        proposer.handle_event(Adopted("b", 5, Position(2, 1)), 0.1)
        (failed,) = proposer.handle_event(TimedOut("b", 5), 0.2)
        assert proposer.propose(4, failed.retry_at - 0.01) == []
        assert SendAdopt("a", 6) in proposer.propose(4, failed.retry_at)

    @pytest.mark.parametrize(
        "events",
        [
            [RefusedTerm("a", 5, 9), RefusedTerm("b", 5, 8)],
            [RefusedTerm("a", 5, 9), TimedOut("b", 5)],
            [RefusedTerm("a", 5, 9), Tick()],
        ],
    )
    def test_a_failed_proposal_backs_off_and_goes_above_the_known_term(self, events):
        proposer = self.adopting()
        for event, now in zip(events, (0.1, 5.0), strict=True):
            actions = proposer.handle_event(event, now)
        (failed,) = actions
        assert failed.retry_at > 5.0
        assert proposer.propose(0, failed.retry_at)[0] == SendAdopt("a", 10)

    def test_a_paused_proposer_sends_nothing_more(self):
        proposer = self.adopting()
        proposer.handle_event(Adopted("a", 5, START), 0.1)
        (failed,) = proposer.handle_event(Adopted("b", 5, START), 30.0)
        assert isinstance(failed, ProposalFailed)

    def test_a_less_preferred_target_leads_only_if_it_is_the_most_advanced(self):
        for last, choice in [(Position(1, 1), "a"), (Position(1, 2), "c")]:
            proposer = Proposer(NAMES, random.Random(1))
            proposer.propose(4, 0.0, less_preferred={"c"})
            proposer.handle_event(Adopted("a", 5, Position(1, 1)), 0.1)
            lead, _ = proposer.handle_event(Adopted("c", 5, last), 0.1)
            assert lead.target == choice

    @pytest.mark.parametrize("is_known", [True, False])
    @pytest.mark.parametrize(
        ("logs", "excluded", "choice"),
        [
            ({"a": (1, 5), "b": (1, 5)}, {"a"}, "b"),
            ({"a": (1, 6), "b": (1, 5), "c": (1, 5)}, {"a"}, "c"),
            ({"a": (1, 6), "b": (1, 6), "c": (1, 5)}, {"a"}, "b"),
            ({"a": (1, 6), "b": (1, 6), "c": (1, 5)}, {"a", "b"}, None),
            ({"a": (2, 1), "b": (1, 9), "c": (1, 9)}, {"b", "c"}, "a"),
        ],
    )
    def test_an_excluded_target_never_leads(self, logs, excluded, choice, is_known):
        """Guards against a primary in an evacuated zone, and against a lost write.

        ``is_known`` tells whether the zone was evacuated before the proposal began.
        """
        proposer = Proposer(NAMES, random.Random(1))
        proposer.propose(4, 0.0, excluded=excluded if is_known else ())
        proposer.exclude(excluded)
        if len(logs) < len(NAMES):
            proposer.handle_event(TimedOut("c", 5), 0.1)
        for name, last in logs.items():
            actions = proposer.handle_event(Adopted(name, 5, Position(*last)), 0.1)
            if actions:
                break
        if choice is None:
            (failed,) = actions
            assert failed.all_excluded
        else:
            assert actions[0].target == choice


class TestFollowActions:
    @pytest.mark.parametrize(
        ("term", "primary", "called"),
        [
            (5, "a", False),
            (5, "", True),
            (4, "a", True),
            (5, "c", True),
            (6, "", False),
        ],
    )
    def test_targets_that_can_follow_are_called(self, term, primary, called):
        observed_primary = Observation("a", 5, START, 0.0, "primary", "a")
        other = Observation("b", term, START, 0.0, "replica", primary)
        calls = [SendFollow("b", 5, "a")] if called else []
        assert (
            follow_actions({"a": observed_primary, "b": other}, observed_primary)
            == calls
        )
