"""How long no write is acknowledged when a group's primary is lost.

A service of the size ``STUDIO_SIZE`` runs as processes on this machine. Callers write
to nodes outside the primary's availability zone: a write every 10 ms, with a deadline
of half a second each. The gap is the longest time between two acknowledgements in the
order of their arrival. Every trial starts a new service.

A planned switch, in which the primary's VM is marked as leaving, is measured in the
same way.
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
TRIALS = 3
MAX_GAP_S = 3.0
WRITE_INTERVAL_S = 0.01
DEADLINE_S = 0.5
# How long callers write before and after the loss.
WRITES_BEFORE_S = 1.0
WRITES_AFTER_S = 8.0


@dataclass
class Gaps:
    """The gap in writes in each trial of ``loss``, and counts of writes by outcome."""

    loss: str
    gaps_s: list[float] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)


class Writer:
    """Writes to the given nodes in turn and records when writes are acknowledged."""

    def __init__(self, cluster: Cluster, nodes: list[str]) -> None:
        self.began_at = clock.now()
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
        """Write at a fixed rate for ``seconds``, independent of the latency."""
        self.began_at = clock.now()
        async with asyncio.TaskGroup() as tasks:
            for number in range(int(seconds / WRITE_INTERVAL_S)):
                tasks.create_task(self._write(number))
                await asyncio.sleep(WRITE_INTERVAL_S)

    def longest_gap_s(self) -> float:
        """Return the longest time without an acknowledgement until now, in seconds.

        Counted from the first write, also if none was acknowledged.
        """
        times = [self.began_at, *self.acknowledged, clock.now()]
        return max(later - earlier for earlier, later in itertools.pairwise(times))


async def _kill(cluster: Cluster, primary: str, zone: str) -> None:
    cluster.kill(primary)


async def _pause(cluster: Cluster, primary: str, zone: str) -> None:
    cluster.pause(primary)


async def _isolate(cluster: Cluster, primary: str, zone: str) -> None:
    cluster.isolate(zone)


async def _mark_leaving(cluster: Cluster, primary: str, zone: str) -> None:
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
    "primary leaving": _mark_leaving,
}


async def _measure_gap(loss: str, gaps: Gaps) -> None:
    with tempfile.TemporaryDirectory() as folder:
        async with running(STUDIO_SIZE, Path(folder)) as cluster:
            primary = await cluster.primary(GROUP)
            zone = next(z for name, _, z in STUDIO_SIZE.targets() if name == primary)
            nodes = [
                name for name, node_zone in STUDIO_SIZE.nodes() if node_zone != zone
            ]
            writer = Writer(cluster, nodes)
            writer_task = asyncio.create_task(
                writer.run(WRITES_BEFORE_S + WRITES_AFTER_S)
            )
            await asyncio.sleep(WRITES_BEFORE_S)
            await LOSSES[loss](cluster, primary, zone)
            await writer_task
            gaps.gaps_s.append(round(writer.longest_gap_s(), 2))
            gaps.outcomes = dict(Counter(gaps.outcomes) + writer.outcomes)


def run(seed: int) -> Result:
    """Measure each loss several times; nothing is random, so the seed has no effect."""
    result = Result("gap in writes", ["loss", "gaps (s)", "outcomes"])
    for loss in LOSSES:
        gaps = Gaps(loss)
        for _ in range(TRIALS):
            asyncio.run(_measure_gap(loss, gaps))
        listed = ", ".join(str(gap) for gap in gaps.gaps_s)
        counts = ", ".join(f"{name} {n}" for name, n in gaps.outcomes.items())
        result.rows.append([loss, listed, counts])
        result.bounds.append(
            Bound(f"longest gap, {loss} (s)", max(gaps.gaps_s), MAX_GAP_S)
        )
    return result
