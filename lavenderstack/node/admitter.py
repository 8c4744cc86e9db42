"""Admits operations to the rate of their organisation, at the entry.

Tokens come from the allotter, in one question for all operations that wait and some
ahead. While no allotter answers, this node's own part of the rate is used.
"""

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from functools import partial

import structlog

from lavenderstack.core import clock
from lavenderstack.core.attachment import Attachment, CoordinatorState
from lavenderstack.core.coordinator_messages import (
    Attach,
    Detach,
    DrawTokens,
    TokensReply,
)
from lavenderstack.core.coordinator_quota import (
    CoordinatorQuota,
    FallbackQuota,
    PrefetchedTokens,
)
from lavenderstack.core.hash_ring import CachedByIdentity, HashRing, hash_position
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.view import Vm
from lavenderstack.node.backend import ClaimLost, ReserveStore
from lavenderstack.node.directory import Directory
from lavenderstack.node.peers import Peers
from lavenderstack.node.streams import NotSent, StreamLost

log = structlog.get_logger()

# A round trip between zones takes milliseconds; an operation that waits pays for more.
DRAW_TIMEOUT_S = 0.15
ALLOTTERS_TRIED = 4
ATTACH_EVERY_S = 0.15
RETRY_S = 0.1
RESERVE_EVERY_S = 2.0
RECORD_WAIT_S = 0.03
RECORD_AGAIN_S = 1.0
# While nodes disagree on who the allotter is, the record must not go back and forth.
TAKE_OVER_EVERY_S = 5.0
# Nor may a few nodes that can't reach the owner take it away from all others.
TAKE_OVER_PART = 0.5
# Tokens are drawn ahead for this long, and are good for a little longer.
AHEAD_S = 0.25
STOCK_S = 0.5
MOST_AHEAD = 50
# An organisation that was refused is not asked for again so soon.
LONGEST_REFUSED_S = 0.1
SHORTEST_RETRY_S = 0.005
# Less than a caller takes to come back, and a small part of any aim.
WORTH_WAITING_S = 0.05


@dataclass(slots=True)
class _Line:
    """The operations of one organisation that wait for a token."""

    stock: PrefetchedTokens = field(default_factory=PrefetchedTokens)
    waiting: deque[asyncio.Future] = field(default_factory=deque)
    drawing: bool = False


