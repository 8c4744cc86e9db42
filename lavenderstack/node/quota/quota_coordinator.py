"""The quota coordinator: divides the plans of organisations among nodes.

Every node runs one. It serves the organisations of the shards that it owns; the store
records the owner of each shard, and ownership is checked for every message. A process
that becomes owner starts with empty ledgers and waits until the leases issued by its
predecessor have expired, unless the predecessor handed its ledgers over.

While the store is down no node can become owner. Existing owners continue, and an
organisation whose owner has died keeps the shares on its nodes until they expire.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

import structlog

from lavenderstack.core import clock
from lavenderstack.core.messages import Message
from lavenderstack.core.quota.handover import export_ledger, import_ledger, open_ledger
from lavenderstack.core.quota.ledger import Ledger
from lavenderstack.core.quota.shard import owner_candidates, ownership_name, shard_of
from lavenderstack.core.quota.share_messages import (
    DrawRequest,
    HandoverReply,
    LedgerHandover,
    LedgerSnapshot,
    NotCoordinator,
    RecallReply,
    RecallRequest,
    SharesReply,
    SharesRequest,
)
from lavenderstack.core.view import View
from lavenderstack.node.peers import CallVm
from lavenderstack.node.streams import NotSent, StreamLost
from lavenderstack.node.takeover import MAX_CANDIDATES, TakeoverPlanner

CLAIM_INTERVAL_S = 1.0
HAND_OVER_TIMEOUT_S = 1.0
RECALL_WAIT_S = 0.03

log = structlog.get_logger()


class ShardOwnership(Protocol):
    """Ownership of shards, valid while this process's view is proved current."""

    def owns(self, name: str, now: float) -> int | None:
        """Return the epoch at which this process has the ownership, or None.

        The first owner has epoch 1 and every change of owner adds 1; another process
        of the same VM is another owner. An epoch is only returned when no earlier
        owner can still act.
        """

    def pending(self, name: str) -> bool:
        """Return whether this process has a claim that may not be effective yet."""

    async def claim(self, name: str, stopped_epoch: int = 0) -> int | None:
        """Try to become the owner; return the new epoch, or None if that failed.

        Call it when the owner is gone or has stopped; ``stopped_epoch`` is the epoch
        under which it has confirmed that it no longer acts. Changes nothing, and
        doesn't raise, if another process claims it first or the store is down.
        """


@dataclass(slots=True)
class ShardLedgers:
    """The ledgers of one shard at one epoch; ``closed`` once handed over."""

    epoch: int
    owned_at: float
    ledgers: dict[str, Ledger] = field(default_factory=dict)
    closed: bool = False


@dataclass(frozen=True, slots=True)
class ReceivedLedgers:
    """Ledgers that the owner at ``epoch`` handed to this process."""

    epoch: int
    at: float
    ledgers: list[LedgerSnapshot]


