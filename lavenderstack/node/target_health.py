"""Whether a target can be reached from this node, whether it leads, and how far it is.

While a target gives no answer, work for it is refused at once and one connection is
tried again and again. Whether it leads is asked by opening a transaction and rolling it
back, which needs no slot of the target and which only a primary takes.
"""

import asyncio

import structlog

from lavenderstack.core import clock, statement
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position_history import PositionHistory
from lavenderstack.core.view import Target
from lavenderstack.core.work_messages import PrimaryPosition
from lavenderstack.node.backend import Command, ConnectFailed, ConnectionLost
from lavenderstack.node.directory import Directory
from lavenderstack.node.target_connections import Held, TargetConnections

log = structlog.get_logger()

# The service's own statements need no slot, so an answer takes a round trip.
OWN_STATEMENT_TIMEOUT_S = 0.25
RECONNECT_S = 0.4
PROBES = 2


class TargetReach:
    """What this node knows of one target's being there; ``lost`` says why it is not."""

    def __init__(
        self, target: Target, connections: TargetConnections, directory: Directory
    ) -> None:
        self.lost = ""
        self.positions = PositionHistory()
        self._target = target
        self._connections = connections
        self._directory = directory
        self._reconnecting: asyncio.Task | None = None

    async def primary_position(self, within_s: float) -> Message:
        """Answer how far the primary's log goes, asking it if that is not known."""
        now = clock.now()
        latest = self.positions.latest()
        if latest is None or now - latest.at > within_s:
            if not await self.probe():
                return Failed(run=False, reason=Reason.NO_PRIMARY)
            latest = self.positions.latest()
        return PrimaryPosition(latest.position, now - latest.at)

    async def probe(self) -> bool:
        """Ask the target whether it leads; a silent connection is tried anew once."""
        for _ in range(PROBES):
            held = None if self.lost else await self._any_connection()
            if held is None:
                return False
            leads = await self._ask(held)
            if leads is not None:
                return leads
        return False

    async def _any_connection(self) -> Held | None:
        held = self._connections.borrow_any()
        if held is not None:
            return held
        organisation = next(iter(self._directory.catalog.plans), "")
        try:
            return await self._connections.lend(organisation, {}, fresh=True)
        except ConnectFailed as exc:
            if exc.reason is Reason.UNREACHABLE:
                self.note_lost(exc.detail)
            return None

    async def _ask(self, held: Held) -> bool | None:
        """Return whether the target leads, None if the connection is silent."""
        begin = Command(statement.begin(read_only=False))
        asked_at = clock.now()
        try:
            futs = held.conn.send([begin, Command(statement.ROLLBACK)])
            async with asyncio.timeout(OWN_STATEMENT_TIMEOUT_S):
                reply = await futs[0]
                await futs[1]
        except (ConnectionLost, TimeoutError):
            self._connections.discard(held)
            return None
        self._connections.give_back(held)
        if reply.reason is None:
            self.positions.add(reply.position, asked_at)
            return True
        if reply.reason is Reason.NOT_PRIMARY:
            self._directory.record_not_primary(self._target.name)
        return False

    def note_lost(self, why: str) -> None:
        """Take the target for lost until a connection to it can be opened."""
        if self.lost:
            return
        self.lost = why or "no answer"
        log.warning("executor: target lost", target=self._target.name, error=why)
        # Nothing that is under way there will be answered; those who wait are told now.
        self._connections.close()
        self._reconnecting = asyncio.ensure_future(self._reconnect())

    async def _reconnect(self) -> None:
        """Try the target until it answers; meanwhile work is refused at once."""
        organisation = next(iter(self._directory.catalog.plans), "")
        while self._target.name in self._directory.targets:
            await asyncio.sleep(RECONNECT_S)
            try:
                held = await self._connections.lend(organisation, {}, fresh=True)
            except ConnectFailed:
                continue
            self._connections.give_back(held)
            self.lost = ""
            log.info("executor: target reachable again", target=self._target.name)
            return

    def close(self) -> None:
        """Stop trying."""
        if self._reconnecting is not None:
            self._reconnecting.cancel()
