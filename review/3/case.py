"""A primary is replaced as planned, and another new server starts meanwhile."""

import asyncio

from review.world import BROKEN, HELD, TROUBLE, Client, Group, Target, World, run

SERVICES = ("g1", "g2", "g3", "g4")
SESSIONS = 30
# A new server starts this long before the old one says that it leaves.
STARTS_BEFORE_S = 1.1


class Writers:
    """Sessions that write one item after the other to one service."""

    def __init__(self, world: World, service: str) -> None:
        self.world, self.service = world, service
        self.acknowledged: dict[str, float] = {}
        self.tasks = [asyncio.ensure_future(self._write(i)) for i in range(SESSIONS)]

    async def _write(self, number: int) -> None:
        nodes = [node for node in self.world.nodes if node.zone == "z1"]
        node = nodes[number % len(nodes)]
        client = Client(self.world, f"{self.service}w{number}", node)
        await client.connect(f"db{self.service}")
        while True:
            request, _, end = await client.query(f"WRITE i{number} d")
            if end.startswith("DONE"):
                self.acknowledged[request] = self.world.record.now()
            elif end.startswith("no answer"):
                client.close()
                await client.connect(f"db{self.service}")
            else:
                await asyncio.sleep(0.05)

    def stop(self) -> None:
        """Stop them."""
        for task in self.tasks:
            task.cancel()


async def release(world: World, group: Group) -> list[str]:
    """Replace the primary and a replica of a service; return what was lost."""
    first = group.primary
    writers = Writers(world, group.name)
    await asyncio.sleep(1.0)
    if TROUBLE:
        await replace_servers(world, group, first)
    else:
        await asyncio.sleep(4.0)
    writers.stop()
    missing = group.acknowledged_but_missing(writers.acknowledged)
    for line in missing:
        world.record.add("check", f"lost: {line}")
    count = len(writers.acknowledged)
    world.record.say("check", f"{len(missing)} of {count} acknowledged writes are lost")
    return missing


async def replace_servers(world: World, group: Group, first: Target) -> None:
    """Start each new server first; the second one while the primary is replaced."""
    ordered: list[str] = []

    def on_call(service: str, name: str, fence: int) -> None:
        ordered.append(name)

    world.promoting.on_call = on_call
    await start(world, group, Target(f"{group.name}-d", first.zone, delay_s=0.0001))
    await asyncio.sleep(STARTS_BEFORE_S)
    first.draining = True
    world.report(group, first)
    world.record.say("trouble", f"{first.name} is draining")
    await world.until(lambda: ordered, 10, "its successor is named")
    await start(world, group, Target(f"{group.name}-e", "z2", delay_s=0.0039))
    await asyncio.sleep(0.1)
    group.targets[ordered[0]].deaf = True
    world.record.say("trouble", f"{ordered[0]} receives nothing")
    await world.until(lambda: group.promotions, 20, "the primary is replaced")
    await asyncio.sleep(1.0)


async def start(world: World, group: Group, new: Target) -> None:
    """Start a server of a service."""
    await world.start_target(group, new)
    world.report(group, new)
    world.record.say("trouble", f"{new.name} starts in {new.zone}")


async def case(world: World) -> int:
    """Run the case; return its status."""
    for name in SERVICES:
        targets = [
            Target(f"{name}-a", "z1"),
            Target(f"{name}-b", "z2", delay_s=0.0039),
            Target(f"{name}-c", "z3", delay_s=0.0039),
        ]
        world.add_group(name, targets)
        world.add_route(f"db{name}", name, "primary")
    world.work_s = 0.001
    await world.start()
    for group in world.groups.values():
        if await release(world, group):
            return BROKEN
    return HELD


if __name__ == "__main__":
    run(case, __file__)
