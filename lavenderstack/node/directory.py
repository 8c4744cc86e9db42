"""A node's copy of the store: the catalog, targets, other nodes and ownerships.

The store adapter writes it; all other components read it. An entry is never replaced
by an older one: each entry carries the store revision at which it was written, and
each catalog its version.
"""

import asyncio
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import replace

import structlog

from lavenderstack.core import clock
from lavenderstack.core.catalog import Catalog, RecordedOwnership, Reserve, TargetState
from lavenderstack.core.failover import primary_selection
from lavenderstack.core.failover.replica_set import Membership, ReplicaSet, TargetRun
from lavenderstack.core.failover.store_history import StoreHistory
from lavenderstack.core.failover.unregistered_targets import UnregisteredTargets
from lavenderstack.core.targets.contention import LoadControl, is_load_controlled
from lavenderstack.core.targets.drain_limit import usable_until
from lavenderstack.core.view import Target, View, Vm
from lavenderstack.core.view_proof import ViewProof
from lavenderstack.node.evacuation.evacuated_zones import EvacuatedZones
from lavenderstack.node.targets.cold_starts import ColdStarts

log = structlog.get_logger()

# Targets remembered of a group that left since its replica set was recorded. Further
# ones needn't be: one alone means that the set must be proved anew.
MAX_DEPARTED = 50


