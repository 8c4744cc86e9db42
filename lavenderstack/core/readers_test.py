"""Tests of whom the nodes of a zone ask for news."""

from collections import Counter

import pytest

from lavenderstack.core.readers import FAN_OUT, SMALL_ZONE, proved_at, sources
from lavenderstack.core.view import Vm


def zone(number, name="z1", state="live"):
    return [Vm(f"{name}-{n}", name, "10.0.0.1", n, state=state) for n in range(number)]


def asked(vms, zone="z1"):
    """Return the sources of each node of a zone, by name."""
    return {vm.name: sources(vms, zone, vm.name) for vm in vms if vm.zone == zone}


class TestSources:
    def test_in_a_small_zone_every_node_reads_the_store(self):
        assert not any(asked(zone(SMALL_ZONE)).values())

    @pytest.mark.parametrize("number", [SMALL_ZONE + 1, 20, 100, 390])
    def test_in_a_larger_one_a_single_node_does(self, number):
        """Found on grown days: watches are what costs there."""
        found = asked(zone(number))
        assert sum(not above for above in found.values()) == 1

    @pytest.mark.parametrize("number", [20, 390])
    def test_no_node_answers_more_than_a_few(self, number):
        found = asked(zone(number))
        children = Counter(above[0].name for above in found.values() if above)
        assert max(children.values()) <= FAN_OUT
        assert max(len(above) for above in found.values()) <= 4

    @pytest.mark.parametrize("number", [6, 20, 390])
    def test_no_two_ever_wait_for_each_other(self, number):
        found = asked(zone(number))
        below = {name for name, above in found.items() if not above}
        while len(below) < number:
            ready = {
                name
                for name, above in found.items()
                if {vm.name for vm in above} <= below
            }
            assert ready - below, "a circle"
            below |= ready

    def test_without_the_first_one_node_stands_in_for_it(self):
        found = asked(zone(20))
        first = next(name for name, above in found.items() if not above)
        others = [
            [vm.name for vm in above if vm.name != first] for above in found.values()
        ]
        without = [above for above in others if not above]
        assert len(without) == 2

    def test_all_agree_whatever_the_order_of_the_list(self):
        vms = zone(20) + zone(20, "z2")
        assert asked(vms) == asked(list(reversed(vms)))
        assert {vm.zone for above in asked(vms).values() for vm in above} == {"z1"}

    def test_one_that_stops_is_not_asked(self):
        vms = zone(20)
        found = asked(vms)
        first = next(name for name, above in found.items() if not above)
        left = [
            Vm(vm.name, "z1", vm.host, vm.port, state="leaving")
            if vm.name == first
            else vm
            for vm in vms
        ]
        assert first not in {vm.name for above in asked(left).values() for vm in above}

    def test_one_that_is_not_known_yet_reads_the_store(self):
        assert sources(zone(20), "z1", "new") == []


class TestProof:
    def test_news_held_up_on_the_way_prove_no_more(self):
        assert proved_at(asked_at=10.0, held_s=0.5, age_s=0.5) == 10.0
