"""Connection pool of a target that has fewer connections than organisations.

Extends the pool where load control is enabled for the target's group; otherwise it is
the plain pool. The decisions are those of ``core/targets/connection_allocation.py`` and
``core/targets/connection_share.py``.
"""

import random
from collections import Counter
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from enum import StrEnum

import structlog

from lavenderstack.core import clock
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.targets import connection_share
from lavenderstack.core.targets.connection_allocation import (
    ConnectionAllocation,
    Holding,
)
from lavenderstack.core.targets.connection_share import SettledFirstChoice
from lavenderstack.core.view import Target
from lavenderstack.node.backend import Backend, ConnectFailed
from lavenderstack.node.targets.target_connections import (
    RELEASE_WAIT_S,
    OpenCause,
    PooledConnection,
    TargetConnections,
)

log = structlog.get_logger()

MIN_RETRY_S = 0.05
MAX_RETRY_S = 1.0


class ConnectionState(StrEnum):
    """States of connections: unused, running a statement, in an open transaction."""

    IDLE = "idle"
    BUSY = "busy"
    PINNED = "pinned"


class AllocatedConnections(TargetConnections):
    """A pool that allocates its connections to organisations by their need.

    ``allocation`` is None while load control is disabled.
    """

    def __init__(self, backend: Backend, target: Target, group: str) -> None:
        self.allocation: ConnectionAllocation | None = None
        self._settled = SettledFirstChoice()
        self._pinned: Counter[str] = Counter()
        self._seeking: Counter[str] = Counter()
        super().__init__(backend, target, group)

    def set_load_control(self, enabled: bool) -> None:
        """Enable or disable load control, as configured for the group."""
        if enabled and self.allocation is None:
            self.allocation = ConnectionAllocation(self.target.slots)
            self._settled = SettledFirstChoice()
        elif not enabled and self.allocation is not None:
            self.allocation = None
            limits = self.target.connections, self.target.slots
            self._close_idle_above(connection_share.max_connections(*limits, True))

    def apply_limits(
        self, target: Target, first_choice: bool, proof_age_s: float
    ) -> None:
        """Apply the limits that follow from what this node knows now.

        ``proof_age_s`` is the age of the proof of the node's view, in seconds.
        """
        self.set_limits(target, first_choice)
        if self.allocation is None:
            return
        self.allocation.slots = target.slots
        was_settled = self._settled.settled
        settled = self._settled.update(first_choice, proof_age_s, clock.now())
        limits = target.connections, target.slots
        if settled:
            self.max_open = connection_share.max_settled_connections(*limits)
        else:
            self._close_idle_above(connection_share.max_connections(*limits, True))
        if settled is not was_settled:
            log.info(
                "executor: share of connections changed",
                target=target.name,
                max_open=self.max_open,
                open=len(self),
            )

    def _close_idle_above(self, limit: int) -> None:
        while len(self) > limit and self._evict():
            pass

    @contextmanager
    def expected(self, organisation: str) -> Iterator[None]:
        """Count a statement that will need a connection, while it waits and runs."""
        allocation = self.allocation
        if allocation is None:
            yield
            return
        allocation.arrive(organisation, clock.now())
        try:
            yield
        finally:
            allocation.leave(organisation)

    def check_transaction(self, organisation: str) -> None:
        """Check that the organisation may pin another connection.

        Raises ``Refused`` with ``CROWDED`` if open transactions keep too many.
        """
        allocation = self.allocation
        if allocation is None or allocation.may_pin(
            self._pinned, organisation, self.max_open
        ):
            return
        own = self._pinned[organisation]
        retry_s = allocation.transaction_retry_s(own or self._pinned.total())
        retry_s = min(MAX_RETRY_S, max(MIN_RETRY_S, retry_s))
        raise Refused(
            Reason.CROWDED,
            "open transactions keep too many connections",
            retry_s * random.uniform(1.0, 1.5),
        )

    async def acquire(
        self, organisation: str, values: Mapping[str, str], force_new: bool = False
    ) -> PooledConnection:
        """Return a connection as the plain pool does, by the organisations' needs."""
        if self.allocation is None or force_new:
            return await super().acquire(organisation, values, force_new)
        self._seeking[organisation] += 1
        try:
            return await self._acquire_allocated(self.allocation, organisation, values)
        finally:
            self._seeking[organisation] -= 1
            if not self._seeking[organisation]:
                del self._seeking[organisation]

    async def _acquire_allocated(
        self,
        allocation: ConnectionAllocation,
        organisation: str,
        values: Mapping[str, str],
    ) -> PooledConnection:
        now = clock.now()
        allocation.record_use(organisation, now)
        pooled = self._take_best_idle(organisation, values)
        if pooled is not None:
            return pooled
        until = now + RELEASE_WAIT_S
        open_at = now + allocation.own_wait_s(
            self.holdings().get(organisation, Holding()),
            self._seeking[organisation],
        )
        while True:
            now = clock.now()
            cause = None
            if now >= open_at:
                cause = self._make_room_for(allocation, organisation)
            if cause is not None:
                try:
                    pooled = await self._open_connection(organisation, cause)
                except ConnectFailed as exc:
                    if exc.reason is not Reason.NO_CONNECTION:
                        raise
                else:
                    allocation.handshake.add(clock.now() - now)
                    return pooled
                # One may have been released meanwhile.
                pooled = self._take_best_idle(organisation, values)
                if pooled is not None:
                    return pooled
            if now >= until or not len(self):
                detail = "all connections are in use"
                raise ConnectFailed(Reason.NO_CONNECTION, detail)
            await self._released_within((open_at if now < open_at else until) - now)
            pooled = self._take_best_idle(organisation, values)
            if pooled is not None:
                return pooled

    def _make_room_for(
        self, allocation: ConnectionAllocation, organisation: str
    ) -> OpenCause | None:
        """Make room unless the organisation has its share and others would lose."""
        if self._may_open():
            return OpenCause.ROOM
        holding = self.holdings().get(organisation, Holding())
        if holding.total >= allocation.share(self.max_open):
            return None
        return self._make_room()

    def _evict(self) -> bool:
        """Close the idle connection that is expected to be needed last, if any."""
        if self.allocation is None:
            return super()._evict()
        self._discard_closed()
        now = clock.now()
        victim = self.allocation.victim(self.holdings(), self.max_open, now)
        for pooled in self._idle:
            if pooled.organisation == victim:
                self._idle.remove(pooled)
                self.discard(pooled)
                return True
        return False

    def _record_refusal(self) -> None:
        super()._record_refusal()
        self._settled.record_refusal(clock.now())

    def holdings(self) -> dict[str, Holding]:
        """Return the open connections of each organisation by state."""
        idle = set(self._idle)
        found: dict[str, Holding] = {}
        for pooled in self._open:
            holding = found.setdefault(pooled.organisation, Holding())
            if pooled in idle:
                holding.idle += 1
            elif pooled.pinned:
                holding.pinned += 1
            else:
                holding.busy += 1
        return found

    def count(self, state: ConnectionState) -> int:
        """Return the number of connections in a state."""
        match state:
            case ConnectionState.IDLE:
                return len(self._idle)
            case ConnectionState.PINNED:
                return self._pinned.total()
        return len(self._open) - len(self._idle) - self._pinned.total()

    def pin(self, pooled: PooledConnection) -> None:
        """Record that a transaction keeps a connection until it is released."""
        self._record_use(pooled)
        pooled.pinned, pooled.taken_at = True, clock.now()
        self._pinned[pooled.organisation] += 1

    def release(self, pooled: PooledConnection) -> None:
        """Return a connection to the pool; no statement may be running on it."""
        if pooled.is_held:
            self._record_use(pooled)
            self._unpin(pooled)
        super().release(pooled)

    def discard(self, pooled: PooledConnection) -> None:
        """Close a connection and remove it from the pool."""
        self._unpin(pooled)
        super().discard(pooled)

    def _record_use(self, pooled: PooledConnection) -> None:
        """Record for how long a statement or a transaction kept a connection."""
        if self.allocation is None:
            return
        average = self.allocation.statement
        if pooled.pinned:
            average = self.allocation.transaction
        average.add(clock.now() - pooled.taken_at)

    def _unpin(self, pooled: PooledConnection) -> None:
        if not pooled.pinned:
            return
        pooled.pinned = False
        self._pinned[pooled.organisation] -= 1
        if not self._pinned[pooled.organisation]:
            del self._pinned[pooled.organisation]
