"""The faults of a soak, drawn from a seed: in series, overlapping, and calm spans."""

import asyncio
import random
from dataclasses import dataclass

from bench.soak_fleet import Fleet


@dataclass
class Schedule:
    """Draws faults until the time ``until``."""

    fleet: Fleet
    rng: random.Random
    until: float

    async def run(self) -> None:
        """Inject faults until cancelled."""
        await asyncio.Event().wait()

    async def heal(self) -> None:
        """End all faults and start what does not run."""
