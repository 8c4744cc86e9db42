"""An order that is carried out late while the former primary runs again."""

import asyncio

from review.world import (
    BROKEN,
    HELD,
    TROUBLE,
    CaseFailed,
    Client,
    Group,
    Target,
    World,
    run,
)

SERVICES = ("g1", "g2", "g3", "g4")
DOWN_S = 3.0
# How long after the first try to order the former primary the platform carries out the
# kept order, and how long after it the platform answers again.
LATE_AFTER_S, ANSWERS_AFTER_S = 0.25, 0.35
SESSIONS = 30
CALM_PAUSE_S = 1.0


class Writers:
    """Sessions that write one item after the other to one service."""

    def __init__(self, world: World, service: str) -> None:
        self.world, self.service = world, service
        self.pause_s = CALM_PAUSE_S
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
            await asyncio.sleep(self.pause_s if end.startswith("DONE") else 0.05)

    def stop(self) -> None:
        """Stop them."""
        for task in self.tasks:
            task.cancel()


class LateOrder:
    """Keeps the first order and carries it out once the primary is ordered again."""

    def __init__(self, world: World, group: Group) -> None:
        self.world, self.group = world, group
        self.primary = group.leader
        self.asked_at: float | None = None
        self.due = False
        world.promoting.kept.clear()
        world.promoting.on_call = self.on_call
        world.promoting.silent = True

    def on_call(self, service: str, name: str, fence: int) -> None:
        """Notice a call."""
        if self.asked_at is None:
            self.asked_at = self.world.record.now()
        if name == self.primary and not self.due:
            self.due = True
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_AFTER_S, self._carry_out)
            loop.call_later(ANSWERS_AFTER_S, self._answer_again)

    def _carry_out(self) -> None:
        service, name, fence = self.world.promoting.kept[0]
        late_s = self.world.record.now() - self.asked_at
        status = self.world.promoting.execute(service, name, fence)
        line = f"the first order, {name} with {fence}, is carried out {late_s:.2f} s"
        self.world.record.say("platform", f"{line} after its call: {status}")

    def _answer_again(self) -> None:
        self.world.promoting.silent = False
        silent_s = self.world.record.now() - self.asked_at
        line = f"the platform answers again, {silent_s:.2f} s after the first order"
        self.world.record.say("trouble", line)


async def trouble(world: World, group: Group) -> list[str]:
    """Let one service have the trouble; return what was lost."""
    first = group.primary
    others = [one for one in group.targets.values() if one is not first]
    writers = Writers(world, group.name)
    await asyncio.sleep(2.0)
    await world.until(
        lambda: all(one.end == first.end for one in others), 5, "all logs are equal"
    )
    LateOrder(world, group)
    group.crash(first)
    line = f"{first.name} crashes; the platform gives no answers"
    world.record.say("trouble", line)
    await asyncio.sleep(DOWN_S)
    group.restart(first)
    line = f"{first.name} is back after {DOWN_S} s, with its log"
    world.record.say("trouble", line)
    writers.pause_s = 0.0
    await world.until(lambda: group.promotions, 20, "the late order has taken effect")
    await asyncio.sleep(1.0)
    writers.stop()
    calls = world.promoting.calls
    if not any(call[3] == first.name and call[5] == "200" for call in calls):
        raise CaseFailed("the primary was not ordered again")
    missing = group.acknowledged_but_missing(writers.acknowledged)
    for line in missing:
        world.record.say("check", f"lost: {line}")
    count = len(writers.acknowledged)
    world.record.say("check", f"{len(missing)} of {count} acknowledged writes are lost")
    return missing


async def calm(world: World, group: Group) -> list[str]:
    """Write without any trouble; return what was lost."""
    writers = Writers(world, group.name)
    await asyncio.sleep(2.0)
    writers.pause_s = 0.0
    await asyncio.sleep(3.0)
    writers.stop()
    return group.acknowledged_but_missing(writers.acknowledged)


async def case(world: World) -> int:
    """Run the case; return its status."""
    for name in SERVICES:
        targets = [
            Target(f"{name}-a", "z1"),
            Target(f"{name}-b", "z1", delay_s=0.0001),
            Target(f"{name}-c", "z3", delay_s=0.0039),
        ]
        world.add_group(name, targets)
        world.add_route(f"db{name}", name, "primary")
    world.work_s = 0.001
    await world.start()
    for group in world.groups.values():
        missing = await (trouble if TROUBLE else calm)(world, group)
        if missing:
            return BROKEN
    return HELD


if __name__ == "__main__":
    run(case, __file__)
