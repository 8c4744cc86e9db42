"""Ends orders that may still take effect, and what was paused or held back for them.

``core/failover/pending_orders.py`` says which orders those are and what they forbid;
here it is carried out.
"""

import asyncio
from dataclasses import dataclass, field

import structlog

from lavenderstack.core import clock, statement
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.failover.pending_orders import PendingOrders, Traces
from lavenderstack.node.directory import Directory
from lavenderstack.node.failover.followers import Followers
from lavenderstack.node.failover.group_positions import GroupPositions
from lavenderstack.node.failover.promoter import Promoter
from lavenderstack.node.failover.receipt_reports import ReceiptReports

log = structlog.get_logger()

# How often it is tried to end what an earlier attempt may have left.
RELEASE_RETRY_S = 1.0
# The longest time from an order being carried out to its effect.
EFFECT_LIMIT_S = 2.0


@dataclass(slots=True)
class OrderStatus:
    """What this node knows of the orders of one group and of what they left.

    ``first_epoch`` is the one under which this node became the owner, 0 if it isn't.
    ``may_be_paused`` tells that replicas which this node paused may not receive again,
    ``held_under`` names the primary under which it asked for holds, if one was known.
    The times are in seconds on the clock: the last order that may be carried out, the
    last search for traces of a former owner, and the last try to end what is pending.
    """

    pending: PendingOrders = field(default_factory=PendingOrders)
    first_epoch: int = 0
    may_be_paused: bool = False
    held_under: str = ""
    acted_at: float = 0.0
    sought_at: float = float("-inf")
    settled_at: float = float("-inf")

    def end_ownership(self) -> None:
        """Forget what another owner may change."""
        self.pending.begin_ownership()
        self.first_epoch = 0


