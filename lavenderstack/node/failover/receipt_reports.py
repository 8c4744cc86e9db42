"""Reports to the nodes what the target of an order has received.

All nodes hold back acknowledgements while the order is under way
(``core/failover/acknowledgement_hold.py``). The primary serves on until the order takes
effect; with the reports its commits are acknowledged as soon as the target has them. If
several orders may take effect, all their targets must have them.
"""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager

import structlog

from lavenderstack.core import clock
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.position import START, Position
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
        # By group: what reports on it.
        self._tasks: dict[str, asyncio.Task] = {}

    @asynccontextmanager
    async def running(self, successor: TargetState) -> AsyncIterator[None]:
        """Report what a replica has received for the duration of a block."""
        await self.start(successor.group, [successor])
        try:
            yield
        finally:
            await self.stop(successor.group)

    async def start(self, group: str, targets: Sequence[TargetState]) -> None:
        """Report what all these replicas have received, until ``stop``.

        Without targets no commit is let through; the holds are only repeated.
        """
        await self.stop(group)
        self._tasks[group] = asyncio.ensure_future(self._run(group, targets))

    async def stop(self, group: str) -> None:
        """End the reports on a group."""
        task = self._tasks.pop(group, None)
        if task is None:
            return
        task.cancel()
        (outcome,) = await asyncio.gather(task, return_exceptions=True)
        if isinstance(outcome, Exception):
            log.error("replacer: receipts not reported", exc_info=outcome)

    async def _run(self, group: str, targets: Sequence[TargetState]) -> None:
        while True:
            try:
                async with AsyncExitStack() as stack:
                    conns = [
                        await stack.enter_async_context(self._replicas.connected(one))
                        for one in targets
                    ]
                    await self._report(group, conns)
            except (ConnectFailed, ConnectionLost, TimeoutError) as exc:
                names = " ".join(one.target.name for one in targets)
                log.info("replacer: replica silent", target=names, error=repr(exc))
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _report(self, group: str, conns: Sequence[Connection]) -> None:
        reported, everywhere_at = START, clock.now()
        while True:
            received = await self._received_by_all(conns) or reported
            now = clock.now()
            everywhere = now - everywhere_at > EVERYWHERE_INTERVAL_S
            if received > reported or everywhere:
                reported = max(reported, received)
                everywhere_at = now if everywhere else everywhere_at
                await self._positions.release_up_to(group, reported, everywhere)
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _received_by_all(self, conns: Sequence[Connection]) -> Position | None:
        """Return what each replica has received, None if one tells nothing or leads."""
        found = await asyncio.gather(*(self._replicas.received(one) for one in conns))
        return None if None in found else min(found, default=None)
