"""The state of a target stand-in: its log, slots, limits and faults."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import asdict, dataclass
from typing import Any, Protocol

from lavenderstack.border.target import TargetErrorCode, TargetRefused
from standins import follower
from standins.faults import CallRecord, Fault, Suspension
from standins.replica_log import ReplicaLog

CONTROL = "control"
# Less than the follower's ``CALL_TIMEOUT_S``, so that an idle pull is answered in time.
MAX_PULL_WAIT_S = 0.25


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a target, and how long operations take (ms)."""

    slots: int = 5
    connections: int = 30
    open_ms: float = 0.0
    run_ms: float = 0.0
    lag_ms: float = 0.0


class Connection(Protocol):
    """The interface of a connection that the target uses."""

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
        self.freeze = Suspension()
        self.outage = Suspension()
        self.call_record = CallRecord()
        self.conns: set[Connection] = set()
        self.lost_answers = 0
        self._slots = asyncio.Semaphore(limits.slots)
        self._running_count = 0
        self._change_event = asyncio.Event()
        self._follower: follower.Follower | None = None
        self._pull_task: asyncio.Task | None = None

    def notify_change(self) -> None:
        """Wake the pulls that wait for a change of the log or the term."""
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Wait up to ``MAX_PULL_WAIT_S`` for a change of the log or the term."""
        with suppress(TimeoutError):
            async with asyncio.timeout(MAX_PULL_WAIT_S):
                await self._change_event.wait()

    def follow(self, host: str, port: int) -> None:
        """Start to pull from the primary at this address."""
        self.stop_following()
        self._follower = follower.Follower(self, host, port)
        self._pull_task = asyncio.ensure_future(self._follower.run())

    def stop_following(self) -> None:
        """Stop pulling from the primary."""
        if self._pull_task is not None:
            self._pull_task.cancel()
        self._pull_task = None

    @asynccontextmanager
    async def slot(self, ms: float) -> AsyncIterator[None]:
        """Hold one slot for ``ms`` plus the configured time of a statement."""
        async with self._slots:
            self._running_count += 1
            self.call_record.most_running = max(
                self.call_record.most_running, self._running_count
            )
            try:
                ms += self.limits.run_ms + self.slow_ms
                if ms:
                    await asyncio.sleep(ms / 1000)
                await self.freeze.wait()
                yield
            finally:
                self._running_count -= 1

    def admit(self, conn: Connection, group: str) -> None:
        """Accept a connection for a group or raise ``TargetRefused``."""
        if group == self.group:
            count = sum(other.group == group for other in self.conns)
            if count >= self.limits.connections:
                raise TargetRefused(TargetErrorCode.TOO_MANY_CONNECTIONS, str(count))
            calls = self.call_record
            calls.most_connections = max(calls.most_connections, count + 1)
        elif group not in (CONTROL, follower.REPLICATION_GROUP):
            raise TargetRefused(
                TargetErrorCode.STATEMENT_FAILED, f"not in group {group}"
            )
        conn.group = group

    def fault(self, kind: str, value: float) -> None:
        """Set a fault; see ``Fault`` for the unit of the value."""
        match Fault(kind):
            case Fault.LAG_MS:
                self.lag_ms = value
            case Fault.SLOW_MS:
                self.slow_ms = value
            case Fault.LOST_ANSWER:
                self.lost_answers = int(value)
            case Fault.FREEZE_S:
                self.freeze.suspend_for(value)
            case Fault.DOWN_S:
                self.outage.suspend_for(value)
                self._break_connections()
            case Fault.SILENT:
                self._silence()

    def _non_control_connections(self) -> list[Connection]:
        return [conn for conn in self.conns if conn.group != CONTROL]

    def _break_connections(self) -> None:
        for conn in self._non_control_connections():
            conn.transport.abort()
        if self._follower is not None and self._follower.conn is not None:
            self._follower.conn.close()

    def _silence(self) -> None:
        for conn in self._non_control_connections():
            conn.silent = True
        if self._follower is not None and self._follower.conn is not None:
            self._follower.conn.data_received = lambda data: None

    def snapshot(self) -> dict[str, Any]:
        """Return the recorded calls, the log and the tables."""
        record = asdict(self.call_record)
        record["strings"] = sorted(self.call_record.strings)
        record["entries"] = [follower.encode_entry(entry) for entry in self.log.entries]
        record["tables"] = self.log.tables
        return record