class OrderSettlement:
    """Settles the orders of the groups that this node owns."""

    def __init__(
        self,
        directory: Directory,
        replicas: Followers,
        positions: GroupPositions,
        reports: ReceiptReports,
        promoter: Promoter,
    ) -> None:
        self._directory = directory
        self._replicas = replicas
        self._positions = positions
        self._reports = reports
        self._promoter = promoter

    async def seek_traces(
        self, group: str, orders: OrderStatus, primary: TargetState | None
    ) -> None:
        """Look once for what an order of a former owner would have left.

        It is repeated while a replica gives no answer.
        """
        pending, now = orders.pending, clock.now()
        if pending.traces is not Traces.NOT_SOUGHT:
            return
        if now - orders.sought_at < RELEASE_RETRY_S:
            return
        orders.sought_at = now
        followers = self._followers(group, primary)
        states, held = await asyncio.gather(
            self._replicas.send(followers, statement.STATUS),
            self._positions.held_before(group, orders.first_epoch),
        )
        paused = [one.name for one in states if one.paused]
        complete = all(one.received is not None for one in states)
        pending.sought(bool(paused or held), complete)
        if pending.traces is Traces.FOUND:
            log.warning(
                "replacer: order of a former owner",
                group=group,
                paused=paused,
                held=held,
            )

    def cover_terms(self, group: str, orders: OrderStatus, primary: str) -> None:
        """Let the next holds concern all terms, if there are orders that ask for it.

        Needed while an order may make a target the primary that another order then
        replaces: what is committed in between may be lost.
        """
        orders.held_under = primary
        self._positions.set_every_term(group, orders.pending.endanger(primary))

    async def notice_lead(self, orders: OrderStatus, primary: TargetState) -> None:
        """Answer what is held back of a former primary, if a late order replaced it.

        It may be gone, and must not be let through with positions of a later term.
        """
        group, name = primary.group, primary.target.name
        if not self._positions.holds(group) or orders.held_under == name:
            return
        orders.held_under = name
        if orders.pending.may_undo(name):
            await self._promoter.announce(group, name)
        else:
            await self.end_holds_below(group, name)

    async def resume(
        self,
        group: str,
        orders: OrderStatus,
        followers: list[TargetState],
        primary: str,
    ) -> None:
        """Resume replicas, unless an order is pending or the next owner may act.

        ``primary`` is the name of the one that was to be replaced, empty if it isn't
        known. A replica that isn't known to receive again is resumed later, if it is
        still paused.
        """
        released = self.release(group, orders, primary)
        orders.may_be_paused = True
        if orders.pending.may_undo(primary):
            log.warning("replacer: replicas stay paused", group=group)
        elif self._promoter.lease_holds():
            resumed = await self._replicas.resume(group, followers)
            orders.may_be_paused = not (resumed and released)
        else:
            log.warning("replacer: lease too old to act", group=group)

    def release(self, group: str, orders: OrderStatus, primary: str) -> bool:
        """Let the nodes acknowledge commits again, as nobody replaces the primary.

        Returns False if an order is pending, or another target leads by now: then what
        is held back may be gone, and ``settle`` ends the holds.
        """
        leader = self._directory.primary(group)
        is_replaced = leader is not None and leader.target.name != primary
        if orders.pending.may_undo(primary) or is_replaced:
            orders.may_be_paused = True
            return False
        self._positions.release(group)
        return True

    async def settle(self, orders: OrderStatus, primary: TargetState) -> None:
        """See to it that no order can take the lead from a primary that runs.

        Then replicas that are still paused are resumed, and holds are ended. An order
        must not take effect any more by then: none of an earlier epoch is carried out
        once the fence is raised, and one that was carried out just before has taken
        effect or never will ``EFFECT_LIMIT_S`` later.
        """
        group, name = primary.group, primary.target.name
        pending, now = orders.pending, clock.now()
        if not pending.may_undo(name) and not orders.may_be_paused:
            return
        if pending.are_ending(now) or now - orders.settled_at < RELEASE_RETRY_S:
            return
        orders.settled_at = now
        pending.end_fenced()
        if pending.may_undo(name):
            await self._raise_fence(orders, primary)
            return
        await self._reports.stop(group)
        if self._positions.holds(group):
            await self.end_holds_below(group, name)
        followers = self._followers(group, primary)
        states = await self._replicas.send(followers, statement.STATUS)
        paused = [
            follower
            for follower, state in zip(followers, states, strict=True)
            if state.paused
        ]
        if paused:
            # Another owner's order must not follow this one closely.
            orders.acted_at = now
            await self.resume(group, orders, paused, name)
        else:
            orders.may_be_paused = False
        orders.may_be_paused |= any(state.received is None for state in states)

    async def _raise_fence(self, orders: OrderStatus, primary: TargetState) -> None:
        """Order the present primary again, so that earlier orders end.

        Until then one of them may make another target the primary for a while, so
        commits of every term are held back. Those are let through that the targets of
        all orders have; nothing is, if a former owner's may be among them.
        """
        pending = orders.pending
        group, name = primary.group, primary.target.name
        self.cover_terms(group, orders, name)
        await self._positions.hold(group, name)
        states = [self._directory.targets.get(one) for one in pending.others(name)]
        known = pending.traces is Traces.NONE and None not in states
        await self._reports.start(group, states if known else [])
        orders.acted_at = clock.now()
        await self._promoter.raise_fence(group, name, pending, EFFECT_LIMIT_S)

    async def end_holds_below(self, group: str, primary: str) -> None:
        """Let commits of a primary through, and answer those of earlier terms."""
        state = self._directory.targets.get(primary)
        if self._positions.holds_every_term(group) and state is not None:
            (answer,) = await self._replicas.send([state], statement.STATUS)
            if answer.leads:
                await self._positions.hold_below(group, self._replicas.terms[group])
        await self._promoter.announce(group, primary)
        if self._positions.holds_every_term(group):
            # The term isn't known, so the hold concerns this primary as well.
            self._positions.release(group)
        self._positions.taken_over(group)

    def _followers(self, group: str, primary: TargetState | None) -> list[TargetState]:
        name = primary.target.name if primary else ""
        return self._directory.followers(group, name)
