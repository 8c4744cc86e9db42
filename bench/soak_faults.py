"""The schedule of a soak's faults, drawn from a seed.

Each round has a planned stop in a calm span, then faults in series, then several that
overlap. The faults themselves are in ``bench.soak_node_faults``,
``bench.soak_store_faults``, ``bench.soak_promotion_faults`` and
``bench.soak_evacuations``.
"""

import asyncio
import random
from contextlib import AbstractAsyncContextManager, suppress
from dataclasses import dataclass, field

from bench import (
    soak_evacuations,
    soak_node_faults,
    soak_promotion_faults,
    soak_store_faults,
)
from bench.soak_fault import Fault, NotPossible
from bench.soak_fleet import Fleet
from bench.soak_time_checks import STABLE_WINDOW_S
from lavenderstack.core import clock

SERIES, OVERLAPPING = (1, 4), (6, 14)
# Seconds between the starts of faults that overlap, and after one of a series.
OVERLAP_GAP_S, SERIES_GAP_S = (0.0, 1.0), (0.2, 1.0)
DURATIONS_S = (0.3, 1.0, 2.5, 5.0, 7.0)
CALM_S = STABLE_WINDOW_S + 0.5

FAULTS: tuple[tuple[Fault, int], ...] = (
    *soak_node_faults.FAULTS,
    *soak_store_faults.FAULTS,
    *soak_evacuations.FAULTS,
    *soak_promotion_faults.FAULTS,
)


@dataclass
class Schedule:
    """Injects faults; none that needs a calm span begins after ``until``."""

    fleet: Fleet
    rng: random.Random
    until: float
    _running: set[asyncio.Task] = field(default_factory=set)

    async def run(self) -> None:
        """Inject faults until cancelled."""
        while True:
            await self._stop_in_calm()
            for _ in range(self.rng.randint(*SERIES)):
                await self._inject(self._draw())
                await asyncio.sleep(self.rng.uniform(*SERIES_GAP_S))
            tasks = []
            for _ in range(self.rng.randint(*OVERLAPPING)):
                tasks.append(asyncio.ensure_future(self._inject(self._draw())))
                self._running.add(tasks[-1])
                await asyncio.sleep(self.rng.uniform(*OVERLAP_GAP_S))
            await asyncio.gather(*tasks)
            self._running.clear()
            await asyncio.sleep(CALM_S)

    def _draw(self) -> Fault:
        faults, weights = zip(*FAULTS, strict=True)
        return self.rng.choices(faults, weights)[0]

    async def _stop_in_calm(self) -> None:
        if self.until - clock.now() > CALM_S:
            await self._inject(soak_node_faults.stop)

    async def _inject(self, fault: Fault) -> None:
        duration_s = self.rng.choice(DURATIONS_S) * self.rng.uniform(0.7, 1.3)
        context: AbstractAsyncContextManager = fault(self.fleet, self.rng)
        with suppress(NotPossible):
            async with context:
                await asyncio.sleep(duration_s)

    async def heal(self, run: asyncio.Task) -> None:
        """End the faults that are on, and start the nodes that don't run."""
        run.cancel()
        for task in self._running:
            task.cancel()
        await asyncio.gather(run, *self._running, return_exceptions=True)
        for node in self.fleet.nodes.values():
            if not node.running:
                await self.fleet.start(node)