class Directory(EvacuatedZones, ColdStarts):
    """The view of one node; ``proof`` tells until when the node may act on it.

    ``load_control`` is the setting that tells for which groups load control is enabled,
    ``regions`` maps zones to regions.
    """

    def __init__(self, name: str, zone: str, proof: ViewProof) -> None:
        EvacuatedZones.__init__(self)
        ColdStarts.__init__(self)
        self.name = name
        self.zone = zone
        self.proof = proof
        self.catalog = Catalog()
        self.view = View()
        self.targets: dict[str, TargetState] = {}
        # How often a target was added, removed, or moved to another zone or group.
        self.target_changes = 0
        self.ownerships: dict[str, RecordedOwnership] = {}
        self.replica_sets: dict[str, ReplicaSet] = {}
        self.reserve = Reserve()
        self.history = StoreHistory()
        self.load_control = LoadControl.AUTO
        self.regions: Mapping[str, str] = {}
        # How long targets that leave may get new work, None if there is no limit.
        self.drain_limit_s: float | None = None
        self._groups: dict[str, dict[str, TargetState]] = defaultdict(dict)
        # All changes of the store up to this position are known.
        self.as_of = 0
        self._replica_set_revisions: dict[str, int] = {}
        # By group: the runs of targets that left since its replica set was recorded,
        # with the revision at which each left.
        self._departed: dict[str, dict[TargetRun, int]] = defaultdict(dict)
        self.unregistered = UnregisteredTargets()
        self._not_primary_at: dict[str, int] = {}
        self._changed = asyncio.Event()

    def update_catalog(self, catalog: Catalog) -> bool:
        """Apply a catalog; return False if its version is not newer than the current.

        A catalog is one version of the lists that operators maintain.
        """
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
        self._signal_change()
        return True

    def put_target(
        self,
        target: Target,
        group: str,
        leaving: bool,
        leads: bool,
        revision: int,
        started_ms: int = 0,
        cold_s: float = 0.0,
    ) -> None:
        """Store a target's report that was written at ``revision``.

        ``leads`` tells whether the target reports itself as the primary,
        ``started_ms`` when its present run began, in Unix milliseconds, or 0, and
        ``cold_s`` how many more seconds it is cold. A report that is not newer than the
        stored one is ignored.
        """
        before = self.targets.get(target.name)
        if before is not None and revision <= before.revision:
            return
        since = primary_selection.leads_since(before, leads, revision)
        state = TargetState(target, group, leaving, leads, revision, since, started_ms)
        if cold_s:
            state = replace(state, cold_until=clock.now() + cold_s)
        elif before is not None and before.cold_until:
            # When it stopped being cold, from which on it gets its slots back.
            cold_until = min(before.cold_until, clock.now())
            state = replace(state, cold_until=cold_until)
        if leaving:
            state = replace(state, usable_until=self._usable_until(before, state))
        if before is not None and before.group != group:
            self._groups[before.group].pop(target.name, None)
        if before is not None and (before.group, before.run) != (group, state.run):
            self._record_departed(before, revision)
        self.targets[target.name] = state
        self._groups[group][target.name] = state
        self.unregistered.registered(state)
        if before is None or before.target.zone != target.zone or before.group != group:
            self.target_changes += 1
        if before is None or (before.leads, before.leaving) != (leads, leaving):
            log.info(
                "directory: target changed",
                target=target.name,
                group=group,
                leads=leads,
                leaving=leaving,
                revision=revision,
            )
        self._signal_change()

    def _usable_until(self, before: TargetState | None, leaving: TargetState) -> float:
        """Return until when a target that leaves may get new work, on the clock."""
        if before is not None and before.leaving and before.run == leaving.run:
            return before.usable_until
        return usable_until(clock.now(), self.proof.at, self.drain_limit_s)

    def _record_departed(self, state: TargetState, revision: int) -> None:
        departed = self._departed[state.group]
        if len(departed) < MAX_DEPARTED:
            departed[state.run] = revision

    def members(self, group: str, primary: str) -> Membership:
        """Return the runs of a group's targets without the one that is its primary."""
        present = (
            state.run for state in self.group(group) if state.target.name != primary
        )
        departed = frozenset(self._departed[group])
        return Membership(frozenset(present), departed, self.as_of)

    def update_target_limits(self, target: Target) -> None:
        """Replace the limits of a known target; an unknown target is ignored."""
        before = self.targets.get(target.name)
        if before is None or before.target == target:
            return
        state = replace(before, target=target)
        self.targets[target.name] = state
        self._groups[state.group][target.name] = state

    def drop_target(self, name: str, revision: int) -> None:
        """Remove a target whose report was deleted from the store at ``revision``."""
        state = self.targets.get(name)
        if state is None or revision < state.revision:
            return
        del self.targets[name]
        del self._groups[state.group][name]
        self.target_changes += 1
        self._record_departed(state, revision)
        self.unregistered.left(state)
        self._not_primary_at.pop(name, None)
        log.info(
            "directory: target gone",
            target=name,
            group=state.group,
            leads=state.leads,
            revision=revision,
        )
        self._signal_change()

    def put_member(self, member: Vm) -> None:
        """Store the registration of a node."""
        if self.view.vms.get(member.name) == member:
            return
        vms = dict(self.view.vms)
        vms[member.name] = member
        self._update_members(vms)
        log.info("directory: node changed", name=member.name, state=member.state)
        self._signal_change()

    def drop_member(self, name: str) -> None:
        """Remove a node whose registration has ended."""
        if name not in self.view.vms:
            return
        vms = dict(self.view.vms)
        del vms[name]
        self._update_members(vms)
        log.info("directory: node gone", name=name)
        self._signal_change()

    def _update_members(self, vms: dict[str, Vm]) -> None:
        self.view = View(vms=vms)
        self.members_changed_at = clock.now()

    def put_reserve(self, reserve: Reserve) -> None:
        """Store the record of the reserves unless it is older than the stored one."""
        if reserve.revision > self.reserve.revision:
            self.reserve = reserve

    def put_ownership(self, name: str, ownership: RecordedOwnership) -> None:
        """Store the owner of a shard or group, unless its epoch is older."""
        before = self.ownerships.get(name)
        if before is None or ownership.epoch >= before.epoch:
            self.ownerships[name] = ownership
            self._signal_change()

    def put_replica_set(self, group: str, replicas: ReplicaSet, revision: int) -> None:
        """Store the recorded replica set of a group, unless a later one is known."""
        if revision <= self._replica_set_revisions.get(group, 0):
            return
        self._replica_set_revisions[group] = revision
        self.replica_sets[group] = replicas
        departed = self._departed[group]
        for run in [run for run, at in departed.items() if at <= replicas.as_of]:
            del departed[run]

    def drop_replica_set(self, group: str, revision: int) -> None:
        """Record that a group has no valid replica set since ``revision``."""
        if revision >= self._replica_set_revisions.get(group, 0):
            self._replica_set_revisions[group] = revision
            self.replica_sets.pop(group, None)

    def replica_set_revision(self, group: str) -> int:
        """Return the revision of a group's valid replica set, 0 if there is none."""
        if group not in self.replica_sets:
            return 0
        return self._replica_set_revisions[group]

    def drop_ownership(self, name: str) -> None:
        """Record that a shard or group has no owner."""
        if self.ownerships.pop(name, None) is not None:
            self._signal_change()

    def record_not_primary(self, name: str) -> None:
        """Record that a target has answered that it is not the primary.

        This overrides the target's current report, until a newer one arrives.
        """
        state = self.targets.get(name)
        if state is not None and self._not_primary_at.get(name) != state.revision:
            self._not_primary_at[name] = state.revision
            log.info(
                "directory: target is not the primary",
                target=name,
                revision=state.revision,
            )

    def record_primary(self, group: str, name: str) -> None:
        """Record that a target was observed as the primary, before its own report.

        The target's own report will carry a higher revision than all known ones and
        confirm this. If the observation is wrong, the first refusal by the target
        undoes it; see ``record_not_primary``.
        """
        state = self._groups[group].get(name)
        if state is None or self.primary(group) is state:
            return
        since = 1 + max(other.revision for other in self._groups[group].values())
        promoted = replace(state, leads=True, leads_since=since)
        self.targets[name] = self._groups[group][name] = promoted
        self._not_primary_at.pop(name, None)
        log.info("directory: primary observed", target=name, group=group)
        self._signal_change()

    def is_replicated(self, group: str) -> bool:
        """Return whether a group's commits are acknowledged by a replica too."""
        limits = self.catalog.groups.get(group)
        return limits is not None and limits.replicated

    def is_load_controlled(self, group: str) -> bool:
        """Return whether load control is enabled for a group."""
        return is_load_controlled(self.load_control, self.catalog, group)

    def group(self, name: str) -> list[TargetState]:
        """Return the targets of a group."""
        return list(self._groups[name].values())

    def followers(self, group: str, primary: str) -> list[TargetState]:
        """Return the targets of a group without the one that is its primary."""
        return [one for one in self.group(group) if one.target.name != primary]

    def primary(self, group: str) -> TargetState | None:
        """Return the target that this node considers a group's primary, or None."""
        return primary_selection.select_primary(
            self._groups[group].values(), self._not_primary_at
        )

    def replicas(self, group: str) -> list[TargetState]:
        """Return the replicas of a group, without those that are leaving."""
        states = self._groups[group].values()
        return [state for state in states if not state.leads and not state.leaving]

    def unproved(self, has_key: bool, now: float) -> str:
        """Return what this node can't know for a statement now, empty if it can.

        ``has_key`` tells whether a key came with the statement, ``now`` is the local
        clock in seconds. Such a statement must not be sent to a target, nor refused for
        what the catalog lacks.
        """
        if not self.is_view_recent(now):
            return "evacuated zones"
        if not self.proof.catalog_holds(now):
            return "changes of the catalog"
        if has_key and not self.proof.holds(now):
            return "withdrawn keys"
        return ""

    def is_work_allowed(
        self, organisation: str, digest: str, version: int, now: float
    ) -> bool:
        """Return whether a statement under an API key may be sent to a target now.

        ``digest`` identifies the key, ``now`` is the local clock in seconds, and
        ``version`` is the catalog version by which the sending node accepted the key.
        A node with an older catalog accepts the sender's check: this node's view is
        proved recent, so the newer catalog and any later ones are recent too.
        """
        if self.unproved(bool(organisation), now):
            return False
        if not organisation:
            return True
        if self.catalog.version < version:
            return True
        return self.catalog.keys.get(digest) == organisation

    def _signal_change(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> bool:
        """Wait for the next change; return False if none came in ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True
