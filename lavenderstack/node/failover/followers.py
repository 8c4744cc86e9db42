"""Queries replicas for their replication status and sends them commands."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import structlog

from lavenderstack.core import statement
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.failover.replacement import ReplicaState
from lavenderstack.core.position import Position
from lavenderstack.core.statement import Statement
from lavenderstack.node.backend import (
    Backend,
    Command,
    ConnectFailed,
    Connection,
    ConnectionLost,
    ReplicationStatus,
)
from lavenderstack.node.directory import Directory

log = structlog.get_logger()

STATUS_TIMEOUT_S = 0.5
MAX_PAUSE_TRIES = 2


class Followers:
    """Sends status queries and commands to replicas, each on a connection of its own.

    ``terms`` maps a group to the newest term that any of its targets reported.
    """

    def __init__(self, directory: Directory, backend: Backend) -> None:
        self.terms: dict[str, int] = {}
        self._directory = directory
        self._backend = backend

    def record_term(self, group: str, term: int) -> None:
        """Record a term that a target of the group reported."""
        self.terms[group] = max(self.terms.get(group, 0), term)

    async def pause(self, group: str, states: list[TargetState]) -> list[ReplicaState]:
        """Stop replicas from receiving log entries; return each one's status.

        A target ignores a term that is not above its own, which the first answers of a
        new owner tell.
        """
        for _ in range(MAX_PAUSE_TRIES):
            term = self.terms.get(group, 0) + 1
            followers = await self.send(states, statement.pause(term))
            if self.terms.get(group, 0) < term:
                break
        log.info(
            "replacer: replicas paused",
            group=group,
            term=term,
            followers=format_positions(followers),
        )
        return followers

    async def resume(self, group: str, states: list[TargetState]) -> bool:
        """Let replicas receive log entries again; return whether all are known to."""
        followers = await self.send(states, statement.RESUME)
        log.info(
            "replacer: replicas resumed",
            group=group,
            followers=format_positions(followers),
        )
        return not any(one.received is None or one.paused for one in followers)

    async def send(
        self, states: list[TargetState], command: Statement
    ) -> list[ReplicaState]:
        """Send a query or command to each target; return each one's status.

        A target that does not answer has None as its received position.
        """
        found = await asyncio.gather(*(self._query_status(s, command) for s in states))
        return [
            ReplicaState(
                s.target.name,
                s.leaving,
                None,
                evacuated=self._directory.is_evacuated(s.target.zone),
            )
            if status is None
            else ReplicaState(
                s.target.name,
                s.leaving,
                status.received,
                paused=status.paused_term > status.term,
                leads=status.leads,
                evacuated=self._directory.is_evacuated(s.target.zone),
            )
            for s, status in zip(states, found, strict=True)
        ]

    @asynccontextmanager
    async def connected(self, state: TargetState) -> AsyncIterator[Connection]:
        """Keep a connection to a target open for the duration of a block.

        Raises ``ConnectFailed`` if none can be opened.
        """
        organisation = next(iter(self._directory.catalog.plans), "")
        conn = await self._backend.connect(
            state.target, state.group, organisation, STATUS_TIMEOUT_S
        )
        try:
            yield conn
        finally:
            conn.close()

    async def received(self, conn: Connection) -> Position | None:
        """Return what a replica has received, None if it gives no status or leads.

        Raises ``ConnectionLost``, or ``TimeoutError`` if no answer arrives in time.
        """
        async with asyncio.timeout(STATUS_TIMEOUT_S):
            reply = await conn.send([Command(statement.STATUS)])[0]
        status = self._backend.parse_replication_status(reply)
        return None if status is None or status.leads else status.received

    async def _query_status(
        self, state: TargetState, command: Statement
    ) -> ReplicationStatus | None:
        """Send a query or command to a target; return None if it gives no status."""
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_S), self.connected(state) as conn:
                reply = await conn.send([Command(command)])[0]
        except (ConnectFailed, ConnectionLost, TimeoutError) as exc:
            log.info(
                "replacer: replica silent", target=state.target.name, error=repr(exc)
            )
            return None
        status = self._backend.parse_replication_status(reply)
        if status is None:
            log.info(
                "replacer: target refused an order",
                target=state.target.name,
                order=command.kind.name,
                reason=reply.reason,
                detail=reply.detail,
            )
            return None
        self.record_term(state.group, status.term)
        return status


def format_positions(followers: list[ReplicaState]) -> dict[str, str]:
    """Return the position that each replica has received, for a log line."""
    return {
        one.name: str(tuple(one.received)) if one.received is not None else "None"
        for one in followers
    }
