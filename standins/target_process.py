"""What all connections of one target stand-in share: log, slots, limits, faults."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import asdict, dataclass
from typing import Any, Protocol

from lavenderstack.border.target import TargetErrorCode, TargetRefused
from standins import follower
from standins.faults import CallRecord, Fault, Gate
from standins.replica_log import ReplicaLog

CONTROL = "control"
LONGEST_PULL_WAIT_S = 0.25


@dataclass(frozen=True, slots=True)
class Limits:
    """What a target allows and how long things take it (ms)."""

    slots: int = 5
    connections: int = 30
    open_ms: float = 0.0
    run_ms: float = 0.0
    lag_ms: float = 0.0


class Connection(Protocol):
    """What the target needs of one of its connections."""

    group: str
    silent: bool
    transport: asyncio.Transport


class TargetProcess:
    """The state that all connections of one target share."""

    def __init__(self, name: str, group: str, limits: Limits) -> None:
        self.group = group
        self.limits = limits
        self.lag_ms = limits.lag_ms
        self.slow_ms = 0.0
        self.log = ReplicaLog(name)
        self.gate = Gate()
        self.down = Gate()
        self.call_record = CallRecord()
        self.conns: set[Connection] = set()
        self.lost_answers = 0
        self._slots = asyncio.Semaphore(limits.slots)
        self._running = 0
        self._news = asyncio.Event()
        self._follower: follower.Follower | None = None
        self._following: asyncio.Task | None = None

    def changed(self) -> None:
        """Wake the replicas that wait for news."""
        self._news.set()
        self._news = asyncio.Event()

    async def wait_for_news(self) -> None:
        """Wait a bounded time for a change of the log or the term."""
        with suppress(TimeoutError):
            async with asyncio.timeout(LONGEST_PULL_WAIT_S):
                await self._news.wait()

    def follow(self, host: str, port: int) -> None:
        """Pull from another primary from now on."""
        self.stop_following()
        self._follower = follower.Follower(self, host, port)
        self._following = asyncio.ensure_future(self._follower.run())

    def stop_following(self) -> None:
        """Stop pulling."""
        if self._following is not None:
            self._following.cancel()
        self._following = None

    @asynccontextmanager
    async def slot(self, ms: float) -> AsyncIterator[None]:
        """Take one slot for as long as a statement takes."""
        async with self._slots:
            self._running += 1
            self.call_record.most_running = max(
                self.call_record.most_running, self._running
            )
            try:
                ms += self.limits.run_ms + self.slow_ms
                if ms:
                    await asyncio.sleep(ms / 1000)
                await self.gate.wait()
                yield
            finally:
                self._running -= 1

    def admit(self, conn: Connection, group: str) -> None:
        """Take in a connection for a group, or refuse it."""
        if group == self.group:
            count = sum(other.group == group for other in self.conns)
            if count >= self.limits.connections:
                raise TargetRefused(TargetErrorCode.TOO_MANY_CONNECTIONS, str(count))
            seen = self.call_record
            seen.most_connections = max(seen.most_connections, count + 1)
        elif group not in (CONTROL, follower.GROUP):
            raise TargetRefused(
                TargetErrorCode.STATEMENT_FAILED, f"not in group {group}"
            )
        conn.group = group

    def fault(self, kind: str, value: float) -> None:
        """Set a fault."""
        match Fault(kind):
            case Fault.LAG_MS:
                self.lag_ms = value
            case Fault.SLOW_MS:
                self.slow_ms = value
            case Fault.LOST_ANSWER:
                self.lost_answers = int(value)
            case Fault.FREEZE_S:
                self.gate.close_for(value)
            case Fault.DOWN_S:
                self.down.close_for(value)
                self._break_connections()
            case Fault.SILENT:
                self._silence()

    def _ordinary(self) -> list[Connection]:
        return [conn for conn in self.conns if conn.group != CONTROL]

    def _break_connections(self) -> None:
        for conn in self._ordinary():
            conn.transport.abort()
        if self._follower is not None and self._follower.conn is not None:
            self._follower.conn.close()

    def _silence(self) -> None:
        for conn in self._ordinary():
            conn.silent = True
        if self._follower is not None and self._follower.conn is not None:
            self._follower.conn.data_received = lambda data: None

    def seen(self) -> dict[str, Any]:
        """Return what the target saw and what it holds."""
        record = asdict(self.call_record)
        record["strings"] = sorted(self.call_record.strings)
        record["entries"] = [follower.encode(entry) for entry in self.log.entries]
        record["tables"] = self.log.tables
        return record
