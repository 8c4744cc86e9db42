"""Tests of which target is taken for the primary."""

from lavenderstack.core.catalog import TargetState
from lavenderstack.core.primary_selection import leads_since, select_primary
from lavenderstack.core.view import Target


def state(name, leads, revision, since=0):
    target = Target(name, "z", "10.0.0.1", 1, 2, 30)
    return TargetState(target, "g", False, leads, revision, since)


class TestLeader:
    def test_of_two_that_claim_it_the_later_one_leads(self):
        old, new = state("old", True, 50, since=3), state("new", True, 40, since=40)
        assert select_primary([old, new], {}) is new

    def test_one_that_denied_it_is_not_believed_until_it_reports_anew(self):
        only = state("a", True, 5, since=5)
        assert select_primary([only], {"a": 5}) is None
        assert select_primary([state("a", True, 6, since=5)], {"a": 5}) is not None

    def test_without_a_claim_there_is_none(self):
        assert select_primary([state("a", False, 1)], {}) is None

    def test_a_lead_counts_from_the_first_report_of_it(self):
        first = leads_since(None, True, 7)
        kept = leads_since(state("a", True, 7, since=first), True, 12)
        assert (first, kept) == (7, 7)
        assert leads_since(state("a", False, 12), True, 20) == 20
