"""A primary is replaced as planned, and its successor's server starts meanwhile."""

import asyncio

from review.world import BROKEN, HELD, TROUBLE, Client, Group, Target, World, run

SERVICES = ("g1", "g2", "g3", "g4")
SESSIONS = 30
# The new server of the zone starts this long after the old one said that it leaves.
STARTS_AFTER_S = 0.6


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
    """Replace the primary of a service; return what was lost."""
    first = group.primary
    writers = Writers(world, group.name)
    await asyncio.sleep(1.0)
    if TROUBLE:
        first.draining = True
        world.report(group, first)
        world.record.say("trouble", f"{first.name} is draining")
        await asyncio.sleep(STARTS_AFTER_S)
        new = Target(f"{group.name}-d", first.zone, delay_s=0.0001)
        await world.start_target(group, new)
        world.report(group, new)
        line = f"{new.name} starts in its zone, after {STARTS_AFTER_S} s"
        world.record.say("trouble", line)
        await world.until(lambda: group.promotions, 20, "the primary is replaced")
        await asyncio.sleep(1.0)
    else:
        await asyncio.sleep(2.0)
    writers.stop()
    missing = group.acknowledged_but_missing(writers.acknowledged)
    for line in missing:
        world.record.say("check", f"lost: {line}")
    count = len(writers.acknowledged)
    world.record.say("check", f"{len(missing)} of {count} acknowledged writes are lost")
    return missing


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
