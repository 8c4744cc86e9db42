"""How a replica stand-in pulls the log from its primary.

The replica asks for what follows its last entry and takes it over after the lag that
was set. When the primary does not know that entry, the replica asks again from
further back until the two logs meet.
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
from standins.faults import Gate
from standins.replica_log import Change, Entry, ReplicaLog

GROUP = "replication"
CALL_TIMEOUT_S = 1.0
RETRY_S = 0.05


class Follows(Protocol):
    """What a follower needs of its target."""

    log: ReplicaLog
    gate: Gate
    lag_ms: float
    changed: Callable[[], None]


def encode(entry: Entry) -> list:
    """Return an entry as it travels."""
    changes = [[c.table, c.key, c.value, c.deleted] for c in entry.changes]
    return [*entry.position, changes, entry.idempotency_key]


def decode(raw: list) -> Entry:
    """Return an entry from the form in which it travels."""
    term, seq, changes, idempotency_key = raw
    return Entry(
        Position(term, seq), tuple(Change(*c) for c in changes), idempotency_key
    )


class _PullConn(TargetConn):
    """A connection of a replica to its primary."""

    async def pull(self, after: Position, term: int) -> tuple[bool, list[Entry]]:
        answer = await self._call("pull", [*after, term], CALL_TIMEOUT_S)
        matched, entries = answer[0]
        return matched, [decode(raw) for raw in entries]


class Follower:
    """Pulls from one address for as long as the target stays in one term."""

    def __init__(self, target: Follows, host: str, port: int) -> None:
        self._target = target
        self._term = target.log.term
        self._addr = (host, port)
        self.conn: _PullConn | None = None

    async def run(self) -> None:
        """Pull until cancelled, or until the target leaves the term."""
        while self._target.log.term == self._term:
            with suppress(OSError, TimeoutError, TargetLost, TargetUnreachable):
                await self._follow()
            await asyncio.sleep(RETRY_S)

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CALL_TIMEOUT_S):
            _, self.conn = await loop.create_connection(_PullConn, *self._addr)
        try:
            await self.conn.hello(GROUP, CALL_TIMEOUT_S)
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
                after = log.before(after)
                continue
            await self._lag(entries)
            log.accept(after, entries, self._term)
            self._target.changed()
            after = log.last

    async def _lag(self, entries: list[Any]) -> None:
        if entries and self._target.lag_ms:
            await asyncio.sleep(self._target.lag_ms / 1000)
        await self._target.gate.wait()
