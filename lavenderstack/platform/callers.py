"""Serves callers in the platform's line protocol, one session per connection.

A connection has a task only while a statement runs on it. An idle one costs just its
protocol object, since most sessions are idle most of the time.
"""

import asyncio
from collections import deque
from hashlib import blake2b

import structlog

from lavenderstack.core import clock
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START
from lavenderstack.core.reply import Reply, TxState
from lavenderstack.core.statement import Statement, StatementKind
from lavenderstack.core.stop_phases import StopPhase
from lavenderstack.node.planned_stop import STOPPING_DETAIL
from lavenderstack.node.session import Session
from lavenderstack.node.session_services import Services, outdated_detail
from lavenderstack.platform import line_protocol, statement_size, statement_texts
from lavenderstack.platform.line_protocol import MessageType, ProtocolError

log = structlog.get_logger()

# A caller has this long to send its greeting, the ``CONNECT`` message.
GREETING_TIMEOUT_S = 5.0
MAX_GREETING_B = 4096
# Statements that may wait on one connection behind the one that runs.
MAX_PENDING_STATEMENTS = 64
# Of their ids and texts together. Without this bound they may have 64 MiB.
MAX_PENDING_CHARS = 4 * 1024 * 1024
TIMEOUT_CHECK_INTERVAL_S = 0.5
CLOSE_POLL_INTERVAL_S = 0.01


def digest_of(key: str) -> str:
    """Return the digest that identifies a key inside the service.

    A key itself is never sent to other nodes or to targets.
    """
    return blake2b(key.encode(), digest_size=12).hexdigest()


