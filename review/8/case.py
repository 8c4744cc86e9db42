"""Case 8: a late order of an owner that died loses acknowledged writes."""

import asyncio
import signal
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
RESTART_S = 0.5
GAP_S = 1.0
# A call without an answer is carried out 2 to 12 s later.
LATE_S = (2.0, 12.0)
UNANSWERED = 2
# Further services, whose primaries are replaced too; their calls are answered.
OTHERS = ("orders", "stock", "staff", "files")
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
            for name in ("db", *OTHERS)
        ],
        "limits": {"tx_idle_ms": 3000},
        "tenants": [
            {"name": "ten", "api_keys": [KEY], "prio": 1, "per_s": 900, "burst": 900}
        ],
    }


class Calls:
    """The platform's call that promotes; some of its calls get no answer for a while.

    With ``troubled`` the first two of the claims of the service ``db`` get none. These
    are ``held``, and carried out by ``carry_out``, with the fence of then.
    """

    def __init__(self, world) -> None:
        self.world = world
        self.newest: dict[str, int] = {}
        self.troubled = False
        self.held: list[tuple[float, str, int, str]] = []
        self.claims: set[tuple[str, int]] = set()
        self.arrived = asyncio.Event()
        self.ordered: list[str] = []

    async def handle(self, req):
        """Handle a call."""
        from aiohttp import web

        body = await req.json()
        holder = req.headers["Lavenderstack-Holder"]
        epoch = int(req.headers["Lavenderstack-Fence-Token"])
        service, name = body["service"], body["id"]
        is_first = (service, epoch) not in self.claims
        self.claims.add((service, epoch))
        if service == "db":
            self.ordered.append(name)
        late = (
            self.troubled
            and service == "db"
            and is_first
            and len(self.held) < UNANSWERED
        )
        self.world.record.write(
            "promote",
            service=service,
            holder=holder,
            epoch=epoch,
            id=name,
            unanswered=late,
        )
        if late:
            self.held.append((self.world.record.now(), name, epoch, holder))
            self.arrived.set()
            await asyncio.sleep(20)
            if req.transport is not None:
                req.transport.abort()
            return web.Response()
        done = self.carry_out(service, name, epoch)
        return web.json_response({}, status=200 if done else 409)

    def carry_out(self, service: str, name: str, epoch: int) -> bool:
        """Carry out an order unless a later epoch was used."""
        group = self.world.groups[service]
        accepted = epoch >= self.newest.get(service, 0) and group.targets[name].up
        self.world.record.write("carried out", id=name, epoch=epoch, accepted=accepted)
        if accepted:
            self.newest[service] = epoch
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


async def disturb(world, calls: Calls, group, first_targets: set[str]) -> None:
    """Let the owner die with its order under way; the release goes on."""
    await asyncio.wait_for(calls.arrived.wait(), 8)
    first_at, chosen, epoch, dead = calls.held[0]
    world.signal(dead, signal.SIGKILL)
    await asyncio.sleep(RESTART_S)
    await world.start(dead)
    if chosen not in first_targets:
        raise world2.CannotRun("the first order names the new target")
    await replace(world, group, chosen)
    # The second order gets no answer either; soon after it the first is carried out.
    while len(calls.held) < 2 and world.record.now() - first_at < LATE_S[1] - 1:
        calls.arrived.clear()
        await asyncio.wait_for(calls.arrived.wait(), LATE_S[1])
    await asyncio.sleep(0.45)
    late_s = world.record.now() - first_at
    world.record.write("late", s=f"{late_s:.2f}")
    calls.carry_out("db", chosen, epoch)
    calls.troubled = False
    for at, name, later, _ in calls.held[1:]:
        await asyncio.sleep(max(0.0, at + 6.0 - world.record.now()))
        calls.carry_out("db", name, later)


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
    for name in OTHERS:
        await world.add_group(name, ["south", "west", "north"])
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
    first_targets = set(group.targets)
    others = [world.groups[name] for name in OTHERS]
    calls.troubled = world2.TROUBLE
    beside = asyncio.gather(*(replace(world, one, one.leader) for one in others))
    await asyncio.sleep(0.5)
    # Nobody writes in the moment in which the primary drains.
    working = asyncio.ensure_future(work(world, acked, GAP_S + 0.5, 11.0))
    await replace(world, group, group.leader)
    await beside
    if world2.TROUBLE:
        await disturb(world, calls, group, first_targets)
    else:
        await asyncio.sleep(RESTART_S)
        await replace(world, group, calls.ordered[0])
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
