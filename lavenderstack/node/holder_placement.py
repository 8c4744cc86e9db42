"""The placement of targets on VMs of different size, as this node knows both."""

import structlog

from lavenderstack.core.targets.placement import assign_holders
from lavenderstack.core.view import Target
from lavenderstack.node.directory import Directory

log = structlog.get_logger()


class HolderPlacement:
    """Assigns the targets of groups under load control to the larger VMs.

    The assignment is computed anew when a VM, a target or the catalog has changed.
    ``assigned`` maps targets to VMs.
    """

    def __init__(self, directory: Directory) -> None:
        self.assigned: dict[str, str] = {}
        self._directory = directory
        # What the present assignment was computed from.
        self._basis: tuple = ()

    def assigned_to(self, target: Target) -> str | None:
        """Return the VM to which a target is assigned, None if the ring decides."""
        self._update()
        return self.assigned.get(target.name)

    def _update(self) -> None:
        directory = self._directory
        basis = (
            directory.view.vms,
            directory.target_changes,
            directory.catalog,
            directory.load_control,
        )
        if len(self._basis) == len(basis) and all(
            before is now or (isinstance(now, int) and before == now)
            for before, now in zip(self._basis, basis, strict=True)
        ):
            return
        self._basis = basis
        vms = directory.view.entry_vms()
        targets = [
            state.target
            for state in directory.targets.values()
            if directory.is_load_controlled(state.group)
        ]
        before, self.assigned = self.assigned, assign_holders(vms, targets)
        self._log_own(before)

    def _log_own(self, before: dict[str, str]) -> None:
        """Log the targets that this node takes over or gives up."""
        name = self._directory.name
        had = {target for target, vm in before.items() if vm == name}
        has = {target for target, vm in self.assigned.items() if vm == name}
        if had != has:
            log.info(
                "placement: assigned targets changed",
                taken=sorted(has - had),
                given_up=sorted(had - has),
            )
