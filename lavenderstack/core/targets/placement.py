"""Which node holds which target's connections, where the VMs of a zone differ in size.

The hash ring of ``core/members.py`` gives every VM the same part of the targets. All
statements of a target pass through its holder, so a small VM that holds a busy primary
is the bottleneck of its group: its link fills and its processor falls behind, while
larger VMs of the zone idle.

Targets are therefore assigned by consistent hashing with bounded loads: a VM takes no
more targets than its part of the zone's capacity allows, and larger VMs are filled
first. The result depends only on the registered VMs and targets, so all nodes that know
the same ones agree without messages. Nodes that know different ones may both take
themselves for the holder of a target for a moment, as with the ring.

The load that this answers: few targets with much traffic each, on a fleet of which most
VMs are small.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from itertools import groupby

from lavenderstack.core.hash_ring import HashRing, hash_position
from lavenderstack.core.view import Target, Vm

# What a statement takes at its holder: processor time, and bytes over the VM's link,
# towards the entry node and the target together, in the direction that has more.
STATEMENT_CPU_S = 0.00055
STATEMENT_B = 2500
BITS_PER_B = 8
B_PER_MB = 1_000_000
# A VM may take this much more than its part, so that one that leaves moves few targets.
SLACK = 1.25


def capacity(cores: float, link_mbps: float) -> float:
    """Return how many statements a second a VM can pass on as a holder.

    ``cores`` is its processor in cores, ``link_mbps`` its link in Mbit/s.

    >>> round(capacity(0.5, 10.0)), round(capacity(2.0, 200.0))
    (500, 3636)
    """
    by_link = link_mbps * B_PER_MB / BITS_PER_B / STATEMENT_B
    return min(cores / STATEMENT_CPU_S, by_link)


def assign_holders(vms: Iterable[Vm], targets: Iterable[Target]) -> dict[str, str]:
    """Return the first choice for each target, by the target's name.

    Only VMs of the target's own zone are considered. A target is left out if there are
    none, or if they are all alike.
    """
    vms_by_zone: dict[str, list[Vm]] = defaultdict(list)
    for vm in vms:
        vms_by_zone[vm.zone].append(vm)
    targets_by_zone: dict[str, list[Target]] = defaultdict(list)
    for target in targets:
        targets_by_zone[target.zone].append(target)
    assigned: dict[str, str] = {}
    for zone, in_zone in targets_by_zone.items():
        assigned.update(_assign_in_zone(vms_by_zone.get(zone, ()), in_zone))
    return assigned


def _assign_in_zone(vms: Sequence[Vm], targets: Sequence[Target]) -> dict[str, str]:
    if len({vm.capacity for vm in vms}) < 2:
        return {}
    room = _room(vms, len(targets))
    rings = _rings_by_size(vms)
    assigned: dict[str, str] = {}
    for target in sorted(targets, key=_position):
        name = _first_with_room(rings, room, _position(target))
        if name is not None:
            room[name] -= 1
            assigned[target.name] = name
    return assigned


def _position(target: Target) -> bytes:
    return hash_position(f"target/{target.name}")


def _room(vms: Sequence[Vm], targets: int) -> dict[str, int]:
    """Return how many targets each VM may take; together they can take all."""
    total = sum(vm.capacity for vm in vms)
    return {
        vm.name: max(1, math.ceil(targets * SLACK * vm.capacity / total)) for vm in vms
    }


def _rings_by_size(vms: Sequence[Vm]) -> list[HashRing]:
    """Return a ring for each size of VM, the largest first."""

    def size(vm: Vm) -> float:
        return -vm.capacity

    ordered = sorted(vms, key=size)
    return [HashRing(vm.name for vm in alike) for _, alike in groupby(ordered, size)]


def _first_with_room(
    rings: Sequence[HashRing], room: dict[str, int], at: bytes
) -> str | None:
    for ring in rings:
        for name in ring.nodes_after(at):
            if room[name] > 0:
                return name
    return None
