"""Keeps the limit of one cold target at the node that holds its connections.

A statement takes a permit before it waits for a slot, and counts when it is sent.
Reads that another target may serve never wait for a permit; others wait as long as
they can still be sent in time. ``core/targets/cold_start.py`` explains the rules.
"""

import asyncio
import random
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import msgspec
import structlog

from lavenderstack.core import clock
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.messages import Failed, refusal_of
from lavenderstack.core.outcome import DEFAULT_RETRY_S, Reason, Refused
from lavenderstack.core.queue.fair_queue import FairQueue, QueueFull
from lavenderstack.core.targets.cold_start import (
    TAKEOVER_WAIT_S,
    FirstChoice,
    SendWindow,
    may_have_restarted,
    may_send_from,
)
from lavenderstack.core.work_messages import Access, Work
from lavenderstack.node.directory import Directory
from lavenderstack.node.targets.target_connections import TargetConnections

log = structlog.get_logger()

# Statements of an organisation that may wait for a permit.
MAX_WAITING = 400
# Longest time after which those that wait are looked at again, since the target may not
# be cold any more.
RECHECK_S = 0.25
MIN_RECHECK_S = 0.005

# Whether this node is the first choice as the holder of a target, leaving aside who
# answers, and when anything last changed that this depends on.
Choice = Callable[[TargetState], tuple[bool, float]]