class QuotaCoordinator:
    """Grants shares and tokens to nodes, for the shards that this process owns."""

    def __init__(
        self,
        vm: str,
        ownership: ShardOwnership,
        view: Callable[[], View],
        call: CallVm,
        now: Callable[[], float] = clock.now,
    ):
        self.vm = vm
        self._takeover_planner = TakeoverPlanner(vm, call)
        self.shard_ledgers: dict[int, ShardLedgers] = {}
        self._ownership = ownership
        self._view = view
        self._call = call
        self._now = now
        self._recalls: dict[str, asyncio.Task] = {}
        self._received: dict[int, ReceivedLedgers] = {}
        self._revision = -1
        self._stopping = False

    def handlers(self) -> Mapping[type, Callable[[Message], Awaitable[Message]]]:
        """Return the handlers of the messages that go to a quota coordinator."""
        return {
            SharesRequest: self.on_shares_request,
            DrawRequest: self.on_draw_request,
            LedgerHandover: self.on_handover,
        }

    def _owned_ledgers(self, shard: int, now: float) -> ShardLedgers | None:
        """Return the ledgers of a shard if this process may grant from them now.

        Ledgers are kept while the process can't prove its ownership: if it is still
        the owner at the same epoch afterwards, its leases are still valid.
        """
        epoch = self._ownership.owns(ownership_name(shard), now)
        if epoch is None:
            return None
        shard_ledgers = self.shard_ledgers.get(shard)
        if shard_ledgers is None or shard_ledgers.epoch != epoch:
            shard_ledgers = self.shard_ledgers[shard] = self._open_ledgers(
                shard, epoch, now
            )
        return None if shard_ledgers.closed else shard_ledgers

    def _open_ledgers(self, shard: int, epoch: int, now: float) -> ShardLedgers:
        shard_ledgers = ShardLedgers(epoch, now)
        received = self._received.pop(shard, None)
        if received is None or received.epoch + 1 != epoch:
            log.info("coordinator: ledgers opened", shard=shard, epoch=epoch)
            return shard_ledgers
        for snapshot in received.ledgers:
            plan = self._plan(snapshot.organisation)
            ledger = import_ledger(snapshot, plan, epoch, received.at)
            shard_ledgers.ledgers[snapshot.organisation] = ledger
        log.info("coordinator: ledgers taken over", shard=shard, epoch=epoch)
        return shard_ledgers

    def _plan(self, organisation: str) -> tuple[float, float]:
        plan = self._view().plan_of(organisation)
        return (plan.rate, plan.burst) if plan else (0.0, 0.0)

    def _ledger(self, organisation: str, now: float) -> Ledger | None:
        shard_ledgers = self._owned_ledgers(shard_of(organisation), now)
        if shard_ledgers is None:
            return None
        self._follow_plans(now)
        ledger = shard_ledgers.ledgers.get(organisation)
        if ledger is None:
            plan = self._plan(organisation)
            ledger = open_ledger(
                organisation, plan, shard_ledgers.epoch, shard_ledgers.owned_at, now
            )
            shard_ledgers.ledgers[organisation] = ledger
        return ledger

    def _follow_plans(self, now: float) -> None:
        revision = self._view().revision
        if revision == self._revision:
            return
        self._revision = revision
        for shard_ledgers in self.shard_ledgers.values():
            for organisation, ledger in shard_ledgers.ledgers.items():
                plan = self._plan(organisation)
                if plan != (ledger.rate, ledger.burst):
                    ledger.set_plan(*plan, now)

    async def on_shares_request(self, message: SharesRequest) -> Message:
        """Grant shares for those of the organisations that this process serves."""
        now = self._now()
        grants = []
        for share_request in message.requests:
            ledger = self._ledger(share_request.organisation, now)
            grant = ledger.ask(message.node, share_request, now) if ledger else None
            if grant is not None:
                grants.append(grant)
        return SharesReply(grants)

    async def on_draw_request(self, message: DrawRequest) -> Message:
        """Grant tokens, after recalling some from other nodes if there are too few."""
        organisation = message.organisation
        now = self._now()
        ledger = self._ledger(organisation, now)
        if ledger is not None:
            await self._recall(ledger, message, now)
            now = self._now()
            ledger = self._ledger(organisation, now)
        if ledger is None:
            return NotCoordinator()
        grant = ledger.draw(
            message.node, message.number, message.tokens, message.demand, now
        )
        return NotCoordinator() if grant is None else grant

    async def _recall(self, ledger: Ledger, message: DrawRequest, now: float) -> None:
        """Recall tokens from other nodes if a draw needs it, and wait for them."""
        organisation = message.organisation
        processes = ledger.recall(message.node, message.tokens, now)
        if processes:
            calls = [self._recall_from(name, organisation) for name in processes]
            task = asyncio.ensure_future(_wait_for_all(calls))
            self._recalls[organisation] = task
            task.add_done_callback(lambda _: self._recalls.pop(organisation, None))
        if organisation in self._recalls:
            await asyncio.wait([self._recalls[organisation]], timeout=RECALL_WAIT_S)

    async def _recall_from(self, process: str, organisation: str) -> None:
        try:
            vm = process.rpartition("#")[0]
            reply = await self._call(vm, RecallRequest(organisation), RECALL_WAIT_S)
        except (NotSent, StreamLost, TimeoutError):
            return
        now = self._now()
        ledger = self._ledger(organisation, now)
        if ledger is not None and isinstance(reply, RecallReply):
            for share_request in reply.requests:
                ledger.record_return(reply.node, share_request, now)

    async def on_handover(self, message: LedgerHandover) -> Message:
        """Keep the ledgers of a stopping owner and claim its shard."""
        received = ReceivedLedgers(message.epoch, self._now(), message.ledgers)
        self._received[message.shard] = received
        name = ownership_name(message.shard)
        if not self._ownership.pending(name):
            await self._ownership.claim(name, message.epoch)
        return HandoverReply()

    async def run(self) -> None:
        """Claim shards and remove idle ledgers periodically, until cancelled."""
        while True:
            await self.claim_vacant()
            self._remove_idle_ledgers(self._now())
            await asyncio.sleep(CLAIM_INTERVAL_S)

    async def claim_vacant(self) -> None:
        """Claim the shards that this VM should take over."""
        if self._stopping:
            return
        now = self._now()
        for shard in await self._takeover_planner.shards_to_claim(self._view(), now):
            name = ownership_name(shard)
            if self._ownership.owns(name, now) is not None:
                self._owned_ledgers(shard, now)
            elif not self._ownership.pending(name):
                await self._ownership.claim(name)

    def _remove_idle_ledgers(self, now: float) -> None:
        self._follow_plans(now)
        for shard_ledgers in self.shard_ledgers.values():
            for organisation, ledger in list(shard_ledgers.ledgers.items()):
                if not shard_ledgers.closed and ledger.idle(now):
                    del shard_ledgers.ledgers[organisation]

    async def stop(self) -> None:
        """Hand every shard's ledgers to its next owner on a planned stop.

        If some leases of an earlier owner may still be valid, the ledgers would be of
        no use to the next owner, so only the shard is handed over.
        """
        self._stopping = True
        now = self._now()
        view = self._view()
        handovers = []
        for shard in list(self.shard_ledgers):
            shard_ledgers = self._owned_ledgers(shard, now)
            if shard_ledgers is None:
                continue
            shard_ledgers.closed = True
            ledgers = shard_ledgers.ledgers.values()
            settled = all(now >= ledger.settled_at for ledger in ledgers)
            exported = (
                [export_ledger(ledger, now) for ledger in ledgers] if settled else []
            )
            body = LedgerHandover(shard, shard_ledgers.epoch, exported)
            candidates = owner_candidates(shard, view, MAX_CANDIDATES, leaving=self.vm)
            handovers.append(self._hand_over(candidates, body))
        await asyncio.gather(*handovers)

    async def _hand_over(self, candidates: list[str], body: LedgerHandover) -> None:
        """Hand a shard to the first candidate that accepts it."""
        for name in candidates:
            try:
                await self._call(name, body, HAND_OVER_TIMEOUT_S)
                return
            except (NotSent, StreamLost, TimeoutError) as exc:
                log.info("coordinator: handover unanswered", vm=name, error=repr(exc))
        log.warning("coordinator: shard not handed over", shard=body.shard)


async def _wait_for_all(calls: list[Awaitable[None]]) -> None:
    await asyncio.gather(*calls)
