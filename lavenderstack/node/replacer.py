"""Replaces primaries that are lost or about to leave.

For each group one node does this, as the owner of a claim in the platform's store. It
asks the connection holders of the primary for its position. The primary counts as lost
only when none of several holders, in different availability zones, gets an answer.
"""

import asyncio
from collections import defaultdict
from dataclasses import dataclass

import structlog

from lavenderstack.core import clock, statement
from lavenderstack.core.catalog import RecordedOwnership, TargetState
from lavenderstack.core.hash_ring import CachedByIdentity, HashRing, hash_position
from lavenderstack.core.position import START, Position
from lavenderstack.core.replacement import (
    Obstacle,
    ReplicaState,
    choose_successor,
    most_advanced,
    takeover_obstacle,
)
from lavenderstack.core.work_messages import PrimaryPosition
from lavenderstack.node.backend import Backend, ClaimLost, Claims, Orders
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.followers import Followers, format_positions
from lavenderstack.node.peers import Peers
from lavenderstack.node.primary_probe import PrimaryProbe
from lavenderstack.node.promoter import OrderOutcome, Promoter
from lavenderstack.node.replica_sets import ReplicaSets

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
# Delay between the nodes of the hash ring that try in turn to claim an unowned group.
CLAIM_STEP_S = 0.6
CLAIM_RETRY_S = 0.5
# An owner in the primary's own zone hands the group over, because it would be cut off
# together with the primary. It waits this long after a replacement or a handover.
HAND_OVER_HOLDOFF_S = 6.0


