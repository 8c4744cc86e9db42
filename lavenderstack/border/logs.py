"""Logs of the programs: one JSON object a line.

A node writes to standard output without waiting and within a budget of lines; the
other programs, which serve nobody, write plainly to standard error.
"""

import asyncio
import logging
import sys
from typing import Any

import structlog

from lavenderstack.border.log_writer import LogWriter
from lavenderstack.core import clock
from lavenderstack.core.events import LineKind
from lavenderstack.core.log_rate_limit import LogRateLimiter

COUNT_EVERY_S = 1.0

log = structlog.get_logger()


class _Budgeted:
    """Leaves a line out before any work is spent on writing it."""

    def __init__(self, budget: LogRateLimiter) -> None:
        self.budget = budget

    def __call__(self, _: Any, __: str, fields: dict) -> dict:
        if not self.budget.admits(fields["event"], clock.now()):
            raise structlog.DropEvent
        return fields


def _configure(level: str, node: str, first: list, factory: Any) -> None:
    structlog.configure(
        processors=[
            *first,
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=factory,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(node=node)


def configure(level: str, node: str) -> None:
    """Set up a plain log on standard error; each line names the node."""
    _configure(level, node, [], structlog.PrintLoggerFactory(sys.stderr))


def configure_rate_limited(
    level: str, node: str, fd: int
) -> tuple[LogRateLimiter, LogWriter]:
    """Set up the log of a node on a file descriptor; return its bounds."""
    budget = LogRateLimiter()
    writer = LogWriter(fd)
    _configure(level, node, [_Budgeted(budget)], lambda *_: writer)
    return budget, writer


async def report_dropped_lines(budget: LogRateLimiter) -> None:
    """Write down each second how many lines were left out, until cancelled."""
    while True:
        await asyncio.sleep(COUNT_EVERY_S)
        counted = budget.take_dropped()
        if counted:
            log.warning(
                "logs: lines dropped",
                belief=counted[LineKind.STATE],
                failure=counted[LineKind.FAILURE],
                retry=counted[LineKind.RETRY],
                success=counted[LineKind.SUCCESS],
            )