class CallerConnection(asyncio.Protocol):
    """A caller's connection; its statements run one at a time, in order."""

    def __init__(self, server: "CallerServer") -> None:
        self._server = server
        self._buffer = line_protocol.LineBuffer()
        self._transport: asyncio.Transport | None = None
        self._pending: deque[statement_texts.Query] = deque()
        self._received_b = 0
        self.session: Session | None = None
        self.busy = False
        self.connected_at = clock.now()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; refuse it if there are too many."""
        self._transport = transport  # type: ignore[assignment]
        self._server.connections.add(self)
        if len(self._server.connections) > self._server.max_connections:
            self._refuse(Reason.CROWDED, "too many connections")

    def connection_lost(self, exc: Exception | None) -> None:
        """End the session, once the statement that runs on it, if any, has ended."""
        self._server.connections.discard(self)
        self._pending.clear()
        if self.session is not None and not self.busy:
            self.session.close()

    def data_received(self, data: bytes) -> None:
        """Handle the messages that are complete."""
        try:
            received = self._buffer.feed(data)
            self._received_b += len(data)
            for line in received:
                self._line_received(line)
            if self.session is None and self._received_b > MAX_GREETING_B:
                raise ProtocolError("greeting too long")
        except ProtocolError as exc:
            log.info("callers: message not understood", error=str(exc))
            self._refuse(Reason.BAD_REQUEST, str(exc))

    def _line_received(self, line: str) -> None:
        message_type, _, rest = line.partition(" ")
        if self._transport.is_closing():
            return
        if self.session is None:
            if message_type != MessageType.CONNECT:
                raise ProtocolError("no greeting")
            self._connect(rest)
        elif message_type == MessageType.QUERY:
            self._pending.append(statement_texts.parse_query(rest))
            if (
                len(self._pending) > MAX_PENDING_STATEMENTS
                or sum(one.chars for one in self._pending) > MAX_PENDING_CHARS
            ):
                raise ProtocolError("too many statements at once")
            self._start_next()
        elif message_type == MessageType.QUIT:
            self._transport.close()
        else:
            raise ProtocolError("unknown message type")

    def _connect(self, rest: str) -> None:
        database, _, key = rest.partition(" ")
        services = self._server.services
        directory = services.directory
        route = directory.catalog.routes.get(database)
        if not services.stop.accepts(in_transaction=False):
            self._refuse(Reason.LEAVING, STOPPING_DETAIL)
            return
        if not directory.catalog.version:
            self._refuse(Reason.STALE_VIEW, "not ready")
            return
        digest = digest_of(key)
        organisation = directory.catalog.keys.get(digest, "")
        allowed = route is not None and (organisation or route.public)
        unproved = directory.unproved(bool(key), clock.now())
        if not allowed and unproved:
            self._refuse(Reason.STALE_VIEW, outdated_detail(unproved))
            return
        if route is None:
            self._refuse(Reason.UNKNOWN_GROUP, "no such database")
            return
        if not allowed:
            self._refuse(Reason.KEY_REFUSED, "the key is not in force")
            return
        self.session = Session(services, database, organisation, digest)
        self._transport.write(line_protocol.format_ready(TxState.NONE, START).encode())

    def _refuse(self, reason: Reason, detail: str) -> None:
        log.info("callers: connection refused", reason=reason, detail=detail)
        self._server.services.counters.refused_connections.labels(str(reason)).inc()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(line_protocol.format_error(reason, detail).encode())
            self._transport.close()

    def _start_next(self) -> None:
        if self.busy or not self._pending:
            return
        self.busy = True
        query = self._pending.popleft()
        task = asyncio.ensure_future(self._run_statement(query))
        self._server.running.add(task)
        task.add_done_callback(self._statement_done)

    async def _run_statement(self, query: statement_texts.Query) -> None:
        request_id, statement = query.request, query.statement
        started_at = clock.now()
        was_proved = self._server.services.directory.proof.catalog_holds(started_at)
        if statement is None:
            reply = Reply(reason=Reason.BAD_REQUEST, detail=query.error)
            reply.state = self.session.state
        elif error := statement_size.error(query, self.session.prepared):
            reply = self.session.refuse(error)
        else:
            reply = await self._run_to_the_end(request_id, statement)
        if reply.target and reply.reason is None and not was_proved:
            self._record_unproved(request_id)
        self._record_reply(request_id, statement, reply, clock.now() - started_at)
        if not self._transport.is_closing():
            self._transport.write(line_protocol.format_reply(reply))

    async def _run_to_the_end(self, request_id: str, statement: Statement) -> Reply:
        """Run a statement; if the stop of this node ends it, say what is known."""
        try:
            return await self.session.run(request_id, statement)
        except asyncio.CancelledError:
            if self._server.services.stop.phase < StopPhase.ENDED:
                raise
            return self.session.interrupted(statement)

    def _record_unproved(self, request_id: str) -> None:
        """Count and log a statement that ran though the view wasn't proved current."""
        session, services = self.session, self._server.services
        services.counters.served_unproved.inc()
        log.warning(
            "callers: request served on an unproved view",
            request=request_id,
            organisation=session.organisation,
            database=session.database,
            version=services.directory.catalog.version,
            proof_age_s=round(services.directory.proof.age_s(clock.now()), 3),
        )

    def _record_reply(
        self,
        request_id: str,
        statement: Statement | None,
        reply: Reply,
        duration_s: float,
    ) -> None:
        """Count a reply and log it with the catalog version and the proof's age."""
        session, services = self.session, self._server.services
        directory = services.directory
        reason = "done" if reply.reason is None else str(reply.reason)
        route = directory.catalog.routes.get(session.database)
        freshness = str(route.freshness) if route else "none"
        services.counters.record_answer(
            session.organisation, freshness, reason, duration_s
        )
        if self._transport.is_closing():
            log.info(
                "callers: request unanswered",
                request=request_id,
                organisation=session.organisation,
                reason=reason,
                took_ms=round(duration_s * 1000, 1),
            )
            return
        if reply.reason is None and not reply.target:
            return
        access = "write" if self._writes(statement) else "read"
        role = self._role(reply.target)
        if reply.reason is None:
            services.counters.served.labels(freshness, access, role).inc()
        failure_fields = {} if reply.reason is None else {"reason": reason}
        if reply.reason is not None:
            failure_fields["detail"] = reply.detail
        log.info(
            "callers: request failed" if failure_fields else "callers: request done",
            request=request_id,
            organisation=session.organisation,
            database=session.database,
            statement=statement.kind.name if statement else "",
            target=reply.target,
            holder=reply.holder,
            freshness=freshness,
            access=access,
            role=role,
            took_ms=round(duration_s * 1000, 1),
            version=directory.catalog.version,
            proof_age_s=round(directory.proof.age_s(clock.now()), 3),
            **failure_fields,
        )

    def _writes(self, statement: Statement | None) -> bool:
        """Return whether a statement writes, itself or by what it executes."""
        if statement is None:
            return False
        prepared = self.session.prepared.get(statement.name)
        executes = statement.kind is StatementKind.EXECUTE and prepared is not None
        return statement.writes or (executes and prepared.writes)

    def _role(self, target: str) -> str:
        """Return the present role of a target, empty if it isn't registered."""
        state = self._server.services.directory.targets.get(target)
        if state is None:
            return ""
        return "primary" if state.leads else "replica"

    def _statement_done(self, task: asyncio.Task) -> None:
        self.busy = False
        self._server.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("callers: session failed", exc_info=task.exception())
            self._transport.abort()
        if self._transport.is_closing():
            self.session.close()
            return
        self._start_next()

    def close_if_idle(self) -> None:
        """Close the connection if no statement or transaction is open on it."""
        session = self.session
        if session is None or self.busy or self._pending:
            return
        if session.state is TxState.NONE:
            self._transport.close()

    def abort_idle_transaction(self) -> None:
        """Roll back the session's transaction unless a statement of it runs."""
        if self.session is not None and not self.busy and not self._pending:
            self.session.abort_transaction(STOPPING_DETAIL)

    def close_if_answered(self) -> None:
        """Close the connection unless a statement waits for its answer."""
        if not self.busy and not self._pending:
            self._transport.close()

    def abort(self) -> None:
        """Drop the connection with what isn't delivered yet."""
        self._transport.abort()

    @property
    def is_undelivered(self) -> bool:
        """Whether part of an answer still waits to be taken by the network."""
        return bool(self._transport.get_write_buffer_size())

    def enforce_timeouts(self, now: float) -> None:
        """Close a connection without a greeting; end an idle transaction.

        ``now`` is a time of the local clock, in seconds.
        """
        if self.session is None:
            if now - self.connected_at > GREETING_TIMEOUT_S:
                self._transport.abort()
        elif not self.busy:
            self.session.expire(now)


