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
)
from lavenderstack.core.work_messages import PrimaryPosition
from lavenderstack.node.backend import Backend, Claims, Orders
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.failover.followers import Followers
from lavenderstack.node.failover.group_claims import GroupClaims
from lavenderstack.node.failover.group_positions import GroupPositions
from lavenderstack.node.failover.planned_failover import PlannedFailover
from lavenderstack.node.failover.primary_probe import PrimaryProbe
from lavenderstack.node.failover.promoter import OrderOutcome, Promoter
from lavenderstack.node.failover.receipt_reports import ReceiptReports
from lavenderstack.node.failover.replica_sets import ReplicaSets
from lavenderstack.node.failover.successor_choice import Choice, SuccessorChoice
from lavenderstack.node.peers import Peers

log = structlog.get_logger()

CHECK_INTERVAL_S = 0.2
# Checks without a known primary after which the primary is replaced.
MAX_UNKNOWN_CHECKS = 3
# How long a primary may have no connection free. The connections of nodes that lost
# power count at a target for 3 s.
MAX_FULL_S = 4.0
# How often it is tried to resume replicas that an earlier attempt may have paused.
RELEASE_RETRY_S = 1.0
# The longest time from an order being carried out to its effect.
EFFECT_LIMIT_S = 2.0
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
    resume replicas. With ``fenced`` the fence was raised under the present primary, and
    orders carried out before may take effect until ``fenced_until``. ``isolation``
    tells how long other nodes haven't answered.
    """

    misses: int = 0
    full_since: float | None = None
    acted_at: float = 0.0
    may_be_paused: bool = True
    order_pending: bool = False
    released_at: float = float("-inf")
    fenced: bool = False
    fenced_until: float = float("-inf")
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
        self._positions = GroupPositions(directory, peers, claims.identity)
        self._sets = ReplicaSets(
            directory, self._positions, self._probe, self._replicas, claims
        )
        self._promoter = Promoter(
            directory, peers, self._probe, claims, orders, counters
        )
        self._planned = PlannedFailover(directory)
        self._choice = SuccessorChoice(
            directory, self._probe, self._replicas, self._positions, self._sets
        )
        self._reports = ReceiptReports(self._replicas, self._positions)
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
            status.may_be_paused = True
            status.order_pending = status.fenced = False
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
            if self._directory.is_replicated(group):
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
        """Promote a replica in place of a lost primary, if one may take over."""
        choice = await self._choice.in_place_of_lost(group, lost, self._may_act)
        await self._act_on(group, status, choice)
        isolated = choice.chosen is Obstacle.ISOLATED
        if status.isolation.observe(isolated, clock.now()):
            await self._group_claims.give_up(group)

    async def _replace_leaving(
        self, group: str, status: _GroupStatus, primary: TargetState
    ) -> None:
        """Promote a replica in place of one that leaves or whose zone is evacuated."""
        choice = await self._choice.in_place_of_leaving(primary)
        successor = choice.chosen.name if choice.serving else ""
        state = self._directory.targets.get(successor)
        if state is None:
            await self._act_on(group, status, choice)
            return
        async with self._reports.running(state):
            await self._act_on(group, status, choice)

    async def _act_on(self, group: str, status: _GroupStatus, choice: Choice) -> None:
        """Promote the chosen replica, or resume those that were paused for a choice."""
        if isinstance(choice.chosen, ReplicaState):
            await self._promote(group, status, choice.chosen.name, choice.paused)
        elif choice.paused:
            await self._resume(group, status, choice.paused)
        else:
            self._release(group, status)

    async def _promote(
        self, group: str, status: _GroupStatus, target: str, paused: list[TargetState]
    ) -> None:
        """Promote a target.

        ``paused`` are resumed if the order is certain not to be carried out. Otherwise
        they must not receive what the target may lack when it becomes the primary.
        """
        status.fenced = False
        outcome = await self._promoter.promote(group, target)
        if outcome is OrderOutcome.TAKEN:
            status.acted_at = clock.now()
            status.misses, status.order_pending = 0, False
            status.may_be_paused = True
            self._positions.promoted(group)
            return
        if outcome is OrderOutcome.UNKNOWN:
            status.order_pending = True
        await self._resume(group, status, paused)

    async def _resume(
        self, group: str, status: _GroupStatus, followers: list[TargetState]
    ) -> None:
        """Resume replicas, unless an order is pending or the next owner may act.

        One that isn't known to receive again is resumed later, if it is still paused.
        """
        self._release(group, status)
        status.may_be_paused = True
        if status.order_pending:
            log.warning("replacer: replicas stay paused", group=group)
        elif self._promoter.lease_holds():
            status.may_be_paused = not await self._replicas.resume(group, followers)
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
        the replicas receive again: no earlier order is carried out any more once the
        fence is raised, and one that was carried out just before has taken effect or
        never will ``EFFECT_LIMIT_S`` later.
        """
        now = clock.now()
        if now < status.fenced_until or now - status.released_at < RELEASE_RETRY_S:
            return
        status.released_at = now
        followers = self._followers(group, primary)
        states = await self._replicas.send(followers, statement.STATUS)
        paused = [
            follower
            for follower, state in zip(followers, states, strict=True)
            if state.paused
        ]
        if not paused and not status.order_pending:
            status.may_be_paused = any(state.received is None for state in states)
        elif not status.fenced:
            status.fenced = await self._promoter.raise_fence(group, primary.target.name)
            status.fenced_until = clock.now() + EFFECT_LIMIT_S
        else:
            # Another owner's order must not follow this one closely.
            status.acted_at = now
            status.fenced = status.order_pending = False
            await self._resume(group, status, paused)
            status.may_be_paused |= any(state.received is None for state in states)

    def _followers(self, group: str, primary: TargetState) -> list[TargetState]:
        return self._directory.followers(group, primary.target.name)
