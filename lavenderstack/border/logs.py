"""Logging set-up: one JSON object per line.

A node logs to standard output without blocking and with a rate limit. The other
programs, which serve no callers, log to standard error directly.
"""

import asyncio
import logging
import sys
from typing import Any

import structlog

from lavenderstack.border.log_writer import LogWriter
from lavenderstack.core import clock
from lavenderstack.core.log.bounded_fields import bounded_fields
from lavenderstack.core.log.events import LineKind
from lavenderstack.core.log.log_rate_limit import LogRateLimiter

DROP_REPORT_INTERVAL_S = 1.0

log = structlog.get_logger()


class _RateLimit:
    """Drops lines over the limit before any work is spent on formatting them."""

    def __init__(self, limiter: LogRateLimiter) -> None:
        self.limiter = limiter

    def __call__(self, _: Any, __: str, fields: dict) -> dict:
        if not self.limiter.admits(fields["event"], clock.now()):
            raise structlog.DropEvent
        return fields


def _bound_fields(_: Any, __: str, fields: dict) -> dict:
    return bounded_fields(fields)


def _configure(level: str, node: str, processors: list, factory: Any) -> None:
    structlog.configure(
        processors=[
            *processors,
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _bound_fields,
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
    """Log to standard error, without a rate limit; each line names the node."""
    _configure(level, node, [], structlog.PrintLoggerFactory(sys.stderr))


def configure_rate_limited(
    level: str, node: str, fd: int
) -> tuple[LogRateLimiter, LogWriter]:
    """Log to a file descriptor with a rate limit; return the limiter and writer."""
    limiter = LogRateLimiter()
    writer = LogWriter(fd)
    _configure(level, node, [_RateLimit(limiter)], lambda *_: writer)
    return limiter, writer


async def report_dropped_lines(limiter: LogRateLimiter) -> None:
    """Log each second how many lines were dropped, until cancelled."""
    while True:
        await asyncio.sleep(DROP_REPORT_INTERVAL_S)
        dropped = limiter.take_dropped()
        if dropped:
            log.warning(
                "logs: lines dropped",
                state=dropped[LineKind.STATE],
                failure=dropped[LineKind.FAILURE],
                retry=dropped[LineKind.RETRY],
                success=dropped[LineKind.SUCCESS],
            )
