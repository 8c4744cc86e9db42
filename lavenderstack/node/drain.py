"""The planned stop of a node: it takes nothing new and ends what runs.

The balancer goes on sending for some seconds after a node has turned unready, so
the node goes on serving meanwhile and closes each connection with an answer. Then
it waits for what still runs, with a bound.
"""

import asyncio
from collections.abc import Callable

import structlog

from lavenderstack.core import clock

NOTICE_S = 3.0
RUNNING_LIMIT_S = 35.0
POLL_S = 0.05

log = structlog.get_logger()


async def wait_idle(running: Callable[[], int], limit_s: float) -> bool:
    """Wait until nothing runs any more; False if the limit came first."""
    until = clock.now() + limit_s
    while running():
        if clock.now() >= until:
            return False
        await asyncio.sleep(POLL_S)
    return True
