"""Tests of the selection of the primary."""

from lavenderstack.core.catalog import TargetState
from lavenderstack.core.failover.primary_selection import leads_since, select_primary
from lavenderstack.core.view import Target


def state(name, leads, revision, since=0):
    target = Target(name, "z", "10.0.0.1", 1, 2, 30)
    return TargetState(target, "g", False, leads, revision, since)


class TestSelection:
    def test_the_later_of_two_claimed_primaries_is_selected(self):
        old, new = state("old", True, 50, since=3), state("new", True, 40, since=40)
        assert select_primary([old, new], {}) is new

    def test_a_target_that_denied_it_is_ignored_until_its_next_report(self):
        only = state("a", True, 5, since=5)
        assert select_primary([only], {"a": 5}) is None
        assert select_primary([state("a", True, 6, since=5)], {"a": 5}) is not None

    def test_none_without_a_claim(self):
        assert select_primary([state("a", False, 1)], {}) is None

    def test_leads_since_is_the_revision_of_the_first_claim(self):
        first = leads_since(None, True, 7)
        kept = leads_since(state("a", True, 7, since=first), True, 12)
        assert (first, kept) == (7, 7)
        assert leads_since(state("a", False, 12), True, 20) == 20
