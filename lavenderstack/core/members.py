"""Which entry VMs are taken for live, and which of them holds a target.

The platform's list lags behind reality both ways, so it is only a hint: a VM that
did not answer a moment ago is passed over for a short time although it is listed.
Two nodes may believe different things; that costs efficiency, never safety, because
a target bounds the connections it accepts and says itself which term it leads.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import islice

from lavenderstack.core.hash_ring import CachedByIdentity, HashRing, hash_position
from lavenderstack.core.view import Target, View, Vm

SUSPECT_FOR_S = 2.0
CANDIDATES = 3


@dataclass(slots=True)
class _Rings:
    """The live entry VMs, all together and by availability zone.

    ``chosen`` keeps the candidates of each target that was asked for.
    """

    everywhere: HashRing
    by_zone: dict[str, HashRing]
    chosen: dict[str, list[Vm]] = field(default_factory=dict)

    def candidates(self, view: View, target: Target) -> list[Vm]:
        """Return the VMs for a target, those of its own zone first."""
        found = self.chosen.get(target.name)
        if found is None:
            at = hash_position(f"target/{target.name}")
            near = self.by_zone.get(target.zone)
            names = list(islice(near.nodes_after(at), CANDIDATES)) if near else []
            names += islice(self.everywhere.nodes_after(at), CANDIDATES)
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
    """What a node heard of the others: until when each is passed over."""

    name: str
    suspect_until: dict[str, float] = field(default_factory=dict)
    _latest: CachedByIdentity[_Rings] = field(
        default_factory=lambda: CachedByIdentity(_rings)
    )

    def suspect(self, name: str, now: float) -> None:
        """Pass over a VM that did not answer."""
        if name != self.name:
            self.suspect_until[name] = now + SUSPECT_FOR_S

    def trust(self, name: str) -> None:
        """Pass over a VM no longer, as it has answered."""
        self.suspect_until.pop(name, None)

    def live(self, view: View, now: float) -> list[Vm]:
        """Return the entry VMs that are listed as live and not passed over."""
        return [vm for vm in view.entry_vms() if not self._suspected(vm.name, now)]

    def _suspected(self, name: str, now: float) -> bool:
        return self.suspect_until.get(name, 0.0) > now

    def holders(self, view: View, target: Target, now: float) -> list[Vm]:
        """Return a few VMs to ask for a target, the first choice first.

        VMs of the target's own availability zone come first, so that the hop to
        the holder replaces the crossing between zones instead of adding one. VMs
        that are passed over come last: one of them may be all there is.
        """
        found = self._latest.value_for(view.vms).candidates(view, target)
        if not self.suspect_until:
            return found
        return sorted(found, key=lambda vm: self._suspected(vm.name, now))