@dataclass(slots=True)
class _GroupStatus:
    """State of this node's supervision of one group.

    ``misses`` counts checks in a row without a known primary. The other fields are in
    seconds on the clock; ``full_since`` is the first of the latest checks in a row at
    which the primary had no connection free. ``may_be_paused`` tells that an earlier
    attempt, also of a former owner, may have left replicas paused.
    """

    misses: int = 0
    full_since: float | None = None
    claimed_at: float = 0.0
    unowned_since: float | None = None
    replaced_at: float = 0.0
    handed_over_at: float = 0.0
    may_be_paused: bool = True
    released_at: float = float("-inf")


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
        self._peers = peers
        self._replicas = Followers(directory, backend)
        self._claims = claims
        self._probe = PrimaryProbe(peers)
        self._sets = ReplicaSets(directory, peers, self._probe, self._replicas, claims)
        self._promoter = Promoter(
            directory, peers, self._probe, claims, orders, counters
        )
        self._groups: dict[str, _GroupStatus] = defaultdict(_GroupStatus)
        self._ring_cache: CachedByIdentity[HashRing] = CachedByIdentity(
            lambda vms: HashRing(vm.name for vm in vms.values() if vm.state == "live")
        )
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
        claim = await self._current_claim(group, status)
        if claim is None:
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
            self._sets.record_answer(primary, answer, asked_at)
            if status.may_be_paused:
                await self._release_paused(group, status, primary)
            if self._is_replicated(group):
                followers = self._followers(group, primary)
                await self._sets.maintain(primary, claim, followers)
            await self._hand_over(group, status, primary, claim)
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

    async def _hand_over(
        self,
        group: str,
        status: _GroupStatus,
        primary: TargetState,
        claim: RecordedOwnership,
    ) -> None:
        """Release the group to a node outside the primary's zone, if there is one."""
        if primary.target.zone != self._directory.zone:
            return
        now = clock.now()
        if now - max(status.replaced_at, status.handed_over_at) < HAND_OVER_HOLDOFF_S:
            return
        vms = self._peers.live()
        if all(vm.zone == self._directory.zone for vm in vms):
            return
        status.handed_over_at = now
        log.info(
            "replacer: ownership handed over", group=group, zone=primary.target.zone
        )
        await self._claims.release(group, claim.epoch)

    async def _current_claim(
        self, group: str, status: _GroupStatus
    ) -> RecordedOwnership | None:
        """Return this node's claim in force, None if it may not act.

        Claims an unowned group when it is this node's turn; the new claim is returned
        by a later call, once the directory shows it.
        """
        claim = self._directory.ownerships.get(group)
        if claim is not None:
            status.unowned_since = None
            is_own = claim.node == self._claims.identity
            status.may_be_paused = status.may_be_paused or not is_own
            return claim if is_own and self._may_act() else None
        now = clock.now()
        if status.unowned_since is None:
            status.unowned_since = now
        turn_at = status.unowned_since + self._candidates_before(group) * CLAIM_STEP_S
        if now < turn_at or now - status.claimed_at < CLAIM_RETRY_S:
            return None
        status.claimed_at = now
        try:
            await self._claims.claim(group)
        except ClaimLost as exc:
            log.info("replacer: ownership not claimed", group=group, error=str(exc))
        return None

    def _candidates_before(self, group: str) -> int:
        """Return how many nodes try to claim an unowned group before this one."""
        ring = self._ring_cache.value_for(self._directory.view.vms)
        primary = self._directory.primary(group)
        zone = primary.target.zone if primary else ""
        vms = self._directory.view.vms
        names = list(ring.nodes_after(hash_position(f"primary/{group}")))
        names.sort(key=lambda name: vms[name].zone == zone)
        name = self._directory.name
        return names.index(name) if name in names else len(names)

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
        followers = self._followers(group, lost)
        name = lost.target.name if lost else ""
        replicated, required = self._is_replicated(group), START
        if replicated and not self._sets.is_complete(group, name):
            required = await self._sets.required_position(group, name, followers)
            if required is None:
                return
        states = await self._replicas.pause(group, followers)
        chosen = choose_successor(states, replicated)
        if isinstance(chosen, ReplicaState) and chosen.received < required:
            chosen = Obstacle.MISSING_REPLICA
        if self._has_other_primary(group, name):
            chosen = Obstacle.LED
        if isinstance(chosen, Obstacle):
            log.warning(
                "replacer: no replica may take over",
                group=group,
                obstacle=chosen.name,
                followers=format_positions(states),
                missing=self._sets.missing(group),
                primary=self._sets.describe_last_answer(group),
            )
            await self._resume(group, followers)
            return
        log.warning(
            "replacer: primary lost",
            group=group,
            lost=name,
            chosen=chosen.name,
            followers=format_positions(states),
            primary=self._sets.describe_last_answer(group),
        )
        await self._promote(group, status, chosen.name, followers)

    async def _replace_leaving(
        self, group: str, status: _GroupStatus, primary: TargetState
    ) -> None:
        """Promote a replica in place of a primary that is about to leave.

        The other replicas are paused until the candidate has caught up with them.
        """
        followers = self._followers(group, primary)
        staying = [one for one in followers if not one.leaving]
        states = await self._replicas.send(staying, statement.STATUS)
        candidate = most_advanced(states)
        if candidate is None:
            log.info("replacer: no replica to take over yet", group=group)
            return
        others = [one for one in followers if one.target.name != candidate.name]
        paused = await self._replicas.pause(group, others)
        replicated = self._is_replicated(group)
        until = clock.now() + CATCH_UP_TIMEOUT_S
        state = next(s for s in followers if s.target.name == candidate.name)
        while True:
            candidate = (await self._replicas.send([state], statement.STATUS))[0]
            obstacle = takeover_obstacle(candidate, paused, replicated)
            if obstacle is None:
                if await self._is_caught_up(primary, candidate):
                    break
                obstacle = Obstacle.MISSING_REPLICA
            if clock.now() > until:
                log.info(
                    "replacer: replacement postponed",
                    group=group,
                    obstacle=obstacle.name,
                )
                await self._resume(group, others)
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

    async def _promote(
        self, group: str, status: _GroupStatus, target: str, paused: list[TargetState]
    ) -> None:
        """Promote a target.

        ``paused`` are resumed if the order is certain not to be carried out. Otherwise
        they must not receive what the target may lack when it becomes the primary.
        """
        outcome = await self._promoter.promote(group, target)
        if outcome is OrderOutcome.TAKEN:
            status.replaced_at = clock.now()
            status.misses = 0
        elif outcome is OrderOutcome.NOT_TAKEN:
            await self._resume(group, paused)
        else:
            status.may_be_paused = True
            log.warning("replacer: replicas stay paused", group=group, target=target)

    async def _resume(self, group: str, followers: list[TargetState]) -> None:
        """Resume replicas, unless the next owner may have paused them by now."""
        if self._promoter.lease_holds():
            await self._replicas.resume(group, followers)
        else:
            log.warning("replacer: lease too old to act", group=group)

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
        if paused:
            if not await self._promoter.raise_fence(group, primary.target.name):
                return
            # Another owner's order must not follow this one closely.
            status.replaced_at = now
            await self._resume(group, paused)
        status.may_be_paused = any(state.received is None for state in states)

    def _has_other_primary(self, group: str, lost: str) -> bool:
        """Return whether a target other than the lost one is the primary by now."""
        primary = self._directory.primary(group)
        return primary is not None and primary.target.name != lost

    def _is_replicated(self, group: str) -> bool:
        """Return whether the group's commits are acknowledged by a replica too."""
        limits = self._directory.catalog.groups.get(group)
        return limits is not None and limits.replicated

    async def _is_caught_up(
        self, primary: TargetState, candidate: ReplicaState
    ) -> bool:
        """Return whether a candidate has every commit of a primary that answers.

        The other followers are paused, so nothing more is acknowledged without it.
        """
        group = primary.group
        if not self._is_replicated(group):
            return True
        if self._sets.is_complete(group, primary.target.name):
            return True
        answer = await self._probe.ask(primary, max_age_s=0.0)
        if not isinstance(answer, PrimaryPosition):
            return False
        return candidate.received >= Position(*answer.position)

    def _followers(self, group: str, primary: TargetState | None) -> list[TargetState]:
        name = primary.target.name if primary else ""
        return [s for s in self._directory.group(group) if s.target.name != name]
