"""Tests of what a node knows, and that nothing newer is undone."""

from lavenderstack.core.catalog import Catalog, RecordedOwnership
from lavenderstack.core.view import Target, Vm
from lavenderstack.core.view_proof import MARGIN_S, ViewProof
from lavenderstack.node.directory import Directory


def target(name, connections=30):
    return Target(name, "z1", "10.0.0.1", 1, 2, connections)


def directory():
    made = Directory("n1", "z1", ViewProof(limit_s=5.0))
    made.put_target(target("t1"), "g", False, True, 5)
    made.put_target(target("t2"), "g", False, False, 6)
    return made


class TestCatalog:
    def test_an_older_version_is_never_taken(self):
        made = directory()
        assert made.update_catalog(Catalog(version=9))
        assert not made.update_catalog(Catalog(version=8))
        assert not made.update_catalog(Catalog(version=9))
        assert made.catalog.version == 9


class TestTargets:
    def test_an_older_report_changes_nothing(self):
        made = directory()
        made.put_target(target("t1"), "g", True, False, 4)
        assert made.primary("g").target.name == "t1"

    def test_an_older_removal_changes_nothing(self):
        made = directory()
        made.drop_target("t1", 4)
        assert "t1" in made.targets

    def test_new_limits_do_not_touch_the_lead(self):
        made = directory()
        made.update_target_limits(target("t1", connections=7))
        assert made.primary("g").target.connections == 7


class TestLead:
    def test_news_of_a_lead_counts_before_the_report(self):
        """Found on brandt scale-2: the report came 1.6 s after the lead."""
        made = directory()
        made.record_primary("g", "t2")
        assert made.primary("g").target.name == "t2"
        made.put_target(target("t2"), "g", False, True, 30)
        assert made.primary("g").target.name == "t2"

    def test_wrong_news_end_with_the_targets_refusal(self):
        made = directory()
        made.record_primary("g", "t2")
        made.record_not_primary("t2")
        assert made.primary("g").target.name == "t1"

    def test_news_of_an_unknown_target_are_no_harm(self):
        made = directory()
        made.record_primary("g", "t9")
        assert made.primary("g").target.name == "t1"


class TestClaims:
    def test_an_older_epoch_is_not_taken(self):
        made = directory()
        made.put_ownership("g", RecordedOwnership("n2", 9))
        made.put_ownership("g", RecordedOwnership("n3", 8))
        assert made.claims["g"].node == "n2"


class TestMayWork:
    def made(self):
        made = directory()
        made.update_catalog(Catalog(version=3, keys={"d": "org"}))
        made.proof.prove(100.0)
        return made

    def test_until_a_withdrawn_key_may_work_no_longer(self):
        made = self.made()
        assert made.is_work_allowed("org", "d", 3, 100.0 + 5.0 - MARGIN_S)
        assert not made.is_work_allowed("org", "d", 3, 100.0 + 5.0 - MARGIN_S + 0.01)

    def test_a_key_of_another_organisation_never_works(self):
        assert not self.made().is_work_allowed("other", "d", 3, 100.0)

    def test_the_sender_is_believed_only_for_a_later_catalog(self):
        made = self.made()
        assert made.is_work_allowed("new", "e", 4, 101.0)
        assert not made.is_work_allowed("new", "e", 3, 101.0)
        assert not made.is_work_allowed("new", "e", 4, 110.0)


class TestMembers:
    async def test_a_change_wakes_those_who_wait(self):
        made = directory()
        made.put_member(Vm("n2", "z1", "10.0.0.2", 1))
        assert not await made.wait_for_change(0.01)

    def test_one_that_registered_again_alike_is_no_change(self):
        made = directory()
        vm = Vm("n2", "z1", "10.0.0.2", 1)
        made.put_member(vm)
        view = made.view
        made.put_member(vm)
        assert made.view is view
