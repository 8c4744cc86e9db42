"""A caller's session: its values, prepared statements and transaction.

The session lives at the entry node, on one connection of the caller. Statements that
concern only the session are answered here; reads, writes and commits go to a target. A
transaction is opened at a target together with its first statement. Its later
statements go to the node that holds its connection.
"""

from dataclasses import dataclass, field

import structlog

from lavenderstack.core import clock, session_texts
from lavenderstack.core.catalog import Route
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.names import is_one_field
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START, Position
from lavenderstack.core.reply import Reply, TxState
from lavenderstack.core.session_reply import (
    autocommit_reason,
    error_reply,
    retry_detail,
    success_reply,
)
from lavenderstack.core.session_transaction import (
    SessionTransaction,
    access_for,
    transaction_start,
)
from lavenderstack.core.statement import Prepared, Statement, StatementKind, as_executed
from lavenderstack.core.work_messages import Access, EndWork
from lavenderstack.node.call import Call, DispatchResult, TransactionLocation
from lavenderstack.node.evacuation.evacuation_refusals import refusal_at_once
from lavenderstack.node.home_routing import homes_of, refusal_outside
from lavenderstack.node.planned_stop import STOPPING_DETAIL
from lavenderstack.node.session_services import Services, outdated_detail
from lavenderstack.node.streams import NotSent, StreamLost

log = structlog.get_logger()

END_TIMEOUT_S = 1.0
UNUSABLE_NAME_DETAIL = "the organisation's name can't be sent to a database"


@dataclass(frozen=True, slots=True)
class _Arrival:
    """A statement for a target and when it arrived, in seconds on the clock.

    Its time limit counts from then.
    """

    request: str
    statement: Statement
    prepared: Prepared | None
    at: float


