"""Child processes, started, watched and ended by their own id."""

import asyncio
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

START_LIMIT_S = 30.0
STOP_LIMIT_S = 60.0
POLL_S = 0.02
ROOT = Path(__file__).parents[1]


@dataclass
class Process:
    """One child; what it writes goes to the files ``out`` and ``log``."""

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
        """Tell whether the process has not ended."""
        return self.child.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self.running:
            self.child.send_signal(number)

    async def ended(self) -> int:
        """Wait for the end; return the exit status."""
        async with asyncio.timeout(STOP_LIMIT_S):
            return await self.child.wait()

    def _ready(self) -> str | None:
        for line in self.out.read_text().splitlines(keepends=True):
            if line.startswith("ready") and line.endswith("\n"):
                return line.removeprefix("ready").strip()
        return None

    async def ready_line(self) -> str:
        """Return the rest of the line that starts with ``ready``."""
        async with asyncio.timeout(START_LIMIT_S):
            while self.running:
                if (ready := self._ready()) is not None:
                    return ready
                await asyncio.sleep(POLL_S)
        raise RuntimeError(f"{self.name} ended early; see {self.log}")


@asynccontextmanager
async def started(
    name: str, folder: Path, module: str, *args: str
) -> AsyncIterator[Process]:
    """Start ``python -m module args``; it is killed at the end if it still runs.

    The output goes to files rather than to pipes, which would block the child
    when nobody reads them.
    """
    out, log = folder / f"{name}.out", folder / f"{name}.log"
    out.unlink(missing_ok=True)
    with out.open("ab") as output, log.open("ab") as errors:
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *args,
            cwd=ROOT,
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
