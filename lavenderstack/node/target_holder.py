"""The holder of one target: its connections, its slots and its cached state.

Every request passes the same checks in the same order: the target is not leaving and
its zone not evacuated, the organisation is within its rate, the target's log has
reached the session's watermark, a slot is free, and, immediately before use, the key is
still valid and the zone still not evacuated. Only then is anything sent to the target.
The result is confirmed before it is returned: a write by a majority that stores it, a
fresh read by a majority that is still in the same term.
"""

from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol

import structlog

from lavenderstack.border.operator_metrics import HeldTarget
from lavenderstack.border.target import (
    StatementResult,
    TargetConn,
    TargetRefused,
    TargetUnreachable,
)
from lavenderstack.core import clock
from lavenderstack.core.evacuation.evacuation import Use
from lavenderstack.core.messages import Begin, Begun, End, Execute, Executed
from lavenderstack.core.outcome import (
    NO_PRIMARY_RETRY_S,
    STALE_RETRY_S,
    Reason,
    Refused,
    Unknown,
)
from lavenderstack.core.position import START, Position
from lavenderstack.core.view import Group, Target, View
from lavenderstack.node.evacuation.holder_evacuation_guard import (
    HolderEvacuationGuard,
    use_of,
)
from lavenderstack.node.evacuation.zone_evacuations import ZoneEvacuations
from lavenderstack.node.pool import CONTROL_CONNECTIONS, Pool
from lavenderstack.node.target_runner import ALREADY_APPLIED, BUSY_RETRY_S, TargetRunner
from lavenderstack.node.targets.slots import Slots
from lavenderstack.node.targets.target_state_cache import TargetStateCache
from lavenderstack.node.transactions import TransactionName, Transactions

# Share of the pool's connections that open transactions may hold.
MAX_TRANSACTION_SHARE = 0.5
TRANSACTIONS_RETRY_S = 1.0
AGE_PROOF_TIMEOUT_S = 0.03
# Queue limit for requests of callers without a plan.
OPEN_MAX_QUEUED = 50
LEAVING_GRACE_S = 2.0

log = structlog.get_logger()


class ConfirmerInterface(Protocol):
    """Confirms results with the targets of the group; see ``node/confirm.py``."""

    async def confirm_write(self, position: Position, deadline: float) -> list[str]:
        """Return the names of a majority of targets that store a write."""

    async def confirm_term(
        self, term: int, asked_after: float, deadline: float
    ) -> None:
        """Return once a majority was observed in ``term`` after ``asked_after``."""

    async def confirm_age(
        self, last: Position, max_age_s: float, deadline: float
    ) -> float:
        """Return the proved age, in seconds, of data at position ``last``.

        Waits until the age is at most ``max_age_s``.
        """


class Control(Protocol):
    """The part of the node's control interface that a holder uses."""

    @property
    def view(self) -> View:
        """The current view of the store."""

    @property
    def evacuations(self) -> ZoneEvacuations:
        """The evacuations in the current view."""

    def usable(self, now: float) -> bool:
        """Return whether the view is recent enough for requests that carry a key."""

    async def admit(self, organisation: str, deadline: float) -> None:
        """Charge a request to its organisation's rate, or raise ``Refused``."""


@dataclass(slots=True)
class AdmissionState:
    """Whether a request was already charged to its organisation's rate."""

    admitted: bool = False


