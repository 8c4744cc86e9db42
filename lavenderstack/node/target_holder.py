"""The holder of one target: its connections, its slots, its view of the log.

Every request passes the same gates in the same order: the target is not leaving,
the organisation is inside its rate, the log has reached what the session has seen,
a slot is free, and, at the moment of use, the key still holds. Only then is
anything sent to the target. What follows is proved before it is answered: a write
by a majority that holds it, a fresh read by a majority that keeps its term.
"""

from collections.abc import Awaitable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol

import structlog

from lavenderstack.border.figures import HeldTarget
from lavenderstack.border.target import (
    Code,
    Ran,
    TargetConn,
    TargetLost,
    TargetRefused,
    TargetUnreachable,
)
from lavenderstack.core import clock
from lavenderstack.core.messages import Begin, Begun, End, Execute, Executed
from lavenderstack.core.outcome import Reason, Refused, Unknown
from lavenderstack.core.position import START, Position
from lavenderstack.core.view import Group, Target, View
from lavenderstack.node.pool import CONTROL_CONNECTIONS, Pool, PoolExhausted
from lavenderstack.node.slots import Slots
from lavenderstack.node.target_state_cache import NO_PRIMARY_RETRY_S, TargetStateCache
from lavenderstack.node.transactions import TransactionName, Transactions

CROWDED_RETRY_S = 0.2
PINNED_SHARE = 0.5
AGE_PROOF_S = 0.03
OPEN_QUEUE = 50
LEAVING_GRACE_S = 2.0

# Stands for the result of a write that had taken effect before.
_REPEATED = object()

log = structlog.get_logger()


class Confirms(Protocol):
    """What a holder needs to prove of its group; see ``node/confirm.py``."""

    async def confirm_write(self, position: Position, deadline: float) -> list[str]:
        """Return the targets that hold an acknowledged write."""

    async def confirm_term(
        self, term: int, asked_after: float, deadline: float
    ) -> None:
        """Return once a majority was seen to keep the term after a time."""

    async def confirm_age(
        self, last: Position, max_age_s: float, deadline: float
    ) -> float:
        """Return the proved age in seconds of data at a position, once low enough."""


class Control(Protocol):
    """What a holder needs of the node's control parts."""

    @property
    def view(self) -> View:
        """The current view of the store."""

    def usable(self, now: float) -> bool:
        """Tell whether the view is proved recent enough for keyed work."""

    async def admit(self, organisation: str, deadline: float) -> None:
        """Count a request against its organisation's rate, or refuse it."""


@dataclass(slots=True)
class Gate:
    """What admission has done for a request so far."""

    admitted: bool = False


