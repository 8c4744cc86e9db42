"""Slots of a target (thin version: first come, first served)."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from lavenderstack.core import clock
from lavenderstack.core.outcome import Reason, Refused


class Slots:
    """At most ``slots`` statements run at once on one target."""

    def __init__(self, slots: int) -> None:
        self._free = asyncio.Semaphore(slots)

    @asynccontextmanager
    async def take(
        self, organisation: str, weight: float, deadline: float, limit: int = 200
    ) -> AsyncIterator[None]:
        """Hold a slot for the length of a block."""
        try:
            async with asyncio.timeout(max(0.0, deadline - clock.now())):
                await self._free.acquire()
        except TimeoutError as exc:
            raise Refused(Reason.CROWDED, "no slot in time", 0.2) from exc
        try:
            yield
        finally:
            self._free.release()
