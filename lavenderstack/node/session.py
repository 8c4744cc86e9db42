"""A caller's session: its values, prepared names and transaction.

The session lives at the entry, on one connection of the caller. What only concerns the
session is answered here; reads, writes and commits go to a target. A transaction is
opened at a target together with its first statement, and from then on every statement
goes to the node that holds its connection.
"""

from dataclasses import dataclass, field

import structlog

from lavenderstack.core import clock
from lavenderstack.core.catalog import Consistency, Route
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START, Position
from lavenderstack.core.reply import Reply, TxState
from lavenderstack.core.statement import Kind, Prepared, Statement
from lavenderstack.core.work_messages import Access, EndWork, Opens, WorkDone
from lavenderstack.node.admitter import Admitter
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.dispatch import Call, Dispatcher, Place, Placed
from lavenderstack.node.peers import Peers
from lavenderstack.node.streams import NotSent, StreamLost

log = structlog.get_logger()

END_TIMEOUT_S = 1.0
MOST_VALUES = 64
MOST_PREPARED = 256


@dataclass(slots=True)
class _Transaction:
    read_only: bool
    node: str = ""
    target: str = ""
    name: str = ""
    wrote: bool = False


@dataclass(slots=True)
class Services:
    """What sessions use of their node."""

    directory: Directory
    dispatcher: Dispatcher
    admitter: Admitter
    peers: Peers
    counters: Counters


