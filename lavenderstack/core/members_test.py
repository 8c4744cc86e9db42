"""Tests of the choice of connection holders."""

from lavenderstack.core.members import SUSPECT_FOR_S, Members
from lavenderstack.core.view import Target, View, Vm

TARGET = Target("t", "z1", "127.0.0.1", 1, 5, 30)


def view(*vms):
    return View(vms={name: Vm(name, zone, "h", 1) for name, zone in vms})


class TestHolders:
    def test_the_targets_own_zone_comes_first(self):
        found = Members("n1").holders(view(("n1", "z2"), ("n2", "z1")), TARGET, 0.0)
        assert [vm.name for vm in found] == ["n2", "n1"]

    def test_a_vm_that_did_not_answer_comes_last_for_a_short_time(self):
        members = Members("n1")
        members.suspect("n2", 0.0)
        vms = view(("n1", "z2"), ("n2", "z1"))
        assert members.holders(vms, TARGET, 1.0)[0].name == "n1"
        assert members.holders(vms, TARGET, SUSPECT_FOR_S + 1.0)[0].name == "n2"
