"""Which entry VMs are considered live, and which of them holds a target's connections.

The platform's list may be outdated in both directions, so it is only a hint: a listed
VM that failed to answer is given low priority for a short time. Two nodes may come to
different results. That costs efficiency, never safety, because a target limits the
connections it accepts and itself reports which term it leads.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import islice

from lavenderstack.core.hash_ring import CachedByIdentity, HashRing, hash_position
from lavenderstack.core.view import Target, View, Vm

# How long a VM that did not answer is given low priority.
SUSPECT_FOR_S = 2.0
# Candidates taken from the target's own zone, and as many from all zones.
CANDIDATES = 3


@dataclass(slots=True)
class _Rings:
    """The live entry VMs, all together and by availability zone.

    ``chosen`` caches the candidates of each target.
    """

    all_zones: HashRing
    by_zone: dict[str, HashRing]
    chosen: dict[str, list[Vm]] = field(default_factory=dict)

    def candidates(self, view: View, target: Target) -> list[Vm]:
        """Return the VMs for a target, those of its own zone first."""
        found = self.chosen.get(target.name)
        if found is None:
            at = hash_position(f"target/{target.name}")
            zone_ring = self.by_zone.get(target.zone)
            names = (
                list(islice(zone_ring.nodes_after(at), CANDIDATES)) if zone_ring else []
            )
            names += islice(self.all_zones.nodes_after(at), CANDIDATES)
            found = [view.vms[name] for name in dict.fromkeys(names)]
            self.chosen[target.name] = found
        return found


def _rings(vms: Mapping[str, Vm]) -> _Rings:
    live = View(vms=vms).entry_vms()
    zones = {vm.zone for vm in live}
    by_zone = {z: HashRing(vm.name for vm in live if vm.zone == z) for z in zones}
    return _Rings(HashRing(vm.name for vm in live), by_zone)


@dataclass(slots=True)
class Members:
    """What a node knows of the others: until when each is suspected to be down.

    Times are in seconds on the clock of ``core.clock``.
    """

    name: str
    suspect_until: dict[str, float] = field(default_factory=dict)
    _rings_by_vms: CachedByIdentity[_Rings] = field(
        default_factory=lambda: CachedByIdentity(_rings)
    )

    def suspect(self, name: str, now: float) -> None:
        """Suspect a VM that did not answer, for ``SUSPECT_FOR_S``."""
        if name != self.name:
            self.suspect_until[name] = now + SUSPECT_FOR_S

    def trust(self, name: str) -> None:
        """Stop suspecting a VM, as it has answered."""
        self.suspect_until.pop(name, None)

    def live(self, view: View, now: float) -> list[Vm]:
        """Return the entry VMs that are listed as live and not suspected."""
        return [vm for vm in view.entry_vms() if not self._suspected(vm.name, now)]

    def _suspected(self, name: str, now: float) -> bool:
        return self.suspect_until.get(name, 0.0) > now

    def holders(
        self, view: View, target: Target, now: float, assigned: str | None = None
    ) -> list[Vm]:
        """Return candidates for a target's connection holder, the first choice first.

        VMs of the target's own availability zone come first, so that the connection
        between zones is the one to the holder and no second one is needed. Suspected
        VMs come last but are included: there may be no others. ``assigned`` is the VM
        to which the placement assigns the target, None if the ring alone decides.
        """
        found = self._rings_by_vms.value_for(view.vms).candidates(view, target)
        if assigned is not None and assigned in view.vms:
            others = [vm for vm in found if vm.name != assigned]
            found = [view.vms[assigned], *others]
        if not self.suspect_until:
            return found
        return sorted(found, key=lambda vm: self._suspected(vm.name, now))
