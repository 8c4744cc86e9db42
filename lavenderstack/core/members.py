"""Which entry VMs are taken for live, and which of them holds a target.

The platform's list lags behind reality both ways, so it is only a hint: a VM that
did not answer a moment ago is passed over for a short time although it is listed.
Two nodes may believe different things; that costs efficiency, never safety, because
a target bounds the connections it accepts and says itself which term it leads.
"""

from dataclasses import dataclass, field

from lavenderstack.core import rendezvous
from lavenderstack.core.view import Target, View, Vm

SUSPECT_FOR_S = 2.0


@dataclass(slots=True)
class Members:
    """What a node heard of the others: until when each is passed over."""

    name: str
    suspect_until: dict[str, float] = field(default_factory=dict)

    def suspect(self, name: str, now: float) -> None:
        """Pass over a VM that did not answer."""
        if name != self.name:
            self.suspect_until[name] = now + SUSPECT_FOR_S

    def live(self, view: View, now: float) -> list[Vm]:
        """Return the entry VMs that are listed as live and not passed over."""
        return [vm for vm in view.entry_vms() if not self._suspected(vm.name, now)]

    def _suspected(self, name: str, now: float) -> bool:
        return self.suspect_until.get(name, 0.0) > now

    def holders(self, view: View, target: Target, now: float) -> list[Vm]:
        """Return the VMs to ask for a target, the first choice first.

        VMs of the target's own availability zone come first, so that the hop to
        the holder replaces the crossing between zones instead of adding one. VMs
        that are passed over come last: one of them may be all there is.
        """
        vms = {vm.name: vm for vm in view.entry_vms()}
        ranked = rendezvous.rank(f"target/{target.name}", vms)

        def distance(name: str) -> tuple[bool, bool]:
            return self._suspected(name, now), vms[name].zone != target.zone

        return [vms[name] for name in sorted(ranked, key=distance)]
