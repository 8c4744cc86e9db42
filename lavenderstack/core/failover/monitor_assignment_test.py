"""Tests of the assignment of monitors to groups."""

from collections import Counter

import pytest

from lavenderstack.core.failover.monitor_assignment import MonitorAssignment
from lavenderstack.core.view import Vm


def vms(count, zones):
    return [Vm(f"n{i}", f"z{i % zones}", "127.0.0.1", i) for i in range(count)]


class TestMonitorAssignment:
    @pytest.mark.parametrize(
        ("nodes", "zones", "monitors", "zones_used"),
        [(8, 4, 3, 3), (7, 3, 3, 3), (8, 2, 3, 2), (2, 1, 2, 1), (0, 1, 0, 0)],
    )
    def test_monitors_are_in_different_zones_if_possible(
        self, nodes, zones, monitors, zones_used
    ):
        listed = vms(nodes, zones)
        zone_of = {vm.name: vm.zone for vm in listed}
        for group in range(20):
            chosen = MonitorAssignment(listed).monitors_of(f"g{group}")
            assert len(set(chosen)) == len(chosen) == monitors
            assert len({zone_of[name] for name in chosen}) == zones_used

    def test_load_is_shared_and_few_assignments_change(self):
        listed = vms(60, 3)
        before, after = MonitorAssignment(listed), MonitorAssignment(listed[:-1])
        groups = [f"g{n}" for n in range(600)]
        load = Counter(name for group in groups for name in before.monitors_of(group))
        assert max(load.values()) < 3 * 600 * 3 / 60
        moved = [g for g in groups if before.monitors_of(g) != after.monitors_of(g)]
        assert all("n59" in before.monitors_of(group) for group in moved)