class TargetHolder:
    """Runs requests on one target. Created by ``node/holder.py`` on first use."""

    def __init__(
        self, node: str, target: Target, group: Group, control: Control, confirmer
    ) -> None:
        self.target = target
        self.group = group
        self.state_cache = TargetStateCache(target, group.name)
        self._node = node
        self._control = control
        self._confirmer: ConfirmerInterface = confirmer
        limit = max(1, target.connections - CONTROL_CONNECTIONS)
        self._pool = Pool(target, group.name, limit)
        self._guard = HolderEvacuationGuard(target, control.evacuations)
        self._runner = TargetRunner(self._pool, self.state_cache, self._guard)
        self._slots = Slots(target.slots)
        self.transactions = Transactions()
        self._leaving_since: float | None = None
        self._retired = False

    # Checks before a statement is sent.

    def _check_leaving(self, write: bool) -> None:
        """Refuse new work for a leaving target.

        Single writes still pass for ``LEAVING_GRACE_S``, since another target may not
        be the primary yet.
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
        """Refuse a request whose key was withdrawn after the request was accepted."""
        if not digest:
            return
        if not self._control.usable(clock.now()):
            raise Refused(
                Reason.STALE_VIEW,
                "the node's view of the store is stale",
                STALE_RETRY_S,
            )
        key = self._control.view.keys.get(digest)
        if key is not None and key.withdrawn:
            raise Refused(Reason.KEY_REFUSED, "the key was withdrawn")

    async def _admit(
        self, msg: Execute, deadline: float, admission: AdmissionState
    ) -> None:
        if msg.admitted or admission.admitted:
            return
        await self._control.admit(msg.organisation, deadline)
        admission.admitted = True

    def _slot(
        self, msg: Execute | Begin | End, deadline: float
    ) -> AbstractAsyncContextManager[None]:
        """Return a context that holds one of the target's slots.

        Callers check the key first inside it, as it may be withdrawn while they wait.
        """
        plan = self._control.view.plan_of(msg.organisation)
        weight = plan.weight if plan else 1.0
        max_queued = plan.queue if plan else OPEN_MAX_QUEUED
        return self._slots.acquire(msg.organisation, weight, deadline, max_queued)

    # Statements outside a transaction.

    async def execute(self, msg: Execute, admission: AdmissionState) -> Executed:
        """Run one statement and confirm its result.

        Raises ``Refused`` if it had no effect, or ``Unknown`` if it may have had one.
        """
        deadline = clock.now() + msg.left_s
        if msg.transaction:
            return await self._execute_in_transaction(msg, deadline, admission)
        self._check_leaving(msg.write)
        self._guard.check(use_of(msg))
        await self._admit(msg, deadline, admission)
        if msg.write:
            return await self._write(msg, deadline)
        return await self._read(msg, deadline)

    async def _write(self, msg: Execute, deadline: float) -> Executed:
        term = await self.state_cache.leading_term()
        async with self._slot(msg, deadline):
            self._check_key(msg.key_digest)
            outcome = await self._runner.run(msg, term, deadline)
        holders = await self._confirmer.confirm_write(outcome.last, deadline)
        repeated = outcome.result is ALREADY_APPLIED
        return Executed(
            result=None if repeated else outcome.result,
            position=outcome.last,
            holders=holders,
            repeated=repeated,
        )

    async def _read(self, msg: Execute, deadline: float) -> Executed:
        started = clock.now()
        min_position = msg.min_position
        until = min(deadline, started + msg.wait_s)
        await self.state_cache.wait_for_position(min_position, until)
        if msg.max_age_s is not None:
            await self._wait_for_age(msg.max_age_s, until)
        term = await self.state_cache.leading_term() if msg.fresh else 0
        async with self._slot(msg, deadline):
            self._check_key(msg.key_digest)
            outcome = await self._runner.run(msg, term, deadline)
        if outcome.last < min_position:
            raise Refused(
                Reason.BEHIND, "the target's log no longer reaches the position"
            )
        if msg.fresh:
            await self._confirmer.confirm_term(term, started, deadline)
        age_s = None
        if msg.max_age_s is not None:
            until = min(deadline, clock.now() + AGE_PROOF_TIMEOUT_S)
            age_s = await self._confirmer.confirm_age(
                outcome.last, msg.max_age_s, until
            )
        return Executed(
            result=outcome.result,
            position=outcome.last,
            holders=[self.target.name],
            age_s=age_s,
        )

    async def _wait_for_age(self, max_age_s: float, until: float) -> None:
        """Wait until the target's data is proved to be at most ``max_age_s`` old."""
        while True:
            proof_until = min(until, clock.now() + AGE_PROOF_TIMEOUT_S)
            try:
                await self._confirmer.confirm_age(
                    self.state_cache.last, max_age_s, proof_until
                )
                return
            except Refused:
                if clock.now() >= until:
                    raise
            await self.state_cache.refresh_or_refuse()

    # Transactions.

    async def begin(self, msg: Begin) -> Begun:
        """Open a transaction and pin it to a connection."""
        deadline = clock.now() + msg.left_s
        self._check_leaving(write=False)
        self._guard.check(Use.PRIMARY)
        await self._control.admit(msg.organisation, deadline)
        if len(self.transactions) >= self._pool.limit * MAX_TRANSACTION_SHARE:
            raise Refused(
                Reason.CROWDED, "too many open transactions", TRANSACTIONS_RETRY_S
            )
        term = await self.state_cache.leading_term()
        async with self._slot(msg, deadline):
            self._check_key(msg.key_digest)
            conn = await self._runner.begin(term, deadline)
        if self._retired:
            # Nobody would find it here to end it, and no sweep would roll it back.
            conn.close()
            self._pool.release(conn)
            raise Refused(Reason.UNREACHABLE, "the holder was replaced", BUSY_RETRY_S)
        location = TransactionName(self.group.name, self.target.name, self._node)
        name = location.generate_name()
        self.transactions.add(name, msg.organisation, conn)
        return Begun(name)

    async def _execute_in_transaction(
        self, msg: Execute, deadline: float, admission: AdmissionState
    ) -> Executed:
        self.transactions.find(msg.transaction, msg.organisation)
        await self._admit(msg, deadline, admission)
        locked = self.transactions.locked(msg.transaction, msg.organisation)
        async with locked as transaction, self._slot(msg, deadline):
            self._check_key(msg.key_digest)
            try:
                outcome = await self._runner.run_on(transaction.conn, msg, 0, deadline)
            except TargetRefused as exc:
                raise self._runner.refusal(exc) from exc
            except (Unknown, TargetUnreachable) as exc:
                # Nothing of a transaction takes effect before its commit.
                self.roll_back(msg.transaction)
                raise Refused(Reason.TRANSACTION_LOST, "connection lost") from exc
            except Refused as exc:
                raise self._ended_if_evacuated(msg.transaction, exc) from exc
        return Executed(result=outcome.result, position=outcome.last)

    async def end(self, msg: End) -> Executed:
        """Commit a transaction or roll it back, and release its connection."""
        deadline = clock.now() + msg.left_s
        locked = self.transactions.locked(msg.transaction, msg.organisation)
        async with locked as transaction:
            if not msg.commit:
                self.roll_back(msg.transaction)
                return Executed(result=None, position=START)
            async with self._slot(msg, deadline):
                self._check_key(msg.key_digest)
                outcome = await self._commit(transaction.conn, msg, deadline)
        holders = await self._confirmer.confirm_write(outcome.last, deadline)
        return Executed(result=None, position=outcome.last, holders=holders)

    async def _commit(
        self, conn: TargetConn, msg: End, deadline: float
    ) -> StatementResult:
        left_s = deadline - clock.now()
        if left_s <= 0:
            raise Refused(Reason.DEADLINE, "the deadline has passed", 0.0)
        try:
            self._guard.check(Use.FINISH)
        except Refused as exc:
            raise self._ended_if_evacuated(msg.transaction, exc) from exc
        self.transactions.record_commit(msg.transaction)
        try:
            return await self._runner.await_outcome(
                conn.commit(left_s, msg.idempotency_key), msg.idempotency_key
            )
        except TargetUnreachable as exc:
            raise Refused(Reason.TRANSACTION_LOST, str(exc)) from exc
        except TargetRefused as exc:
            raise self._runner.refusal(exc) from exc
        finally:
            self.transactions.remove(msg.transaction)
            self._pool.release(conn)

    def _ended_if_evacuated(self, name: str, exc: Refused) -> Refused:
        """Roll back a transaction whose zone is evacuated; return its refusal.

        Returns ``exc`` itself if it was refused for another reason.
        """
        if exc.reason is not Reason.EVACUATED:
            return exc
        self.roll_back(name)
        return Refused(Reason.TRANSACTION_LOST, exc.detail)

    def roll_back(self, name: str) -> None:
        """Roll back a transaction by closing its connection."""
        conn = self.transactions.remove(name)
        if conn is not None:
            conn.close()
            self._pool.release(conn)

    # Status and maintenance.

    def status(self) -> HeldTarget:
        """Return the target's status for operators."""
        state = self.state_cache.state
        return HeldTarget(
            name=self.target.name,
            group=self.group.name,
            role=state.role if state else "",
            term=state.term if state else 0,
            position=tuple(self.state_cache.last),
            slots=self._slots.slots,
            slots_free=self._slots.free,
            queued=len(self._slots.queue),
            connections_lent=self._pool.in_use,
            transactions=len(self.transactions),
        )

    def sweep(self, now: float) -> None:
        """Roll back abandoned transactions and close idle connections."""
        for name in self.transactions.idle(now):
            log.info("holder: transaction dropped", target=self.target.name)
            self.roll_back(name)
        self._pool.sweep(now)
        if self._guard.is_out_of_use():
            self._leave_zone()

    def _leave_zone(self) -> None:
        """Roll back what is open, except what still runs, and close idle connections.

        A commit that was sent before the zone was evacuated still gets its answer.
        """
        for name in self.transactions.not_running():
            self.roll_back(name)
        self._pool.drop_idle()

    def retire(self) -> None:
        """Stop taking work; running statements keep their connections until done."""
        self._retired = True
        for name in self.transactions.names():
            self.roll_back(name)
        self._pool.close()
        self.state_cache.close()

    def close(self) -> None:
        """Close every connection."""
        self.retire()
