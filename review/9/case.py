"""Case 9: a target that fails part of its requests runs writes with foreign values."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parents[1]))
sys.path.insert(0, str(FOLDER.parent))

import world2  # noqa: E402

# One target of six, which is inside the share of ``srv_grey`` in the site files (0.17
# there at most); the largest dose and length there are these.
FAILED_SHARE, TROUBLE_S = 0.45, 6.5
NODES = {"front-north-1": "north", "front-south-1": "south", "front-west-1": "west"}
SESSIONS, PAUSE_S = 12, 0.1
KEY = "k3f9a0w2m"


def config() -> dict:
    """Return the operator's configuration."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "r1",
                "host": "books",
                "prefix": "/",
                "type": "primary",
                "timeout_ms": 1000,
                "target_latency_ms": 200,
                "prio": 1,
                "service": "db",
                "public": False,
            }
        ],
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 33,
                "sync_replicas": 1,
            }
            for name in ("db", "other")
        ],
        "limits": {"tx_idle_ms": 3000},
        "tenants": [
            {"name": "ten", "api_keys": [KEY], "prio": 1, "per_s": 500, "burst": 500}
        ],
    }


class Grey:
    """Lets one target fail part of its requests; its liveness check stays good."""

    def __init__(self, world, name: str) -> None:
        self.world, self.name = world, name
        self.on = False
        self._random = random.Random(7)

    def install(self) -> None:
        """Put this in front of the answers of the stand-in's connections."""
        from standins import line_server

        grey, answer = self, line_server._Conn._answer

        async def failing(conn, request: str, text: str) -> list[str]:
            verb = text.split(" ")[0]
            internal = verb in ("STATUS", "BEGIN", "ROLLBACK", "PAUSE", "RESUME")
            if (
                grey.on
                and conn.target.name == grey.name
                and not internal
                and grey._random.random() < FAILED_SHARE
            ):
                grey.world.record.write("failed", request=request, text=repr(text))
                return ["ERROR BUSY later"]
            return await answer(conn, request, text)

        line_server._Conn._answer = failing


async def call(world, number: int, acked: dict[str, str], until: float) -> None:
    """Set a value of the session's own, and write at an even pace."""
    caller, value = world2.Caller(world.record, f"c{number}"), f"desk{number}"
    port = list(world.nodes.values())[number % len(NODES)].ports["front"]
    try:
        if await caller.connect(port, "books", KEY) != "READY I -":
            return
        _, answer = await caller.query(f"SET desk {value}")
        if not answer.done:
            return
        turn = 0
        while world.record.now() < until:
            turn += 1
            request, answer = await caller.query(f"WRITE item{number} v{turn}")
            acked[request] = value
            if answer.lost:
                return
            await asyncio.sleep(PAUSE_S)
    finally:
        caller.close()


async def case(world) -> bool:
    """Return whether a write ran with other values than its session's."""
    await world.begin()
    await world.add_group("db", ["north", "south", "west"])
    await world.add_group("other", ["north", "south", "west"])
    world.configure(config())
    for name, zone in NODES.items():
        await world.add_node(name, zone)
    for name in NODES:
        await world.start(name)
    await world.wait_until_ready()
    grey = Grey(world, "i-db-1")
    grey.install()
    await asyncio.sleep(3.0)
    acked: dict[str, str] = {}
    until = world.record.now() + TROUBLE_S + 3.0
    callers = [
        asyncio.ensure_future(call(world, n, acked, until)) for n in range(SESSIONS)
    ]
    await asyncio.sleep(1.5)
    grey.on = world2.TROUBLE
    await asyncio.sleep(TROUBLE_S)
    grey.on = False
    await asyncio.gather(*callers)
    wrong = served = 0
    for run in world.groups["db"].runs:
        if run.request not in acked or run.verb != "WRITE":
            continue
        served += 1
        own = (("desk", acked[run.request]),)
        if run.seen.values != own:
            wrong += 1
            world.record.write(
                "wrong values",
                request=run.request,
                ran_with=run.seen.values,
                acknowledged=own,
            )
    world.record.write("judged", wrong=wrong, ran=served, sent=len(acked))
    print(wrong, served, len(acked))
    if not served:
        raise world2.CannotRun("no write ran")
    return wrong > 0


if __name__ == "__main__":
    sys.exit(world2.main(case, FOLDER))