class ColdTarget:
    """The limit of one target, also over changes of its address and its report.

    ``refused`` is called with the cause of each refusal: ``holder`` if this node may
    not send to the target, ``limit`` if it has sent as much as it may.
    """

    def __init__(
        self,
        state: TargetState,
        directory: Directory,
        choice: Choice,
        refused: Callable[[str], None],
    ) -> None:
        self.window = SendWindow()
        self.connections: TargetConnections | None = None
        self._state = state
        self._directory = directory
        self._choice = choice
        self._refused = refused
        self._first = FirstChoice()
        # The work with a permit, by the identity of the object.
        self._permits: set[int] = set()
        # Statements of open transactions keep locks, so they are sent first.
        self._urgent: deque[asyncio.Future] = deque()
        self._waiting = FairQueue()
        self._timer: asyncio.TimerHandle | None = None
        self._was_limited = False

    def limit(self, now: float) -> int | None:
        """Return what this node may send in any one second, None without a limit."""
        directory = self._directory
        if directory.cold_limits is None:
            return None
        state = directory.targets.get(self._state.target.name)
        if state is not None:
            self._state = state
            if now >= state.cold_until and not self._may_have_restarted():
                return None
        return directory.cold_limit(self._state.group)

    def _may_have_restarted(self) -> bool:
        limits = self._directory.catalog.groups.get(self._state.group)
        if self.connections is None or limits is None or not limits.cold_s:
            return False
        suspected_at = self.connections.maybe_restarted_at
        return may_have_restarted(suspected_at, self._directory.proof.at)

    def _start_at(self, now: float) -> float:
        """Return from when on this node may send; raises ``Refused`` if it may not."""
        directory = self._directory
        first, changed_at = self._choice(self._state)
        since = self._first.observe(first, changed_at, now)
        if since is not None and directory.registered:
            since = max(since, directory.registered_at)
            start_at = may_send_from(since, directory.proof.age_s(now))
            if start_at is not None:
                return start_at
        raise self._refusal("holder", "another node may send to it", DEFAULT_RETRY_S)

    def _refusal(self, cause: str, detail: str, retry_s: float) -> Refused:
        self._refused(cause)
        retry_s *= random.uniform(1.0, 1.5)
        return Refused(Reason.CROWDED, f"the target is cold, {detail}", retry_s)

    @asynccontextmanager
    async def permit(self, work: Work) -> AsyncIterator[Work]:
        """Hold a permit for a statement; returns the work with the time that is left.

        Raises ``Refused`` if the statement can't be sent in time.
        """
        arrived_at = clock.now()
        has_permit = await self._take(work, arrived_at)
        waited_s = clock.now() - arrived_at
        work = msgspec.structs.replace(
            work,
            left_s=work.left_s - waited_s,
            latency_goal_left_s=work.latency_goal_left_s - waited_s,
        )
        if has_permit:
            self._permits.add(id(work))
        try:
            yield work
        finally:
            if id(work) in self._permits:
                self._permits.discard(id(work))
                self._give_back()

    async def _take(self, work: Work, now: float) -> bool:
        """Wait for a permit; return False if the target is not limited any more."""
        limit = self.limit(now)
        if limit is None:
            return False
        ahead = self._ahead(work)
        expected_at = max(
            self._start_at(now), self.window.expected_at(limit, ahead, now)
        )
        if expected_at <= now and not ahead and self.window.take(limit, now):
            return True
        may_wait = work.access is not Access.AGED_READ or bool(work.tx)
        if not may_wait or expected_at >= now + work.left_s:
            raise self._full(expected_at, now)
        return await self._wait(work, now + work.left_s)

    def _full(self, expected_at: float, now: float) -> Refused:
        retry_s = min(max(expected_at - now, DEFAULT_RETRY_S), TAKEOVER_WAIT_S)
        return self._refusal("limit", "it gets what it may", retry_s)

    def _ahead(self, work: Work) -> int:
        """Return how many statements get a permit before one that arrives now."""
        if work.tx:
            return len(self._urgent)
        own = self._waiting.length_of(work.organisation)
        organisations = self._waiting.organisation_count
        fair = own * max(1, organisations) + organisations
        return len(self._urgent) + min(len(self._waiting), fair)

    async def _wait(self, work: Work, deadline: float) -> bool:
        fut = asyncio.get_running_loop().create_future()
        if work.tx:
            self._urgent.append(fut)
        else:
            try:
                self._waiting.push(work.organisation, 1.0, fut, deadline, MAX_WAITING)
            except QueueFull:
                now = clock.now()
                raise self._full(deadline, now) from None
        self._schedule()
        try:
            async with asyncio.timeout(deadline - clock.now()):
                try:
                    return await fut
                except asyncio.CancelledError:
                    self._withdraw(fut)
                    raise
        except TimeoutError:
            now = clock.now()
            raise self._full(now + DEFAULT_RETRY_S, now) from None

    def _withdraw(self, fut: asyncio.Future) -> None:
        if fut in self._urgent:
            self._urgent.remove(fut)
        elif not self._waiting.remove(fut) and _granted(fut):
            self._give_back()

    def _give_back(self) -> None:
        self.window.give_back()
        self._grant()

    def _schedule(self) -> None:
        """Set the timer that gives the next permit."""
        if self._timer is not None:
            return
        now = clock.now()
        limit = self.limit(now)
        at = now if limit is None else self.window.expected_at(limit, 0, now)
        delay_s = min(max(at - now, MIN_RECHECK_S), RECHECK_S)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._timer_fired)

    def _timer_fired(self) -> None:
        self._timer = None
        self._grant()

    def _grant(self) -> None:
        """Give permits to those that wait, as far as there are any."""
        while self._urgent or len(self._waiting):
            now = clock.now()
            limit = self.limit(now)
            try:
                if limit is not None and now < self._start_at(now):
                    return self._schedule()
            except Refused as exc:
                return self._refuse_all(exc, now)
            if limit is not None and not self.window.take(limit, now):
                return self._schedule()
            fut = self._urgent.popleft() if self._urgent else self._waiting.pop(now)
            if fut is not None and not fut.done():
                fut.set_result(limit is not None)
            elif limit is not None:
                self.window.give_back()
            if fut is None:
                return self._schedule()
        return None

    def _refuse_all(self, exc: Refused, now: float) -> None:
        while self._urgent or len(self._waiting):
            fut = self._urgent.popleft() if self._urgent else self._waiting.pop(now)
            if fut is None:
                # The rest is past its deadline and ends by itself.
                return
            if not fut.done():
                fut.set_exception(exc)

    def count_sent(self, work: Work, now: float) -> Failed | None:
        """Count a statement that is sent now, or return why it may not be sent."""
        limit = self.limit(now)
        if limit is None:
            return None
        try:
            start_at = self._start_at(now)
            if now < start_at:
                raise self._full(start_at, now)
            if id(work) in self._permits:
                self._permits.discard(id(work))
            elif not self.window.take(limit, now):
                raise self._full(self.window.expected_at(limit, 0, now), now)
        except Refused as exc:
            return failed(work, exc)
        self.window.record_sent(now)
        return None

    def is_unused(self, now: float) -> bool:
        """Return whether no statement waits and none counts any more."""
        waiting = len(self._urgent) + len(self._waiting)
        return not waiting and self.window.is_unused(now)

    def sweep(self, now: float) -> None:
        """Observe who is the first choice; log where the limit begins and ends."""
        if self._directory.cold_limit(self._state.group) is None:
            return
        first, changed_at = self._choice(self._state)
        self._first.observe(first, changed_at, now)
        limit = self.limit(now)
        if (limit is not None) == self._was_limited:
            return
        self._was_limited = limit is not None
        log.info(
            "executor: cold target limited"
            if self._was_limited
            else "executor: target no longer limited",
            target=self._state.target.name,
            group=self._state.group,
            limit=limit,
            left_s=round(max(0.0, self._state.cold_until - now), 1),
        )


def _granted(fut: asyncio.Future) -> bool:
    return (
        fut.done() and not fut.cancelled() and fut.exception() is None and fut.result()
    )


def failed(work: Work, exc: Refused) -> Failed:
    """Return the refusal of a statement, which ends its transaction if one is open."""
    refusal = refusal_of(exc)
    if not work.tx:
        return refusal
    return msgspec.structs.replace(refusal, reason=Reason.TRANSACTION_LOST)
