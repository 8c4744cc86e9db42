"""Connection pool of this node for one target.

A connection belongs to one organisation and keeps the values and prepared statements
that were set on it. It is used by one statement or transaction at a time. The pool
prefers a connection with matching values, so that few have to be opened or reset.
``node/targets/allocated_connections.py`` extends it where load control is enabled.
"""

import asyncio
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import StrEnum

import structlog

from lavenderstack.core import clock
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START
from lavenderstack.core.reply import Reply
from lavenderstack.core.targets import connection_share
from lavenderstack.core.view import Target
from lavenderstack.node.backend import (
    Backend,
    Command,
    ConnectFailed,
    Connection,
    ConnectionLost,
)

log = structlog.get_logger()

# Longer than a handshake, because a new connection waits for a slot of the target.
CONNECT_TIMEOUT_S = 0.4
RELEASE_WAIT_S = 0.3
# After a target has refused a connection since it has too many, none is opened for this
# long. Statements wait for one of this node's own connections meanwhile.
REFUSED_PAUSE_S = 0.1


class OpenCause(StrEnum):
    """Why a connection is opened.

    ``ROOM``: the limit allows one more. ``REPLACED``: an idle one was closed for it.
    ``FORCED``: for a probe, or because idle ones had failed.
    """

    ROOM = "room"
    REPLACED = "replaced"
    FORCED = "forced"


@dataclass(frozen=True, slots=True)
class SentSetup:
    """Statements that were sent to prepare a connection, with their answers.

    ``values`` and ``prepared`` are those of the connection once all have succeeded.
    """

    futs: Sequence["asyncio.Future[Reply]"]
    values: dict[str, str]
    prepared: set[str]

    def error(self) -> Reply | None:
        """Return the first answer that is an error or missing, or None."""
        for fut in self.futs:
            if not fut.done() or fut.cancelled() or fut.exception() is not None:
                return Reply(reason=Reason.CONNECTION_LOST, detail="no answer")
            if fut.result().reason is not None:
                return fut.result()
        return None


class _GivenBack:
    """Stands for the connection where it has been given back to the pool."""

    __slots__ = ()

    position = START
    closed = True

    def send(self, commands: Sequence[Command]) -> list["asyncio.Future[Reply]"]:
        """Send nothing, since the connection may be another statement's by now."""
        raise ConnectionLost("the connection was given back")

    def close(self) -> None:
        """Leave the connection to its present holder."""


_GIVEN_BACK = _GivenBack()


@dataclass(slots=True, eq=False)
class PooledConnection:
    """An open connection with the values and prepared statements set on it.

    It belongs to whoever acquired it until it is released or discarded, once. The pool
    hands the connection out in another object after that, so that a former holder can
    neither use it nor give it back again.

    ``values`` and ``prepared`` are those that the target has confirmed, ``setup`` is
    what was sent to change them and isn't confirmed yet. ``used_at`` is the time of the
    last release and ``taken_at`` that since which it is in use, in seconds on the
    clock. ``pinned`` tells that a transaction is open on it. ``number`` tells the
    connections of one pool apart in the log.
    """

    conn: Connection
    organisation: str
    used_at: float
    taken_at: float = 0.0
    pinned: bool = False
    values: dict[str, str] = field(default_factory=dict)
    prepared: set[str] = field(default_factory=set)
    setup: SentSetup | None = None
    number: int = 0

    @property
    def is_held(self) -> bool:
        """Whether it has not been given back to the pool yet."""
        return self.conn is not _GIVEN_BACK

    def give_back(self) -> "PooledConnection":
        """End the use of this object; return another one for the next holder."""
        successor = replace(self, used_at=clock.now(), pinned=False)
        self.conn = _GIVEN_BACK
        return successor

    def confirm_setup(self) -> Reply | None:
        """Apply what was sent to prepare the connection, if the target confirms it.

        Returns an error otherwise; what is set on the connection isn't known then.
        """
        setup = self.setup
        if setup is None:
            return None
        error = setup.error()
        if error is None:
            self.values, self.prepared = setup.values, setup.prepared
            self.setup = None
        return error


