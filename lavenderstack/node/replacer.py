"""Replaces primaries that are lost or leave.

One node does it for a group, under a claim in the platform's store. It asks the nodes
that hold the primary for its position; only when none of several, in different
availability zones, gets an answer is the primary taken for lost.

Each order to the platform is made under an epoch of its own. An order without an answer
may still be carried out much later; it can only repeat what was chosen under its epoch,
and is refused once a later one was used.
"""

import asyncio
from collections import defaultdict
from dataclasses import dataclass

import structlog

from lavenderstack.core import clock, statement
from lavenderstack.core.catalog import RecordedOwnership, TargetState
from lavenderstack.core.hash_ring import CachedByIdentity, HashRing, hash_position
from lavenderstack.core.position import Position
from lavenderstack.core.replacement import (
    Follower,
    Obstacle,
    most_advanced,
    successor,
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
from lavenderstack.node.followers import Followers
from lavenderstack.node.peers import Peers
from lavenderstack.node.streams import NotSent, StreamLost

log = structlog.get_logger()

LOOK_EVERY_S = 0.2
ASK_FIRST_TIMEOUT_S = 0.25
ASK_TIMEOUT_S = 0.35
FRESH_S = 0.15
UNKNOWN_LOOKS = 3
HOLDERS_ASKED = 4
CATCH_UP_S = 0.6
CATCH_UP_LOOK_S = 0.05
LEAD_LOOK_S = 0.05
ORDER_RETRY_S = 0.2
ORDER_TRIES = 6
TAKES_OVER_S = 2.0
KNOWN_S = 2.5
# Longer than one order takes, so that none is sent after the lease has ended.
LEASE_LEFT_S = 0.2
# The nodes of the ring try a free duty one after the other, this long apart.
CLAIM_STEP_S = 0.6
CLAIM_AGAIN_S = 0.5
# A holder in the primary's own zone would be cut off together with it.
HAND_OVER_QUIET_S = 6.0


@dataclass(slots=True)
class _Watched:
    """What this node believes of one group's primary."""

    misses: int = 0
    used_epoch: int = 0
    claimed_at: float = 0.0
    free_since: float | None = None
    replaced_at: float = 0.0
    handed_over_at: float = 0.0


class Replacer:
    """Watches the primaries of the groups whose duty this node holds."""

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
        self._groups: dict[str, _Watched] = defaultdict(_Watched)
        self._rings: CachedByIdentity[HashRing] = CachedByIdentity(
            lambda vms: HashRing(vm.name for vm in vms.values() if vm.state == "live")
        )
        self.stopping = False

    async def run(self) -> None:
        """Look after the groups until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            running: dict[str, asyncio.Task] = {}
            while True:
                for group in self._directory.catalog.groups:
                    task = running.get(group)
                    if task is None or task.done():
                        running[group] = tasks.create_task(self._look(group))
                await asyncio.sleep(LOOK_EVERY_S)

    async def _look(self, group: str) -> None:
        """Look at one group once, and act if this node has to."""
        if not self._directory.group(group) or self.stopping:
            return
        watched = self._groups[group]
        claim = await self._claimed(group, watched)
        if claim is None:
            return
        primary = self._directory.primary(group)
        if primary is None:
            watched.misses += 1
            if watched.misses >= UNKNOWN_LOOKS:
                await self._replace_lost(group, watched, None)
            return
        if primary.leaving:
            await self._replace_leaving(group, watched, primary)
            return
        mark = await self._ask(primary)
        if mark is not None:
            watched.misses = 0
            self._replicas.record_term(group, mark.position[0])
            await self._hand_over(group, watched, primary, claim)
            return
        log.info("replacer: primary silent", group=group, target=primary.target.name)
        await self._replace_lost(group, watched, primary)

    async def _hand_over(
        self,
        group: str,
        watched: _Watched,
        primary: TargetState,
        claim: RecordedOwnership,
    ) -> None:
        """Give the duty to a node outside of the primary's zone, if there is one."""
        if primary.target.zone != self._directory.zone:
            return
        now = clock.now()
        if now - max(watched.replaced_at, watched.handed_over_at) < HAND_OVER_QUIET_S:
            return
        vms = self._peers.live()
        if all(vm.zone == self._directory.zone for vm in vms):
            return
        watched.handed_over_at = now
        log.info(
            "replacer: ownership handed over", group=group, zone=primary.target.zone
        )
        await self._claims.release(group, claim.epoch)

    async def _claimed(self, group: str, watched: _Watched) -> RecordedOwnership | None:
        """Return this node's claim in force, making one if it is this node's turn."""
        claim = self._directory.claims.get(group)
        if claim is not None:
            watched.free_since = None
            mine = claim.node == self._claims.identity
            return claim if mine and self._may_act() else None
        now = clock.now()
        if watched.free_since is None:
            watched.free_since = now
        turn_at = watched.free_since + self._turn(group) * CLAIM_STEP_S
        if now < turn_at or now - watched.claimed_at < CLAIM_AGAIN_S:
            return None
        watched.claimed_at = now
        try:
            await self._claims.claim(group)
        except ClaimLost as exc:
            log.info("replacer: ownership not claimed", group=group, error=str(exc))
        return None

    def _turn(self, group: str) -> int:
        """Return how many nodes try a free duty before this one."""
        ring = self._rings.value_for(self._directory.view.vms)
        primary = self._directory.primary(group)
        zone = primary.target.zone if primary else ""
        vms = self._directory.view.vms
        names = list(ring.nodes_after(hash_position(f"primary/{group}")))
        names.sort(key=lambda name: vms[name].zone == zone)
        name = self._directory.name
        return names.index(name) if name in names else len(names)

    def _may_act(self) -> bool:
        """Tell whether this node's lease holds and what it knows is recent."""
        now = clock.now()
        if now > self._claims.valid_until() - LEASE_LEFT_S:
            return False
        return self._directory.proof.age_s(now) < KNOWN_S

    async def _ask(self, primary: TargetState) -> PrimaryPosition | None:
        """Ask the first holder of the primary, then several others at once."""
        holders = self._peers.holders(primary.target)
        if not holders:
            return None
        mark = await self._ask_one(holders[0], primary, ASK_FIRST_TIMEOUT_S)
        if mark is not None:
            return mark
        others = holders[1 : 1 + HOLDERS_ASKED]
        answers = await asyncio.gather(
            *(self._ask_one(vm, primary, ASK_TIMEOUT_S) for vm in others)
        )
        return next((one for one in answers if one is not None), None)

    async def _ask_one(
        self, vm: Vm, primary: TargetState, timeout_s: float
    ) -> PrimaryPosition | None:
        msg = PrimaryPositionRequest(primary.group, primary.target.name, FRESH_S)
        try:
            answer = await self._peers.ask(vm, msg, timeout_s)
        except (NotSent, StreamLost, TimeoutError):
            return None
        return answer if isinstance(answer, PrimaryPosition) else None

    async def _replace_lost(
        self, group: str, watched: _Watched, lost: TargetState | None
    ) -> None:
        """Let the replica that received most take over from a lost primary."""
        followers = self._followers(group, lost)
        asked = await self._replicas.pause(group, followers)
        limits = self._directory.catalog.groups.get(group)
        chosen = successor(asked, limits is not None and limits.replicated)
        if isinstance(chosen, Obstacle):
            log.warning(
                "replacer: no replica may take over",
                group=group,
                obstacle=chosen.name,
                followers=_described(asked),
            )
            await self._replicas.ask(followers, statement.RESUME)
            return
        log.warning(
            "replacer: primary lost",
            group=group,
            lost=lost.target.name if lost else "",
            chosen=chosen.name,
            followers=_described(asked),
        )
        if not await self._promote(group, watched, chosen.name):
            await self._replicas.ask(followers, statement.RESUME)

    async def _replace_leaving(
        self, group: str, watched: _Watched, primary: TargetState
    ) -> None:
        """Let a replica take over from a primary that is about to leave."""
        followers = self._followers(group, primary)
        staying = [one for one in followers if not one.leaving]
        asked = await self._replicas.ask(staying, statement.STATUS)
        candidate = most_advanced(asked)
        if candidate is None:
            log.info("replacer: no replica to take over yet", group=group)
            return
        others = [one for one in followers if one.target.name != candidate.name]
        paused = await self._replicas.pause(group, others)
        limits = self._directory.catalog.groups.get(group)
        replicated = limits is not None and limits.replicated
        until = clock.now() + CATCH_UP_S
        state = next(s for s in followers if s.target.name == candidate.name)
        while True:
            candidate = (await self._replicas.ask([state], statement.STATUS))[0]
            obstacle = takeover_obstacle(candidate, paused, replicated)
            if obstacle is None:
                break
            if clock.now() > until:
                log.info("replacer: postponed", group=group, obstacle=obstacle.name)
                await self._replicas.ask(others, statement.RESUME)
                return
            await asyncio.sleep(CATCH_UP_LOOK_S)
        log.info(
            "replacer: primary leaves",
            group=group,
            leaving=primary.target.name,
            chosen=candidate.name,
            followers=_described([candidate, *paused]),
        )
        if not await self._promote(group, watched, candidate.name):
            await self._replicas.ask(others, statement.RESUME)

    def _followers(self, group: str, primary: TargetState | None) -> list[TargetState]:
        name = primary.target.name if primary else ""
        return [s for s in self._directory.group(group) if s.target.name != name]

    async def _promote(self, group: str, watched: _Watched, target: str) -> bool:
        """Order a promotion under an epoch of its own; True if it took effect."""
        claim = self._directory.claims.get(group)
        if claim is None or claim.node != self._claims.identity:
            return False
        if claim.epoch == watched.used_epoch:
            claim = await self._fresh_epoch(group, claim)
            if claim is None:
                return False
        watched.used_epoch = claim.epoch
        for _ in range(ORDER_TRIES):
            if clock.now() > self._claims.valid_until() - LEASE_LEFT_S:
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
            watched.replaced_at = clock.now()
            await self._wait_for_lead(group, target)
            watched.misses = 0
            await self._fresh_epoch(group, claim)
            return True
        return False

    async def _fresh_epoch(
        self, group: str, claim: RecordedOwnership
    ) -> RecordedOwnership | None:
        """Get an epoch under which no order has been made."""
        try:
            await self._claims.renew_epoch(group, claim.epoch)
        except ClaimLost as exc:
            log.info("replacer: no new epoch", group=group, error=str(exc))
        until = clock.now() + 0.5
        while clock.now() < until:
            now_held = self._directory.claims.get(group)
            if now_held is None or now_held.node != self._claims.identity:
                return None
            if now_held.epoch > claim.epoch:
                return now_held
            await self._directory.wait_for_change(0.1)
        return None

    async def _wait_for_lead(self, group: str, target: str) -> None:
        """Wait until the chosen target leads, and let all nodes know at once."""
        until = clock.now() + TAKES_OVER_S
        while clock.now() < until:
            state = self._directory.targets.get(target)
            primary = self._directory.primary(group)
            if primary is not None and primary.target.name == target:
                log.info("replacer: primary replaced", group=group, target=target)
                return
            if state is not None and await self._ask(state) is not None:
                self._directory.record_primary(group, target)
                await self._spread(LeadTaken(group, target))
                continue
            await self._directory.wait_for_change(LEAD_LOOK_S)
        log.warning("replacer: chosen target does not lead", group=group, target=target)

    async def _spread(self, news: LeadTaken) -> None:
        """Tell the other nodes; one that can't be told reads the target's report."""
        vms = [vm for vm in self._peers.live() if vm.name != self._directory.name]
        await asyncio.gather(*(self._tell(vm, news) for vm in vms))

    async def _tell(self, vm: Vm, news: LeadTaken) -> None:
        try:
            await self._peers.ask(vm, news, ASK_TIMEOUT_S)
        except (NotSent, StreamLost, TimeoutError) as exc:
            log.info(
                "replacer: new primary not announced", holder=vm.name, error=repr(exc)
            )


def _described(followers: list[Follower]) -> dict[str, str]:
    return {one.name: str(_pair(one.received)) for one in followers}


def _pair(position: Position | None) -> tuple[int, int] | None:
    return tuple(position) if position is not None else None
