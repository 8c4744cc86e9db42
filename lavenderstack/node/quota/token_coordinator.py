"""The quota coordinator: hands out tokens of organisations' rates to entry nodes.

Every node can be the coordinator, and the entry nodes choose one. A coordinator also
records reserves: tokens of full buckets that a successor may hand out when it takes
over.
"""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from functools import partial

import structlog

from lavenderstack.core import clock
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.quota.coordinator_messages import (
    Attach,
    Detach,
    DrawTokens,
    TokensReply,
)
from lavenderstack.core.quota.coordinator_quota import CoordinatorQuota
from lavenderstack.core.quota.newest_plans import NewestPlans, VersionedPlan
from lavenderstack.core.view import Plan
from lavenderstack.node.backend import ClaimLost, ReserveStore
from lavenderstack.node.directory import Directory

log = structlog.get_logger()

RESERVE_INTERVAL_S = 2.0
# Longest time by which a change of the reserve record may delay a draw.
RECORD_WAIT_S = 0.03
RECORD_RETRY_S = 1.0
# Prevents the reserve record from alternating between owners while nodes disagree on
# who the coordinator is.
TAKE_OVER_INTERVAL_S = 5.0
# Share of all nodes that must be attached here before this node takes over the record,
# so that a few nodes that can't reach the owner don't take it from the others.
MIN_TAKE_OVER_SHARE = 0.5
# Age of the view up to which a missing record means that there was no coordinator.
MAX_UNSPENT_VIEW_AGE_S = 2.5


class TokenCoordinator:
    """Hands out tokens to the attached entry nodes and keeps the reserve record."""

    def __init__(self, directory: Directory, reserves: ReserveStore) -> None:
        self._reserves = reserves
        self._recording = asyncio.Lock()
        self._taken_over_at = float("-inf")
        self._record_retry_at = float("-inf")
        self._owned_revision: int | None = None
        self._directory = directory
        self._quota = CoordinatorQuota()
        self._plans = NewestPlans()
        self._tasks: set[asyncio.Task] = set()

    def run_in_background(self, work: Coroutine) -> None:
        """Run a coroutine as a task that no caller awaits."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _node_count(self) -> int:
        return len(self._directory.view.vms)

    async def detach(self, msg: Detach) -> Message:
        """Handle ``Detach``: the node is no longer attached here."""
        self._quota.detach(msg.node, self._node_count(), clock.now())
        return TokensReply(0)

    async def attach(self, msg: Attach) -> Message:
        """Handle ``Attach``: the node is attached here from now on."""
        now = clock.now()
        self._quota.attach(msg.node, self._node_count(), now)
        self._create_buckets()
        if self._may_take_over(now):
            await self._run_briefly(self._take_over)
        return TokensReply(0)

    async def draw(self, msg: DrawTokens) -> Message:
        """Handle ``DrawTokens``; hands out tokens, which also attaches the node."""
        now = clock.now()
        self._quota.attach(msg.node, self._node_count(), now)
        plan = self._newest_plan(msg)
        if plan is None:
            return Failed(run=False, reason=Reason.STALE_VIEW)
        self._create_buckets()
        if self._may_take_over(now):
            await self._run_briefly(self._take_over)
        needs_reserve = self._quota.needs_reserve(msg.organisation, msg.wanted)
        if needs_reserve and self._may_record(now):
            await self._run_briefly(partial(self._withdraw, msg.organisation))
        granted = self._quota.draw(
            msg.organisation, plan, msg.wanted, self._node_count(), now, msg.prefetch
        )
        attached_fraction = self._quota.attached.attached_fraction(self._node_count())
        return TokensReply(
            granted.tokens,
            granted.retry_after_s,
            attached_fraction,
            granted.spacing_s,
        )

    def _newest_plan(self, msg: DrawTokens) -> Plan | None:
        """Return the plan of the newest catalog that either node knows."""
        catalog, name = self._directory.catalog, msg.organisation
        own = VersionedPlan(catalog.version, catalog.plans.get(name))
        sent = VersionedPlan(msg.version, Plan(name, msg.rate, msg.burst))
        return self._plans.newest(name, own, sent)

    def _create_buckets(self) -> None:
        # Every coordinator creates the record at once, so a recent view without a
        # record shows that there was none.
        age_s = self._directory.proof.age_s(clock.now())
        is_recent = age_s <= MAX_UNSPENT_VIEW_AGE_S
        self._quota.unspent = is_recent and not self._directory.reserve.revision
        self._quota.create_buckets(self._directory.catalog.plans)

    @property
    def _owns_reserve(self) -> bool:
        return self._owned_revision is not None

    def _may_record(self, now: float) -> bool:
        return not self._recording.locked() and now >= self._record_retry_at

    def _may_take_over(self, now: float) -> bool:
        is_recorded = self._directory.reserve.owner == self._reserves.identity
        if is_recorded and self._owns_reserve:
            return False
        if (
            self._quota.attached.attached_fraction(self._node_count())
            < MIN_TAKE_OVER_SHARE
        ):
            return False
        recently = now - self._taken_over_at < TAKE_OVER_INTERVAL_S
        return not recently and self._may_record(now)

    async def _run_briefly(self, change: Callable[[], Coroutine]) -> None:
        """Start a change of the record and wait ``RECORD_WAIT_S`` seconds for it.

        A change takes a second to fail while the store doesn't answer. Draws must not
        wait that long, so the change continues in the background. After a failure no
        other change starts for ``RECORD_RETRY_S`` seconds.
        """
        task = asyncio.ensure_future(change())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.wait([task], timeout=RECORD_WAIT_S)

    async def _take_over(self) -> None:
        """Take over another coordinator's reserve, so that this node hands it out."""
        reserve = self._directory.reserve
        async with self._recording:
            self._taken_over_at = clock.now()
            if await self._record({}, reserve.revision):
                self._create_buckets()
                self._quota.adopt_reserve(
                    reserve.tokens, self._node_count(), clock.now()
                )
                log.info(
                    "admission: reserve taken over",
                    owner=reserve.owner,
                    revision=reserve.revision,
                )

    async def _withdraw(self, organisation: str) -> None:
        """Remove an organisation's reserve from the record before handing it out.

        Otherwise a successor could hand out the same tokens again.
        """
        async with self._recording:
            reserved = self._quota.reserved
            if organisation not in reserved or not self._owns_reserve:
                return
            left = {name: one for name, one in reserved.items() if name != organisation}
            if await self._record(left, self._owned_revision):
                self._quota.withdraw(organisation, clock.now())

    async def _reserve(self) -> None:
        """Record the reserves of full buckets if this node owns the record."""
        if not self._owns_reserve or self._recording.locked():
            return
        before = dict(self._quota.reserved)
        tokens = self._quota.update_reserves(
            self._directory.catalog.plans, self._node_count(), clock.now()
        )
        if tokens != before:
            async with self._recording:
                await self._record(tokens, self._owned_revision)

    async def _record(self, tokens: Mapping[str, float], revision: int) -> bool:
        try:
            self._owned_revision = await self._reserves.record(tokens, revision)
        except ClaimLost as exc:
            # Another node may own the record now, so tokens that are reserved here
            # must stay reserved.
            self._owned_revision = None
            self._record_retry_at = clock.now() + RECORD_RETRY_S
            log.info(
                "admission: reserve not recorded", error=str(exc), revision=revision
            )
            return False
        return True

    async def _keep_reserves(self) -> None:
        while True:
            await asyncio.sleep(RESERVE_INTERVAL_S)
            await self._reserve()
