"""The first session: a small service on loopback and a caller with a key.

Run as ``python -m standins.demo``; it takes about half a minute, prints what happens
line by line, ends everything that it started and exits with 1 if something did not
turn out as said.
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
from standins.sizes import FIRST_SESSION

GROUP = "studio"
SMALL = "south"
LOOKUPS = 12


class Unexpected(Exception):
    """A step did not turn out as it should."""


@dataclass
class Session:
    """The service and a caller of the organisation ``north``."""

    cluster: Cluster
    caller: Caller

    def port(self, node: str) -> int:
        """Return the callers' port of a node."""
        return self.cluster.nodes[node].callers_port

    async def book(self, node: str, bay: str, who: str) -> Reply:
        """Book a bay, once."""
        return await self.caller.run(
            self.port(node),
            GROUP,
            "insert",
            "bay",
            bay,
            who,
            write=True,
            idempotent=False,
        )

    async def read(self, node: str, bay: str, **options) -> Reply:
        """Read who has a bay."""
        port = self.port(node)
        return await self.caller.run(port, GROUP, "get", "bay", bay, **options)


def say(text: str) -> None:
    """Print a line at once."""
    print(text, flush=True)


def expect(right: bool, reply: Reply) -> None:
    """Raise ``Unexpected`` unless the reply is right."""
    if not right:
        raise Unexpected(repr(reply))


def _small_plan(seed: Entries) -> None:
    seed["lavenderstack/bought"][SMALL] = "small"


async def _book_and_read(session: Session) -> None:
    reply = await eventually(lambda: _done(session.book("n1", "bay-1", "truck 7")))
    say(f"booked bay-1 for truck 7 through n1: {reply.outcome}")
    reply = await session.read("n2", "bay-1")
    expect(reply.result == "truck 7", reply)
    say(f"the session reads its own booking through n2: {reply.result}")
    reply = await session.book("n3", "bay-1", "truck 8")
    expect(reply.reason == "statement_failed", reply)
    say(f"the same bay again through n3: {reply.outcome}, {reply.detail}")


async def _done(asking) -> Reply | None:
    reply = await asking
    return reply if reply.outcome == "done" else None


async def _read_on_a_replica(session: Session) -> None:
    async def from_replica() -> Reply | None:
        reply = await session.read("n3", "bay-1", max_age_s=10.0)
        return reply if reply.replica else None

    reply = await eventually(from_replica)
    expect(reply.result == "truck 7", reply)
    say(f"a look-up that may be 10 s old, on a replica: {reply.result}")


async def _beyond_the_plan(session: Session) -> None:
    caller = Caller(session.caller.http, session.cluster.keys[SMALL])
    nodes = list(session.cluster.nodes)
    replies = []
    for i in range(LOOKUPS):
        port = session.port(nodes[i % len(nodes)])
        replies.append(await caller.run(port, GROUP, "get", "bay", "bay-1"))
    done = sum(reply.outcome == "done" for reply in replies)
    refused = [reply for reply in replies if reply.reason == "over_rate"]
    expect(bool(refused) and done + len(refused) == LOOKUPS, replies[-1])
    say(
        f"{LOOKUPS} look-ups over four nodes on a plan of 2/s and 5 at once: "
        f"{done} done, {len(refused)} refused, "
        f"the last told to come back in {refused[-1].retry_after_s} s"
    )


async def _without_a_key(session: Session) -> None:
    caller = Caller(session.caller.http, "not a key of anyone")
    reply = await caller.run(session.port("n1"), GROUP, "get", "bay", "bay-1")
    expect(reply.reason == "key_refused", reply)
    say(f"a key that nobody was granted: {reply.outcome}, {reply.reason}")


async def _lose_the_primary(session: Session) -> None:
    cluster = session.cluster
    old = await cluster.primary(GROUP)
    cluster.kill(old)
    say(f"killed the primary of {GROUP}, {old}")
    tried = 0

    async def booked() -> Reply | None:
        nonlocal tried
        tried += 1
        return await _done(session.book("n1", f"bay-{tried + 1}", "truck 9"))

    await eventually(booked)
    new = await cluster.primary(GROUP)
    say(f"booked a bay on the new primary, {new}, at attempt {tried}")
    reply = await session.read("n4", "bay-1", fresh=True)
    expect(reply.result == "truck 7", reply)
    say(f"the booking from before is still there, through n4: {reply.result}")


async def _stop(session: Session) -> None:
    process = session.cluster.processes["n4"]
    process.signal(signal.SIGTERM)
    status = await process.ended()
    if status:
        raise Unexpected(f"n4 exited with {status}")
    say(f"stopped n4 as planned: exit status {status}")


async def _session(folder: Path) -> None:
    say("starting a platform, two database groups in three zones and four nodes")
    async with (
        running(FIRST_SESSION, folder, _small_plan) as cluster,
        http_session() as http,
    ):
        primary = await cluster.primary(GROUP)
        say(f"four nodes are ready; the primary of {GROUP} is {primary}")
        session = Session(cluster, Caller(http, cluster.keys["north"]))
        await _book_and_read(session)
        await _read_on_a_replica(session)
        await _without_a_key(session)
        await _beyond_the_plan(session)
        await _lose_the_primary(session)
        await _stop(session)
    say("ended everything that was started")


async def _until_told(folder: Path) -> None:
    """Run the session; a signal ends it and what it started."""
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    await _session(folder)


def main() -> int:
    """Run the first session; return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            asyncio.run(_until_told(Path(folder)))
        except (Unexpected, TimeoutError, asyncio.CancelledError) as exc:
            print(f"not as expected: {exc!r}", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
