"""What this node knows: the catalog, the targets, the other nodes and the duties.

The adapter for the store writes it and everything else reads it. Nothing that was
known is replaced by something older: each entry carries the revision at which it was
written, and a catalog its version.
"""

import asyncio
from collections import defaultdict
from dataclasses import replace

import structlog

from lavenderstack.core import primary_selection
from lavenderstack.core.catalog import Catalog, RecordedOwnership, Reserve, TargetState
from lavenderstack.core.view import Target, View, Vm
from lavenderstack.core.view_proof import ViewProof

log = structlog.get_logger()


class Directory:
    """The view of one node; ``proof`` says until when it may be acted on."""

    def __init__(self, name: str, zone: str, proof: ViewProof) -> None:
        self.name = name
        self.zone = zone
        self.proof = proof
        self.catalog = Catalog()
        self.view = View()
        self.targets: dict[str, TargetState] = {}
        self.claims: dict[str, RecordedOwnership] = {}
        self.reserve = Reserve()
        self._groups: dict[str, dict[str, TargetState]] = defaultdict(dict)
        self._denied: dict[str, int] = {}
        self._changed = asyncio.Event()

    def update_catalog(self, catalog: Catalog) -> bool:
        """Put a version of the operators' lists in force unless it is not newer."""
        if catalog.version <= self.catalog.version:
            return False
        log.info(
            "directory: catalog in force",
            version=catalog.version,
            before=self.catalog.version,
            routes=len(catalog.routes),
            keys=len(catalog.keys),
        )
        self.catalog = catalog
        self._note_change()
        return True

    def put_target(
        self, target: Target, group: str, leaving: bool, leads: bool, revision: int
    ) -> None:
        """Take over the report of a target, written at ``revision``."""
        before = self.targets.get(target.name)
        if before is not None and revision <= before.revision:
            return
        since = primary_selection.leads_since(before, leads, revision)
        state = TargetState(target, group, leaving, leads, revision, since)
        if before is not None and before.group != group:
            self._groups[before.group].pop(target.name, None)
        self.targets[target.name] = state
        self._groups[group][target.name] = state
        if before is None or (before.leads, before.leaving) != (leads, leaving):
            log.info(
                "directory: target",
                target=target.name,
                group=group,
                leads=leads,
                leaving=leaving,
                revision=revision,
            )
        self._note_change()

    def update_target_limits(self, target: Target) -> None:
        """Put a target with other limits in the place of one that is known."""
        before = self.targets.get(target.name)
        if before is None or before.target == target:
            return
        state = replace(before, target=target)
        self.targets[target.name] = state
        self._groups[state.group][target.name] = state

    def drop_target(self, name: str, revision: int) -> None:
        """Forget a target whose report was removed at ``revision``."""
        state = self.targets.get(name)
        if state is None or revision < state.revision:
            return
        del self.targets[name]
        del self._groups[state.group][name]
        self._denied.pop(name, None)
        log.info("directory: target gone", target=name, revision=revision)
        self._note_change()

    def put_member(self, member: Vm) -> None:
        """Take over the registration of a node."""
        if self.view.vms.get(member.name) == member:
            return
        vms = dict(self.view.vms)
        vms[member.name] = member
        self.view = View(vms=vms)
        log.info("directory: node", name=member.name, state=member.state)
        self._note_change()

    def drop_member(self, name: str) -> None:
        """Forget a node whose registration has ended."""
        if name not in self.view.vms:
            return
        vms = dict(self.view.vms)
        del vms[name]
        self.view = View(vms=vms)
        log.info("directory: node gone", name=name)
        self._note_change()

    def put_reserve(self, reserve: Reserve) -> None:
        """Take over the record of the reserves."""
        if reserve.revision > self.reserve.revision:
            self.reserve = reserve

    def put_ownership(self, duty: str, claim: RecordedOwnership) -> None:
        """Note who holds a duty."""
        before = self.claims.get(duty)
        if before is None or claim.epoch >= before.epoch:
            self.claims[duty] = claim
            self._note_change()

    def drop_ownership(self, duty: str) -> None:
        """Note that nobody holds a duty."""
        if self.claims.pop(duty, None) is not None:
            self._note_change()

    def record_not_primary(self, name: str) -> None:
        """Note that a target has answered that it doesn't lead."""
        state = self.targets.get(name)
        if state is not None and self._denied.get(name) != state.revision:
            self._denied[name] = state.revision
            log.info(
                "directory: target is not the primary",
                target=name,
                revision=state.revision,
            )

    def record_primary(self, group: str, name: str) -> None:
        """Take over that a target was seen to lead, before it reports so itself.

        Its own report, whose revision will be higher than all that are known, only
        confirms it. If the news is wrong, the target's first refusal ends it.
        """
        state = self._groups[group].get(name)
        if state is None or self.primary(group) is state:
            return
        since = 1 + max(one.revision for one in self._groups[group].values())
        led = replace(state, leads=True, leads_since=since)
        self.targets[name] = self._groups[group][name] = led
        self._denied.pop(name, None)
        log.info("directory: primary observed", target=name, group=group)
        self._note_change()

    def group(self, name: str) -> list[TargetState]:
        """Return the targets of a group."""
        return list(self._groups[name].values())

    def primary(self, group: str) -> TargetState | None:
        """Return the target that is taken for the primary of a group, or None."""
        return primary_selection.leader(self._groups[group].values(), self._denied)

    def replicas(self, group: str) -> list[TargetState]:
        """Return the targets of a group that follow, without those that leave."""
        found = self._groups[group].values()
        return [one for one in found if not one.leads and not one.leaving]

    def is_work_allowed(
        self, organisation: str, digest: str, version: int, now: float
    ) -> bool:
        """Tell whether work under a key may be sent to a target at this moment.

        ``version`` is the catalog by which the sender of the work knew the key. A
        node that still has an earlier one takes its word: since this node's view is
        proved recent, the later version and all that followed it are recent too.
        """
        if not organisation:
            return True
        if not self.proof.holds(now):
            return False
        if self.catalog.version < version:
            return True
        return self.catalog.keys.get(digest) == organisation

    def _note_change(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> bool:
        """Wait until something here changes; False after ``timeout_s`` seconds."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True
