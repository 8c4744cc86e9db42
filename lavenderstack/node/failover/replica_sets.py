"""Keeps the recorded replica sets of the groups that this node owns up to date.

``core/failover/replica_set.py`` explains why a set is recorded and when a replica may
leave it. The record is in the platform's store, so that the next owner of the group
knows it.
"""

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass

import structlog

from lavenderstack.core import clock, statement
from lavenderstack.core.catalog import RecordedOwnership, TargetState
from lavenderstack.core.failover import replica_set, store_history
from lavenderstack.core.failover.acknowledged_end import takeover_blocker
from lavenderstack.core.failover.replacement import (
    Obstacle,
    ReplicaState,
    most_advanced,
)
from lavenderstack.core.failover.replica_set import ReplicaSet, TargetRun
from lavenderstack.core.position import Position
from lavenderstack.core.work_messages import (
    PrimaryPosition,
)
from lavenderstack.node.backend import ClaimLost, Claims
from lavenderstack.node.directory import Directory
from lavenderstack.node.failover.followers import Followers, format_positions
from lavenderstack.node.failover.group_positions import GroupPositions
from lavenderstack.node.failover.primary_probe import PrimaryProbe

log = structlog.get_logger()

# A proof asks every replica for its status, which takes a slot at each.
PROOF_RETRY_S = 1.0
# The pause after the store refused a record; up to twice as long, so that the owners of
# many groups don't write together.
RECORD_RETRY_S = 1.0
# While no follower may take over, all nodes and followers are asked this often.
BLOCKED_RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class _Blocked:
    """What the followers of a group had received when none could take over."""

    at: float
    received: dict[str, Position | None]

    def has_grown_since(self, before: "_Blocked") -> bool:
        """Return whether a follower has received more, so that a primary runs."""
        return any(
            position is not None
            and (earlier := before.received.get(name)) is not None
            and position > earlier
            for name, position in self.received.items()
        )


