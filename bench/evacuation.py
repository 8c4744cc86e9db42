"""How long no write is acknowledged when the zone of a group's primary is evacuated.

Three node processes of the platform path serve two groups; each trial starts them anew.
Sessions at every node write to one group without a pause. The gap is the longest time
between two acknowledgements after the request; what the order itself takes on the
stand-in, up to 0.4 s, is told apart. The last statement is the latest one that reached
a target of the zone, counted from the request.
"""

import asyncio
import itertools
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from bench.measure import Bound, Result
from bench.soak_fleet import Fleet, Node, run_fleet
from bench.soak_time_checks import EVACUATION_LIMIT_S
from lavenderstack.core import clock
from standins.sockets import HOST

GROUP = "g1"
DATABASE = "g1now"
TRIALS = 5
NODES, GROUPS = 3, 2
SESSIONS = 12
# Aim for a planned failover, without the time that an order takes.
MAX_GAP_S = 0.5
RETRY_S = 0.01
BEFORE_S, AFTER_S = 1.0, 3.0
TIMEOUT_S = 20.0


@dataclass
class Writer:
    """Writes through one session at a time of a node."""

    node: Node
    key: str
    acknowledged: list[float] = field(default_factory=list)
    refused: int = 0

    async def run(self, numbers: itertools.count) -> None:
        """Write until cancelled."""
        reader, writer = await asyncio.open_connection(HOST, self.node.callers_port)
        writer.write(f"CONNECT {DATABASE} {self.key}\r\n".encode())
        await reader.readline()
        try:
            while True:
                number = next(numbers)
                writer.write(f"QUERY w{number} WRITE a{number % 50} 1\r\n".encode())
                if (await self._answer(reader)).startswith("DONE"):
                    self.acknowledged.append(clock.now())
                    continue
                self.refused += 1
                await asyncio.sleep(RETRY_S)
        finally:
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader) -> str:
        lines = [""]
        while not lines[-1].startswith("READY"):
            data = await reader.readline()
            if not data:
                raise ConnectionError("the node closed the session")
            lines.append(data.decode())
        return lines[-2]


@dataclass(frozen=True)
class Trial:
    """Times of one evacuation in seconds, and the writes refused meanwhile."""

    gap_s: float
    order_s: float
    last_s: float
    refused: int


async def _evacuate(fleet: Fleet) -> float:
    """Evacuate the zone of the primary; return when, once another one leads."""
    group = fleet.groups[GROUP]
    before = group.leader
    span = fleet.operator.evacuate(group.targets[before].zone)
    deadline = clock.now() + TIMEOUT_S
    while group.leader == before:
        if clock.now() > deadline:
            raise TimeoutError("the primary was not replaced")
        await asyncio.sleep(RETRY_S)
    await asyncio.sleep(AFTER_S)
    return span.acked_at


async def _measure(seed: int) -> Trial:
    with tempfile.TemporaryDirectory() as folder:
        async with run_fleet(Path(folder), seed, NODES, GROUPS) as fleet:
            nodes = itertools.cycle(fleet.nodes.values())
            key = fleet.operator.keys["wide"][0]
            writers = [Writer(next(nodes), key) for _ in range(SESSIONS)]
            numbers = itertools.count()
            tasks = [asyncio.ensure_future(one.run(numbers)) for one in writers]
            await asyncio.sleep(BEFORE_S)
            refused = sum(one.refused for one in writers)
            at = await _evacuate(fleet)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            return _trial(fleet, writers, at, refused)


def _trial(fleet: Fleet, writers: list[Writer], at: float, refused: int) -> Trial:
    group, record = fleet.groups[GROUP], fleet.record
    times = sorted(time for one in writers for time in one.acknowledged)
    gaps = [b - a for a, b in itertools.pairwise(times) if b > at]
    order = next(one for one in record.orders if one.group == GROUP and one.accepted)
    evacuated = {one.zone for one in record.evacuations}
    runs = [run.at for run in group.runs if record.zones[run.target] in evacuated]
    return Trial(
        gap_s=max(gaps),
        order_s=group.promotions[-1].at - order.at,
        last_s=max(runs) - at,
        refused=sum(one.refused for one in writers) - refused,
    )


def run(seed: int) -> Result:
    """Measure the trials; the gap and the last statement have bounds."""
    trials = [asyncio.run(_measure(seed + number)) for number in range(TRIALS)]
    result = Result(
        "Evacuation of the zone of a primary, platform path",
        ["trial", "gap s", "order s", "last statement s", "writes refused"],
    )
    for number, one in enumerate(trials, 1):
        result.rows.append([number, one.gap_s, one.order_s, one.last_s, one.refused])
    result.bounds = [
        Bound("longest gap in seconds", max(t.gap_s for t in trials), MAX_GAP_S),
        Bound(
            "last statement in the zone in seconds",
            max(t.last_s for t in trials),
            EVACUATION_LIMIT_S,
        ),
    ]
    return result
