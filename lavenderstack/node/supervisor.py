"""A tree of supervised parts.

Each part is a coroutine function that runs until it is cancelled. A part that
raises is started again after a delay that doubles, without touching its siblings.
A part that keeps failing ends the whole tree: its error is raised from ``run`` in
an exception group, so that the process can stop with a clear last line.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import structlog

from lavenderstack.core import clock

FIRST_DELAY_S = 0.1
LONGEST_DELAY_S = 5.0
FAILURE_WINDOW_S = 60.0
MOST_FAILURES = 10

log = structlog.get_logger()


class PartFailed(Exception):
    """A part failed too often to be started again."""


@dataclass(slots=True)
class Part:
    """One supervised part: its name, how to run it, and when it failed lately."""

    name: str
    run: Callable[[], Awaitable[None]]
    failures: list[float] = field(default_factory=list)


def _delay_s(failures: int) -> float:
    longest = min(LONGEST_DELAY_S, FIRST_DELAY_S * 2 ** (failures - 1))
    return longest * random.uniform(0.5, 1.0)


def _note_failure(part: Part, now: float) -> int:
    part.failures = [at for at in part.failures if now - at < FAILURE_WINDOW_S]
    part.failures.append(now)
    return len(part.failures)


async def _supervise(part: Part) -> None:
    while True:
        try:
            await part.run()
            return
        except Exception as exc:
            count = _note_failure(part, clock.now())
            log.error("supervisor: part failed", part=part.name, exc_info=exc)
            if count >= MOST_FAILURES:
                raise PartFailed(part.name) from exc
            await asyncio.sleep(_delay_s(count))


async def run(parts: list[Part]) -> None:
    """Run the parts until all have returned or one has failed too often.

    Raises an ``ExceptionGroup`` of ``PartFailed``. Cancelling this call cancels
    every part and waits for its clean-up.
    """
    async with asyncio.TaskGroup() as tasks:
        for part in parts:
            tasks.create_task(_supervise(part), name=part.name)
