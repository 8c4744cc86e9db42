"""Replaces primaries that are lost or about to leave.

For each group one node does this, as the owner of a claim in the platform's store. It
asks the connection holders of the primary for its position. The primary counts as lost
only when none of several holders, in different availability zones, gets an answer.
"""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field

import structlog

from lavenderstack.core import clock, statement
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.failover.isolation import Isolation
from lavenderstack.core.failover.replacement import (
    Obstacle,
    ReplicaState,
    choose_successor,
    commit_obstacle,
    most_advanced,
    takeover_obstacle,
)
from lavenderstack.core.position import Position
from lavenderstack.core.work_messages import PrimaryPosition
from lavenderstack.node.backend import Backend, Claims, Orders
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.failover.followers import Followers, format_positions
from lavenderstack.node.failover.group_claims import GroupClaims
from lavenderstack.node.failover.group_positions import GroupPositions, HeldEnd
from lavenderstack.node.failover.planned_failover import PlannedFailover
from lavenderstack.node.failover.primary_probe import PROBE_TIMEOUT_S, PrimaryProbe
from lavenderstack.node.failover.promoter import OrderOutcome, Promoter
from lavenderstack.node.failover.replica_sets import ReplicaSets
from lavenderstack.node.peers import Peers

log = structlog.get_logger()

CHECK_INTERVAL_S = 0.2
# Checks without a known primary after which the primary is replaced.
MAX_UNKNOWN_CHECKS = 3
# How long a primary may have no connection free. The connections of nodes that lost
# power count at a target for 3 s.
MAX_FULL_S = 4.0
# How long a replica may take to catch up before a leaving primary is replaced.
CATCH_UP_TIMEOUT_S = 0.6
CATCH_UP_POLL_S = 0.05
# How often it is tried to resume replicas that an earlier attempt may have paused.
RELEASE_RETRY_S = 1.0
# The node acts only if its view was proved current within this time.
MAX_VIEW_AGE_S = 2.5


@dataclass(slots=True)
class _GroupStatus:
    """State of this node's supervision of one group.

    ``misses`` counts checks in a row without a known primary. ``may_be_paused`` tells
    that an earlier attempt, also of a former owner, may have left replicas paused,
    ``order_pending`` that an order of this node may still be carried out. The other
    fields are in seconds on the clock: the first of the latest checks in a row at which
    the primary had no connection free, the last accepted order, and the last try to
    resume replicas. ``isolation`` tells how long other nodes haven't answered.
    """

    misses: int = 0
    full_since: float | None = None
    acted_at: float = 0.0
    may_be_paused: bool = True
    order_pending: bool = False
    released_at: float = float("-inf")
    isolation: Isolation = field(default_factory=Isolation)


