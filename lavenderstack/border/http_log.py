"""Passes the log records of aiohttp's server on as log lines of this process.

By itself aiohttp writes a traceback to standard error for each malformed request, with
the line of the request in it. That line may be a header with a caller's key.
"""

import logging

import structlog
from aiohttp.http_exceptions import HttpProcessingError

log = structlog.get_logger()


class _LogLines(logging.Handler):
    def emit(self, record: logging.LogRecord) -> None:
        """Write a line; of an error in a caller's message only its kind."""
        exc = record.exc_info[1] if record.exc_info else None
        if isinstance(exc, HttpProcessingError):
            log.info("http: message not understood", error=type(exc).__name__)
        else:
            # Without the arguments, which may have texts of the request.
            log.error("http: request failed", what=str(record.msg), exc_info=exc)


def server_logger() -> logging.Logger:
    """Return the logger for one server."""
    logger = logging.Logger(__name__, logging.INFO)
    logger.addHandler(_LogLines())
    return logger
