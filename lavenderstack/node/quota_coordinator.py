"""The allotter: splits the plans of the organisations of the shards that it owns.

Every node runs one; the store says which of them owns a shard. Ownership is looked
up for every message. A process that becomes owner opens its books empty and lets the
leases of its predecessor end first, unless the predecessor handed its books over.

When the store is down nobody can become owner: the owners of before go on, and an
organisation whose owner has died keeps the shares that its nodes hold until they end.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

import structlog

from lavenderstack.core import clock
from lavenderstack.core.handover import export_ledger, import_ledger, open_ledger
from lavenderstack.core.ledger import Ledger
from lavenderstack.core.messages import Message
from lavenderstack.core.shard import owner_candidates, ownership_name, shard_of
from lavenderstack.core.share_messages import (
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
from lavenderstack.node.peers import Call
from lavenderstack.node.streams import NotSent, StreamLost
from lavenderstack.node.takeover import HEIRS, TakeoverPlanner

TICK_S = 1.0
HAND_OVER_TIMEOUT_S = 1.0
RECALL_WAIT_S = 0.03

log = structlog.get_logger()


class Duties(Protocol):
    """Ownership of duties, proved by the freshness of this process's view."""

    def owns(self, duty: str, now: float) -> int | None:
        """Return the epoch at which this process owns the duty, or None.

        The first owner ever has epoch 1 and every change of owner adds 1; another
        process of the same VM is another owner. An epoch is only returned when no
        earlier owner can still act.
        """

    def pending(self, duty: str) -> bool:
        """Tell whether this process has claimed the duty and only waits to act."""

    async def claim(self, duty: str, stopped: int = 0) -> int | None:
        """Try to become the owner of a duty that nobody holds any more.

        ``stopped`` is the epoch under which the owner has said that it acts no more.
        Changes nothing, and doesn't raise, if somebody holds it or the store is down.
        """


@dataclass(slots=True)
class ShardLedgers:
    """The ledgers of one shard at one epoch; ``closed`` once handed over."""

    epoch: int
    owned_at: float
    ledgers: dict[str, Ledger] = field(default_factory=dict)
    closed: bool = False


@dataclass(frozen=True, slots=True)
class Received:
    """Books that the owner at ``epoch`` handed to this process."""

    epoch: int
    at: float
    ledgers: list[LedgerSnapshot]


