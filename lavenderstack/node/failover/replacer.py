"""Replaces primaries that are lost or about to leave.

For each group one node does this, as the owner of a claim in the platform's store. It
asks the connection holders of the primary for its position. The primary counts as lost
only when none of several holders, in different availability zones, gets an answer.
"""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field

import structlog

from lavenderstack.core import clock
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.failover.isolation import Isolation
from lavenderstack.core.failover.replacement import (
    Obstacle,
    ReplicaState,
)
from lavenderstack.core.messages import Failed
from lavenderstack.core.work_messages import PrimaryPosition
from lavenderstack.node.backend import Backend, Claims, Orders
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.failover.followers import Followers
from lavenderstack.node.failover.group_claims import GroupClaims
from lavenderstack.node.failover.group_positions import GroupPositions
from lavenderstack.node.failover.order_settlement import OrderSettlement, OrderStatus
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
# The node acts only if its view was proved current within this time.
MAX_VIEW_AGE_S = 2.5


@dataclass(slots=True)
class _GroupStatus:
    """State of this node's supervision of one group.

    ``misses`` counts checks in a row without a known primary, ``full_since`` is the
    first of the latest ones in a row at which it had no connection free, in seconds on
    the clock. ``isolation`` tells how long other nodes haven't answered.
    """

    orders: OrderStatus = field(default_factory=OrderStatus)
    misses: int = 0
    full_since: float | None = None
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
        self._positions = GroupPositions(
            directory, peers, claims.identity, self._replicas.terms
        )
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
        self._settlement = OrderSettlement(
            directory, self._replicas, self._positions, self._reports, self._promoter
        )
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
            status.orders.end_ownership()
            await self._reports.stop(group)
            return
        status.orders.first_epoch = status.orders.first_epoch or claim.epoch
        if not self._may_act():
            return
        primary = self._directory.primary(group)
        if primary is None:
            status.misses += 1
            await self._settlement.seek_traces(group, status.orders, None)
            if status.misses >= MAX_UNKNOWN_CHECKS:
                await self._replace_lost(group, status, None)
            return
        await self._settlement.notice_lead(status.orders, primary)
        if primary.leaving:
            await self._replace_leaving(group, status, primary)
            return
        asked_at = clock.now()
        answer = await self._ask_primary(group, status, primary)
        if isinstance(answer, PrimaryPosition):
            status.misses, status.full_since = 0, None
            self._replicas.record_term(group, answer.position[0])
            self._positions.record_answer(primary, answer, asked_at)
            self._sets.primary_answered(group)
            await self._settlement.settle(status.orders, primary)
            if self._planned.is_due(group, primary):
                await self._replace_leaving(group, status, primary)
                return
            if self._directory.is_replicated(group):
                self._sets.maintain(primary, claim, self._followers(group, primary))
            orders = status.orders
            if not orders.pending.may_undo(primary.target.name):
                await self._group_claims.hand_over(primary, claim, orders.acted_at)
            return
        if answer is not None and self._may_stay_full(status):
            log.info("replacer: primary full", group=group, target=primary.target.name)
            return
        log.info("replacer: primary silent", group=group, target=primary.target.name)
        await self._replace_lost(group, status, primary)

    async def _ask_primary(
        self, group: str, status: _GroupStatus, primary: TargetState
    ) -> PrimaryPosition | Failed | None:
        """Ask the primary for its position, and seek traces of a former owner."""
        answer, _ = await asyncio.gather(
            self._probe.ask(primary),
            self._settlement.seek_traces(group, status.orders, primary),
        )
        return answer

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
        pending = status.orders.pending
        name = lost.target.name if lost else ""
        await self._reports.stop(group)
        self._settlement.cover_terms(group, status.orders, name)
        choice = await self._choice.in_place_of_lost(
            group, lost, self._may_act, ordered=pending.others("")
        )
        await self._act_on(group, status, choice, name)
        isolated = choice.chosen is Obstacle.ISOLATED
        if status.isolation.observe(isolated, clock.now()):
            await self._group_claims.give_up(group)

    async def _replace_leaving(
        self, group: str, status: _GroupStatus, primary: TargetState
    ) -> None:
        """Promote a replica in place of one that leaves or whose zone is evacuated."""
        pending, name = status.orders.pending, primary.target.name
        ordered = None
        if self._directory.is_replicated(group) and pending.endanger(name):
            ordered = pending.successor(name, self._staying(group, primary))
            if ordered is None and not await self._settle_leaving(
                group, status, primary
            ):
                return
        self._settlement.cover_terms(group, status.orders, name)
        choice = await self._choice.in_place_of_leaving(primary, ordered)
        successor = choice.chosen.name if choice.serving else ""
        state = self._directory.targets.get(successor)
        if state is None:
            await self._act_on(group, status, choice, name)
            return
        async with self._reports.running(state):
            await self._act_on(group, status, choice, name)

    def _staying(self, group: str, primary: TargetState) -> set[str]:
        """Return the replicas that may take over from one that leaves."""
        return {
            one.target.name
            for one in self._followers(group, primary)
            if not one.leaving and not self._directory.is_evacuated(one.target.zone)
        }

    async def _settle_leaving(
        self, group: str, status: _GroupStatus, primary: TargetState
    ) -> bool:
        """Return whether a primary that leaves may be replaced as planned.

        One that is silent is replaced as a lost one.
        """
        if await self._ask_primary(group, status, primary) is None:
            await self._replace_lost(group, status, primary)
            return False
        await self._settlement.settle(status.orders, primary)
        return not status.orders.pending.endanger(primary.target.name)

    async def _act_on(
        self, group: str, status: _GroupStatus, choice: Choice, primary: str
    ) -> None:
        """Promote the chosen replica, or resume those that were paused for a choice.

        ``primary`` is the name of the one to be replaced, empty if it isn't known.
        """
        orders, paused = status.orders, choice.paused
        if not isinstance(choice.chosen, ReplicaState):
            if paused:
                await self._settlement.resume(group, orders, paused, primary)
            else:
                self._settlement.release(group, orders, primary)
        elif not await self._promote(group, status, choice.chosen.name):
            # They must not receive what the chosen one may lack when it leads.
            await self._settlement.resume(group, orders, paused, primary)

    async def _promote(self, group: str, status: _GroupStatus, target: str) -> bool:
        """Promote a target; return whether it is known to lead."""
        orders = status.orders
        outcome = await self._promoter.promote(group, target, orders.pending)
        if outcome is not OrderOutcome.NOT_TAKEN:
            orders.acted_at = clock.now()
        if outcome is not OrderOutcome.TAKEN:
            return False
        status.misses, orders.may_be_paused = 0, True
        await self._settlement.end_holds_below(group, target)
        await self._promoter.renew_used_epoch(group)
        return True

    def _followers(self, group: str, primary: TargetState | None) -> list[TargetState]:
        name = primary.target.name if primary else ""
        return self._directory.followers(group, name)
