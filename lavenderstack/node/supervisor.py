"""Supervises the long-running parts of a process.

Each part is a coroutine function that runs until it is cancelled. A part that raises
is restarted after a delay that doubles with each failure; the other parts keep running.
A part that fails ``MAX_FAILURES`` times in ``FAILURE_WINDOW_S`` seconds ends all parts:
its error is raised from ``run`` in an exception group, so that the process can log the
cause as its last line.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import structlog

from lavenderstack.core import clock

INITIAL_DELAY_S = 0.1
MAX_DELAY_S = 5.0
FAILURE_WINDOW_S = 60.0
MAX_FAILURES = 10

log = structlog.get_logger()


class PartFailed(Exception):
    """A part failed too often to be restarted."""


@dataclass(slots=True)
class Part:
    """A supervised part: its name, its coroutine function and its recent failures.

    ``failures`` are times of the local clock, in seconds.
    """

    name: str
    run: Callable[[], Awaitable[None]]
    failures: list[float] = field(default_factory=list)


def _delay_s(failures: int) -> float:
    max_delay_s = min(MAX_DELAY_S, INITIAL_DELAY_S * 2 ** (failures - 1))
    return max_delay_s * random.uniform(0.5, 1.0)


def _record_failure(part: Part, now: float) -> int:
    part.failures = [at for at in part.failures if now - at < FAILURE_WINDOW_S]
    part.failures.append(now)
    return len(part.failures)


async def _supervise(part: Part) -> None:
    while True:
        try:
            await part.run()
            return
        except Exception as exc:
            count = _record_failure(part, clock.now())
            log.error("supervisor: part failed", part=part.name, exc_info=exc)
            if count >= MAX_FAILURES:
                raise PartFailed(part.name) from exc
            await asyncio.sleep(_delay_s(count))


async def run(parts: list[Part]) -> None:
    """Run the parts until all have returned or one has failed too often.

    Raises an ``ExceptionGroup`` of ``PartFailed``. Cancelling this call cancels
    every part and waits for their clean-up.
    """
    async with asyncio.TaskGroup() as tasks:
        for part in parts:
            tasks.create_task(_supervise(part), name=part.name)