@dataclass(slots=True)
class Session:
    """One session. ``organisation`` is empty on a public route."""

    services: Services
    database: str
    organisation: str
    key_digest: str
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, Prepared] = field(default_factory=dict)
    mark: Position = START
    wrote_at: float = 0.0
    used_at: float = field(default_factory=clock.now)
    _tx: _Transaction | None = None
    _failed: bool = False

    @property
    def state(self) -> TxState:
        """Where the session stands with respect to a transaction."""
        if self._failed:
            return TxState.FAILED
        return TxState.OPEN if self._tx is not None else TxState.NONE

    async def run(self, request: str, statement: Statement) -> Reply:
        """Run one statement and return the whole answer to it."""
        self.used_at = clock.now()
        try:
            reply = await self._run(request, statement)
        finally:
            self.used_at = clock.now()
        reply.state = self.state
        return reply

    async def _run(self, request: str, statement: Statement) -> Reply:
        if self._failed:
            return self._in_failed(statement)
        match statement.kind:
            case Kind.BEGIN:
                return self._begin(statement)
            case Kind.ROLLBACK:
                return self._rollback()
            case Kind.SET_VALUE:
                return self._set_value(statement)
            case Kind.PREPARE:
                return self._prepare(statement)
            case Kind.CLOSE_PREPARED:
                self.prepared.pop(statement.name, None)
                return Reply()
        prepared = None
        if statement.kind is Kind.EXECUTE:
            prepared = self.prepared.get(statement.name)
            if prepared is None:
                return self._refused(Reason.NO_PREPARED, "no such prepared statement")
        writes = statement.writes or (prepared is not None and prepared.writes)
        if writes != statement.writes:
            statement = Statement(
                statement.kind, statement.text, statement.name, statement.body, writes
            )
        if statement.kind is Kind.COMMIT and self._tx is None:
            return self._refused(Reason.BAD_REQUEST, "no transaction is open")
        return await self._to_target(request, statement, prepared)

    def _in_failed(self, statement: Statement) -> Reply:
        """Answer in a transaction that has failed: only its end is taken."""
        if statement.kind is Kind.ROLLBACK:
            return self._rollback()
        if statement.kind is Kind.COMMIT:
            self._rollback()
            return _error(Reason.TRANSACTION_LOST, "rolled back")
        return _error(Reason.BAD_REQUEST, "the transaction has failed")

    def _begin(self, statement: Statement) -> Reply:
        if self._tx is not None:
            return self._refused(Reason.BAD_REQUEST, "a transaction is open")
        self._tx = _Transaction(statement.read_only)
        return Reply()

    def _rollback(self) -> Reply:
        tx, self._tx, self._failed = self._tx, None, False
        if tx is not None and tx.name:
            self._end_remote(tx)
        return Reply()

    def _end_remote(self, tx: _Transaction) -> None:
        """Tell the node that holds the transaction; its idle limit is the backstop."""
        vm = self.services.directory.view.vms.get(tx.node)
        if vm is not None:
            ending = self._tell(vm, EndWork(tx.name))
            self.services.admitter.background(ending)

    async def _tell(self, vm, msg: Message) -> None:
        try:
            await self.services.peers.ask(vm, msg, END_TIMEOUT_S)
        except (NotSent, StreamLost, TimeoutError) as exc:
            log.info("session: rollback not delivered", holder=vm.name, error=str(exc))

    def _set_value(self, statement: Statement) -> Reply:
        if statement.name not in self.values and len(self.values) >= MOST_VALUES:
            return self._refused(Reason.BAD_REQUEST, "too many values")
        self.values = {**self.values, statement.name: statement.body}
        return Reply()

    def _prepare(self, statement: Statement) -> Reply:
        if len(self.prepared) >= MOST_PREPARED and statement.name not in self.prepared:
            return self._refused(Reason.BAD_REQUEST, "too many prepared statements")
        self.prepared[statement.name] = Prepared(statement.writes, statement.body)
        return Reply()

    def _refused(self, reason: Reason, detail: str) -> Reply:
        """Answer with an error; a transaction that is open has failed by it."""
        if self._tx is not None:
            self._failed = True
        return _error(reason, detail)

    async def _to_target(
        self, request: str, statement: Statement, prepared: Prepared | None
    ) -> Reply:
        route = self.services.directory.catalog.routes.get(self.database)
        if route is None:
            return self._refused(Reason.UNKNOWN_GROUP, "no such database")
        refusal = self._key_refusal(route)
        if refusal is not None:
            return self._refused(*refusal)
        tx = self._tx
        if tx is not None and tx.name:
            return await self._step(request, statement, prepared, route, tx)
        admitted = await self.services.admitter.admit(self.organisation)
        if admitted is not None:
            return self._over_rate(admitted)
        return await self._first(request, statement, prepared, route, tx)

    def _over_rate(self, failed: Failed) -> Reply:
        retry_ms = int((failed.retry_after_s or 0) * 1000)
        detail = f"{failed.detail}, retry after {retry_ms} ms"
        return self._refused(Reason(failed.reason), detail)

    def _key_refusal(self, route: Route) -> tuple[Reason, str] | None:
        if route.public and not self.organisation:
            return None
        directory = self.services.directory
        if not self.organisation:
            return Reason.NO_KEY, "the route needs a key"
        version, now = directory.catalog.version, clock.now()
        if directory.is_work_allowed(self.organisation, self.key_digest, version, now):
            return None
        if directory.proof.holds(now):
            return Reason.KEY_REFUSED, "the key is not in force"
        return Reason.STALE_VIEW, "withdrawn keys can't be told here now"

    def _call(
        self,
        request: str,
        route: Route,
        statement: Statement,
        prepared: Prepared | None,
        access: Access,
    ) -> Call:
        return Call(
            request=request,
            route=route,
            organisation=self.organisation,
            key_digest=self.key_digest,
            version=self.services.directory.catalog.version,
            statement=statement,
            access=access,
            deadline=clock.now() + route.timeout_s,
            values=self.values,
            prepared=prepared,
            min_position=self.mark,
            wrote_at=self.wrote_at,
        )

    async def _first(
        self,
        request: str,
        statement: Statement,
        prepared: Prepared | None,
        route: Route,
        tx: _Transaction | None,
    ) -> Reply:
        """Run a single statement, or the first of a transaction."""
        access = _access(route, statement, tx)
        call = self._call(request, route, statement, prepared, access)
        call.opens = _opens(route, tx)
        placed = await self.services.dispatcher.run(call)
        reply = self._first_reply(placed, call, tx)
        reply.target, reply.holder = placed.target, placed.node
        return reply

    def _first_reply(
        self, placed: Placed, call: Call, tx: _Transaction | None
    ) -> Reply:
        answer, statement = placed.answer, call.statement
        if isinstance(answer, Failed):
            return self._failure(answer, statement)
        if tx is not None:
            tx.node, tx.target, tx.name = placed.node, placed.target, answer.tx
            tx.wrote = statement.writes
            if statement.kind is Kind.COMMIT:
                self._tx = None
        elif statement.writes:
            self._note_write(answer.position)
        elif call.access is not Access.AGED_READ and self.mark != START:
            self.mark = max(self.mark, Position(*answer.position))
        return _done(answer)

    def _note_write(self, position: Position) -> None:
        self.mark = max(self.mark, Position(*position))
        self.wrote_at = clock.now()

    async def _step(
        self,
        request: str,
        statement: Statement,
        prepared: Prepared | None,
        route: Route,
        tx: _Transaction,
    ) -> Reply:
        """Run a later statement of a transaction."""
        wrote = tx.wrote or statement.writes
        access = Access.WRITE if wrote else Access.CURRENT_READ
        call = self._call(request, route, statement, prepared, access)
        tx.wrote = wrote
        at = Place(tx.node, tx.target)
        answer = await self.services.dispatcher.step(call, at, tx.name)
        if isinstance(answer, Failed):
            reply = self._failure(answer, statement)
        else:
            reply = _done(answer)
            if statement.kind is Kind.COMMIT:
                self._tx = None
                if wrote:
                    self._note_write(answer.position)
        reply.target, reply.holder = tx.target, tx.node
        return reply

    def _failure(self, failed: Failed, statement: Statement) -> Reply:
        """Turn a failure into an answer that is true.

        Before its commit was sent, nothing of a transaction is kept, however its
        statement ended. A commit that has no answer may have been carried out, and
        so may a single write.
        """
        tx = self._tx
        reason = Reason(failed.reason)
        wrote = statement.writes or (tx is not None and tx.wrote)
        detail = failed.detail
        if failed.retry_after_s is not None:
            detail = f"{detail}, retry after {int(failed.retry_after_s * 1000)} ms"
        if tx is None:
            return _error(_single_reason(failed, wrote), detail)
        if statement.kind is Kind.COMMIT:
            self._tx = None
            if failed.run and wrote and reason is not Reason.STATEMENT_FAILED:
                return _error(Reason.OUTCOME_UNKNOWN, detail)
            if failed.run:
                return _error(reason, detail)
            self._drop(tx)
            return _error(Reason.TRANSACTION_LOST, detail)
        self._failed = True
        self._drop(tx)
        if failed.run and reason in (Reason.CONNECTION_LOST, Reason.TIMED_OUT):
            return _error(Reason.TRANSACTION_LOST, detail)
        return _error(reason, detail)

    def _drop(self, tx: _Transaction) -> None:
        if tx.name:
            self._end_remote(tx)
            tx.name = ""

    def expire(self, now: float) -> None:
        """Give up a transaction that has been idle for longer than allowed."""
        tx = self._tx
        if tx is None or self._failed:
            return
        if now - self.used_at > self.services.directory.catalog.tx_idle_s:
            log.info(
                "session: idle transaction ended",
                organisation=self.organisation,
                tx=tx.name,
            )
            self._failed = True
            self._drop(tx)

    def close(self) -> None:
        """End the session, rolling back what is open."""
        if self._tx is not None:
            self._rollback()


