"""Tests of which nodes the nodes of a zone ask for changes."""

from collections import Counter

import pytest

from lavenderstack.core.readers import FAN_OUT, SMALL_ZONE, proved_at, upstream_nodes
from lavenderstack.core.view import Vm


def zone(count, name="z1", state="live"):
    return [Vm(f"{name}-{n}", name, "10.0.0.1", n, state=state) for n in range(count)]


def upstream_by_name(vms, zone="z1"):
    """Return the upstream nodes of each node of a zone, by name."""
    return {
        vm.name: upstream_nodes(vms, zone, vm.name) for vm in vms if vm.zone == zone
    }


class TestUpstreamNodes:
    def test_in_a_small_zone_every_node_reads_the_store(self):
        assert not any(upstream_by_name(zone(SMALL_ZONE)).values())

    @pytest.mark.parametrize("count", [SMALL_ZONE + 1, 20, 100, 390])
    def test_in_a_larger_zone_a_single_node_reads_the_store(self, count):
        """In simulations of a larger fleet, store watches dominated the cost."""
        upstream = upstream_by_name(zone(count))
        assert sum(not above for above in upstream.values()) == 1

    @pytest.mark.parametrize("count", [20, 390])
    def test_children_and_depth_are_limited(self, count):
        upstream = upstream_by_name(zone(count))
        children = Counter(above[0].name for above in upstream.values() if above)
        assert max(children.values()) <= FAN_OUT
        assert max(len(above) for above in upstream.values()) <= 4

    @pytest.mark.parametrize("count", [6, 20, 390])
    def test_upstream_nodes_form_no_cycle(self, count):
        upstream = upstream_by_name(zone(count))
        served = {name for name, above in upstream.items() if not above}
        while len(served) < count:
            ready = {
                name
                for name, above in upstream.items()
                if {vm.name for vm in above} <= served
            }
            assert ready - served, "cycle among the nodes"
            served |= ready

    def test_without_the_first_node_one_other_reads_the_store(self):
        upstream = upstream_by_name(zone(20))
        reader = next(name for name, above in upstream.items() if not above)
        others = [
            [vm.name for vm in above if vm.name != reader]
            for above in upstream.values()
        ]
        remaining = [above for above in others if not above]
        assert len(remaining) == 2

    def test_the_order_of_the_list_does_not_matter(self):
        vms = zone(20) + zone(20, "z2")
        assert upstream_by_name(vms) == upstream_by_name(list(reversed(vms)))
        assert {
            vm.zone for above in upstream_by_name(vms).values() for vm in above
        } == {"z1"}

    def test_a_leaving_node_is_not_asked(self):
        vms = zone(20)
        upstream = upstream_by_name(vms)
        reader = next(name for name, above in upstream.items() if not above)
        after_leaving = [
            Vm(vm.name, "z1", vm.host, vm.port, state="leaving")
            if vm.name == reader
            else vm
            for vm in vms
        ]
        assert reader not in {
            vm.name
            for above in upstream_by_name(after_leaving).values()
            for vm in above
        }

    def test_an_unlisted_node_reads_the_store(self):
        assert upstream_nodes(zone(20), "z1", "new") == []


class TestProof:
    def test_holding_and_age_both_count(self):
        assert proved_at(asked_at=10.0, held_s=0.5, age_s=0.5) == 10.0
