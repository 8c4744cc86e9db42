"""Rate limiting of operations at the entry node, one limit for each organisation.

Each operation takes a token. The entry draws tokens from the quota coordinator in
batches: one request covers all waiting operations and some prefetched tokens. While
no coordinator answers, the entry uses its fallback quota, an equal share of the rate.
"""

import asyncio
from collections import defaultdict, deque
from dataclasses import dataclass, field

import structlog

from lavenderstack.core import clock
from lavenderstack.core.hash_ring import CachedByIdentity, HashRing, hash_position
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.queue.return_schedule import ReturnSchedule
from lavenderstack.core.quota.attachment import Attachment, CoordinatorState
from lavenderstack.core.quota.coordinator_messages import (
    Attach,
    Detach,
    DrawTokens,
    TokensReply,
)
from lavenderstack.core.quota.coordinator_quota import FallbackQuota, PrefetchedTokens
from lavenderstack.core.view import Vm
from lavenderstack.node.backend import ReserveStore
from lavenderstack.node.directory import Directory
from lavenderstack.node.peers import Peers
from lavenderstack.node.quota.token_coordinator import TokenCoordinator
from lavenderstack.node.streams import NotSent, StreamLost

log = structlog.get_logger()

# A round trip between zones takes milliseconds; a longer timeout would delay the
# waiting operations.
DRAW_TIMEOUT_S = 0.15
MAX_COORDINATORS_TRIED = 4
ATTACH_INTERVAL_S = 0.15
ATTACH_RETRY_S = 0.1
# Prefetched tokens cover the demand of PREFETCH_S seconds. They stay valid longer than
# that, so that they can be used up.
PREFETCH_S = 0.25
PREFETCHED_VALID_S = 0.5
MAX_PREFETCH = 50
# For at most this long after a refusal, operations of the organisation are refused
# without asking the coordinator.
MAX_REFUSED_S = 0.1
# Longest wait at the entry for a token that is due. It is less than a caller needs to
# retry and a small part of any route's latency goal.
MAX_LOCAL_WAIT_S = 0.05


@dataclass(slots=True)
class _OrganisationQueue:
    """The operations of one organisation that wait for a token.

    ``drawing`` is true while a task draws tokens for the queue. ``returns`` has the
    times told to refused operations, ``spacing_s`` apart.
    """

    prefetched: PrefetchedTokens = field(default_factory=PrefetchedTokens)
    returns: ReturnSchedule = field(default_factory=ReturnSchedule)
    spacing_s: float = 0.0
    waiting: deque[asyncio.Future] = field(default_factory=deque)
    drawing: bool = False


