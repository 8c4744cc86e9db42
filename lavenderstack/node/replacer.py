"""Replaces primaries that are lost or about to leave.

For each group one node does this, as the owner of a claim in the platform's store. It
asks the connection holders of the primary for its position. The primary counts as lost
only when none of several holders, in different availability zones, gets an answer.

Each promotion order to the platform uses its own epoch. An order without an answer may
still be carried out much later. It can then only repeat the choice made under its
epoch, and the platform refuses it once a later epoch was used.
"""

import asyncio
from collections import defaultdict
from dataclasses import dataclass

import structlog

from lavenderstack.core import clock, statement
from lavenderstack.core.catalog import RecordedOwnership, TargetState
from lavenderstack.core.hash_ring import CachedByIdentity, HashRing, hash_position
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START, Position
from lavenderstack.core.replacement import (
    Obstacle,
    choose_successor,
    most_advanced,
    takeover_obstacle,
)
from lavenderstack.core.view import Vm
from lavenderstack.core.work_messages import (
    LeadTaken,
    PrimaryPosition,
    PrimaryPositionRequest,
)
from lavenderstack.node.backend import (
    Backend,
    ClaimLost,
    Claims,
    OrderRefused,
    Orders,
    OrderUnanswered,
)
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.followers import Followers, format_positions
from lavenderstack.node.peers import Peers
from lavenderstack.node.streams import NotSent, StreamLost

log = structlog.get_logger()

CHECK_INTERVAL_S = 0.2
FIRST_PROBE_TIMEOUT_S = 0.25
PROBE_TIMEOUT_S = 0.35
# A holder may answer with a position that it observed this recently.
MAX_POSITION_AGE_S = 0.15
# Checks without a known primary after which the primary is replaced.
MAX_UNKNOWN_CHECKS = 3
MAX_HOLDERS_PROBED = 4
# How long a primary may have no connection free. The connections of nodes that lost
# power count at a target for 3 s.
MAX_FULL_S = 4.0
# How long a replica may take to catch up before a leaving primary is replaced.
CATCH_UP_TIMEOUT_S = 0.6
CATCH_UP_POLL_S = 0.05
PROMOTED_POLL_S = 0.05
ORDER_RETRY_S = 0.2
MAX_ORDER_TRIES = 6
# How long to wait for an accepted promotion to take effect.
PROMOTION_TIMEOUT_S = 2.0
# The node acts only if its view was proved current within this time.
MAX_VIEW_AGE_S = 2.5
# Lease time that must be left before an action. It is longer than one order takes, so
# that no order is sent after the lease has ended.
MIN_LEASE_LEFT_S = 0.2
# Delay between the nodes of the hash ring that try in turn to claim an unowned group.
CLAIM_STEP_S = 0.6
CLAIM_RETRY_S = 0.5
# An owner in the primary's own zone hands the group over, because it would be cut off
# together with the primary. It waits this long after a replacement or a handover.
HAND_OVER_HOLDOFF_S = 6.0