class Admitter:
    """Admits operations here, and hands out tokens where this node is allotter."""

    def __init__(
        self, directory: Directory, peers: Peers, reserves: ReserveStore
    ) -> None:
        self._reserves = reserves
        self._recording = asyncio.Lock()
        self._taken_over_at = float("-inf")
        self._record_again_at = float("-inf")
        self._owned_revision: int | None = None
        self._directory = directory
        self._peers = peers
        self._lines: dict[str, _Line] = defaultdict(_Line)
        self._allotment = CoordinatorQuota()
        self._own = FallbackQuota()
        self._attachment = Attachment()
        self._leaving: asyncio.Task | None = None
        self._tasks: set[asyncio.Task] = set()
        self._rings: CachedByIdentity[HashRing] = CachedByIdentity(_ring)

    def background(self, work: Coroutine) -> None:
        """Run something whose end nobody waits for."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _nodes(self) -> int:
        return len(self._directory.view.vms)

    def _allotter(self) -> Vm | None:
        """Return the owner of the record, else the first node of the ring.

        So a node that comes back leaves the rates with its successor, whose buckets
        are full. One that is passed over or stops is neither, and then the nodes of
        its zone come last, which may be cut off with it.
        """
        live = {vm.name: vm for vm in self._peers.live()}
        owner = live.get(self._directory.reserve.node)
        if owner is not None:
            return owner
        vms = self._directory.view.vms
        lost = vms.get(self._directory.reserve.node)
        names = self._rings.value_for(vms).nodes_after(hash_position("allotment"))
        found = [live[name] for name in names if name in live]
        if lost is not None:
            found.sort(key=lambda vm: vm.zone == lost.zone)
        return found[0] if found else None

    async def admit(self, organisation: str) -> Failed | None:
        """Return None if an operation may run, else the refusal."""
        plan = self._directory.catalog.plans.get(organisation)
        if plan is None:
            return None
        line = self._lines[organisation]
        line.stock.record_operation(clock.now())
        refusal = await self._try(organisation, line)
        if refusal is None or refusal.retry_after_s > WORTH_WAITING_S:
            return refusal
        # A token is due before the caller could ask again.
        await asyncio.sleep(refusal.retry_after_s)
        return await self._try(organisation, line)

    async def _try(self, organisation: str, line: _Line) -> Failed | None:
        now = clock.now()
        if line.stock.take(now):
            return None
        if now < line.stock.refused_until:
            left_s = line.stock.refused_until - now
            return _over_rate(left_s, "refused a moment ago")
        fut = asyncio.get_running_loop().create_future()
        line.waiting.append(fut)
        if not line.drawing:
            line.drawing = True
            self.background(self._draw(organisation, line))
        return await fut

    async def _draw(self, organisation: str, line: _Line) -> None:
        """Draw for those who wait until nobody does."""
        try:
            while line.waiting:
                asked = len(line.waiting)
                await self._draw_once(organisation, line, asked)
        finally:
            line.drawing = False
            while line.waiting:
                _answer(
                    line.waiting.popleft(), _over_rate(LONGEST_REFUSED_S, "no allotter")
                )

    async def _draw_once(self, organisation: str, line: _Line, asked: int) -> None:
        prefetch = min(MOST_AHEAD, int(line.stock.demand * AHEAD_S))
        asked_at = clock.now()
        msg = DrawTokens(self._directory.name, organisation, asked, prefetch)
        drawn = await self._ask_allotter(msg)
        if drawn is None:
            self._use_own(organisation, line, asked)
            return
        line.stock.tokens = drawn.tokens
        line.stock.expires_at = asked_at + STOCK_S
        for _ in range(asked):
            if line.stock.tokens > 0:
                line.stock.tokens -= 1
                _answer(line.waiting.popleft(), None)
                continue
            retry_s = max(drawn.retry_after_s, SHORTEST_RETRY_S)
            refused_s = min(LONGEST_REFUSED_S, retry_s)
            line.stock.refused_until = clock.now() + refused_s
            said = f"allotter {self._attachment.coordinator}, part {drawn.attached_fraction:.2f}"
            _answer(line.waiting.popleft(), _over_rate(retry_s, said))

    def _use_own(self, organisation: str, line: _Line, asked: int) -> None:
        plan = self._directory.catalog.plans.get(organisation)
        for _ in range(asked):
            fut = line.waiting.popleft()
            if plan is None:
                _answer(fut, None)
                continue
            granted = self._own.take(organisation, plan, self._nodes(), clock.now())
            said = f"no allotter, own part of {self._nodes()} nodes"
            refusal = None
            if not granted.tokens:
                refusal = _over_rate(granted.retry_after_s, said)
            _answer(fut, refusal)

    async def _ask_allotter(
        self, msg: Message, probing: bool = False
    ) -> TokensReply | None:
        """Ask the allotter; None if there is none to ask or it is silent.

        One that can't be reached at all has not counted this node, so the next one
        is asked at once.
        """
        until = clock.now() + DRAW_TIMEOUT_S
        for _ in range(ALLOTTERS_TRIED):
            if clock.now() > until:
                break
            vm = await self._to_ask(probing)
            if vm is None:
                return None
            if vm.name != self._attachment.coordinator:
                log.info("admission: quota coordinator", holder=vm.name)
            self._attachment.ask(vm.name, clock.now())
            try:
                answer = await self._peers.ask(vm, msg, DRAW_TIMEOUT_S)
            except NotSent as exc:
                self._note_silent(vm, exc)
                self._attachment.record_not_sent(vm.name)
                continue
            except (StreamLost, TimeoutError) as exc:
                self._note_silent(vm, exc)
                self._attachment.record_sent()
                return None
            self._attachment.record_sent()
            self._peers.trust(vm.name)
            return answer if isinstance(answer, TokensReply) else None
        return None

    def _note_silent(self, vm: Vm, exc: Exception) -> None:
        log.info("admission: quota coordinator silent", holder=vm.name, error=repr(exc))
        self._peers.suspect(vm.name)

    async def _to_ask(self, probing: bool) -> Vm | None:
        """Return the allotter that this node may ask now, leaving another for it."""
        first = self._allotter()
        if first is None:
            return None
        present = self._present()
        if self._attachment.should_detach(first.name, present, clock.now()):
            await self._leave_present()
        now = clock.now()
        name = self._attachment.choose(first.name, present, now, probing)
        return self._directory.view.vms.get(name)

    def _present(self) -> CoordinatorState:
        name = self._attachment.coordinator
        vm = self._directory.view.vms.get(name)
        if vm is None:
            return CoordinatorState.ENDED
        if vm.state != "live":
            return CoordinatorState.LEAVING
        reached = any(one.name == name for one in self._peers.live())
        return CoordinatorState.SERVES if reached else CoordinatorState.SILENT

    async def _leave_present(self) -> None:
        """Tell the present allotter that this node asks elsewhere from now on.

        Whoever else wants to ask meanwhile waits for the same answer.
        """
        if self._leaving is None:
            self._leaving = asyncio.ensure_future(self._detach())
        await asyncio.shield(self._leaving)

    async def _detach(self) -> None:
        name = self._attachment.coordinator
        vm = self._directory.view.vms.get(name)
        try:
            if vm is not None:
                msg = Detach(self._directory.name)
                await self._peers.ask(vm, msg, DRAW_TIMEOUT_S)
                self._attachment.record_detached()
        except (NotSent, StreamLost, TimeoutError) as exc:
            self._note_silent(vm, exc)
        finally:
            self._leaving = None

    async def detach(self, msg: Detach) -> Message:
        """Handle ``Detach``."""
        self._allotment.detach(msg.node, self._nodes(), clock.now())
        return TokensReply(0)

    async def attach(self, msg: Attach) -> Message:
        """Handle ``Attach``."""
        now = clock.now()
        self._allotment.attach(msg.node, self._nodes(), now)
        self._allotment.create_buckets(self._directory.catalog.plans)
        if self._may_take_over(now):
            await self._briefly(self._take_over)
        return TokensReply(0)

    async def draw(self, msg: DrawTokens) -> Message:
        """Handle ``DrawTokens``."""
        now = clock.now()
        self._allotment.attach(msg.node, self._nodes(), now)
        plan = self._directory.catalog.plans.get(msg.organisation)
        if plan is None:
            return TokensReply(msg.wanted)
        if self._may_take_over(now):
            await self._briefly(self._take_over)
        short = self._allotment.needs_reserve(msg.organisation, msg.wanted)
        if short and self._may_record(now):
            await self._briefly(partial(self._withdraw, msg.organisation))
        granted = self._allotment.draw(
            msg.organisation, plan, msg.wanted, self._nodes(), now, msg.prefetch
        )
        attached_fraction = self._allotment.attached.attached_fraction(self._nodes())
        return TokensReply(granted.tokens, granted.retry_after_s, attached_fraction)

    @property
    def _owns_reserve(self) -> bool:
        return self._owned_revision is not None

    def _may_record(self, now: float) -> bool:
        return not self._recording.locked() and now >= self._record_again_at

    def _may_take_over(self, now: float) -> bool:
        if self._directory.reserve.owner == self._reserves.identity:
            return False
        if self._allotment.attached.attached_fraction(self._nodes()) < TAKE_OVER_PART:
            return False
        recently = now - self._taken_over_at < TAKE_OVER_EVERY_S
        return not recently and self._may_record(now)

    async def _briefly(self, change: Callable[[], Coroutine]) -> None:
        """Start a change of the record and wait a little for it.

        While the store is silent it takes a second to fail. Those who draw must not
        wait for that, so the change goes on by itself and none follows it closely.
        """
        task = asyncio.ensure_future(change())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.wait([task], timeout=RECORD_WAIT_S)

    async def _take_over(self) -> None:
        """Withdraw the reserve of another allotter, and hand it out from here."""
        reserve = self._directory.reserve
        async with self._recording:
            self._taken_over_at = clock.now()
            if await self._record({}, reserve.revision):
                self._allotment.create_buckets(self._directory.catalog.plans)
                self._allotment.adopt_reserve(
                    reserve.tokens, self._nodes(), clock.now()
                )
                log.info(
                    "admission: reserve taken over",
                    owner=reserve.owner,
                    revision=reserve.revision,
                )

    async def _withdraw(self, organisation: str) -> None:
        """Take one organisation's reserve out of the record before handing it out."""
        async with self._recording:
            reserved = self._allotment.reserved
            if organisation not in reserved or not self._owns_reserve:
                return
            left = {name: one for name, one in reserved.items() if name != organisation}
            if await self._record(left, self._owned_revision):
                self._allotment.withdraw(organisation, clock.now())

    async def _reserve(self) -> None:
        """Record the reserves of full buckets, while this node is the allotter."""
        if not self._owns_reserve or self._recording.locked():
            return
        before = dict(self._allotment.reserved)
        tokens = self._allotment.update_reserves(
            self._directory.catalog.plans, self._nodes(), clock.now()
        )
        if tokens != before:
            async with self._recording:
                await self._record(tokens, self._owned_revision)

    async def _record(self, tokens: Mapping[str, float], revision: int) -> bool:
        try:
            self._owned_revision = await self._reserves.record(tokens, revision)
        except ClaimLost as exc:
            # Another node may own the record now; what is reserved here stays so.
            self._owned_revision = None
            self._record_again_at = clock.now() + RECORD_AGAIN_S
            log.info(
                "admission: reserve not recorded", error=str(exc), revision=revision
            )
            return False
        return True

    async def _keep_reserves(self) -> None:
        while True:
            await asyncio.sleep(RESERVE_EVERY_S)
            await self._reserve()

    async def run(self) -> None:
        """Stay attached and keep the reserves until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._stay_attached())
            tasks.create_task(self._keep_reserves())

    async def _stay_attached(self) -> None:
        while True:
            idle_s = clock.now() - self._attachment.asked_at
            attached = True
            if idle_s >= ATTACH_EVERY_S:
                msg = Attach(self._directory.name)
                attached = await self._ask_allotter(msg, probing=True) is not None
            await asyncio.sleep(ATTACH_EVERY_S if attached else RETRY_S)


def _ring(vms) -> HashRing:
    return HashRing(vm.name for vm in vms.values() if vm.state == "live")


def _over_rate(retry_after_s: float, detail: str) -> Failed:
    return Failed(
        run=False,
        reason=Reason.OVER_RATE,
        detail=detail,
        retry_after_s=retry_after_s,
    )


def _answer(fut: asyncio.Future, refusal: Failed | None) -> None:
    if not fut.done():
        fut.set_result(refusal)
