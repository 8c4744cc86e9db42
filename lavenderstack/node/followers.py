"""Asks replicas how far they have got, and gives them orders."""

import asyncio
from dataclasses import replace

import structlog

from lavenderstack.core import statement
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.replacement import Follower
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

STANDING_TIMEOUT_S = 0.5


class Followers:
    """Questions and orders to replicas, each on a connection of its own.

    ``terms`` has the newest term that a target of each group was seen to have.
    """

    def __init__(self, directory: Directory, backend: Backend) -> None:
        self.terms: dict[str, int] = {}
        self._directory = directory
        self._backend = backend

    def record_term(self, group: str, term: int) -> None:
        """Remember a term that was seen."""
        self.terms[group] = max(self.terms.get(group, 0), term)

    async def pause(self, group: str, states: list[TargetState]) -> list[Follower]:
        """Stop replicas from receiving; return how far each has got."""
        term = self.terms.get(group, 0) + 1
        asked = await self.ask(states, statement.pause(term))
        return [
            replace(one, paused=one.received is not None and not one.leads)
            for one in asked
        ]

    async def ask(self, states: list[TargetState], order: Statement) -> list[Follower]:
        """Send a question or order to each; return how they stand."""
        found = await asyncio.gather(*(self._standing(s, order) for s in states))
        return [
            Follower(s.target.name, s.leaving, None)
            if one is None
            else Follower(s.target.name, s.leaving, one.received, leads=one.leads)
            for s, one in zip(states, found, strict=True)
        ]

    async def _standing(
        self, state: TargetState, order: Statement
    ) -> ReplicationStatus | None:
        """Send a question or order to a target on a connection of its own."""
        organisation = next(iter(self._directory.catalog.plans), "")
        conn: Connection | None = None
        try:
            async with asyncio.timeout(STANDING_TIMEOUT_S):
                conn = await self._backend.connect(
                    state.target, state.group, organisation, STANDING_TIMEOUT_S
                )
                reply = await conn.send([Command(order)])[0]
        except (ConnectFailed, ConnectionLost, TimeoutError) as exc:
            log.info(
                "replacer: replica silent", target=state.target.name, error=repr(exc)
            )
            return None
        finally:
            if conn is not None:
                conn.close()
        standing = self._backend.parse_replication_status(reply)
        if standing is None:
            log.info(
                "replacer: order not taken",
                target=state.target.name,
                order=order.kind.name,
                reason=reply.reason,
                detail=reply.detail,
            )
            return None
        self.record_term(state.group, standing.term)
        return standing
