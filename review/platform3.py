"""A platform that ends processes beyond their memory limit and starts them again."""

import asyncio
import re
from pathlib import Path

from review import world3

LOOK_EVERY_S = 0.05
RESTART_DELAY_S = 0.3


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process that this test has started."""
    try:
        text = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    found = re.search(r"VmRSS:\s+(\d+) kB", text)
    return int(found[1]) / 1024 if found else 0.0


class Platform:
    """Ends processes that exceed their memory, and starts ended ones again."""

    def __init__(self, world: world3.World, limit_mb: float) -> None:
        self._world, self._limit_mb = world, limit_mb
        self.ends: dict[str, int] = dict.fromkeys(world.nodes, 0)
        self.peak_mb: dict[str, float] = dict.fromkeys(world.nodes, 0.0)

    async def run(self) -> None:
        """Look at all processes until cancelled."""
        while True:
            for node in self._world.nodes.values():
                await self._look_at(node)
            await asyncio.sleep(LOOK_EVERY_S)

    async def _look_at(self, node: world3.Node) -> None:
        process = node.process
        used_mb = memory_mb(process.pid) if process.returncode is None else 0.0
        self.peak_mb[node.name] = max(self.peak_mb[node.name], used_mb)
        if process.returncode is None and used_mb <= self._limit_mb:
            return
        if process.returncode is None:
            process.kill()
            await process.wait()
        self.ends[node.name] += 1
        self._world.log.add(
            f"node {node.name} has ended: {used_mb:.0f} MB, at most {self._limit_mb}"
        )
        await asyncio.sleep(RESTART_DELAY_S)
        await self._world.start(node)
