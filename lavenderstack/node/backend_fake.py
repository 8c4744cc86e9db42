"""In-memory group of targets for tests, with logs, terms, pauses and injected faults.

It behaves as the platform guarantees: a write is acknowledged once a replica has
received it, only the primary accepts a read-write transaction, and a paused replica
receives nothing.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START, Position
from lavenderstack.core.reply import Reply, TxState
from lavenderstack.core.statement import Statement, StatementKind
from lavenderstack.core.view import Target
from lavenderstack.node.backend import (
    Command,
    ConnectFailed,
    ConnectionLost,
    OrderRefused,
    ReplicationStatus,
)

# Statements that a target accepts in a failed transaction.
_ENDS = (StatementKind.COMMIT, StatementKind.ROLLBACK)


@dataclass
class FakeTarget:
    """A target of a fake group.

    ``deaf`` means that it receives no log entries though it answers.
    ``dead_connections`` of nodes that lost power count towards ``max_connections``.

    It fails statements of the kinds in ``refused``, outside of transactions too, and
    while ``failing`` those of callers once they have run. The others are answered with
    ``rows``.
    ``executed`` lists its statements as ``(organisation, request, kind, values)``.
    """

    name: str
    leads: bool = False
    term: int = 1
    received: int = 0
    paused: bool = False
    paused_term: int = 0
    deaf: bool = False
    reachable: bool = True
    silent: bool = False
    lose_answers: bool = False
    work_s: float = 0.0
    connect_s: float = 0.0
    refused: frozenset[StatementKind] = frozenset()
    failing: bool = False
    rows: list[str] = field(default_factory=lambda: ["row"])
    executed: list = field(default_factory=list)
    orders: list = field(default_factory=list)
    connects: int = 0
    resets: int = 0
    max_connections: int | None = None
    dead_connections: int = 0
    open_connections: list = field(default_factory=list)

    def resume(self) -> None:
        """Let the target receive log entries."""
        self.paused, self.paused_term = False, 0

    @property
    def position(self) -> Position:
        """The end of the target's log."""
        return Position(self.term, self.received) if self.received else START


@dataclass
class FakeGroup:
    """The targets of one group.

    ``acknowledged`` is the number of the last acknowledged log entry, ``epochs`` are
    those of the accepted promotions. ``incomplete`` lists the targets that were
    promoted without all acknowledged entries.
    """

    targets: dict[str, FakeTarget]
    acknowledged: int = 0
    epochs: list[int] = field(default_factory=list)
    incomplete: list[str] = field(default_factory=list)
    on_promote: Callable[[str], None] = lambda _: None

    def followers(self) -> list[FakeTarget]:
        """Return all targets but the primary."""
        return [one for one in self.targets.values() if not one.leads]

    def commit(self, primary: FakeTarget) -> bool:
        """Append one log entry; return whether a replica received it."""
        primary.received += 1
        replicated = False
        for one in self.followers():
            if one.reachable and not one.paused and not one.deaf:
                one.received = primary.received
                one.term = primary.term
                replicated = True
        if replicated:
            self.acknowledged = max(self.acknowledged, primary.received)
        return replicated

    async def promote(self, group: str, target: str, node: str, epoch: int) -> None:
        """Make a target the primary, as the platform does.

        Raises ``OrderRefused`` if a later epoch was used.
        """
        if self.epochs and epoch < self.epochs[-1]:
            raise OrderRefused("the epoch is too old")
        self.epochs.append(epoch)
        self.take_effect(target)

    def take_effect(self, target: str) -> None:
        """Make a target the primary, some time after the order was carried out."""
        chosen = self.targets[target]
        if not chosen.leads:
            if chosen.received < self.acknowledged:
                self.incomplete.append(target)
            for one in self.targets.values():
                one.leads = False
                one.resume()
            term = max(one.term for one in self.targets.values())
            chosen.leads, chosen.term = True, term + 1
        self.on_promote(target)


