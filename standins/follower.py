"""Pulls the log of a primary stand-in into a replica stand-in.

The replica requests the entries after its last one and appends them with the
configured delay. If the primary does not have that last entry, the replica requests
again from an earlier position, until it finds an entry that both logs have.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Protocol

from lavenderstack.border.target import (
    TargetConn,
    TargetLost,
    TargetRefused,
    TargetUnreachable,
)
from lavenderstack.core.position import Position
from standins.faults import Suspension
from standins.replica_log import Change, Entry, ReplicaLog

REPLICATION_GROUP = "replication"
CALL_TIMEOUT_S = 1.0
RETRY_S = 0.05


class ReplicaTarget(Protocol):
    """The interface of the target that a follower pulls for."""

    log: ReplicaLog
    freeze: Suspension
    lag_ms: float
    notify_change: Callable[[], None]


def encode_entry(entry: Entry) -> list:
    """Encode an entry as ``[term, seq, changes, idempotency_key]``."""
    changes = [[c.table, c.key, c.value, c.deleted] for c in entry.changes]
    return [*entry.position, changes, entry.idempotency_key]


def decode_entry(raw: list) -> Entry:
    """Decode an entry; the inverse of ``encode_entry``."""
    term, seq, changes, idempotency_key = raw
    return Entry(
        Position(term, seq), tuple(Change(*c) for c in changes), idempotency_key
    )


class _PullConn(TargetConn):
    """A connection of a replica to its primary."""

    async def pull(self, after: Position, term: int) -> tuple[bool, list[Entry]]:
        answer = await self._call("pull", [*after, term], CALL_TIMEOUT_S)
        matched, entries = answer[0]
        return matched, [decode_entry(raw) for raw in entries]


class Follower:
    """Pulls from the primary at one address while the target's term is unchanged."""

    def __init__(self, target: ReplicaTarget, host: str, port: int) -> None:
        self._target = target
        self._term = target.log.term
        self._addr = (host, port)
        self.conn: _PullConn | None = None

    async def run(self) -> None:
        """Pull until cancelled, or until the target adopts another term."""
        while self._target.log.term == self._term:
            with suppress(OSError, TimeoutError, TargetLost, TargetUnreachable):
                await self._follow()
            await asyncio.sleep(RETRY_S)

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CALL_TIMEOUT_S):
            _, self.conn = await loop.create_connection(_PullConn, *self._addr)
        try:
            await self.conn.hello(REPLICATION_GROUP, CALL_TIMEOUT_S)
            await self._pull()
        except TargetRefused:
            return
        finally:
            self.conn.close()

    async def _pull(self) -> None:
        log = self._target.log
        after = log.last
        while True:
            matched, entries = await self.conn.pull(after, self._term)
            if not matched:
                after = log.last_of_earlier_term(after)
                continue
            await self._wait_for_lag(entries)
            log.accept(after, entries, self._term)
            self._target.notify_change()
            after = log.last

    async def _wait_for_lag(self, entries: list[Any]) -> None:
        if entries and self._target.lag_ms:
            await asyncio.sleep(self._target.lag_ms / 1000)
        await self._target.freeze.wait()
