"""Demonstrates a small service on loopback that a caller with an API key uses.

Run as ``python -m standins.demo``; it takes about half a minute and prints one line
for each step. It stops every process that it started, and exits with status 1 if a
step has an unexpected result.
"""

import asyncio
import signal
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from standins.caller import Caller, Reply, http_session
from standins.cluster import Cluster, eventually, running
from standins.seeds import Entries
from standins.sizes import DEMO_SIZE

GROUP = "studio"
SMALL_ORGANISATION = "south"
READ_COUNT = 12


class UnexpectedReply(Exception):
    """A step had another result than expected."""


@dataclass
class DemoSession:
    """A running service and a caller of the organisation ``north``."""

    cluster: Cluster
    caller: Caller

    def port(self, node: str) -> int:
        """Return the port on which a node serves callers."""
        return self.cluster.nodes[node].callers_port

    async def book(self, node: str, bay: str, truck: str) -> Reply:
        """Book a bay; the statement is not idempotent, so it is not retried."""
        return await self.caller.run(
            self.port(node),
            GROUP,
            "insert",
            "bay",
            bay,
            truck,
            write=True,
            idempotent=False,
        )

    async def read(self, node: str, bay: str, **options) -> Reply:
        """Return who has booked a bay."""
        port = self.port(node)
        return await self.caller.run(port, GROUP, "get", "bay", bay, **options)


def print_line(text: str) -> None:
    """Print a line and flush the output."""
    print(text, flush=True)


def expect(condition: bool, reply: Reply) -> None:
    """Raise ``UnexpectedReply`` unless ``condition`` is true."""
    if not condition:
        raise UnexpectedReply(repr(reply))


def _small_plan(seed: Entries) -> None:
    seed["lavenderstack/bought"][SMALL_ORGANISATION] = "small"


async def _book_and_read(session: DemoSession) -> None:
    reply = await eventually(
        lambda: _reply_if_done(session.book("n1", "bay-1", "truck 7"))
    )
    print_line(f"booked bay-1 for truck 7 through n1: {reply.outcome}")
    reply = await session.read("n2", "bay-1")
    expect(reply.result == "truck 7", reply)
    print_line(f"the session reads its own booking through n2: {reply.result}")
    reply = await session.book("n3", "bay-1", "truck 8")
    expect(reply.reason == "statement_failed", reply)
    print_line(f"the same bay again through n3: {reply.outcome}, {reply.detail}")


async def _reply_if_done(call) -> Reply | None:
    reply = await call
    return reply if reply.outcome == "done" else None


async def _read_on_a_replica(session: DemoSession) -> None:
    async def from_replica() -> Reply | None:
        reply = await session.read("n3", "bay-1", max_age_s=10.0)
        return reply if reply.replica else None

    reply = await eventually(from_replica)
    expect(reply.result == "truck 7", reply)
    print_line(f"a read that may be 10 s old, on a replica: {reply.result}")


async def _exceed_plan_rate(session: DemoSession) -> None:
    caller = Caller(session.caller.http, session.cluster.keys[SMALL_ORGANISATION])
    nodes = list(session.cluster.nodes)
    replies = []
    for i in range(READ_COUNT):
        port = session.port(nodes[i % len(nodes)])
        replies.append(await caller.run(port, GROUP, "get", "bay", "bay-1"))
    done = sum(reply.outcome == "done" for reply in replies)
    refused = [reply for reply in replies if reply.reason == "over_rate"]
    expect(bool(refused) and done + len(refused) == READ_COUNT, replies[-1])
    print_line(
        f"{READ_COUNT} reads over four nodes on a plan of 2/s with a burst of 5: "
        f"{done} done, {len(refused)} refused, "
        f"the last may be retried after {refused[-1].retry_after_s} s"
    )


async def _use_unknown_key(session: DemoSession) -> None:
    caller = Caller(session.caller.http, "not a key of anyone")
    reply = await caller.run(session.port("n1"), GROUP, "get", "bay", "bay-1")
    expect(reply.reason == "key_refused", reply)
    print_line(f"a key that was never granted: {reply.outcome}, {reply.reason}")


async def _lose_the_primary(session: DemoSession) -> None:
    cluster = session.cluster
    old = await cluster.primary(GROUP)
    cluster.kill(old)
    print_line(f"killed the primary of {GROUP}, {old}")
    attempts = 0

    async def booked() -> Reply | None:
        nonlocal attempts
        attempts += 1
        return await _reply_if_done(
            session.book("n1", f"bay-{attempts + 1}", "truck 9")
        )

    await eventually(booked)
    new = await cluster.primary(GROUP)
    print_line(f"booked a bay on the new primary, {new}, at attempt {attempts}")
    reply = await session.read("n4", "bay-1", fresh=True)
    expect(reply.result == "truck 7", reply)
    print_line(f"the earlier booking is still there, read through n4: {reply.result}")


async def _stop_node(session: DemoSession) -> None:
    process = session.cluster.processes["n4"]
    process.signal(signal.SIGTERM)
    status = await process.wait()
    if status:
        raise UnexpectedReply(f"n4 exited with {status}")
    print_line(f"stopped n4 as planned: exit status {status}")


async def _run_demo(folder: Path) -> None:
    print_line("starting a platform, two database groups in three zones and four nodes")
    async with (
        running(DEMO_SIZE, folder, _small_plan) as cluster,
        http_session() as http,
    ):
        primary = await cluster.primary(GROUP)
        print_line(f"four nodes are ready; the primary of {GROUP} is {primary}")
        session = DemoSession(cluster, Caller(http, cluster.keys["north"]))
        await _book_and_read(session)
        await _read_on_a_replica(session)
        await _use_unknown_key(session)
        await _exceed_plan_rate(session)
        await _lose_the_primary(session)
        await _stop_node(session)
    print_line("stopped every process that was started")


async def _run_until_signal(folder: Path) -> None:
    """Run the demonstration; SIGTERM cancels it and stops its processes."""
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    await _run_demo(folder)


def main() -> int:
    """Run the demonstration; return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            asyncio.run(_run_until_signal(Path(folder)))
        except (UnexpectedReply, TimeoutError, asyncio.CancelledError) as exc:
            print(f"not as expected: {exc!r}", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