class FakeConnection:
    """A connection to a fake target."""

    def __init__(self, group: FakeGroup, target: FakeTarget, organisation: str):
        self.position = target.position
        self.closed = False
        self.organisation = organisation
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}
        self.state = TxState.NONE
        # Whether a read-write transaction is open.
        self._needs_primary = False
        self._group = group
        self._target = target
        self._pending: set[asyncio.Future] = set()

    def send(self, commands):
        """Run statements in order and return the futures of their answers."""
        if self.closed:
            raise ConnectionLost("closed")
        futs = [asyncio.get_running_loop().create_future() for _ in commands]
        self._pending.update(futs)
        for fut in futs:
            fut.add_done_callback(self._pending.discard)
        if not self._target.silent:
            task = asyncio.ensure_future(self._run(list(commands), futs))
            task.add_done_callback(lambda _: None)
        return futs

    def close(self):
        """Close the connection; pending answers fail with ``ConnectionLost``."""
        self.closed = True
        for fut in [one for one in self._pending if not one.done()]:
            fut.set_exception(ConnectionLost("closed here"))
            # An answer that nobody awaits any more is no error.
            fut.exception()
        self._pending.clear()

    async def _run(self, commands, futs):
        for command, fut in zip(commands, futs, strict=True):
            reply = await self._answer(command)
            if reply is None or fut.done():
                return
            self.position = self._target.position
            reply.state, reply.position = self.state, self._target.position
            fut.set_result(reply)

    async def _answer(self, command: Command) -> Reply | None:
        target, kind = self._target, command.statement.kind
        if command.min_position > target.position:
            return Reply(reason=Reason.BEHIND)
        if kind not in _ENDS and self.state is TxState.FAILED:
            return Reply(reason=Reason.BAD_REQUEST)
        if kind not in _ENDS and self._needs_primary and not target.leads:
            self.state = TxState.FAILED
            return Reply(reason=Reason.NOT_PRIMARY)
        if kind in target.refused:
            return Reply(reason=Reason.STATEMENT_FAILED)
        match kind:
            case StatementKind.BEGIN:
                if not command.statement.read_only and not target.leads:
                    return Reply(reason=Reason.NOT_PRIMARY)
                self.state = TxState.OPEN
                self._needs_primary = not command.statement.read_only
            case StatementKind.ROLLBACK:
                self._end_transaction()
            case StatementKind.RESET:
                target.resets += 1
                self.values.clear()
                self.prepared.clear()
            case StatementKind.SET_VALUE:
                self.values[command.statement.name] = command.statement.body
            case StatementKind.PREPARE:
                self.prepared[command.statement.name] = command.statement.body
            case StatementKind.PAUSE | StatementKind.RESUME | StatementKind.STATUS:
                return self._order(command.statement)
            case _:
                return await self._statement(command)
        return Reply()

    def _order(self, order: Statement) -> Reply:
        target = self._target
        target.orders.append(order.kind)
        if order.kind is StatementKind.RESUME:
            target.resume()
        elif order.kind is StatementKind.PAUSE and int(order.body) > target.term:
            target.paused, target.paused_term = True, int(order.body)
        return Reply(rows=[target.name])

    async def _statement(self, command: Command) -> Reply | None:
        target, statement = self._target, command.statement
        if (
            statement.kind is StatementKind.EXECUTE
            and statement.name not in self.prepared
        ):
            return Reply(reason=Reason.NO_PREPARED)
        if statement.writes and not target.leads:
            return Reply(reason=Reason.NOT_PRIMARY)
        await asyncio.sleep(target.work_s)
        run = (self.organisation, command.request, statement.kind, dict(self.values))
        target.executed.append(run)
        if target.lose_answers:
            return None
        if target.failing:
            return Reply(reason=Reason.STATEMENT_FAILED)
        if statement.kind is StatementKind.COMMIT or (
            statement.writes and self.state is TxState.NONE
        ):
            self._end_transaction()
            if not self._group.commit(target):
                return None
        return Reply(rows=list(target.rows), receipt="receipt")

    def _end_transaction(self) -> None:
        self.state, self._needs_primary = TxState.NONE, False


@dataclass
class FakeBackend:
    """Implements ``node.backend.Backend`` over a fake group."""

    group: FakeGroup

    async def connect(
        self, target: Target, group: str, organisation: str, timeout_s: float
    ) -> FakeConnection:
        """Open a connection unless the target can't be reached."""
        fake = self.group.targets[target.name]
        fake.connects += 1
        await asyncio.sleep(min(fake.connect_s, timeout_s))
        if fake.connect_s > timeout_s:
            raise ConnectFailed(Reason.UNREACHABLE, "timed out", timed_out=True)
        if not fake.reachable:
            raise ConnectFailed(Reason.UNREACHABLE, "no answer")
        fake.open_connections = [one for one in fake.open_connections if not one.closed]
        counted = len(fake.open_connections) + fake.dead_connections
        if fake.max_connections is not None and counted >= fake.max_connections:
            raise ConnectFailed(Reason.NO_CONNECTION, fake.name)
        conn = FakeConnection(self.group, fake, organisation)
        fake.open_connections.append(conn)
        return conn

    def parse_replication_status(self, reply: Reply) -> ReplicationStatus | None:
        """Return the replication status of the target that made the reply."""
        fake = self.group.targets[reply.rows[0]]
        return ReplicationStatus(fake.leads, fake.term, fake.position, fake.paused_term)
