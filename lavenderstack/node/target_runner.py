"""Runs statements on one target's connections and converts its errors to outcomes.

A statement that had no effect ends as ``Refused``, one that may have had an effect as
``Unknown``. The checks before a statement and the confirmation of its result are in
``node/target_holder.py``.
"""

from collections.abc import Awaitable

from lavenderstack.border.target import (
    StatementResult,
    TargetConn,
    TargetErrorCode,
    TargetLost,
    TargetRefused,
    TargetUnreachable,
)
from lavenderstack.core import clock
from lavenderstack.core.evacuation.evacuation import Use
from lavenderstack.core.messages import Execute
from lavenderstack.core.outcome import NO_PRIMARY_RETRY_S, Reason, Refused, Unknown
from lavenderstack.node.evacuation.holder_evacuation_guard import (
    HolderEvacuationGuard,
    use_of,
)
from lavenderstack.node.pool import Pool, PoolExhausted
from lavenderstack.node.targets.target_state_cache import TargetStateCache

BUSY_RETRY_S = 0.2

# Marks the result of a write that was already applied by an earlier attempt.
ALREADY_APPLIED = object()


class TargetRunner:
    """Runs statements on the connections of one target's pool."""

    def __init__(
        self, pool: Pool, state_cache: TargetStateCache, guard: HolderEvacuationGuard
    ) -> None:
        self._pool = pool
        self._state_cache = state_cache
        self._guard = guard

    async def run(self, msg: Execute, term: int, deadline: float) -> StatementResult:
        """Run a statement on a connection of the pool."""
        try:
            async with self._pool.connection() as conn:
                return await self.run_on(conn, msg, term, deadline)
        except PoolExhausted as exc:
            raise Refused(Reason.CROWDED, "no connection", BUSY_RETRY_S) from exc
        except TargetUnreachable as exc:
            self._pool.drop_idle()
            raise Refused(Reason.UNREACHABLE, str(exc), BUSY_RETRY_S) from exc
        except TargetRefused as exc:
            raise self.refusal(exc) from exc

    async def run_on(
        self, conn: TargetConn, msg: Execute, term: int, deadline: float
    ) -> StatementResult:
        """Run a statement on the given connection.

        Raises ``TargetRefused`` if the target did not apply it.
        """
        left_s = deadline - clock.now()
        if left_s <= 0:
            raise Refused(Reason.DEADLINE, "the deadline has passed", 0.0)
        self._guard.check(use_of(msg))
        running = conn.run(
            msg.statement,
            msg.args,
            left_s,
            write=msg.write,
            term=term,
            idempotency_key=msg.idempotency_key,
        )
        return await self.await_outcome(running, msg.idempotency_key)

    async def await_outcome(
        self, running: Awaitable[StatementResult], idempotency_key: str
    ) -> StatementResult:
        """Await a call to the target; raise ``Unknown`` if it may have taken effect."""
        try:
            outcome = await running
        except TargetLost as exc:
            self._pool.drop_idle()
            self._state_cache.invalidate()
            raise Unknown(Reason.CONNECTION_LOST, str(exc)) from exc
        except TargetRefused as exc:
            if idempotency_key and exc.code == TargetErrorCode.ALREADY_RUN:
                return await self._already_run()
            raise
        self._state_cache.record_position(outcome.last)
        return outcome

    async def _already_run(self) -> StatementResult:
        """Return the result of a repeated write, with the target's current position.

        The write counts as done once the log up to that position is confirmed.
        """
        try:
            state = await self._state_cache.refresh()
        except (TargetLost, TargetRefused, TargetUnreachable) as exc:
            raise Unknown(Reason.CONNECTION_LOST, str(exc)) from exc
        return StatementResult(ALREADY_APPLIED, state.term, state.last)

    def refusal(self, exc: TargetRefused) -> Refused:
        """Convert a target's error for a statement it did not apply to ``Refused``."""
        if exc.code == TargetErrorCode.STATEMENT_FAILED:
            return Refused(Reason.STATEMENT_FAILED, exc.detail)
        if exc.code == TargetErrorCode.TOO_MANY_CONNECTIONS:
            return Refused(Reason.CROWDED, "no connection", BUSY_RETRY_S)
        if exc.code == TargetErrorCode.NO_TRANSACTION:
            return Refused(Reason.TRANSACTION_LOST, exc.detail)
        self._state_cache.invalidate()
        return Refused(Reason.NOT_PRIMARY, exc.detail, NO_PRIMARY_RETRY_S)

    async def begin(self, term: int, deadline: float) -> TargetConn:
        """Open a transaction and return its connection, which the caller releases."""
        try:
            conn = await self._pool.acquire()
        except PoolExhausted as exc:
            raise Refused(Reason.CROWDED, "no connection", BUSY_RETRY_S) from exc
        except TargetUnreachable as exc:
            raise Refused(Reason.UNREACHABLE, str(exc), BUSY_RETRY_S) from exc
        except TargetRefused as exc:
            raise self.refusal(exc) from exc
        try:
            self._guard.check(Use.PRIMARY)
            await conn.begin(term, max(0.0, deadline - clock.now()))
        except Refused:
            self._pool.release(conn)
            raise
        except TargetRefused as exc:
            self._pool.release(conn)
            raise self.refusal(exc) from exc
        except TargetLost as exc:
            self._pool.release(conn)
            raise Refused(Reason.UNREACHABLE, str(exc), BUSY_RETRY_S) from exc
        except BaseException:
            conn.close()
            self._pool.release(conn)
            raise
        return conn
