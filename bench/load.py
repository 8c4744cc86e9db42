"""Sends statements to one node from a process of its own, bounded in count and time.

Usage:
  bench.load --port=P --group=G [--connections=N] [--rate=R] [--seconds=S]
             [--writes=SHARE] [--idle=N] [--keys=N]

Options:
  --port=P         The node's port for callers on loopback.
  --group=G        The database group.
  --connections=N  How many callers ask at once [default: 64].
  --rate=R         Requests/s offered in all; 0 asks as fast as answers come
                   [default: 0].
  --seconds=S      How long to send [default: 5].
  --writes=SHARE   Share of writes among the requests [default: 0.1].
  --idle=N         Further connections that are held open [default: 0].
  --keys=N         How many different rows are touched [default: 1000].

The caller's key comes in the environment variable LAVENDERSTACK_KEY. A line of JSON
with counts and latencies in milliseconds is printed at the end.
"""

import asyncio
import json
import os
import random
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import asdict, dataclass, field

import aiohttp
import uvloop
from docopt import docopt
from hdrh.histogram import HdrHistogram

from lavenderstack.core import clock

HIGHEST_US = 60_000_000
MOST_SECONDS = 120.0
MOST_REQUESTS = 2_000_000
OPENING_AT_ONCE = 200


@dataclass
class Load:
    """What to send; ``rate`` in requests/s, 0 for as fast as answers come."""

    port: int
    group: str
    connections: int
    rate: float
    seconds: float
    writes: float
    keys: int
    token: str = field(repr=False)

    @property
    def url(self) -> str:
        """Where statements are sent."""
        return f"http://127.0.0.1:{self.port}/v1/groups/{self.group}/statements"


@dataclass
class Result:
    """What came back; latencies in milliseconds."""

    requests: int
    seconds: float
    per_second: float
    outcomes: dict[str, int]
    p50_ms: float
    p99_ms: float
    p999_ms: float


class Sender:
    """Sends a load and counts what comes back."""

    def __init__(self, load: Load, http: aiohttp.ClientSession) -> None:
        self.load = load
        self.http = http
        self.histogram = HdrHistogram(1, HIGHEST_US, 3)
        self.outcomes: Counter[str] = Counter()
        self.sent = 0
        self._random = random.Random(7)

    def _body(self) -> dict:
        key = self._random.randrange(self.load.keys)
        if self._random.random() < self.load.writes:
            return {"statement": "put", "args": ["t", key, "x" * 32], "write": True}
        return {"statement": "get", "args": ["t", key]}

    async def _ask(self, due: float) -> None:
        """Send one request; its latency counts from when it was due."""
        self.sent += 1
        async with self.http.post(self.load.url, json=self._body()) as resp:
            answer = await resp.json()
        self.histogram.record_value(max(1, int((clock.now() - due) * 1e6)))
        reason = answer.get("reason", "")
        self.outcomes[f"{answer['outcome']}.{reason}".rstrip(".")] += 1

    async def _closed(self, until: float) -> None:
        while clock.now() < until and self.sent < MOST_REQUESTS:
            await self._ask(clock.now())

    async def _open(self, number: int, start: float, until: float) -> None:
        gap_s = self.load.connections / self.load.rate
        due = start + gap_s * number / self.load.connections
        while due < until and self.sent < MOST_REQUESTS:
            await asyncio.sleep(max(0.0, due - clock.now()))
            await self._ask(due)
            due += gap_s

    async def run(self) -> Result:
        """Send the load and return what came back."""
        start = clock.now()
        until = start + min(self.load.seconds, MOST_SECONDS)
        async with asyncio.TaskGroup() as tasks:
            for number in range(self.load.connections):
                if self.load.rate:
                    tasks.create_task(self._open(number, start, until))
                else:
                    tasks.create_task(self._closed(until))
        elapsed_s = clock.now() - start
        count = self.histogram.get_total_count()

        def at(percentile: float) -> float:
            return self.histogram.get_value_at_percentile(percentile) / 1000

        return Result(
            requests=count,
            seconds=round(elapsed_s, 2),
            per_second=round(count / elapsed_s, 1),
            outcomes=dict(self.outcomes),
            p50_ms=at(50),
            p99_ms=at(99),
            p999_ms=at(99.9),
        )


async def _held(port: int) -> asyncio.StreamWriter:
    """Open a connection that has sent one request and stays open."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /v1/alive HTTP/1.1\r\nHost: node\r\n\r\n")
    await reader.readuntil(b"alive\n")
    return writer


async def _hold_idle(stack: AsyncExitStack, port: int, count: int) -> None:
    for first in range(0, count, OPENING_AT_ONCE):
        some = range(first, min(count, first + OPENING_AT_ONCE))
        for writer in await asyncio.gather(*(_held(port) for _ in some)):
            stack.callback(writer.close)


async def _main(args: dict) -> None:
    load = Load(
        port=int(args["--port"]),
        group=args["--group"],
        connections=int(args["--connections"]),
        rate=float(args["--rate"]),
        seconds=float(args["--seconds"]),
        writes=float(args["--writes"]),
        keys=int(args["--keys"]),
        token=os.environ["LAVENDERSTACK_KEY"],
    )
    headers = {"Authorization": f"Bearer {load.token}"}
    async with AsyncExitStack() as stack:
        await _hold_idle(stack, load.port, int(args["--idle"]))
        print("ready", flush=True)
        connector = aiohttp.TCPConnector(limit=0)
        http = aiohttp.ClientSession(connector=connector, headers=headers)
        await stack.enter_async_context(http)
        result = await Sender(load, http).run()
        print(json.dumps(asdict(result)), flush=True)


if __name__ == "__main__":
    uvloop.run(_main(docopt(__doc__)))
