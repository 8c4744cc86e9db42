"""Child processes, started, watched and ended by their own id."""

import asyncio
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

START_LIMIT_S = 30.0
STOP_LIMIT_S = 30.0
ROOT = Path(__file__).parents[1]


@dataclass
class Process:
    """One child; ``log`` is the file with what it wrote to standard error."""

    name: str
    child: asyncio.subprocess.Process
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

    async def ready_line(self) -> str:
        """Return the rest of the line that starts with ``ready``."""
        async with asyncio.timeout(START_LIMIT_S):
            while line := await self.child.stdout.readline():
                text = line.decode().strip()
                if text.startswith("ready"):
                    return text.removeprefix("ready").strip()
        raise RuntimeError(f"{self.name} ended early; see {self.log}")


@asynccontextmanager
async def started(
    name: str, folder: Path, module: str, *args: str
) -> AsyncIterator[Process]:
    """Start ``python -m module args``; it is killed at the end if it still runs."""
    log = folder / f"{name}.log"
    with log.open("ab") as err:
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *args,
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=err,
        )
    try:
        yield Process(name, child, log)
    finally:
        with suppress(ProcessLookupError):
            child.kill()
        await child.wait()