class TargetConnections:
    """Pool of the open connections to one target.

    ``opened`` counts all connections opened so far by cause, ``max_open`` limits those
    open. ``heard_at`` is when the target last answered on any of them,
    ``maybe_restarted_at`` when it closed one or was reached again after all were
    closed, both in seconds on the clock.
    """

    def __init__(self, backend: Backend, target: Target, group: str) -> None:
        self.target = target
        self.group = group
        self.max_open = 1
        self._first_choice = False
        self._refused_until = float("-inf")
        self.set_limits(target, first_choice=False)
        self.opened: Counter[OpenCause] = Counter()
        self.heard_at = float("-inf")
        self.maybe_restarted_at = float("-inf")
        self._backend = backend
        self._idle: list[PooledConnection] = []
        self._open: set[PooledConnection] = set()
        self._opening = 0
        self._released = asyncio.Event()

    def set_limits(self, target: Target, first_choice: bool) -> None:
        """Apply the target's limits and whether this node is its first choice."""
        self._first_choice = first_choice
        self.max_open = connection_share.max_connections(
            target.connections, target.slots, first_choice
        )

    def record_answer(self) -> None:
        """Record that the target has just answered on one of the connections."""
        self.heard_at = clock.now()

    @property
    def refused_recently(self) -> bool:
        """Whether the target has just refused a connection since it has too many."""
        return clock.now() < self._refused_until

    def _may_open(self) -> bool:
        """Return whether another connection may be opened now."""
        return len(self) < self.max_open and not self.refused_recently

    def __len__(self) -> int:
        return len(self._open) + self._opening

    @property
    def in_use(self) -> int:
        """The number of connections that are acquired or being opened."""
        return len(self) - len(self._idle)

    async def acquire(
        self, organisation: str, values: Mapping[str, str], force_new: bool = False
    ) -> PooledConnection:
        """Return a connection of the organisation, opening one if necessary.

        ``force_new`` always opens one if the limit allows, and doesn't wait if the
        target has too many. Raises ``ConnectFailed`` if none can be opened and none is
        released in time.
        """
        if not force_new:
            pooled = self._take_best_idle(organisation, values)
            if pooled is not None:
                return pooled
        cause = self._make_room()
        if cause is not None:
            cause = OpenCause.FORCED if force_new else cause
            try:
                return await self._open_connection(organisation, cause)
            except ConnectFailed as exc:
                if force_new or exc.reason is not Reason.NO_CONNECTION:
                    raise
        elif force_new and self.refused_recently:
            raise ConnectFailed(Reason.NO_CONNECTION, "refused recently")
        return await self._wait_for_released(organisation, values)

    def _take_best_idle(
        self, organisation: str, values: Mapping[str, str]
    ) -> PooledConnection | None:
        self._discard_closed()
        best = None
        for pooled in reversed(self._idle):
            if pooled.organisation != organisation:
                continue
            if pooled.values == values:
                best = pooled
                break
            best = best or pooled
        if best is not None:
            self._idle.remove(best)
            best.taken_at = clock.now()
        return best

    def _discard_closed(self) -> None:
        for pooled in [one for one in self._idle if one.conn.closed]:
            self._idle.remove(pooled)
            self.discard(pooled)

    def _make_room(self) -> OpenCause | None:
        """Return why a connection may be opened now; close an idle one if necessary."""
        if self._may_open():
            return OpenCause.ROOM
        return OpenCause.REPLACED if self._evict() else None

    def _evict(self) -> bool:
        """Close the connection idle for the longest time; return False if none is."""
        if not self._idle:
            return False
        self.discard(self._idle.pop(0))
        return True

    async def _wait_for_released(
        self, organisation: str, values: Mapping[str, str]
    ) -> PooledConnection:
        """Wait up to ``RELEASE_WAIT_S`` for another statement's connection.

        Raises ``ConnectFailed`` at once if this node has none open.
        """
        until = clock.now() + RELEASE_WAIT_S
        while len(self) and (left_s := until - clock.now()) > 0:
            if not await self._released_within(left_s):
                break
            pooled = self._take_best_idle(organisation, values)
            if pooled is not None:
                return pooled
            cause = self._make_room()
            if cause is not None:
                return await self._open_connection(organisation, cause)
        raise ConnectFailed(Reason.NO_CONNECTION, "all connections are in use")

    async def _released_within(self, timeout_s: float) -> bool:
        """Wait until a connection is released or closed; False if none is in time."""
        self._released.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self._released.wait()
        except TimeoutError:
            return False
        return True

    async def _open_connection(
        self, organisation: str, cause: OpenCause
    ) -> PooledConnection:
        self._opening += 1
        asked_at = clock.now()
        try:
            conn = await self._backend.connect(
                self.target, self.group, organisation, CONNECT_TIMEOUT_S
            )
        except ConnectFailed as exc:
            if exc.timed_out and self.heard_at >= asked_at:
                # The target answered other statements meanwhile, so it isn't lost.
                detail = "no new connection in time"
                raise ConnectFailed(Reason.NO_CONNECTION, detail, True) from exc
            if exc.reason is Reason.NO_CONNECTION:
                self._record_refusal()
                if self._evict():
                    return await self._open_connection(organisation, cause)
            raise
        finally:
            self._opening -= 1
        if self.opened and not self._open:
            self.maybe_restarted_at = clock.now()
        self.opened[cause] += 1
        self.record_answer()
        now = clock.now()
        pooled = PooledConnection(
            conn,
            organisation,
            used_at=now,
            taken_at=now,
            number=self.opened.total(),
        )
        self._open.add(pooled)
        return pooled

    def _record_refusal(self) -> None:
        """Record that the target has too many connections."""
        self._refused_until = clock.now() + REFUSED_PAUSE_S

    def release(self, pooled: PooledConnection) -> None:
        """Return a connection to the pool; no statement may be running on it.

        It is closed instead if it isn't known which values are set on it.
        """
        if not pooled.is_held:
            log.error("executor: connection given back twice", target=self.target.name)
            return
        if pooled.conn.closed or pooled.confirm_setup() is not None:
            self.discard(pooled)
            return
        self._open.discard(pooled)
        idle = pooled.give_back()
        self._open.add(idle)
        self._idle.append(idle)
        self._released.set()

    def discard(self, pooled: PooledConnection) -> None:
        """Close a connection and remove it from the pool, unless it was given back."""
        if pooled.conn.closed and pooled in self._open:
            self.maybe_restarted_at = clock.now()
        pooled.conn.close()
        self._open.discard(pooled)
        self._released.set()

    def pin(self, pooled: PooledConnection) -> None:
        """Record that a transaction stays open on a connection until its release."""
        pooled.pinned = True

    def take_idle(self) -> PooledConnection | None:
        """Acquire an idle connection of any organisation; None if there is none."""
        while self._idle:
            pooled = self._idle.pop()
            if not pooled.conn.closed:
                pooled.taken_at = clock.now()
                return pooled
            self.discard(pooled)
        return None

    def close_idle(self, first_choice: bool) -> None:
        """Close idle connections if this node is not the target's first choice."""
        now = clock.now()
        for pooled in list(self._idle):
            if connection_share.should_close_idle(first_choice, now - pooled.used_at):
                self._idle.remove(pooled)
                self.discard(pooled)

    def close_unused(self, keep: int) -> None:
        """Close idle connections except the ``keep`` that were used last."""
        surplus = len(self._idle) - keep
        while surplus > 0 and self._evict():
            surplus -= 1

    def close(self) -> None:
        """Close every connection."""
        for pooled in list(self._open):
            self.discard(pooled)
        self._idle.clear()
