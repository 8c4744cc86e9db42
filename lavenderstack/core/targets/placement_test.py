"""Tests of the assignment of targets to VMs of different size."""

import pytest

from lavenderstack.core.members import Members
from lavenderstack.core.targets.placement import assign_holders, capacity
from lavenderstack.core.view import Target, View, Vm

SMALL = capacity(0.5, 5.0)
LARGE = capacity(2.2, 100.0)


def fleet(large, small, zone="z1"):
    sizes = [LARGE] * large + [SMALL] * small
    return [
        Vm(f"n{number}", zone, "h", 1, capacity=size)
        for number, size in enumerate(sizes)
    ]


def targets(count, zone="z1"):
    return [Target(f"t{number}", zone, "h", 1, 4, 70) for number in range(count)]


def loads(assigned):
    return {name: list(assigned.values()).count(name) for name in assigned.values()}


class TestAssignment:
    def test_no_small_vm_holds_a_target_while_a_large_one_has_room(self):
        assert set(loads(assign_holders(fleet(2, 24), targets(4)))) == {"n0", "n1"}

    def test_large_vms_share_the_targets(self):
        assert sorted(loads(assign_holders(fleet(2, 24), targets(4))).values()) == [
            2,
            2,
        ]

    def test_vms_that_are_alike_leave_it_to_the_ring(self):
        assert assign_holders(fleet(0, 8), targets(4)) == {}

    def test_vms_of_another_zone_get_none(self):
        assert assign_holders(fleet(2, 3, zone="z2"), targets(4)) == {}

    def test_at_full_size_nobody_takes_more_than_its_part(self):
        """At 3,100 nodes and 12,300 targets a few large VMs can't carry them all."""
        vms = fleet(62, 713)
        found = loads(assign_holders(vms, targets(3075)))
        assert sum(found.values()) == 3075
        per_capacity = 3075 / sum(vm.capacity for vm in vms)
        for vm in vms:
            assert found.get(vm.name, 0) <= vm.capacity * per_capacity * 1.25 + 1

    @pytest.mark.parametrize("lost", ["n0", "n40"])
    def test_a_vm_that_leaves_moves_few_targets_of_others(self, lost):
        vms = fleet(20, 230)
        before = assign_holders(vms, targets(1000))
        after = assign_holders([vm for vm in vms if vm.name != lost], targets(1000))
        moved = [name for name in before if before[name] not in (after[name], lost)]
        assert len(moved) < 100


class TestHolders:
    def test_the_assigned_vm_comes_first_and_the_ring_follows(self):
        view = View(vms={vm.name: vm for vm in fleet(1, 5)})
        target = targets(1)[0]
        ring = Members("n1").holders(view, target, 0.0)
        found = Members("n1").holders(view, target, 0.0, assigned="n0")
        assert found[0].name == "n0"
        assert [vm for vm in found if vm.name != "n0"] == [
            vm for vm in ring if vm.name != "n0"
        ]

    def test_an_assigned_vm_that_does_not_answer_comes_last(self):
        view = View(vms={vm.name: vm for vm in fleet(1, 5)})
        members = Members("n1")
        members.suspect("n0", 0.0)
        assert members.holders(view, targets(1)[0], 1.0, "n0")[-1].name == "n0"