class CallerServer:
    """Listens for callers; accepts up to ``max_connections`` at a time."""

    def __init__(self, services: Services, max_connections: int) -> None:
        self.services = services
        self.max_connections = max_connections
        self.connections: set[CallerConnection] = set()
        self.running: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Start to listen and return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=512
        )
        return self._server.sockets[0].getsockname()[1]

    def close_idle(self) -> None:
        """Close all connections without an open statement or transaction."""
        for conn in list(self.connections):
            conn.close_if_idle()

    @property
    def open_operations(self) -> int:
        """The number of connections with an open statement or transaction."""
        return sum(
            1
            for conn in self.connections
            if conn.busy
            or (conn.session is not None and conn.session.state is not TxState.NONE)
        )

    @property
    def undelivered(self) -> int:
        """The number of connections whose last answer is not sent completely."""
        return sum(conn.is_undelivered for conn in self.connections)

    def stop_listening(self) -> None:
        """Accept no new connections."""
        if self._server is not None:
            self._server.close()

    def abort_idle_transactions(self) -> None:
        """Roll back all transactions in which no statement runs."""
        for conn in self.connections:
            conn.abort_idle_transaction()

    async def close(self, until: float) -> None:
        """Answer what still runs, and close the connections once all is delivered.

        What arrives meanwhile is refused. Connections that have not taken their answers
        at ``until``, on the clock, are dropped.
        """
        for task in list(self.running):
            task.cancel()
        while self.connections and clock.now() < until:
            # What has arrived is read before a connection is closed.
            await asyncio.sleep(0)
            for conn in list(self.connections):
                conn.close_if_answered()
            await asyncio.sleep(CLOSE_POLL_INTERVAL_S)
        for conn in list(self.connections):
            conn.abort()

    async def run(self) -> None:
        """Enforce the connections' timeouts until cancelled."""
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            now = clock.now()
            for conn in list(self.connections):
                conn.enforce_timeouts(now)
