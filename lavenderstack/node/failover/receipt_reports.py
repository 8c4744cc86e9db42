"""Reports to the nodes what the successor of a primary that leaves has received.

All nodes hold back acknowledgements while the order is under way
(``core/failover/acknowledgement_hold.py``). The primary serves on until the order takes
effect; with the reports its commits are acknowledged as soon as the successor has them.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import structlog

from lavenderstack.core import clock
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.position import START
from lavenderstack.node.backend import ConnectFailed, Connection, ConnectionLost
from lavenderstack.node.failover.followers import Followers
from lavenderstack.node.failover.group_positions import GroupPositions

log = structlog.get_logger()

# A commit waits for about half of this longer than before.
REPORT_INTERVAL_S = 0.02
# How often all nodes are asked again, since one may have started without its hold.
EVERYWHERE_INTERVAL_S = 0.2
RECONNECT_DELAY_S = 0.05


class ReceiptReports:
    """Reports of one owner of groups."""

    def __init__(self, replicas: Followers, positions: GroupPositions) -> None:
        self._replicas = replicas
        self._positions = positions

    @asynccontextmanager
    async def running(self, successor: TargetState) -> AsyncIterator[None]:
        """Report what a replica has received for the duration of a block."""
        task = asyncio.ensure_future(self._run(successor))
        try:
            yield
        finally:
            task.cancel()
            (outcome,) = await asyncio.gather(task, return_exceptions=True)
            if isinstance(outcome, Exception):
                log.error("replacer: receipts not reported", exc_info=outcome)

    async def _run(self, successor: TargetState) -> None:
        while True:
            try:
                async with self._replicas.connected(successor) as conn:
                    await self._report(successor.group, conn)
            except (ConnectFailed, ConnectionLost, TimeoutError) as exc:
                log.info(
                    "replacer: replica silent",
                    target=successor.target.name,
                    error=repr(exc),
                )
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _report(self, group: str, conn: Connection) -> None:
        reported, everywhere_at = START, clock.now()
        while True:
            received = await self._replicas.received(conn) or reported
            now = clock.now()
            everywhere = now - everywhere_at > EVERYWHERE_INTERVAL_S
            if received > reported or everywhere:
                reported = max(reported, received)
                everywhere_at = now if everywhere else everywhere_at
                await self._positions.release_up_to(group, reported, everywhere)
            await asyncio.sleep(REPORT_INTERVAL_S)