class QuotaCoordinator:
    """Answers requests for shares and draws of the shards that this process owns."""

    def __init__(
        self,
        vm: str,
        duties: Duties,
        view: Callable[[], View],
        call: Call,
        now: Callable[[], float] = clock.now,
    ):
        self.vm = vm
        self._succession = TakeoverPlanner(vm, call)
        self.books: dict[int, ShardLedgers] = {}
        self._duties = duties
        self._view = view
        self._call = call
        self._now = now
        self._recalls: dict[str, asyncio.Task] = {}
        self._received: dict[int, Received] = {}
        self._revision = -1
        self._stopping = False

    def handlers(self) -> Mapping[type, Callable[[Message], Awaitable[Message]]]:
        """Return what answers each message that is meant for an allotter."""
        return {
            SharesRequest: self.on_ask_shares,
            DrawRequest: self.on_ask_draw,
            LedgerHandover: self.on_hand_over,
        }

    def _books(self, shard: int, now: float) -> ShardLedgers | None:
        """Return the books of a shard if this process may issue from them now.

        Books outlast a time in which the process can't prove its ownership: if it is
        still the owner at the same epoch, its leases are still out.
        """
        epoch = self._duties.owns(ownership_name(shard), now)
        if epoch is None:
            return None
        books = self.books.get(shard)
        if books is None or books.epoch != epoch:
            books = self.books[shard] = self._open(shard, epoch, now)
        return None if books.closed else books

    def _open(self, shard: int, epoch: int, now: float) -> ShardLedgers:
        books = ShardLedgers(epoch, now)
        received = self._received.pop(shard, None)
        if received is None or received.epoch + 1 != epoch:
            log.info("allotter: books opened", shard=shard, epoch=epoch)
            return books
        for handed in received.ledgers:
            plan = self._plan(handed.organisation)
            ledger = import_ledger(handed, plan, epoch, received.at)
            books.ledgers[handed.organisation] = ledger
        log.info("allotter: books taken over", shard=shard, epoch=epoch)
        return books

    def _plan(self, organisation: str) -> tuple[float, float]:
        plan = self._view().plan_of(organisation)
        return (plan.rate, plan.burst) if plan else (0.0, 0.0)

    def _ledger(self, organisation: str, now: float) -> Ledger | None:
        books = self._books(shard_of(organisation), now)
        if books is None:
            return None
        self._follow_plans(now)
        ledger = books.ledgers.get(organisation)
        if ledger is None:
            plan = self._plan(organisation)
            ledger = open_ledger(organisation, plan, books.epoch, books.owned_at, now)
            books.ledgers[organisation] = ledger
        return ledger

    def _follow_plans(self, now: float) -> None:
        revision = self._view().revision
        if revision == self._revision:
            return
        self._revision = revision
        for books in self.books.values():
            for organisation, ledger in books.ledgers.items():
                plan = self._plan(organisation)
                if plan != (ledger.rate, ledger.burst):
                    ledger.set_plan(*plan, now)

    async def on_ask_shares(self, message: SharesRequest) -> Message:
        """Grant shares for the organisations that this process serves."""
        now = self._now()
        grants = []
        for ask in message.requests:
            ledger = self._ledger(ask.organisation, now)
            grant = ledger.ask(message.node, ask, now) if ledger else None
            if grant is not None:
                grants.append(grant)
        return SharesReply(grants)

    async def on_ask_draw(self, message: DrawRequest) -> Message:
        """Give tokens at once, after a recall if there are too few."""
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
        """Recall tokens from other nodes if a draw needs it; wait for a recall."""
        organisation = message.organisation
        names = ledger.recall(message.node, message.tokens, now)
        if names:
            calls = [self._recall_from(name, organisation) for name in names]
            task = asyncio.ensure_future(_all(calls))
            self._recalls[organisation] = task
            task.add_done_callback(lambda _: self._recalls.pop(organisation, None))
        if organisation in self._recalls:
            await asyncio.wait([self._recalls[organisation]], timeout=RECALL_WAIT_S)

    async def _recall_from(self, process: str, organisation: str) -> None:
        try:
            vm = process.partition("#")[0]
            reply = await self._call(vm, RecallRequest(organisation), RECALL_WAIT_S)
        except (NotSent, StreamLost, TimeoutError):
            return
        now = self._now()
        ledger = self._ledger(organisation, now)
        if ledger is not None and isinstance(reply, RecallReply):
            for ask in reply.requests:
                ledger.give_back(reply.node, ask, now)

    async def on_hand_over(self, message: LedgerHandover) -> Message:
        """Keep the books of a leaving owner and claim its duty."""
        received = Received(message.epoch, self._now(), message.ledgers)
        self._received[message.shard] = received
        duty = ownership_name(message.shard)
        if not self._duties.pending(duty):
            await self._duties.claim(duty, message.epoch)
        return HandoverReply()

    async def run(self) -> None:
        """Claim the duties that should be held here, and tidy, until cancelled."""
        while True:
            await self.claim_vacant()
            self._tidy(self._now())
            await asyncio.sleep(TICK_S)

    async def claim_vacant(self) -> None:
        """Claim the shards that this VM should take over."""
        if self._stopping:
            return
        now = self._now()
        for shard in await self._succession.vacant(self._view(), now):
            duty = ownership_name(shard)
            if self._duties.owns(duty, now) is not None:
                self._books(shard, now)
            elif not self._duties.pending(duty):
                await self._duties.claim(duty)

    def _tidy(self, now: float) -> None:
        self._follow_plans(now)
        for books in self.books.values():
            for organisation, ledger in list(books.ledgers.items()):
                if not books.closed and ledger.idle(now):
                    del books.ledgers[organisation]

    async def stop(self) -> None:
        """Hand every shard's books to its next owner on a planned stop.

        Books that aren't settled yet are no use to it, so only the shard is handed
        over then.
        """
        self._stopping = True
        now = self._now()
        view = self._view()
        sends = []
        for shard in list(self.books):
            books = self._books(shard, now)
            if books is None:
                continue
            books.closed = True
            ledgers = books.ledgers.values()
            settled = all(now >= one.settled_at for one in ledgers)
            handed = [export_ledger(one, now) for one in ledgers] if settled else []
            body = LedgerHandover(shard, books.epoch, handed)
            names = owner_candidates(shard, view, HEIRS, leaving=self.vm)
            sends.append(self._hand_over(names, body))
        await asyncio.gather(*sends)

    async def _hand_over(self, names: list[str], body: LedgerHandover) -> None:
        """Hand a shard to the first heir that takes it."""
        for name in names:
            try:
                await self._call(name, body, HAND_OVER_TIMEOUT_S)
                return
            except (NotSent, StreamLost, TimeoutError) as exc:
                log.info("allotter: heir silent", vm=name, error=repr(exc))
        log.warning("allotter: nobody took a shard", shard=body.shard)


async def _all(calls: list[Awaitable[None]]) -> None:
    await asyncio.gather(*calls)