class ReplicaSets:
    """The replica sets of all groups, as far as this node owns them."""

    def __init__(
        self,
        directory: Directory,
        positions: GroupPositions,
        probe: PrimaryProbe,
        replicas: Followers,
        claims: Claims,
    ) -> None:
        self._directory = directory
        self._positions = positions
        self._probe = probe
        self._replicas = replicas
        self._claims = claims
        self._proof_tried_at: dict[str, float] = {}
        self._record_again_at: dict[str, float] = {}
        self._blocked: dict[str, _Blocked] = {}
        # By group: what keeps its record up to date.
        self._tasks: dict[str, asyncio.Task] = {}

    def primary_answered(self, group: str) -> None:
        """Record that the group's primary is not lost."""
        self._blocked.pop(group, None)

    def missing(self, group: str) -> list[str]:
        """Return the recorded replicas that are not registered any more, for a line."""
        recorded = self._directory.replica_sets.get(group)
        runs = replica_set.missing_replicas(
            recorded, self._directory.members(group, "")
        )
        return _format_runs(runs)

    def unregistered(self, group: str, primary: str) -> frozenset[TargetRun]:
        """Return the runs of replicas that may live on without a registration.

        ``primary`` is the name of the one to be replaced, empty if it isn't known.
        """
        recorded = self._directory.replica_sets.get(group)
        if not primary and recorded is not None:
            primary = recorded.primary
        return self._directory.unregistered.of(group, primary)

    def is_complete(self, group: str, primary: str) -> bool:
        """Return whether the followers hold every acknowledged commit together.

        ``primary`` is the name of the one to be replaced, empty if it isn't known.
        """
        recorded = self._directory.replica_sets.get(group)
        members = self._directory.members(group, primary)
        if replica_set.is_complete(recorded, primary, members):
            return True
        runs = self._directory.history.targets(group)
        return store_history.holds_every_commit(runs, members.present, max_absent=0)

    def maintain(
        self,
        primary: TargetState,
        claim: RecordedOwnership,
        followers: list[TargetState],
    ) -> None:
        """Record replicas that joined, and remove those that left after a proof.

        That runs on in the background, so that it never delays the next check.
        """
        task = self._tasks.get(primary.group)
        if task is None or task.done():
            coroutine = self._maintain(primary, claim, followers)
            self._tasks[primary.group] = asyncio.ensure_future(coroutine)

    async def settled(self) -> None:
        """Wait for what runs in the background."""
        await asyncio.gather(*self._tasks.values())

    async def _maintain(
        self,
        primary: TargetState,
        claim: RecordedOwnership,
        followers: list[TargetState],
    ) -> None:
        try:
            await self._update(primary, claim, followers)
        except Exception as exc:
            log.error("replacer: check failed", group=primary.group, exc_info=exc)

    async def _update(
        self,
        primary: TargetState,
        claim: RecordedOwnership,
        followers: list[TargetState],
    ) -> None:
        """Record the set as it is now, or as a proof shows it, if that changed."""
        group, name = primary.group, primary.target.name
        recorded = self._directory.replica_sets.get(group)
        members = self._directory.members(group, name)
        updated = replica_set.joined(recorded, name, members)
        complete = replica_set.is_complete(recorded, name, members)
        if complete and updated == recorded:
            return
        if not complete and await self._prove(primary, followers):
            updated = replica_set.proved(name, members)
        elif updated is None or updated == recorded:
            return
        await self._record(group, claim, updated, recorded)

    async def _prove(self, primary: TargetState, followers: list[TargetState]) -> bool:
        """Return whether a follower has all that the primary's log holds now.

        A change of the group's targets meanwhile means that it isn't proved.
        """
        group, name, now = primary.group, primary.target.name, clock.now()
        members = self._directory.members(group, name)
        if now - self._proof_tried_at.get(group, float("-inf")) < PROOF_RETRY_S:
            return False
        self._proof_tried_at[group] = now
        answer = await self._probe.ask(primary, max_age_s=0.0)
        if not isinstance(answer, PrimaryPosition):
            return False
        end = Position(*answer.position)
        states = await self._replicas.send(followers, statement.STATUS)
        unchanged = members == self._directory.members(group, name)
        if unchanged and replica_set.is_proof(end, states):
            return True
        log.info(
            "replacer: replica set not proved",
            group=group,
            end=str(tuple(end)),
            missing=self.missing(group),
            followers=format_positions(states),
        )
        return False

    async def _record(
        self,
        group: str,
        claim: RecordedOwnership,
        updated: ReplicaSet,
        before: ReplicaSet | None,
    ) -> None:
        now = clock.now()
        if now < self._record_again_at.get(group, now):
            return
        try:
            revision = await self._claims.record_replicas(
                group,
                claim.epoch,
                updated,
                self._directory.replica_set_revision(group),
            )
        except ClaimLost as exc:
            pause_s = RECORD_RETRY_S * random.uniform(1.0, 2.0)
            self._record_again_at[group] = now + pause_s
            log.info("replacer: replica set not recorded", group=group, error=str(exc))
            return
        self._directory.put_replica_set(group, updated, revision)
        known = before.replicas if before is not None else frozenset()
        log.info(
            "replacer: replica set recorded",
            group=group,
            primary=updated.primary,
            joined=_format_runs(updated.replicas - known),
            left=_format_runs(known - updated.replicas),
        )

    async def required_position(
        self, group: str, primary: str, followers: list[TargetState]
    ) -> Position | None:
        """Return what a successor must have received while the set is incomplete.

        ``primary`` is the name of the lost one, empty if it isn't known. Returns None
        if no follower may take over now.
        """
        now, before = clock.now(), self._blocked.get(group)
        if before is not None and now - before.at < BLOCKED_RETRY_S:
            return None
        states = await self._replicas.send(followers, statement.STATUS)
        # Last, since it may rest on the targets that are registered now.
        end = await self._positions.acknowledged_end(group, primary)
        blocked = _Blocked(now, {one.name: one.received for one in states})
        self._blocked[group] = blocked
        obstacle = takeover_blocker(
            end,
            most_advanced(states),
            missing=bool(self.missing(group)),
            grown=before is not None and blocked.has_grown_since(before),
        )
        if obstacle is None:
            return end.position
        self.log_blocked(group, obstacle, states, end.position, end.untold)
        return None

    def log_blocked(
        self,
        group: str,
        obstacle: Obstacle,
        states: list[ReplicaState],
        required: Position | None = None,
        untold: Iterable[str] = (),
    ) -> None:
        """Log why no replica may take over.

        ``required`` is what one must have received, ``untold`` the nodes that may have
        acknowledged more.
        """
        log.warning(
            "replacer: no replica may take over",
            group=group,
            obstacle=obstacle.name,
            followers=format_positions(states),
            required="unknown" if required is None else str(tuple(required)),
            missing=self.missing(group),
            nodes=list(untold),
            primary=self._positions.describe_last_answer(group),
        )


def _format_runs(runs: Iterable[TargetRun]) -> list[str]:
    """Return the runs for a log line, as name and start."""
    return [f"{run.name}#{run.started_ms}" for run in sorted(runs)]
