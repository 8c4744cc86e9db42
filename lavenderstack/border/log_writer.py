"""Writes log lines to a file descriptor without blocking.

Lines are collected and written in batches. Data that the descriptor does not accept
immediately is buffered up to a limit; beyond it the oldest lines are dropped and
counted. A line that was written in part is completed, since another one would
otherwise continue it.
"""

import asyncio
import os
from collections import deque

FLUSH_DELAY_S = 0.02  # lines logged within this time are written together
RETRY_DELAY_S = 0.1  # delay after the descriptor did not accept all data
MAX_BUFFERED_B = 256 * 1024


class LogWriter:
    """A structlog logger for one file descriptor, which it makes non-blocking."""

    def __init__(self, fd: int) -> None:
        os.set_blocking(fd, False)
        self.dropped = 0
        self._fd = fd
        self._lines: deque[bytes] = deque()
        self._buffered_b = 0
        self._has_begun_line = False  # the first line has only its rest buffered
        self._timer: asyncio.TimerHandle | None = None

    def msg(self, line: str) -> None:
        """Buffer one line for writing; drops the oldest lines if the buffer is full."""
        data = line.encode() + b"\n"
        self._lines.append(data)
        self._buffered_b += len(data)
        oldest = 1 if self._has_begun_line else 0
        while self._buffered_b > MAX_BUFFERED_B and len(self._lines) > oldest + 1:
            self._buffered_b -= len(self._lines[oldest])
            del self._lines[oldest]
            self.dropped += 1
        if self._timer is None:
            self._schedule_flush(FLUSH_DELAY_S)

    log = debug = info = warning = error = critical = exception = msg

    def _schedule_flush(self, delay_s: float) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._timer = loop.call_later(delay_s, self._flush_on_timer)

    def _flush_on_timer(self) -> None:
        self._timer = None
        if not self.flush():
            self._schedule_flush(RETRY_DELAY_S)

    def flush(self) -> bool:
        """Write the buffered lines; return False if some of the data remains."""
        while self._lines:
            data = b"".join(self._lines)
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                return False
            except OSError:
                # The reading end is closed, which must not stop the service.
                self.dropped += len(self._lines)
                self._lines.clear()
                self._buffered_b = 0
                self._has_begun_line = False
                return True
            self._remove_written(written)
        return True

    def _remove_written(self, written_b: int) -> None:
        """Remove what was written from the buffer, which keeps its lines apart."""
        self._buffered_b -= written_b
        while written_b and written_b >= len(self._lines[0]):
            written_b -= len(self._lines.popleft())
        self._has_begun_line = written_b > 0
        if written_b:
            self._lines[0] = self._lines[0][written_b:]
