"""Starts, observes and stops child processes by their process id."""

import asyncio
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

START_LIMIT_S = 30.0
STOP_LIMIT_S = 60.0
POLL_INTERVAL_S = 0.02
ROOT = Path(__file__).parents[1]


@dataclass
class Process:
    """A child process; ``out`` has its standard output, ``log`` its standard error."""

    name: str
    child: asyncio.subprocess.Process
    out: Path
    log: Path

    @property
    def pid(self) -> int:
        """The process id."""
        return self.child.pid

    @property
    def running(self) -> bool:
        """Whether the process has not exited."""
        return self.child.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.running:
            self.child.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process exits; return its exit status."""
        async with asyncio.timeout(STOP_LIMIT_S):
            return await self.child.wait()

    def _find_ready_line(self) -> str | None:
        for line in self.out.read_text().splitlines(keepends=True):
            if line.startswith("ready") and line.endswith("\n"):
                return line.removeprefix("ready").strip()
        return None

    async def ready_line(self) -> str:
        """Wait for the output line that starts with ``ready``; return its remainder.

        Raises ``RuntimeError`` if the process exits first, and ``TimeoutError`` after
        ``START_LIMIT_S``.
        """
        async with asyncio.timeout(START_LIMIT_S):
            while self.running:
                if (ready := self._find_ready_line()) is not None:
                    return ready
                await asyncio.sleep(POLL_INTERVAL_S)
        raise RuntimeError(f"{self.name} exited before it was ready; see {self.log}")


@asynccontextmanager
async def started(
    name: str, folder: Path, module: str, *args: str, root: Path = ROOT
) -> AsyncIterator[Process]:
    """Start ``python -m module args`` in ``root``; it is killed after the block.

    The output goes to files, because a full pipe that is not read would block the
    child.
    """
    out, log = folder / f"{name}.out", folder / f"{name}.log"
    out.unlink(missing_ok=True)
    with out.open("ab") as output, log.open("ab") as errors:
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *args,
            cwd=root,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=output,
            stderr=errors,
        )
    try:
        yield Process(name, child, out, log)
    finally:
        with suppress(ProcessLookupError):
            child.kill()
        await child.wait()