class TargetHolder:
    """Runs requests on one target. Created by ``node/holder.py`` on first use."""

    def __init__(
        self, node: str, target: Target, group: Group, control: Control, confirms
    ) -> None:
        self.target = target
        self.group = group
        self.known = TargetStateCache(target, group.name)
        self._node = node
        self._control = control
        self._confirms: Confirms = confirms
        limit = max(1, target.connections - CONTROL_CONNECTIONS)
        self._pool = Pool(target, group.name, limit)
        self._slots = Slots(target.slots)
        self.transactions = Transactions()
        self._leaving_since: float | None = None

    # The gates.

    def _check_leaving(self, write: bool) -> None:
        """Refuse new work for a leaving target.

        Single writes still pass for a short while, until another target leads.
        """
        if not self._control.view.is_leaving(self.target.name):
            self._leaving_since = None
            return
        now = clock.now()
        if self._leaving_since is None:
            self._leaving_since = now
        if write and now - self._leaving_since < LEAVING_GRACE_S:
            return
        raise Refused(Reason.LEAVING, retry_after_s=NO_PRIMARY_RETRY_S)

    def _check_key(self, digest: str) -> None:
        """Refuse a request whose key was withdrawn while it was on its way."""
        if not digest:
            return
        if not self._control.usable(clock.now()):
            raise Refused(Reason.STALE_VIEW, "this zone is cut off", 1.0)
        key = self._control.view.keys.get(digest)
        if key is not None and key.withdrawn:
            raise Refused(Reason.KEY_REFUSED, "the key was withdrawn")

    async def _admit(self, msg: Execute, deadline: float, gate: Gate) -> None:
        if msg.admitted or gate.admitted:
            return
        await self._control.admit(msg.organisation, deadline)
        gate.admitted = True

    def _slot(
        self, msg: Execute | Begin | End, deadline: float
    ) -> AbstractAsyncContextManager[None]:
        """Hold one of the target's slots; check the key first thing inside."""
        plan = self._control.view.plan_of(msg.organisation)
        weight = plan.weight if plan else 1.0
        longest = plan.queue if plan else OPEN_QUEUE
        return self._slots.acquire(msg.organisation, weight, deadline, longest)

    # Statements outside of a transaction.

    async def execute(self, msg: Execute, gate: Gate) -> Executed:
        """Run one statement; raises ``Refused`` or ``Unknown``."""
        deadline = clock.now() + msg.left_s
        if msg.transaction:
            return await self._execute_pinned(msg, deadline, gate)
        self._check_leaving(msg.write)
        await self._admit(msg, deadline, gate)
        if msg.write:
            return await self._write(msg, deadline)
        return await self._read(msg, deadline)

    async def _write(self, msg: Execute, deadline: float) -> Executed:
        term = await self.known.leading_term()
        async with self._slot(msg, deadline):
            self._check_key(msg.key_digest)
            ran = await self._run(msg, term, deadline)
        holders = await self._confirms.confirm_write(ran.last, deadline)
        repeated = ran.result is _REPEATED
        return Executed(
            result=None if repeated else ran.result,
            position=ran.last,
            holders=holders,
            repeated=repeated,
        )

    async def _read(self, msg: Execute, deadline: float) -> Executed:
        started = clock.now()
        min_position = msg.min_position
        until = min(deadline, started + msg.wait_s)
        await self.known.reach(min_position, until)
        if msg.max_age_s is not None:
            await self._grow_young(msg.max_age_s, until)
        term = await self.known.leading_term() if msg.fresh else 0
        async with self._slot(msg, deadline):
            self._check_key(msg.key_digest)
            ran = await self._run(msg, term, deadline)
        if ran.last < min_position:
            raise Refused(Reason.BEHIND, "the target has gone back")
        if msg.fresh:
            await self._confirms.confirm_term(term, started, deadline)
        age_s = None
        if msg.max_age_s is not None:
            until = min(deadline, clock.now() + AGE_PROOF_S)
            age_s = await self._confirms.confirm_age(ran.last, msg.max_age_s, until)
        return Executed(
            result=ran.result,
            position=ran.last,
            holders=[self.target.name],
            age_s=age_s,
        )

    async def _grow_young(self, max_age_s: float, until: float) -> None:
        """Wait until what the target holds is proved to be young enough."""
        while True:
            proof_until = min(until, clock.now() + AGE_PROOF_S)
            try:
                await self._confirms.confirm_age(
                    self.known.last, max_age_s, proof_until
                )
                return
            except Refused:
                if clock.now() >= until:
                    raise
            await self.known.look_or_refuse()

    async def _run(self, msg: Execute, term: int, deadline: float) -> Ran:
        try:
            async with self._pool.lease() as conn:
                return await self._run_on(conn, msg, term, deadline)
        except PoolExhausted as exc:
            raise Refused(Reason.CROWDED, "no connection", CROWDED_RETRY_S) from exc
        except TargetUnreachable as exc:
            self._pool.drop_idle()
            raise Refused(Reason.UNREACHABLE, str(exc), CROWDED_RETRY_S) from exc
        except TargetRefused as exc:
            raise self._refusal(exc) from exc

    async def _run_on(
        self, conn: TargetConn, msg: Execute, term: int, deadline: float
    ) -> Ran:
        left_s = deadline - clock.now()
        if left_s <= 0:
            raise Refused(Reason.DEADLINE, "no time left", 0.0)
        running = conn.run(
            msg.statement, msg.args, left_s, write=msg.write, term=term, once=msg.once
        )
        return await self._outcome(running, msg.once)

    async def _outcome(self, running: Awaitable[Ran], once: str) -> Ran:
        """Await a call whose failure may leave its effect unknown."""
        try:
            ran = await running
        except TargetLost as exc:
            self._pool.drop_idle()
            self.known.doubt()
            raise Unknown(Reason.CONNECTION_LOST, str(exc)) from exc
        except TargetRefused as exc:
            if once and exc.code == Code.ALREADY_RUN:
                return await self._already_run()
            raise
        self.known.note(ran.last)
        return ran

    async def _already_run(self) -> Ran:
        """Answer a repeated request: it is done as soon as the log is confirmed."""
        try:
            state = await self.known.look()
        except (TargetLost, TargetRefused, TargetUnreachable) as exc:
            raise Unknown(Reason.CONNECTION_LOST, str(exc)) from exc
        return Ran(_REPEATED, state.term, state.last)

    def _refusal(self, exc: TargetRefused) -> Refused:
        """Turn what a target says it did not apply into the caller's refusal."""
        if exc.code == Code.STATEMENT_FAILED:
            return Refused(Reason.STATEMENT_FAILED, exc.detail)
        if exc.code == Code.TOO_MANY_CONNECTIONS:
            return Refused(Reason.CROWDED, "no connection", CROWDED_RETRY_S)
        if exc.code == Code.NO_TRANSACTION:
            return Refused(Reason.TRANSACTION_LOST, exc.detail)
        self.known.doubt()
        return Refused(Reason.NOT_PRIMARY, exc.detail, NO_PRIMARY_RETRY_S)

    # Transactions.

    async def begin(self, msg: Begin) -> Begun:
        """Open a transaction and pin it to a connection."""
        deadline = clock.now() + msg.left_s
        self._check_leaving(write=False)
        await self._control.admit(msg.organisation, deadline)
        if len(self.transactions) >= self._pool.limit * PINNED_SHARE:
            raise Refused(Reason.CROWDED, "too many open transactions", 1.0)
        term = await self.known.leading_term()
        async with self._slot(msg, deadline):
            self._check_key(msg.key_digest)
            conn = await self._begin_on_new(term, deadline)
        where = TransactionName(self.group.name, self.target.name, self._node)
        name = where.new()
        self.transactions.add(name, msg.organisation, conn)
        return Begun(name)

    async def _begin_on_new(self, term: int, deadline: float) -> TargetConn:
        try:
            conn = await self._pool.acquire()
        except PoolExhausted as exc:
            raise Refused(Reason.CROWDED, "no connection", CROWDED_RETRY_S) from exc
        except TargetUnreachable as exc:
            raise Refused(Reason.UNREACHABLE, str(exc), CROWDED_RETRY_S) from exc
        except TargetRefused as exc:
            raise self._refusal(exc) from exc
        try:
            await conn.begin(term, max(0.0, deadline - clock.now()))
        except TargetRefused as exc:
            self._pool.give_back(conn)
            raise self._refusal(exc) from exc
        except TargetLost as exc:
            self._pool.give_back(conn)
            raise Refused(Reason.UNREACHABLE, str(exc), CROWDED_RETRY_S) from exc
        except BaseException:
            conn.close()
            self._pool.give_back(conn)
            raise
        return conn

    async def _execute_pinned(
        self, msg: Execute, deadline: float, gate: Gate
    ) -> Executed:
        self.transactions.find(msg.transaction, msg.organisation)
        await self._admit(msg, deadline, gate)
        held = self.transactions.held(msg.transaction, msg.organisation)
        async with held as transaction, self._slot(msg, deadline):
            self._check_key(msg.key_digest)
            try:
                ran = await self._run_on(transaction.conn, msg, 0, deadline)
            except TargetRefused as exc:
                raise self._refusal(exc) from exc
            except (Unknown, TargetUnreachable) as exc:
                # Nothing of a transaction takes effect before its commit.
                self.drop(msg.transaction)
                raise Refused(Reason.TRANSACTION_LOST, "connection lost") from exc
        return Executed(result=ran.result, position=ran.last)

    async def end(self, msg: End) -> Executed:
        """Commit a transaction or roll it back, and free its connection."""
        deadline = clock.now() + msg.left_s
        held = self.transactions.held(msg.transaction, msg.organisation)
        async with held as transaction:
            if not msg.commit:
                self.drop(msg.transaction)
                return Executed(result=None, position=START)
            async with self._slot(msg, deadline):
                self._check_key(msg.key_digest)
                ran = await self._commit(transaction.conn, msg, deadline)
        holders = await self._confirms.confirm_write(ran.last, deadline)
        return Executed(result=None, position=ran.last, holders=holders)

    async def _commit(self, conn: TargetConn, msg: End, deadline: float) -> Ran:
        left_s = deadline - clock.now()
        if left_s <= 0:
            raise Refused(Reason.DEADLINE, "no time left", 0.0)
        self.transactions.commit_sent(msg.transaction)
        try:
            return await self._outcome(conn.commit(left_s, msg.once), msg.once)
        except TargetUnreachable as exc:
            raise Refused(Reason.TRANSACTION_LOST, str(exc)) from exc
        except TargetRefused as exc:
            raise self._refusal(exc) from exc
        finally:
            self.transactions.remove(msg.transaction)
            self._pool.give_back(conn)

    def drop(self, name: str) -> None:
        """Roll a transaction back by closing its connection."""
        conn = self.transactions.remove(name)
        if conn is not None:
            conn.close()
            self._pool.give_back(conn)

    # Upkeep.

    def figures(self) -> HeldTarget:
        """Return what operators are shown of the target."""
        state = self.known.state
        return HeldTarget(
            name=self.target.name,
            group=self.group.name,
            role=state.role if state else "",
            term=state.term if state else 0,
            position=tuple(self.known.last),
            slots=self._slots.slots,
            slots_free=self._slots.free,
            queued=len(self._slots.queue),
            connections_lent=self._pool.lent,
            transactions=len(self.transactions),
        )

    def sweep(self, now: float) -> None:
        """Drop transactions that were left alone and connections that are idle."""
        for name in self.transactions.idle(now):
            log.info("holder: transaction dropped", target=self.target.name)
            self.drop(name)
        self._pool.sweep(now)

    def retire(self) -> None:
        """Lend nothing more; running statements keep their connections to the end."""
        for name in self.transactions.names():
            self.drop(name)
        self._pool.close()
        self.known.close()

    def close(self) -> None:
        """Close every connection."""
        self.retire()
