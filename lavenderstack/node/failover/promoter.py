"""Sends promotion orders to the platform, each choice under an epoch of its own.

An order without an answer may still be carried out much later. It can then only repeat
the choice made under its epoch, and the platform refuses it once a later epoch was
used.
"""

import asyncio
from enum import Enum, auto

import structlog

from lavenderstack.core import clock
from lavenderstack.core.catalog import RecordedOwnership
from lavenderstack.core.failover.pending_orders import PendingOrders
from lavenderstack.core.view import Vm
from lavenderstack.core.work_messages import LeadTaken, PrimaryPosition
from lavenderstack.node.backend import (
    ClaimLost,
    Claims,
    OrderRefused,
    Orders,
    OrderUnanswered,
)
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.failover.primary_probe import PROBE_TIMEOUT_S, PrimaryProbe
from lavenderstack.node.peers import Peers
from lavenderstack.node.streams import NotSent, StreamLost

log = structlog.get_logger()

PROMOTED_POLL_S = 0.05
ORDER_RETRY_S = 0.2
MAX_ORDER_TRIES = 6
# How long to wait for an accepted promotion to take effect.
PROMOTION_TIMEOUT_S = 2.0
# Lease time that must be left before an action. It is longer than one order takes, so
# that no order is sent after the lease has ended.
MIN_LEASE_LEFT_S = 0.2


class OrderOutcome(Enum):
    """What is known of an order; an ``UNKNOWN`` one may still be carried out."""

    TAKEN = auto()
    NOT_TAKEN = auto()
    UNKNOWN = auto()


class Promoter:
    """Promotes targets of the groups that this node owns."""

    def __init__(
        self,
        directory: Directory,
        peers: Peers,
        probe: PrimaryProbe,
        claims: Claims,
        orders: Orders,
        counters: Counters,
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._probe = probe
        self._claims = claims
        self._orders = orders
        self._counters = counters
        # The last epoch used for an order, by group.
        self._used_epochs: dict[str, int] = {}

    def lease_holds(self) -> bool:
        """Return whether enough of this node's lease is left for an order."""
        return clock.now() <= self._claims.valid_until() - MIN_LEASE_LEFT_S

    async def promote(
        self, group: str, target: str, pending: PendingOrders
    ) -> OrderOutcome:
        """Order a promotion under an unused epoch, and wait until it has taken effect.

        Returns what is known of the order. One that was accepted and has no effect yet
        may still take it.
        """
        claim = await self._claim_with_unused_epoch(group)
        if claim is None:
            return OrderOutcome.NOT_TAKEN
        outcome, _ = await self._order(group, target, claim, pending)
        if outcome is not OrderOutcome.TAKEN:
            return outcome
        if not await self._has_effect(group, target):
            return OrderOutcome.UNKNOWN
        pending.took_effect()
        return outcome

    async def renew_used_epoch(self, group: str) -> None:
        """Prepare the next order of a group, so that it needn't wait for an epoch."""
        await self._claim_with_unused_epoch(group)

    async def raise_fence(
        self, group: str, primary: str, pending: PendingOrders, effect_limit_s: float
    ) -> None:
        """Order the present primary again, so that no earlier order takes effect.

        That changes nothing, but the platform refuses all earlier epochs from then on.
        Orders that it has carried out take effect within ``effect_limit_s``.
        """
        claim = await self._claim_with_unused_epoch(group)
        if claim is None:
            return
        outcome, calls = await self._order(group, primary, claim, pending)
        if outcome is OrderOutcome.TAKEN:
            over_at = clock.now() + effect_limit_s
            pending.fenced(claim.epoch, over_at, repeated=calls > 1)
            log.info("replacer: fence raised", group=group, epoch=claim.epoch)

    async def _claim_with_unused_epoch(self, group: str) -> RecordedOwnership | None:
        claim = self._directory.ownerships.get(group)
        if claim is None or claim.node != self._claims.identity:
            return None
        if claim.epoch == self._used_epochs.get(group):
            return await self._acquire_unused_epoch(group, claim)
        return claim

    async def _order(
        self,
        group: str,
        target: str,
        claim: RecordedOwnership,
        pending: PendingOrders,
    ) -> tuple[OrderOutcome, int]:
        """Send an order until it is answered, a few times.

        Returns what is known of it, and how many calls were sent.
        """
        self._used_epochs[group] = claim.epoch
        log.info("replacer: order sent", group=group, target=target, epoch=claim.epoch)
        outcome, calls = OrderOutcome.NOT_TAKEN, 0
        while calls < MAX_ORDER_TRIES:
            if not self._may_order(group, claim):
                log.warning("replacer: lease too old to act", group=group)
                break
            calls += 1
            pending.sent(target, claim.epoch)
            answer = await self._call(group, target, claim.epoch)
            if answer is OrderOutcome.TAKEN:
                return answer, calls
            if answer is OrderOutcome.NOT_TAKEN:
                if calls == 1:
                    pending.refused(claim.epoch)
                break
            outcome = answer
            pending.unanswered(claim.epoch)
            await asyncio.sleep(ORDER_RETRY_S)
        return outcome, calls

    def _may_order(self, group: str, claim: RecordedOwnership) -> bool:
        """Return whether this node still owns a group under a claim.

        A lease that holds may be a later one, and the claim have ended with the former.
        """
        current = self._directory.ownerships.get(group)
        return self.lease_holds() and current == claim

    async def _call(self, group: str, target: str, epoch: int) -> OrderOutcome:
        """Send an order once, and return what its answer tells."""
        fields = {"group": group, "target": target, "epoch": epoch}
        try:
            await self._orders.promote(group, target, self._directory.name, epoch)
        except OrderRefused as exc:
            self._counters.orders.labels("refused").inc()
            log.warning("replacer: order refused", **fields, error=str(exc))
            return OrderOutcome.NOT_TAKEN
        except OrderUnanswered as exc:
            self._counters.orders.labels("unanswered").inc()
            log.info("replacer: order unanswered", **fields, error=str(exc))
            return OrderOutcome.UNKNOWN
        self._counters.orders.labels("taken").inc()
        return OrderOutcome.TAKEN

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

    async def _has_effect(self, group: str, target: str) -> bool:
        """Wait until the chosen target is the primary; return False if it isn't."""
        until = clock.now() + PROMOTION_TIMEOUT_S
        while clock.now() < until:
            state = self._directory.targets.get(target)
            primary = self._directory.primary(group)
            if primary is not None and primary.target.name == target:
                log.info("replacer: primary replaced", group=group, target=target)
                return True
            if state is not None and isinstance(
                await self._probe.ask(state), PrimaryPosition
            ):
                self._directory.record_primary(group, target)
                continue
            await self._directory.wait_for_change(PROMOTED_POLL_S)
        log.warning(
            "replacer: chosen target is not the primary", group=group, target=target
        )
        return False

    async def announce(self, group: str, primary: str) -> None:
        """Tell all nodes which target has taken the lead.

        That ends the wait of commits that are held back at a node. One that misses it
        reads the target's own report.
        """
        notice, vms = LeadTaken(group, primary), self._directory.view.vms.values()
        await asyncio.gather(*(self._notify(vm, notice) for vm in vms))

    async def _notify(self, vm: Vm, notice: LeadTaken) -> None:
        try:
            await self._peers.ask(vm, notice, PROBE_TIMEOUT_S)
        except (NotSent, StreamLost, TimeoutError) as exc:
            log.info(
                "replacer: new primary not announced", holder=vm.name, error=repr(exc)
            )
