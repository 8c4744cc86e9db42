"""How long no write is acknowledged when a group's primary is lost.

A small Lipa runs as processes on this machine. Callers write to nodes outside of the
primary's availability zone, one write each 10 ms, each with half a second to be
answered. The gap is the longest time between two acknowledgements, in the order in
which they came. Each loss is tried on services of its own.

A planned switch is tried the same way.
"""

import asyncio
import itertools
import json
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from bench.measure import Bound, Result
from lavenderstack.border import store
from lavenderstack.core import clock
from standins.cluster import PLATFORM, Cluster, running
from standins.seeds import HOST
from standins.sizes import STUDIO_SIZE

GROUP = "studio"
ROUNDS = 3
AIM_S = 3.0
WRITE_INTERVAL_S = 0.01
DEADLINE_S = 0.5
BEFORE_S = 1.0
AFTER_S = 8.0


@dataclass
class Gaps:
    """The gaps in writes, in seconds, and how many writes ended which way."""

    loss: str
    gaps_s: list[float] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)


class Writer:
    """Writes to some nodes in turn and notes when it was acknowledged."""

    def __init__(self, cluster: Cluster, nodes: list[str]) -> None:
        self.acknowledged: list[float] = []
        self.outcomes: Counter[str] = Counter()
        self._http = cluster.http
        ports = [cluster.nodes[name].callers_port for name in nodes]
        self._urls = itertools.cycle(
            f"http://{HOST}:{port}/v1/groups/{GROUP}/statements" for port in ports
        )
        self._headers = {"Authorization": f"Bearer {cluster.keys['north']}"}

    async def _write(self, number: int) -> None:
        body = {
            "statement": "put",
            "args": ["t", number % 50, number],
            "write": True,
            "deadline_s": DEADLINE_S,
        }
        url = next(self._urls)
        try:
            async with self._http.post(url, json=body, headers=self._headers) as resp:
                answer = await resp.json()
        except aiohttp.ClientError as exc:
            self.outcomes[type(exc).__name__] += 1
            return
        reason = answer.get("reason", "")
        self.outcomes[f"{answer['outcome']}.{reason}".rstrip(".")] += 1
        if answer["outcome"] == "done":
            self.acknowledged.append(clock.now())

    async def run(self, seconds: float) -> None:
        """Write for some seconds, however long answers take."""
        async with asyncio.TaskGroup() as tasks:
            for number in range(int(seconds / WRITE_INTERVAL_S)):
                tasks.create_task(self._write(number))
                await asyncio.sleep(WRITE_INTERVAL_S)

    def longest_gap(self) -> float:
        """Return the longest time without an acknowledgement, in seconds."""
        times = [*self.acknowledged, clock.now()]
        return max(later - earlier for earlier, later in itertools.pairwise(times))


async def _kill(cluster: Cluster, primary: str, zone: str) -> None:
    cluster.kill(primary)


async def _pause(cluster: Cluster, primary: str, zone: str) -> None:
    cluster.pause(primary)


async def _isolate(cluster: Cluster, primary: str, zone: str) -> None:
    cluster.isolate(zone)


async def _leave(cluster: Cluster, primary: str, zone: str) -> None:
    key = f"platform/vms/{primary}"
    port = cluster.network.links[PLATFORM].port
    async with store.open_store([f"http://{HOST}:{port}"]) as platform:
        entry = await platform.get(key)
        vm = json.loads(entry.value) | {"state": "leaving"}
        await platform.swap(key, json.dumps(vm).encode(), entry.revision)


LOSSES: dict[str, Callable[[Cluster, str, str], Awaitable[None]]] = {
    "primary killed": _kill,
    "primary paused": _pause,
    "zone of the primary cut off": _isolate,
    "primary leaving": _leave,
}


async def _gap(loss: str, gaps: Gaps) -> None:
    with tempfile.TemporaryDirectory() as folder:
        async with running(STUDIO_SIZE, Path(folder)) as cluster:
            primary = await cluster.primary(GROUP)
            zone = next(z for name, _, z in STUDIO_SIZE.targets() if name == primary)
            nodes = [name for name, its_zone in STUDIO_SIZE.nodes() if its_zone != zone]
            writer = Writer(cluster, nodes)
            writing = asyncio.create_task(writer.run(BEFORE_S + AFTER_S))
            await asyncio.sleep(BEFORE_S)
            await LOSSES[loss](cluster, primary, zone)
            await writing
            gaps.gaps_s.append(round(writer.longest_gap(), 2))
            gaps.outcomes = dict(Counter(gaps.outcomes) + writer.outcomes)


def run(seed: int) -> Result:
    """Try each loss some times; nothing here is random, so the seed has no effect."""
    result = Result("gap in writes", ["loss", "gaps (s)", "outcomes"])
    for loss in LOSSES:
        gaps = Gaps(loss)
        for _ in range(ROUNDS):
            asyncio.run(_gap(loss, gaps))
        listed = ", ".join(str(gap) for gap in gaps.gaps_s)
        counts = ", ".join(f"{name} {n}" for name, n in gaps.outcomes.items())
        result.rows.append([loss, listed, counts])
        result.bounds.append(Bound(f"longest gap, {loss} (s)", max(gaps.gaps_s), AIM_S))
    return result