@dataclass(slots=True)
class _GroupStatus:
    """State of this node's supervision of one group.

    ``misses`` counts checks in a row without a known primary. ``used_epoch`` is the
    last epoch used for an order. The other fields are in seconds on the clock;
    ``full_since`` is the first of the latest checks in a row at which the primary had
    no connection free. ``primary_position`` is the highest one that the primary
    reported to a check, at ``position_at``.
    """

    misses: int = 0
    primary_position: Position = START
    position_at: float | None = None
    full_since: float | None = None
    used_epoch: int = 0
    claimed_at: float = 0.0
    unowned_since: float | None = None
    replaced_at: float = 0.0
    handed_over_at: float = 0.0

    def record_position(self, position: Position, now: float) -> None:
        """Record a position that the primary reported."""
        self.primary_position = max(self.primary_position, position)
        self.position_at = now

    def describe_primary_position(self, now: float) -> str:
        """Return the last known end of the primary's log and its age, for a line."""
        if self.position_at is None:
            return "unknown"
        return f"{tuple(self.primary_position)}, {now - self.position_at:.2f} s old"


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
        self._counters = counters
        self._directory = directory
        self._peers = peers
        self._replicas = Followers(directory, backend)
        self._claims = claims
        self._orders = orders
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
        answer = await self._probe_primary(primary)
        if isinstance(answer, PrimaryPosition):
            status.misses, status.full_since = 0, None
            status.record_position(Position(*answer.position), clock.now())
            self._replicas.record_term(group, answer.position[0])
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
        now = clock.now()
        if now > self._claims.valid_until() - MIN_LEASE_LEFT_S:
            return False
        return self._directory.proof.age_s(now) < MAX_VIEW_AGE_S

    async def _probe_primary(
        self, primary: TargetState
    ) -> PrimaryPosition | Failed | None:
        """Ask the first holder of the primary, then several others in parallel.

        Returns the primary's position, a failure if it refused a connection because it
        has too many, or None if no holder gets an answer.
        """
        holders = self._peers.holders(primary.target)
        if not holders:
            return None
        answer = await self._probe_through(holders[0], primary, FIRST_PROBE_TIMEOUT_S)
        if isinstance(answer, PrimaryPosition):
            return answer
        others = holders[1 : 1 + MAX_HOLDERS_PROBED]
        answers = await asyncio.gather(
            *(self._probe_through(vm, primary, PROBE_TIMEOUT_S) for vm in others)
        )
        found = [one for one in [answer, *answers] if one is not None]
        # A position tells more than a refusal by another holder.
        found.sort(key=lambda one: not isinstance(one, PrimaryPosition))
        return found[0] if found else None

    async def _probe_through(
        self, vm: Vm, primary: TargetState, timeout_s: float
    ) -> PrimaryPosition | Failed | None:
        msg = PrimaryPositionRequest(
            primary.group, primary.target.name, MAX_POSITION_AGE_S
        )
        try:
            answer = await self._peers.ask(vm, msg, timeout_s)
        except (NotSent, StreamLost, TimeoutError):
            return None
        if isinstance(answer, PrimaryPosition):
            return answer
        is_full = isinstance(answer, Failed) and answer.reason == Reason.NO_CONNECTION
        return answer if is_full else None

    async def _replace_lost(
        self, group: str, status: _GroupStatus, lost: TargetState | None
    ) -> None:
        """Promote the replica with the longest log in place of a lost primary.

        The replicas are paused first. They are resumed if none may be promoted.
        """
        followers = self._followers(group, lost)
        states = await self._replicas.pause(group, followers)
        limits = self._directory.catalog.groups.get(group)
        chosen = choose_successor(states, limits is not None and limits.replicated)
        if isinstance(chosen, Obstacle):
            log.warning(
                "replacer: no replica may take over",
                group=group,
                obstacle=chosen.name,
                followers=format_positions(states),
            )
            await self._replicas.resume(group, followers)
            return
        log.warning(
            "replacer: primary lost",
            group=group,
            lost=lost.target.name if lost else "",
            chosen=chosen.name,
            followers=format_positions(states),
            primary=status.describe_primary_position(clock.now()),
        )
        if not await self._promote(group, status, chosen.name):
            await self._replicas.resume(group, followers)

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
        limits = self._directory.catalog.groups.get(group)
        replicated = limits is not None and limits.replicated
        until = clock.now() + CATCH_UP_TIMEOUT_S
        state = next(s for s in followers if s.target.name == candidate.name)
        while True:
            candidate = (await self._replicas.send([state], statement.STATUS))[0]
            obstacle = takeover_obstacle(candidate, paused, replicated)
            if obstacle is None:
                break
            if clock.now() > until:
                log.info(
                    "replacer: replacement postponed",
                    group=group,
                    obstacle=obstacle.name,
                )
                await self._replicas.resume(group, others)
                return
            await asyncio.sleep(CATCH_UP_POLL_S)
        log.info(
            "replacer: primary leaves",
            group=group,
            leaving=primary.target.name,
            chosen=candidate.name,
            followers=format_positions([candidate, *paused]),
        )
        if not await self._promote(group, status, candidate.name):
            await self._replicas.resume(group, others)

    def _followers(self, group: str, primary: TargetState | None) -> list[TargetState]:
        name = primary.target.name if primary else ""
        return [s for s in self._directory.group(group) if s.target.name != name]

    async def _promote(self, group: str, status: _GroupStatus, target: str) -> bool:
        """Order a promotion under an unused epoch; return whether it was accepted."""
        claim = self._directory.ownerships.get(group)
        if claim is None or claim.node != self._claims.identity:
            return False
        if claim.epoch == status.used_epoch:
            claim = await self._acquire_unused_epoch(group, claim)
            if claim is None:
                return False
        status.used_epoch = claim.epoch
        for _ in range(MAX_ORDER_TRIES):
            if clock.now() > self._claims.valid_until() - MIN_LEASE_LEFT_S:
                log.warning("replacer: lease too old to act", group=group)
                return False
            try:
                await self._orders.promote(
                    group, target, self._directory.name, claim.epoch
                )
            except OrderRefused as exc:
                self._counters.orders.labels("refused").inc()
                log.warning(
                    "replacer: order refused",
                    group=group,
                    target=target,
                    epoch=claim.epoch,
                    error=str(exc),
                )
                return False
            except OrderUnanswered as exc:
                self._counters.orders.labels("unanswered").inc()
                log.info(
                    "replacer: order unanswered",
                    group=group,
                    target=target,
                    epoch=claim.epoch,
                    error=str(exc),
                )
                await asyncio.sleep(ORDER_RETRY_S)
                continue
            self._counters.orders.labels("taken").inc()
            status.replaced_at = clock.now()
            await self._wait_for_primary(group, target)
            status.misses = 0
            await self._acquire_unused_epoch(group, claim)
            return True
        return False

    async def _acquire_unused_epoch(
        self, group: str, claim: RecordedOwnership
    ) -> RecordedOwnership | None:
        """Renew the claim and return it with the new epoch, None if that failed."""
        try:
            await self._claims.renew_epoch(group, claim.epoch)
        except ClaimLost as exc:
            log.info("replacer: no new epoch", group=group, error=str(exc))
        until = clock.now() + 0.5
        while clock.now() < until:
            current = self._directory.ownerships.get(group)
            if current is None or current.node != self._claims.identity:
                return None
            if current.epoch > claim.epoch:
                return current
            await self._directory.wait_for_change(0.1)
        return None

    async def _wait_for_primary(self, group: str, target: str) -> None:
        """Wait until the chosen target is the primary, and notify all nodes at once."""
        until = clock.now() + PROMOTION_TIMEOUT_S
        while clock.now() < until:
            state = self._directory.targets.get(target)
            primary = self._directory.primary(group)
            if primary is not None and primary.target.name == target:
                log.info("replacer: primary replaced", group=group, target=target)
                return
            if state is not None and isinstance(
                await self._probe_primary(state), PrimaryPosition
            ):
                self._directory.record_primary(group, target)
                await self._broadcast(LeadTaken(group, target))
                continue
            await self._directory.wait_for_change(PROMOTED_POLL_S)
        log.warning(
            "replacer: chosen target is not the primary", group=group, target=target
        )

    async def _broadcast(self, notice: LeadTaken) -> None:
        """Notify the other nodes; one that misses it reads the target's own report."""
        vms = [vm for vm in self._peers.live() if vm.name != self._directory.name]
        await asyncio.gather(*(self._notify(vm, notice) for vm in vms))

    async def _notify(self, vm: Vm, notice: LeadTaken) -> None:
        try:
            await self._peers.ask(vm, notice, PROBE_TIMEOUT_S)
        except (NotSent, StreamLost, TimeoutError) as exc:
            log.info(
                "replacer: new primary not announced", holder=vm.name, error=repr(exc)
            )
