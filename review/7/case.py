"""Case 7: an owner acknowledges what its own unanswered order may lose."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parents[1]))
sys.path.insert(0, str(FOLDER.parent))

import world2  # noqa: E402

NODES = {
    "front-north-1": "north",
    "front-south-1": "south",
    "front-west-1": "west",
    "front-south-2": "south",
}
SESSIONS, PAUSE_S = 3, 0.12
KEY = "k3f9a0w2m"
GAP_S = 1.0
# For how long the platform answers no call, and how much later it carries them out.
SILENT_S = 6.0
LATE_S = 5.8
# Some hundred ms after the call the backend leads.
EFFECT_S = 0.3


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
            for name in ("db",)
        ],
        "limits": {"tx_idle_ms": 3000},
        "tenants": [
            {"name": "ten", "api_keys": [KEY], "prio": 1, "per_s": 900, "burst": 900}
        ],
    }


class Calls:
    """The platform's call that promotes.

    With ``troubled`` it gives no answer; a call is carried out ``LATE_S`` later, with
    the fence of then.
    """

    def __init__(self, world) -> None:
        self.world = world
        self.newest: dict[str, int] = {}
        self.troubled = False
        self.ordered: list[str] = []

    async def handle(self, req):
        """Handle a call."""
        from aiohttp import web

        body = await req.json()
        holder = req.headers["Lavenderstack-Holder"]
        epoch = int(req.headers["Lavenderstack-Fence-Token"])
        name, late = body["id"], self.troubled
        self.ordered.append(name)
        self.world.record.write(
            "promote", holder=holder, epoch=epoch, id=name, unanswered=late
        )
        if late:
            asyncio.get_running_loop().call_later(LATE_S, self.carry_out, name, epoch)
            await asyncio.sleep(20)
            if req.transport is not None:
                req.transport.abort()
            return web.Response()
        done = self.carry_out(name, epoch)
        return web.json_response({}, status=200 if done else 409)

    def carry_out(self, name: str, epoch: int) -> bool:
        """Carry out an order unless a later epoch was used."""
        group = self.world.groups["db"]
        accepted = epoch >= self.newest.get("db", 0) and group.targets[name].up
        self.world.record.write("carried out", id=name, epoch=epoch, accepted=accepted)
        if accepted:
            self.newest["db"] = epoch
            asyncio.get_running_loop().call_later(EFFECT_S, group.promote, name)
        return accepted


async def call(world, number: int, acked: dict, until: float) -> None:
    """Write at an even pace until a time; reconnect when the node goes."""
    caller, names = world2.Caller(world.record, f"c{number}"), list(world.nodes)
    turn = number
    while world.record.now() < until:
        try:
            if caller.writer is None:
                turn += 1
                name = names[turn % len(names)]
                ports = world.nodes[name].ports
                if (
                    not await world.is_ready(name)
                    or await caller.connect(ports["front"], "books", KEY) != "READY I -"
                ):
                    caller.close()
                    await asyncio.sleep(0.1)
                    continue
            request, answer = await caller.query(f"WRITE item{number} v{turn}")
            if answer.done:
                acked[request] = world.record.now()
            if answer.lost:
                caller.close()
        except OSError:
            caller.close()
        await asyncio.sleep(PAUSE_S)
    caller.close()


async def work(world, acked: dict, after_s: float, for_s: float) -> None:
    """Let all callers write for some seconds, after some seconds."""
    await asyncio.sleep(after_s)
    until = world.record.now() + for_s
    await asyncio.gather(*(call(world, n, acked, until) for n in range(SESSIONS)))


async def replace(world, group, name: str) -> None:
    """Replace a target as planned: the new one starts first, the old one drains."""
    target = group.targets[name]
    await world.add_target(
        group, f"i-a{group.name}-{len(group.targets) + 1}", target.zone
    )
    await asyncio.sleep(GAP_S)
    target.draining = True
    world.report(group, target)
    world.record.write("draining", target=name)


async def case(world) -> bool:
    """Return whether an acknowledged write isn't in the log of the promoted target."""
    from aiohttp import web

    from standins.web_app import serving_app

    calls = Calls(world)
    app = web.Application()
    app.router.add_post("/promote", calls.handle)
    await world.begin()
    world._orders_port = await world.stack.enter_async_context(serving_app(app))
    await world.add_group("db", ["north", "south", "west"])
    world.configure(config())
    for name, zone in NODES.items():
        await world.add_node(name, zone)
    for name in NODES:
        await world.start(name)
    await world.wait_until_ready()
    await asyncio.sleep(8.0)
    group = world.groups["db"]
    acked: dict[str, float] = {}
    await work(world, acked, 0.0, 1.5)
    # Nobody writes in the moment in which the primary drains.
    working = asyncio.ensure_future(work(world, acked, GAP_S + 0.5, 12.0))
    calls.troubled = world2.TROUBLE
    await replace(world, group, group.leader)
    drained_at = world.record.now()
    await asyncio.sleep(GAP_S)
    await replace(world, group, calls.ordered[0])
    await asyncio.sleep(max(0.0, drained_at + SILENT_S - world.record.now()))
    calls.troubled = False
    await working
    for one in group.promotions:
        world.record.write("promoted", target=one.target, term=one.term, base=one.base)
    log = {entry.request for entry in group.targets[group.leader].log}
    lost = sorted(one for one in acked if one not in log)
    for one in lost:
        world.record.write("lost", request=one, acknowledged_at=f"{acked[one]:.4f}")
    for name in NODES:
        for line in world.log_lines(name, "replacer: "):
            world.record.write("log", node=name, line=line)
    world.record.write("judged", lost=len(lost), acknowledged=len(acked))
    print(len(lost), len(acked), group.promotions)
    if not group.promotions:
        raise world2.CannotRun("nothing was promoted")
    return bool(lost)


if __name__ == "__main__":
    sys.exit(world2.main(case, FOLDER))
