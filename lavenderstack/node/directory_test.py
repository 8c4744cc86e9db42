"""Tests of the directory: newer entries are never replaced by older ones."""

import asyncio
from dataclasses import replace

import pytest

from lavenderstack.core.catalog import Catalog, RecordedOwnership
from lavenderstack.core.failover.replica_set import Membership, ReplicaSet, TargetRun
from lavenderstack.core.view import Target, Vm
from lavenderstack.core.view_proof import MARGIN_S, ViewProof
from lavenderstack.node.directory import MAX_DEPARTED, Directory


def target(name, connections=30):
    return Target(name, "z1", "10.0.0.1", 1, 2, connections)


def make_directory():
    directory = Directory("n1", "z1", ViewProof(limit_s=5.0))
    directory.put_target(target("t1"), "g", False, True, 5)
    directory.put_target(target("t2"), "g", False, False, 6)
    return directory


class TestCatalog:
    def test_older_version_is_rejected(self):
        directory = make_directory()
        assert directory.update_catalog(Catalog(version=9))
        assert not directory.update_catalog(Catalog(version=8))
        assert not directory.update_catalog(Catalog(version=9))
        assert directory.catalog.version == 9


class TestTargets:
    def test_older_report_is_ignored(self):
        directory = make_directory()
        directory.put_target(target("t1"), "g", True, False, 4)
        assert directory.primary("g").target.name == "t1"

    def test_older_removal_is_ignored(self):
        directory = make_directory()
        directory.drop_target("t1", 4)
        assert "t1" in directory.targets

    def test_new_limits_keep_the_primary(self):
        directory = make_directory()
        directory.update_target_limits(target("t1", connections=7))
        assert directory.primary("g").target.connections == 7


class TestRecordPrimary:
    def test_observed_primary_counts_before_its_own_report(self):
        """Found in test run brandt scale-2: a report came 1.6 s after the promotion.

        Work must reach the new primary before that report.
        """
        directory = make_directory()
        directory.record_primary("g", "t2")
        assert directory.primary("g").target.name == "t2"
        directory.put_target(target("t2"), "g", False, True, 30)
        assert directory.primary("g").target.name == "t2"

    def test_wrong_observation_ends_with_the_targets_refusal(self):
        directory = make_directory()
        directory.record_primary("g", "t2")
        directory.record_not_primary("t2")
        assert directory.primary("g").target.name == "t1"

    def test_observation_of_an_unknown_target_is_ignored(self):
        directory = make_directory()
        directory.record_primary("g", "t9")
        assert directory.primary("g").target.name == "t1"


class TestOwnerships:
    def test_older_epoch_is_rejected(self):
        directory = make_directory()
        directory.put_ownership("g", RecordedOwnership("n2", 9))
        directory.put_ownership("g", RecordedOwnership("n3", 8))
        assert directory.ownerships["g"].node == "n2"


class TestIsWorkAllowed:
    def proved_directory(self):
        directory = make_directory()
        directory.update_catalog(Catalog(version=3, keys={"d": "org"}))
        directory.proof.prove(100.0)
        return directory

    def test_work_stops_when_the_view_proof_expires(self):
        directory = self.proved_directory()
        assert directory.is_work_allowed("org", "d", 3, 100.0 + 5.0 - MARGIN_S)
        assert not directory.is_work_allowed(
            "org", "d", 3, 100.0 + 5.0 - MARGIN_S + 0.01
        )

    def test_key_of_another_organisation_is_rejected(self):
        assert not self.proved_directory().is_work_allowed("other", "d", 3, 100.0)

    def test_sender_is_trusted_only_with_a_newer_catalog(self):
        directory = self.proved_directory()
        assert directory.is_work_allowed("new", "e", 4, 101.0)
        assert not directory.is_work_allowed("new", "e", 3, 101.0)
        assert not directory.is_work_allowed("new", "e", 4, 110.0)


class TestReplicaSets:
    SET = ReplicaSet("t1", frozenset({TargetRun("t2")}))

    def test_an_older_record_is_ignored(self):
        directory = make_directory()
        directory.put_replica_set("g", self.SET, 20)
        directory.put_replica_set("g", ReplicaSet("t9", frozenset()), 19)
        assert directory.replica_sets["g"] == self.SET

    def test_a_target_that_left_is_remembered_until_a_set_is_recorded(self):
        directory = make_directory()
        directory.put_replica_set("g", self.SET, 7)
        directory.put_target(target("t3"), "g", False, False, 8)
        directory.drop_target("t3", 9)
        directory.put_replica_set("g", replace(self.SET, as_of=8), 11)
        present, gone = frozenset({TargetRun("t2")}), frozenset({TargetRun("t3")})
        assert directory.members("g", "t1") == Membership(present, gone)
        directory.put_replica_set("g", replace(self.SET, as_of=9), 12)
        assert directory.members("g", "t1") == Membership(present)

    def test_the_former_run_of_a_target_that_started_again_has_left(self):
        directory = make_directory()
        directory.put_target(target("t2"), "g", False, False, 8, started_ms=5)
        present = frozenset({TargetRun("t2", 5)})
        departed = frozenset({TargetRun("t2")})
        assert directory.members("g", "t1") == Membership(present, departed)

    def test_targets_that_left_are_remembered_up_to_a_limit(self):
        directory = make_directory()
        for number in range(MAX_DEPARTED + 5):
            directory.put_target(target(f"x{number}"), "g", False, False, 10 + number)
            directory.drop_target(f"x{number}", 500 + number)
        assert len(directory.members("g", "t1").departed) == MAX_DEPARTED


class TestMembers:
    @pytest.mark.parametrize(
        "change",
        [
            lambda one: one.put_member(Vm("n2", "z1", "10.0.0.2", 1)),
            lambda one: one.put_target(target("t1"), "g", True, True, 9),
            lambda one: one.drop_target("t2", 9),
            lambda one: one.update_catalog(Catalog(version=3)),
            lambda one: one.put_ownership("g", RecordedOwnership("n2", 9)),
            lambda one: one.record_primary("g", "t2"),
        ],
    )
    async def test_a_change_wakes_all_that_wait(self, change):
        directory = make_directory()
        waiting = [
            asyncio.ensure_future(directory.wait_for_change(5.0)) for _ in range(3)
        ]
        await asyncio.sleep(0)
        change(directory)
        async with asyncio.timeout(1.0):
            assert await asyncio.gather(*waiting) == [True] * 3
        assert not await directory.wait_for_change(0.01)

    async def test_wait_times_out_without_a_change(self):
        directory = make_directory()
        directory.put_member(Vm("n2", "z1", "10.0.0.2", 1))
        assert not await directory.wait_for_change(0.01)

    def test_identical_registration_changes_nothing(self):
        directory = make_directory()
        vm = Vm("n2", "z1", "10.0.0.2", 1)
        directory.put_member(vm)
        view = directory.view
        directory.put_member(vm)
        assert directory.view is view