def _error(reason: Reason, detail: str) -> Reply:
    return Reply(reason=reason, detail=detail)


def _done(answer: WorkDone) -> Reply:
    return Reply(
        rows=answer.rows, receipt=answer.receipt, position=Position(*answer.position)
    )


def _single_reason(failed: Failed, wrote: bool) -> Reason:
    reason = Reason(failed.reason)
    if failed.run and wrote and reason is Reason.CONNECTION_LOST:
        return Reason.OUTCOME_UNKNOWN
    return reason


def _opens(route: Route, tx: _Transaction | None) -> Opens:
    """Return how to open a transaction at the target.

    A target that has lost its lead goes on with a read-only transaction and refuses
    any other. So where everything acknowledged must be seen, all are opened as such
    that may write.
    """
    if tx is None:
        return Opens.NOTHING
    if tx.read_only and route.freshness is not Consistency.PRIMARY:
        return Opens.READ_ONLY
    return Opens.TRANSACTION


def _access(route: Route, statement: Statement, tx: _Transaction | None) -> Access:
    if _opens(route, tx) is Opens.TRANSACTION:
        return Access.WRITE
    if statement.writes:
        return Access.WRITE
    if route.freshness is Consistency.PRIMARY:
        return Access.CURRENT_READ
    return Access.AGED_READ
