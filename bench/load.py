"""Send statements to one node from a separate process, limited in number and time.

Usage:
  bench.load --port=P --group=G [--connections=N] [--rate=R] [--seconds=S]
             [--writes=SHARE] [--idle=N] [--keys=N]

Options:
  --port=P         The node's port for callers on loopback.
  --group=G        The database group.
  --connections=N  Number of concurrent callers [default: 64].
  --rate=R         Requests/s of all callers together; 0 sends each request
                   when the previous one is answered [default: 0].
  --seconds=S      Duration of the load [default: 5].
  --writes=SHARE   Share of writes among the requests [default: 0.1].
  --idle=N         Number of additional idle connections [default: 0].
  --keys=N         Number of different rows [default: 1000].

The caller's key is read from the environment variable LAVENDERSTACK_KEY. The command
prints ``ready`` when the idle connections are open, and at the end a line of JSON with
counts and latencies in milliseconds.
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

MAX_LATENCY_US = 60_000_000
MAX_DURATION_S = 120.0
MAX_REQUESTS = 2_000_000
CONNECT_BATCH = 200


@dataclass
class Load:
    """The load to send.

    ``rate`` is in requests/s of all connections; with 0 each connection sends a request
    when the previous one is answered. ``writes`` is the fraction of writes.
    """

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
        """The URL that statements are sent to."""
        return f"http://127.0.0.1:{self.port}/v1/groups/{self.group}/statements"


@dataclass
class Result:
    """The answers by outcome, and their latencies in milliseconds."""

    requests: int
    seconds: float
    per_second: float
    outcomes: dict[str, int]
    p50_ms: float
    p99_ms: float
    p999_ms: float


class Sender:
    """Sends a load; counts the answers and records their latencies."""

    def __init__(self, load: Load, http: aiohttp.ClientSession) -> None:
        self.load = load
        self.http = http
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.outcomes: Counter[str] = Counter()
        self.sent = 0
        self._random = random.Random(7)

    def _body(self) -> dict:
        key = self._random.randrange(self.load.keys)
        if self._random.random() < self.load.writes:
            return {"statement": "put", "args": ["t", key, "x" * 32], "write": True}
        return {"statement": "get", "args": ["t", key]}

    async def _send(self, due: float) -> None:
        """Send one request; its latency counts from the time at which it was due."""
        self.sent += 1
        async with self.http.post(self.load.url, json=self._body()) as resp:
            answer = await resp.json()
        self.histogram.record_value(max(1, int((clock.now() - due) * 1e6)))
        reason = answer.get("reason", "")
        self.outcomes[f"{answer['outcome']}.{reason}".rstrip(".")] += 1

    async def _run_closed_loop(self, until: float) -> None:
        while clock.now() < until and self.sent < MAX_REQUESTS:
            await self._send(clock.now())

    async def _run_open_loop(self, number: int, start: float, until: float) -> None:
        interval_s = self.load.connections / self.load.rate
        due = start + interval_s * number / self.load.connections
        while due < until and self.sent < MAX_REQUESTS:
            await asyncio.sleep(max(0.0, due - clock.now()))
            await self._send(due)
            due += interval_s

    async def run(self) -> Result:
        """Send the load; return the answers' counts and latencies."""
        start = clock.now()
        until = start + min(self.load.seconds, MAX_DURATION_S)
        async with asyncio.TaskGroup() as tasks:
            for number in range(self.load.connections):
                if self.load.rate:
                    tasks.create_task(self._run_open_loop(number, start, until))
                else:
                    tasks.create_task(self._run_closed_loop(until))
        elapsed_s = clock.now() - start
        count = self.histogram.get_total_count()

        def percentile_ms(percentile: float) -> float:
            return self.histogram.get_value_at_percentile(percentile) / 1000

        return Result(
            requests=count,
            seconds=round(elapsed_s, 2),
            per_second=round(count / elapsed_s, 1),
            outcomes=dict(self.outcomes),
            p50_ms=percentile_ms(50),
            p99_ms=percentile_ms(99),
            p999_ms=percentile_ms(99.9),
        )


async def _open_idle(port: int) -> asyncio.StreamWriter:
    """Open a connection, send one request on it and leave it open."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /v1/alive HTTP/1.1\r\nHost: node\r\n\r\n")
    await reader.readuntil(b"alive\n")
    return writer


async def _open_idle_connections(stack: AsyncExitStack, port: int, count: int) -> None:
    for first in range(0, count, CONNECT_BATCH):
        batch = range(first, min(count, first + CONNECT_BATCH))
        for writer in await asyncio.gather(*(_open_idle(port) for _ in batch)):
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
        await _open_idle_connections(stack, load.port, int(args["--idle"]))
        print("ready", flush=True)
        connector = aiohttp.TCPConnector(limit=0)
        http = aiohttp.ClientSession(connector=connector, headers=headers)
        await stack.enter_async_context(http)
        result = await Sender(load, http).run()
        print(json.dumps(asdict(result)), flush=True)


if __name__ == "__main__":
    uvloop.run(_main(docopt(__doc__)))