@dataclass(slots=True)
class Session:
    """One session. ``organisation`` is empty on a public route.

    ``watermark`` is the log position that aged reads must see. ``wrote_at`` and
    ``used_at`` are the times of the last write and the last use, in seconds on the
    clock.
    """

    services: Services
    database: str
    organisation: str
    key_digest: str
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, Prepared] = field(default_factory=dict)
    watermark: Position = START
    wrote_at: float = 0.0
    used_at: float = field(default_factory=clock.now)
    _tx: SessionTransaction | None = None
    _failed: bool = False
    # Why the transaction was rolled back here, until the caller has been told.
    _aborted: str = ""

    @property
    def state(self) -> TxState:
        """The transaction state of the session."""
        if self._failed:
            return TxState.FAILED
        return TxState.OPEN if self._tx is not None else TxState.NONE

    async def run(self, request: str, statement: Statement) -> Reply:
        """Run one statement and return its complete answer.

        ``request`` is the request id, used in logs.
        """
        self.used_at = clock.now()
        try:
            reply = await self._run(request, statement)
        finally:
            self.used_at = clock.now()
        reply.state = self.state
        return reply

    async def _run(self, request: str, statement: Statement) -> Reply:
        if self._failed:
            return self._run_in_failed_transaction(statement)
        refusal = self._refusal_while_stopping(statement)
        if refusal is not None:
            return refusal
        match statement.kind:
            case StatementKind.BEGIN:
                return self._begin(statement)
            case StatementKind.ROLLBACK:
                return self._rollback()
            case StatementKind.SET_VALUE | StatementKind.PREPARE:
                return self._keep(statement)
            case StatementKind.CLOSE_PREPARED:
                self.prepared.pop(statement.name, None)
                return Reply()
        prepared = None
        if statement.kind is StatementKind.EXECUTE:
            prepared = self.prepared.get(statement.name)
            if prepared is None:
                return self._refused(Reason.NO_PREPARED, "no such prepared statement")
        statement = as_executed(statement, prepared)
        if statement.kind is StatementKind.COMMIT and self._tx is None:
            return self._refused(Reason.BAD_REQUEST, "no transaction is open")
        return await self._run_on_target(
            _Arrival(request, statement, prepared, clock.now())
        )

    def _run_in_failed_transaction(self, statement: Statement) -> Reply:
        """Answer in a failed transaction, which accepts only COMMIT and ROLLBACK."""
        if statement.kind is StatementKind.ROLLBACK:
            return self._rollback()
        cause, self._aborted = self._aborted, ""
        if statement.kind is StatementKind.COMMIT:
            self._rollback()
            return error_reply(Reason.TRANSACTION_LOST, cause or "rolled back")
        if cause:
            return error_reply(Reason.TRANSACTION_LOST, cause)
        return error_reply(Reason.BAD_REQUEST, "the transaction has failed")

    def _refusal_while_stopping(self, statement: Statement) -> Reply | None:
        """Return the answer to a statement that comes too late in a planned stop."""
        tx = self._tx
        is_open = tx is not None and bool(tx.name)
        accepted = self.services.stop.accepts(in_transaction=is_open)
        if accepted or statement.kind is StatementKind.ROLLBACK:
            return None
        if is_open:
            self.abort_transaction(STOPPING_DETAIL)
            return self._run_in_failed_transaction(statement)
        if statement.kind is StatementKind.COMMIT:
            self._tx = None
        return self._refused(Reason.LEAVING, STOPPING_DETAIL)

    def interrupted(self, statement: Statement) -> Reply:
        """Return the answer to a statement that is ended while its outcome is open."""
        failed = Failed(run=True, reason=Reason.CONNECTION_LOST, detail=STOPPING_DETAIL)
        prepared = self.prepared.get(statement.name)
        reply = self._failure_reply(failed, as_executed(statement, prepared))
        reply.state = self.state
        return reply

    def _begin(self, statement: Statement) -> Reply:
        if self._tx is not None:
            return self._refused(Reason.BAD_REQUEST, "a transaction is open")
        self._tx = SessionTransaction(statement.read_only)
        return Reply()

    def _rollback(self) -> Reply:
        tx, self._tx, self._failed, self._aborted = self._tx, None, False, ""
        if tx is not None and tx.name:
            self._end_remote(tx)
        return Reply()

    def _end_remote(self, tx: SessionTransaction) -> None:
        """Ask the node that holds the transaction to roll it back, in the background.

        If the request is lost, that node's idle limit ends the transaction.
        """
        vm = self.services.directory.view.vms.get(tx.node)
        if vm is not None:
            ending = self._send_end(vm, EndWork(tx.name))
            self.services.admitter.run_in_background(ending)

    async def _send_end(self, vm, msg: Message) -> None:
        try:
            await self.services.peers.ask(vm, msg, END_TIMEOUT_S)
        except (NotSent, StreamLost, TimeoutError) as exc:
            log.info("session: rollback not delivered", holder=vm.name, error=str(exc))

    def _keep(self, statement: Statement) -> Reply:
        """Keep a value or a prepared statement."""
        refusal = session_texts.refusal(statement, self.values, self.prepared)
        if refusal:
            return self._refused(Reason.BAD_REQUEST, refusal)
        if statement.kind is StatementKind.SET_VALUE:
            self.values = {**self.values, statement.name: statement.body}
        else:
            self.prepared[statement.name] = Prepared(statement.writes, statement.body)
        return Reply()

    def refuse(self, detail: str) -> Reply:
        """Answer a statement that can't be run with an error."""
        reply = self._refused(Reason.BAD_REQUEST, detail)
        reply.state = self.state
        return reply

    def _refused(self, reason: Reason, detail: str) -> Reply:
        """Answer with an error, which also makes an open transaction fail."""
        if self._tx is not None:
            self._failed = True
        return error_reply(reason, detail)

    async def _run_on_target(self, arrival: _Arrival) -> Reply:
        directory = self.services.directory
        unproved = directory.unproved(bool(self.organisation), clock.now())
        if unproved:
            return self._refused(Reason.STALE_VIEW, outdated_detail(unproved))
        route = directory.catalog.routes.get(self.database)
        if route is None:
            return self._refused(Reason.UNKNOWN_GROUP, "no such database")
        refusal = self._key_refusal(route)
        if refusal is not None:
            return self._refused(*refusal)
        if self.organisation and not is_one_field(self.organisation):
            return self._refused(Reason.UNREACHABLE, UNUSABLE_NAME_DETAIL)
        tx = self._tx
        if tx is not None and tx.name:
            return await self._run_in_transaction(arrival, route, tx)
        unservable = self._refusal_at_once(arrival, route)
        if unservable is not None:
            return self._failure_reply(unservable, arrival.statement)
        failed = await self.services.admitter.admit(self.organisation)
        if failed is not None:
            return self._refused(Reason(failed.reason), retry_detail(failed))
        return await self._run_first(arrival, route, tx)

    def _refusal_at_once(self, arrival: _Arrival, route: Route) -> Failed | None:
        """Return a refusal that costs the organisation no token, or None."""
        services = self.services
        homes = homes_of(services.directory, route, self.organisation)
        if not services.directory.evacuations and homes is None:
            return None
        access = access_for(route, arrival.statement, self._tx)
        call = self._call(arrival, route, access)
        call.opens = transaction_start(route, self._tx)
        return refusal_at_once(
            services.directory,
            services.counters,
            route.group,
            call.use,
            call.retry_until,
        ) or refusal_outside(
            services.directory,
            services.counters,
            route,
            self.organisation,
            call.use,
        )

    def _key_refusal(self, route: Route) -> tuple[Reason, str] | None:
        if route.public and not self.organisation:
            return None
        if not self.organisation:
            return Reason.NO_KEY, "the route needs a key"
        directory = self.services.directory
        version, now = directory.catalog.version, clock.now()
        if directory.is_work_allowed(self.organisation, self.key_digest, version, now):
            return None
        return Reason.KEY_REFUSED, "the key is not in force"

    def _call(self, arrival: _Arrival, route: Route, access: Access) -> Call:
        return Call(
            request=arrival.request,
            route=route,
            organisation=self.organisation,
            key_digest=self.key_digest,
            version=self.services.directory.catalog.version,
            statement=arrival.statement,
            access=access,
            deadline=arrival.at + route.timeout_s,
            values=self.values,
            prepared=arrival.prepared,
            min_position=self.watermark,
            wrote_at=self.wrote_at,
            began_at=arrival.at,
        )

    async def _run_first(
        self, arrival: _Arrival, route: Route, tx: SessionTransaction | None
    ) -> Reply:
        """Run a single statement, or the first of a transaction."""
        call = self._call(arrival, route, access_for(route, arrival.statement, tx))
        call.opens = transaction_start(route, tx)
        result = await self.services.dispatcher.run(call)
        reply = self._first_reply(result, call, tx)
        reply.target, reply.holder = result.target, result.node
        return reply

    def _first_reply(
        self, result: DispatchResult, call: Call, tx: SessionTransaction | None
    ) -> Reply:
        answer, statement = result.answer, call.statement
        if isinstance(answer, Failed):
            return self._failure_reply(answer, statement)
        if tx is not None:
            tx.node, tx.target, tx.name = result.node, result.target, answer.tx
            tx.wrote = statement.writes
            if statement.kind is StatementKind.COMMIT:
                self._tx = None
        elif statement.writes:
            self._record_write(answer.position)
        elif call.access is not Access.AGED_READ and self.watermark != START:
            self.watermark = max(self.watermark, Position(*answer.position))
        return success_reply(answer)

    def _record_write(self, position: Position) -> None:
        self.watermark = max(self.watermark, Position(*position))
        self.wrote_at = clock.now()

    async def _run_in_transaction(
        self, arrival: _Arrival, route: Route, tx: SessionTransaction
    ) -> Reply:
        """Run a later statement of a transaction."""
        statement = arrival.statement
        wrote = tx.wrote or statement.writes
        access = Access.WRITE if wrote else Access.CURRENT_READ
        call = self._call(arrival, route, access)
        tx.wrote = wrote
        location = TransactionLocation(tx.node, tx.target)
        answer = await self.services.dispatcher.run_in_transaction(
            call, location, tx.name
        )
        if isinstance(answer, Failed):
            reply = self._failure_reply(answer, statement)
        else:
            reply = success_reply(answer)
            if statement.kind is StatementKind.COMMIT:
                self._tx = None
                if wrote:
                    self._record_write(answer.position)
        reply.target, reply.holder = tx.target, tx.node
        return reply

    def _failure_reply(self, failed: Failed, statement: Statement) -> Reply:
        """Convert a failure to an answer that states the outcome correctly.

        Before its commit is sent, no change of a transaction persists, whatever the
        result of its statement. A commit or a single write without an answer may have
        been carried out.
        """
        tx = self._tx
        reason = Reason(failed.reason)
        wrote = statement.writes or (tx is not None and tx.wrote)
        detail = retry_detail(failed)
        if tx is None:
            return error_reply(autocommit_reason(failed, wrote), detail)
        if statement.kind is StatementKind.COMMIT:
            self._tx = None
            if failed.run and wrote and reason is not Reason.STATEMENT_FAILED:
                return error_reply(Reason.OUTCOME_UNKNOWN, detail)
            if failed.run:
                return error_reply(reason, detail)
            self._end_and_clear(tx)
            return error_reply(Reason.TRANSACTION_LOST, detail)
        self._failed = True
        self._end_and_clear(tx)
        if failed.run and reason in (Reason.CONNECTION_LOST, Reason.TIMED_OUT):
            return error_reply(Reason.TRANSACTION_LOST, detail)
        return error_reply(reason, detail)

    def _end_and_clear(self, tx: SessionTransaction) -> None:
        if tx.name:
            self._end_remote(tx)
            tx.name = ""

    def expire(self, now: float) -> None:
        """End a transaction that has been idle for longer than allowed."""
        tx = self._tx
        if tx is None or self._failed:
            return
        if now - self.used_at > self.services.directory.catalog.tx_idle_s:
            log.info(
                "session: idle transaction ended",
                organisation=self.organisation,
                tx=tx.name,
            )
            self.abort_transaction("the transaction was idle for too long")

    def abort_transaction(self, cause: str) -> None:
        """Roll back an open transaction; its next statement gets the cause."""
        if self._tx is not None and not self._failed:
            self._failed, self._aborted = True, cause
            self._end_and_clear(self._tx)

    def close(self) -> None:
        """End the session, rolling back an open transaction."""
        if self._tx is not None:
            self._rollback()