class Replacer:
    """Supervises the primaries of the groups that this node owns.

    ``stopping`` is set at shutdown and ends all checks.
    """

    def __init__(
        self,
        directory: Directory,
        peers: Peers,
        backend: Backend,
        claims: Claims,
        orders: Orders,
        counters: Counters,
    ) -> None:
        self._directory = directory
        self._replicas = Followers(directory, backend)
        self._probe = PrimaryProbe(peers)
        self._group_claims = GroupClaims(directory, peers, claims)
        self._positions = GroupPositions(directory, peers)
        self._sets = ReplicaSets(
            directory, self._positions, self._probe, self._replicas, claims
        )
        self._promoter = Promoter(
            directory, peers, self._probe, claims, orders, counters
        )
        self._planned = PlannedFailover(directory)
        self._groups: dict[str, _GroupStatus] = defaultdict(_GroupStatus)
        self.stopping = False

    async def run(self) -> None:
        """Check all groups periodically until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            running: dict[str, asyncio.Task] = {}
            while True:
                for group in self._directory.catalog.groups:
                    task = running.get(group)
                    if task is None or task.done():
                        running[group] = tasks.create_task(self._check_alone(group))
                await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check_alone(self, group: str) -> None:
        """Check one group; an unexpected error must not end the checks of others."""
        try:
            await self._check_group(group)
        except Exception as exc:
            log.error("replacer: check failed", group=group, exc_info=exc)

    async def _check_group(self, group: str) -> None:
        """Check one group once, and replace its primary if necessary."""
        if not self._directory.group(group) or self.stopping:
            return
        status = self._groups[group]
        self._positions.observe_nodes()
        claim = await self._group_claims.own(group)
        if claim is None:
            status.may_be_paused, status.order_pending = True, False
            return
        if not self._may_act():
            return
        primary = self._directory.primary(group)
        if primary is None:
            status.misses += 1
            if status.misses >= MAX_UNKNOWN_CHECKS:
                await self._replace_lost(group, status, None)
            return
        if primary.leaving:
            await self._replace_leaving(group, status, primary)
            return
        asked_at = clock.now()
        answer = await self._probe.ask(primary)
        if isinstance(answer, PrimaryPosition):
            status.misses, status.full_since = 0, None
            self._replicas.record_term(group, answer.position[0])
            self._positions.record_answer(primary, answer, asked_at)
            self._sets.primary_answered(group)
            if status.may_be_paused:
                await self._release_paused(group, status, primary)
            if self._planned.is_due(group, primary):
                await self._replace_leaving(group, status, primary)
                return
            if self._is_replicated(group):
                self._sets.maintain(primary, claim, self._followers(group, primary))
            await self._group_claims.hand_over(primary, claim, status.acted_at)
            return
        if answer is not None and self._may_stay_full(status):
            log.info("replacer: primary full", group=group, target=primary.target.name)
            return
        log.info("replacer: primary silent", group=group, target=primary.target.name)
        await self._replace_lost(group, status, primary)

    def _may_stay_full(self, status: _GroupStatus) -> bool:
        """Return whether to wait for a primary that refuses new connections.

        It runs, and most often it is full of connections of nodes that lost power.
        """
        now = clock.now()
        if status.full_since is None:
            status.full_since = now
        return now - status.full_since < MAX_FULL_S

    def _may_act(self) -> bool:
        """Return whether this node's lease holds and its view is recent."""
        if not self._promoter.lease_holds():
            return False
        return self._directory.proof.age_s(clock.now()) < MAX_VIEW_AGE_S

    async def _replace_lost(
        self, group: str, status: _GroupStatus, lost: TargetState | None
    ) -> None:
        """Promote the replica with the longest log in place of a lost primary.

        The replicas are paused first. They are resumed if none may be promoted.
        """
        name = lost.target.name if lost else ""
        replicated = self._is_replicated(group)
        if not replicated or self._sets.is_complete(group, name):
            followers = self._followers(group, lost)
            states, end = await asyncio.gather(
                self._replicas.pause(group, followers),
                self._positions.hold(group, name),
            )
        else:
            followers = self._followers(group, lost)
            required = await self._sets.required_position(group, name, followers)
            if required is None or not self._may_act():
                self._release(group, status)
                return
            end = HeldEnd(required, everywhere=True)
            followers = self._followers(group, lost)
            states = await self._replicas.pause(group, followers)
        chosen = choose_successor(states, replicated)
        if replicated and self._has_joined(group, lost, followers):
            chosen = Obstacle.SILENT_REPLICA
        if isinstance(chosen, ReplicaState):
            obstacle, end = await self._commit_obstacle(group, name, chosen, end)
            chosen = obstacle or chosen
        await self._give_up_if_isolated(group, status, chosen)
        if self._has_other_primary(group, name):
            chosen = Obstacle.LED
        if isinstance(chosen, Obstacle):
            self._sets.log_blocked(group, chosen, states, end.position)
            await self._resume(group, status, followers)
            return
        log.warning(
            "replacer: primary lost",
            group=group,
            lost=name,
            chosen=chosen.name,
            followers=format_positions(states),
            primary=self._positions.describe_last_answer(group),
            held=end.everywhere,
        )
        await self._promote(group, status, chosen.name, followers)

    async def _commit_obstacle(
        self, group: str, lost: str, chosen: ReplicaState, end: HeldEnd
    ) -> tuple[Obstacle | None, HeldEnd]:
        """Return what the answers of the nodes say against a chosen replica, or None.

        Where that depends on nodes that gave no answer, all are asked once more. The
        last answers of the nodes are returned as well.
        """
        unregistered = bool(self._sets.unregistered(group, lost))
        obstacle = self._answers_obstacle(group, chosen, unregistered, end)
        if obstacle in (Obstacle.SILENT_NODE, Obstacle.ISOLATED):
            end = await self._positions.hold(group, lost, PROBE_TIMEOUT_S)
            obstacle = self._answers_obstacle(group, chosen, unregistered, end)
        return obstacle, end

    def _answers_obstacle(
        self, group: str, chosen: ReplicaState, unregistered: bool, end: HeldEnd
    ) -> Obstacle | None:
        if end.isolated:
            return Obstacle.ISOLATED
        if not self._is_replicated(group):
            return None
        return commit_obstacle(chosen, end.position, unregistered, end.everywhere)

    async def _give_up_if_isolated(
        self, group: str, status: _GroupStatus, chosen: ReplicaState | Obstacle
    ) -> None:
        """Leave the group to another owner if this node hears too few others."""
        if status.isolation.observe(chosen is Obstacle.ISOLATED, clock.now()):
            await self._group_claims.give_up(group)

    async def _replace_leaving(
        self, group: str, status: _GroupStatus, primary: TargetState
    ) -> None:
        """Promote a replica in place of one that leaves or whose zone is evacuated.

        The other replicas are paused until the candidate has caught up with them.
        """
        followers = self._followers(group, primary)
        staying = [one for one in followers if not one.leaving]
        states = await self._replicas.send(staying, statement.STATUS)
        candidate = most_advanced([one for one in states if not one.evacuated])
        if candidate is None:
            log.info("replacer: no replica to take over yet", group=group)
            return
        others = [one for one in followers if one.target.name != candidate.name]
        held = await self._hold_for_unregistered(primary)
        paused = await self._replicas.pause(group, others)
        replicated = self._is_replicated(group)
        until = clock.now() + CATCH_UP_TIMEOUT_S
        state = next(s for s in followers if s.target.name == candidate.name)
        while True:
            end = await self._end_of_log(primary)
            candidate = (await self._replicas.send([state], statement.STATUS))[0]
            obstacle = takeover_obstacle(candidate, paused, replicated)
            if obstacle is None and held is not None:
                obstacle = commit_obstacle(
                    candidate, held.position, True, held.everywhere
                )
            if obstacle is None:
                if await self._is_caught_up(primary, candidate, end):
                    break
                obstacle = Obstacle.MISSING_REPLICA
            if clock.now() > until:
                log.info(
                    "replacer: replacement postponed",
                    group=group,
                    obstacle=obstacle.name,
                )
                await self._resume(group, status, others)
                return
            await asyncio.sleep(CATCH_UP_POLL_S)
        log.info(
            "replacer: primary leaves",
            group=group,
            leaving=primary.target.name,
            chosen=candidate.name,
            followers=format_positions([candidate, *paused]),
        )
        await self._promote(group, status, candidate.name, others)

    async def _hold_for_unregistered(self, primary: TargetState) -> HeldEnd | None:
        """Let the nodes hold back acknowledgements, if a replica may live unregistered.

        A replica that announced its end and left doesn't count, so that callers notice
        nothing where targets are replaced one after the other.
        """
        group, name = primary.group, primary.target.name
        unregistered = self._directory.unregistered.of(group, name, with_leaving=False)
        if not unregistered or not self._is_replicated(group):
            return None
        return await self._positions.hold(group, name, PROBE_TIMEOUT_S)

    async def _promote(
        self, group: str, status: _GroupStatus, target: str, paused: list[TargetState]
    ) -> None:
        """Promote a target.

        ``paused`` are resumed if the order is certain not to be carried out. Otherwise
        they must not receive what the target may lack when it becomes the primary.
        """
        outcome = await self._promoter.promote(group, target)
        if outcome is OrderOutcome.TAKEN:
            status.acted_at = clock.now()
            status.misses, status.order_pending = 0, False
            self._positions.promoted(group)
            return
        if outcome is OrderOutcome.UNKNOWN:
            status.may_be_paused = status.order_pending = True
        await self._resume(group, status, paused)

    async def _resume(
        self, group: str, status: _GroupStatus, followers: list[TargetState]
    ) -> None:
        """Resume replicas, unless an order is pending or the next owner may act."""
        self._release(group, status)
        if status.order_pending:
            log.warning("replacer: replicas stay paused", group=group)
        elif self._promoter.lease_holds():
            await self._replicas.resume(group, followers)
        else:
            log.warning("replacer: lease too old to act", group=group)

    def _release(self, group: str, status: _GroupStatus) -> None:
        """Let the nodes acknowledge commits again, unless an order is pending."""
        if not status.order_pending:
            self._positions.release(group)

    async def _release_paused(
        self, group: str, status: _GroupStatus, primary: TargetState
    ) -> None:
        """Resume replicas that an earlier attempt left paused under this primary.

        An order of that attempt may still be under way. It must not take effect once
        the replicas receive again.
        """
        now = clock.now()
        if now - status.released_at < RELEASE_RETRY_S:
            return
        status.released_at = now
        followers = self._followers(group, primary)
        states = await self._replicas.send(followers, statement.STATUS)
        paused = [
            follower
            for follower, state in zip(followers, states, strict=True)
            if state.paused
        ]
        if paused or status.order_pending:
            if not await self._promoter.raise_fence(group, primary.target.name):
                return
            # Another owner's order must not follow this one closely.
            status.acted_at, status.order_pending = now, False
            await self._resume(group, status, paused)
        status.may_be_paused = any(state.received is None for state in states)

    def _has_joined(
        self, group: str, lost: TargetState | None, paused: list[TargetState]
    ) -> bool:
        """Return whether a replica has registered since the others were paused."""
        known = {state.run for state in paused}
        return any(one.run not in known for one in self._followers(group, lost))

    def _has_other_primary(self, group: str, lost: str) -> bool:
        """Return whether a target other than the lost one is the primary by now."""
        primary = self._directory.primary(group)
        return primary is not None and primary.target.name != lost

    def _is_replicated(self, group: str) -> bool:
        """Return whether the group's commits are acknowledged by a replica too."""
        limits = self._directory.catalog.groups.get(group)
        return limits is not None and limits.replicated

    async def _is_caught_up(
        self, primary: TargetState, candidate: ReplicaState, end: Position | None
    ) -> bool:
        """Return whether a candidate has every commit of a leaving primary.

        ``end`` is what the primary's log held before the candidate was asked, None if
        it gave no answer. The other followers are paused, so nothing more is
        acknowledged without the candidate.
        """
        group = primary.group
        if not self._is_replicated(group):
            return True
        if end is not None:
            return candidate.received >= end
        told = await self._positions.highest_told(group)
        complete = self._sets.is_complete(group, primary.target.name)
        return complete and candidate.received >= told

    async def _end_of_log(self, primary: TargetState) -> Position | None:
        """Return where the primary's log ends now, None if it gives no answer."""
        answer = await self._probe.ask(primary, max_age_s=0.0)
        is_position = isinstance(answer, PrimaryPosition)
        return Position(*answer.position) if is_position else None

    def _followers(self, group: str, primary: TargetState | None) -> list[TargetState]:
        name = primary.target.name if primary else ""
        return [s for s in self._directory.group(group) if s.target.name != name]
