"""Proof of terms and log positions, shared by all waiting requests of a group.

A confirmer has at most one question in flight to each target of its group, however
many writes and reads wait; each answer is checked for all of them. So the cost of
proofs depends on the round-trip time and not on the rate of writes. A target that
doesn't answer delays no question to the others.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field, replace

import structlog

from lavenderstack.core import clock
from lavenderstack.core.failover.evidence import GroupEvidence, Observation
from lavenderstack.core.outcome import Reason, Refused, Unknown
from lavenderstack.core.position import Position

ASK_TIMEOUT_S = 0.5
# Pause between questions while a request waits that came after the last one was sent.
ROUND_GAP_S = 0.001
FIRST_BACKOFF_S = 0.002
MAX_BACKOFF_S = 0.02
RETRY_AFTER_S = 0.5

log = structlog.get_logger()

AskTarget = Callable[[str], Awaitable[Observation]]


@dataclass(eq=False, slots=True)
class _Waiter:
    """One request that waits for a proof.

    Only answers to questions asked after ``asked_after`` count. ``check`` returns the
    proof, None while there is none, or raises when there can't be one.
    """

    asked_after: float
    check: Callable[[], object | None]
    fut: asyncio.Future = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class Confirmer:
    """Proves terms and positions of one group for the requests of this node.

    ``ask`` asks a target for its state, directly or through its connection holder,
    and raises if there is no answer. Each call must lead to a new question to the
    target: a cached answer, or one shared with an earlier question, may be older than
    the confirmer assumes. Use ``running_confirmer`` to run one. When the group's
    targets change, make a new confirmer.
    """

    def __init__(self, targets: Sequence[str], ask: AskTarget) -> None:
        self.evidence = GroupEvidence(targets)
        self.questions = 0
        self._ask = ask
        self._waiters: set[_Waiter] = set()
        self._requests_waiting = asyncio.Event()
        self._wakeups = {target: asyncio.Event() for target in targets}

    def add_observation(self, seen: Observation) -> None:
        """Use a target's state that was reported in the answer to another call."""
        self.evidence.add_observation(seen)
        self._check_waiters()

    async def confirm_write(self, position: Position, deadline: float) -> list[str]:
        """Wait until a write may be acknowledged; return the targets that hold it.

        Call it after the primary has answered the commit. Raises ``Unknown`` if the
        term was superseded, or at the deadline, a time of this node's clock.
        """
        asked_after = clock.now()

        def check() -> list[str] | None:
            holders = self.evidence.confirmed(position, asked_after)
            if holders is None and self.evidence.superseded(position.term):
                raise Unknown(Reason.UNCONFIRMED, "the primary was replaced")
            return holders

        try:
            return await self._wait(_Waiter(asked_after, check), deadline)
        except TimeoutError as exc:
            raise Unknown(Reason.UNCONFIRMED, "no proof in time") from exc

    async def confirm_term(
        self, term: int, asked_after: float, deadline: float
    ) -> None:
        """Wait until a majority, asked after the given time, reports the term.

        Raises ``Refused`` if the term was superseded, or at the deadline.
        """

        def check() -> bool | None:
            if self.evidence.term_holds(term, asked_after):
                return True
            if self.evidence.superseded(term):
                raise _no_primary("the primary was replaced")
            return None

        try:
            await self._wait(_Waiter(asked_after, check), deadline)
        except TimeoutError as exc:
            raise _no_primary("no majority in time") from exc

    async def confirm_age(
        self, last: Position, max_age_s: float, deadline: float
    ) -> float:
        """Return the proved age in seconds of data at ``last``, once low enough.

        Raises ``Refused`` at the deadline. The age grows while the targets are asked,
        so a ``max_age_s`` below the round-trip time can't be met.
        """

        def check() -> float | None:
            age_s = self.evidence.proved_age(last, clock.now())
            return age_s if age_s is not None and age_s <= max_age_s else None

        waiter = _Waiter(clock.now() - max_age_s, check)
        try:
            return await self._wait(waiter, deadline)
        except TimeoutError as exc:
            raise Refused(Reason.BEHIND, "age not proved", RETRY_AFTER_S) from exc

    async def run(self) -> None:
        """Ask the targets while requests wait, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for target in self.evidence.targets:
                tasks.create_task(self._ask_repeatedly(target))

    async def _wait(self, waiter: _Waiter, deadline: float) -> object:
        proof = waiter.check()
        if proof is not None:
            return proof
        self._waiters.add(waiter)
        self._requests_waiting.set()
        for wakeup in self._wakeups.values():
            wakeup.set()
        try:
            async with asyncio.timeout(max(0.0, deadline - clock.now())):
                return await waiter.fut
        finally:
            self._waiters.discard(waiter)
            if not self._waiters:
                self._requests_waiting.clear()

    def _check_waiters(self) -> None:
        for waiter in self._waiters:
            if waiter.fut.done():
                continue
            try:
                proof = waiter.check()
            except (Refused, Unknown) as exc:
                waiter.fut.set_exception(exc)
                continue
            if proof is not None:
                waiter.fut.set_result(proof)

    async def _ask_repeatedly(self, target: str) -> None:
        backoff_s = FIRST_BACKOFF_S
        while True:
            await self._requests_waiting.wait()
            asked_at = clock.now()
            seen = await self._ask_once(target)
            if seen is not None:
                self.add_observation(replace(seen, asked_at=asked_at))
            waiting = [waiter for waiter in self._waiters if not waiter.fut.done()]
            if seen and any(waiter.asked_after > asked_at for waiter in waiting):
                backoff_s = FIRST_BACKOFF_S
                await asyncio.sleep(ROUND_GAP_S)
            elif waiting:
                await self._pause(target, backoff_s)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
            else:
                backoff_s = FIRST_BACKOFF_S
                await asyncio.sleep(0)

    async def _pause(self, target: str, backoff_s: float) -> None:
        """Sleep until a new request arrives, for at most ``backoff_s``."""
        wakeup = self._wakeups[target]
        wakeup.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(backoff_s):
                await wakeup.wait()

    async def _ask_once(self, target: str) -> Observation | None:
        self.questions += 1
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                return await self._ask(target)
        except Exception as exc:
            log.debug("confirm: no answer", target=target, error=repr(exc))
            return None


def _no_primary(detail: str) -> Refused:
    return Refused(Reason.NO_PRIMARY, detail, RETRY_AFTER_S)


@asynccontextmanager
async def running_confirmer(
    targets: Sequence[str], ask: AskTarget
) -> AsyncIterator[Confirmer]:
    """Run a confirmer for the duration of the block."""
    confirmer = Confirmer(targets, ask)
    task = asyncio.create_task(confirmer.run(), name="confirmer")
    try:
        yield confirmer
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
