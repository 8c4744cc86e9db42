"""Limits and waiting for the planned stop of a node.

The load balancer keeps sending requests for some seconds after a node has become
unready, so the node keeps serving during that time and closes each connection with an
answer. Then it waits for running requests, up to a limit.
"""

import asyncio
from collections.abc import Callable

import structlog

from lavenderstack.core import clock

UNREADY_NOTICE_S = 3.0
RUNNING_LIMIT_S = 35.0
POLL_S = 0.05

log = structlog.get_logger()


async def wait_idle(running: Callable[[], int], limit_s: float) -> bool:
    """Wait until ``running()`` is 0; return False if that took ``limit_s`` seconds."""
    until = clock.now() + limit_s
    while running():
        if clock.now() >= until:
            return False
        await asyncio.sleep(POLL_S)
    return True