class Admitter(TokenCoordinator):
    """Rate limiter of an entry node, and quota coordinator when this node is chosen."""

    def __init__(
        self, directory: Directory, peers: Peers, reserves: ReserveStore
    ) -> None:
        super().__init__(directory, reserves)
        self._peers = peers
        self._queues: dict[str, _OrganisationQueue] = defaultdict(_OrganisationQueue)
        self._fallback = FallbackQuota()
        self._attachment = Attachment()
        self._detaching: asyncio.Task | None = None
        self._ring_cache: CachedByIdentity[HashRing] = CachedByIdentity(_live_node_ring)

    def _coordinator(self) -> Vm | None:
        """Return the node that should be the coordinator, None if no node is live.

        The owner of the reserve record comes first, then the nodes in ring order. A
        node that restarts therefore doesn't replace its successor, whose buckets are
        full. If the owner is not live, nodes of its zone come last, because the whole
        zone may be cut off.
        """
        live = {vm.name: vm for vm in self._peers.live()}
        owner = live.get(self._directory.reserve.node)
        if owner is not None:
            return owner
        vms = self._directory.view.vms
        lost_owner = vms.get(self._directory.reserve.node)
        names = self._ring_cache.value_for(vms).nodes_after(hash_position("allotment"))
        found = [live[name] for name in names if name in live]
        if lost_owner is not None:
            found.sort(key=lambda vm: vm.zone == lost_owner.zone)
        return found[0] if found else None

    async def admit(self, organisation: str) -> Failed | None:
        """Return None if an operation may run, else the refusal.

        May wait up to ``MAX_LOCAL_WAIT_S`` seconds for a token and try once more.
        """
        plan = self._directory.catalog.plans.get(organisation)
        if plan is None:
            return None
        queue = self._queues[organisation]
        queue.prefetched.record_operation(clock.now())
        refusal = await self._take_token(organisation, queue)
        if refusal is None or refusal.retry_after_s > MAX_LOCAL_WAIT_S:
            return refusal
        # A token is due before the caller could retry.
        await asyncio.sleep(refusal.retry_after_s)
        return await self._take_token(organisation, queue)

    async def _take_token(
        self, organisation: str, queue: _OrganisationQueue
    ) -> Failed | None:
        now = clock.now()
        if queue.prefetched.take(now):
            return None
        if now < queue.prefetched.refused_until:
            left_s = queue.prefetched.refused_until - now
            retry_s = queue.returns.next_after_s(now, left_s, queue.spacing_s)
            return _over_rate(retry_s, "refused recently")
        fut = asyncio.get_running_loop().create_future()
        queue.waiting.append(fut)
        if not queue.drawing:
            queue.drawing = True
            self.run_in_background(self._draw_tokens(organisation, queue))
        return await fut

    async def _draw_tokens(self, organisation: str, queue: _OrganisationQueue) -> None:
        """Draw tokens until no operation of the queue waits.

        If drawing fails with an exception, all waiting operations are refused.
        """
        try:
            while queue.waiting:
                wanted = len(queue.waiting)
                await self._draw_once(organisation, queue, wanted)
        finally:
            queue.drawing = False
            while queue.waiting:
                _resolve(
                    queue.waiting.popleft(), _over_rate(MAX_REFUSED_S, "no coordinator")
                )

    def _draw_request(
        self, organisation: str, wanted: int, prefetch: int
    ) -> DrawTokens:
        catalog, name = self._directory.catalog, self._directory.name
        plan = catalog.plans.get(organisation)
        if plan is None:
            return DrawTokens(name, organisation, wanted, prefetch)
        return DrawTokens(
            name,
            organisation,
            wanted,
            prefetch,
            catalog.version,
            plan.rate,
            plan.burst,
        )

    async def _draw_once(
        self, organisation: str, queue: _OrganisationQueue, wanted: int
    ) -> None:
        prefetch = min(MAX_PREFETCH, int(queue.prefetched.demand * PREFETCH_S))
        asked_at = clock.now()
        reply = await self._ask_coordinator(
            self._draw_request(organisation, wanted, prefetch)
        )
        if reply is None:
            self._use_fallback_quota(organisation, queue, wanted)
            return
        queue.prefetched.tokens = reply.tokens
        queue.prefetched.expires_at = asked_at + PREFETCHED_VALID_S
        for _ in range(wanted):
            if queue.prefetched.tokens > 0:
                queue.prefetched.tokens -= 1
                _resolve(queue.waiting.popleft(), None)
                continue
            now = clock.now()
            refused_s = min(MAX_REFUSED_S, reply.retry_after_s)
            queue.prefetched.refused_until = now + refused_s
            queue.spacing_s = reply.spacing_s
            retry_s = queue.returns.next_after_s(
                now, reply.retry_after_s, reply.spacing_s
            )
            detail = (
                f"coordinator {self._attachment.coordinator}, "
                f"share {reply.attached_fraction:.2f}"
            )
            _resolve(queue.waiting.popleft(), _over_rate(retry_s, detail))

    def _use_fallback_quota(
        self, organisation: str, queue: _OrganisationQueue, wanted: int
    ) -> None:
        plan = self._directory.catalog.plans.get(organisation)
        for _ in range(wanted):
            fut = queue.waiting.popleft()
            if plan is None:
                _resolve(fut, None)
                continue
            granted = self._fallback.take(
                organisation, plan, self._node_count(), clock.now()
            )
            detail = f"no coordinator, fallback quota of {self._node_count()} nodes"
            refusal = None
            if not granted.tokens:
                retry_s = queue.returns.next_after_s(
                    clock.now(), granted.retry_after_s, granted.spacing_s
                )
                refusal = _over_rate(retry_s, detail)
            _resolve(fut, refusal)

    async def _ask_coordinator(
        self, msg: Message, probing: bool = False
    ) -> TokensReply | None:
        """Ask the coordinator; return None if there is none or it doesn't answer.

        If a request could not be sent, that coordinator has not attached this node, so
        the next one is asked at once. ``probing`` means that no operation waits for
        the answer, so a silent coordinator may be tried again.
        """
        until = clock.now() + DRAW_TIMEOUT_S
        for _ in range(MAX_COORDINATORS_TRIED):
            if clock.now() > until:
                break
            vm = await self._choose_coordinator(probing)
            if vm is None:
                return None
            if vm.name != self._attachment.coordinator:
                log.info("admission: quota coordinator", holder=vm.name)
            self._attachment.record_request(vm.name, clock.now())
            try:
                answer = await self._peers.ask(vm, msg, DRAW_TIMEOUT_S)
            except NotSent as exc:
                self._record_silence(vm, exc)
                self._attachment.record_not_sent(vm.name)
                continue
            except (StreamLost, TimeoutError) as exc:
                self._record_silence(vm, exc)
                self._attachment.record_sent()
                return None
            self._attachment.record_sent()
            self._peers.trust(vm.name)
            return answer if isinstance(answer, TokensReply) else None
        return None

    def _record_silence(self, vm: Vm, exc: Exception) -> None:
        log.info("admission: quota coordinator silent", holder=vm.name, error=repr(exc))
        self._peers.suspect(vm.name)

    async def _choose_coordinator(self, probing: bool) -> Vm | None:
        """Return the coordinator that this node may ask now, None if there is none.

        Detaches from the current coordinator first if another one is preferred.
        """
        first = self._coordinator()
        if first is None:
            return None
        state = self._coordinator_state()
        if self._attachment.should_detach(first.name, state, clock.now()):
            await self._leave_coordinator()
        now = clock.now()
        name = self._attachment.choose(first.name, state, now, probing)
        return self._directory.view.vms.get(name)

    def _coordinator_state(self) -> CoordinatorState:
        name = self._attachment.coordinator
        vm = self._directory.view.vms.get(name)
        if vm is None:
            return CoordinatorState.ENDED
        if vm.state != "live":
            return CoordinatorState.LEAVING
        reached = any(one.name == name for one in self._peers.live())
        return CoordinatorState.SERVES if reached else CoordinatorState.SILENT

    async def _leave_coordinator(self) -> None:
        """Detach from the current coordinator.

        Concurrent callers share one request and wait for its answer.
        """
        if self._detaching is None:
            self._detaching = asyncio.ensure_future(self._detach())
        await asyncio.shield(self._detaching)

    async def _detach(self) -> None:
        name = self._attachment.coordinator
        vm = self._directory.view.vms.get(name)
        try:
            if vm is not None:
                msg = Detach(self._directory.name)
                await self._peers.ask(vm, msg, DRAW_TIMEOUT_S)
                self._attachment.record_detached()
        except (NotSent, StreamLost, TimeoutError) as exc:
            self._record_silence(vm, exc)
        finally:
            self._detaching = None

    async def run(self) -> None:
        """Keep this node attached and its reserves recorded until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._stay_attached())
            tasks.create_task(self._keep_reserves())

    async def _stay_attached(self) -> None:
        while True:
            idle_s = clock.now() - self._attachment.asked_at
            attached = True
            if idle_s >= ATTACH_INTERVAL_S:
                msg = Attach(self._directory.name)
                attached = await self._ask_coordinator(msg, probing=True) is not None
            await asyncio.sleep(ATTACH_INTERVAL_S if attached else ATTACH_RETRY_S)


def _live_node_ring(vms) -> HashRing:
    return HashRing(vm.name for vm in vms.values() if vm.state == "live")


def _over_rate(retry_after_s: float, detail: str) -> Failed:
    return Failed(
        run=False,
        reason=Reason.OVER_RATE,
        detail=detail,
        retry_after_s=retry_after_s,
    )


def _resolve(fut: asyncio.Future, refusal: Failed | None) -> None:
    if not fut.done():
        fut.set_result(refusal)
