"""A session's value set in a transaction on a primary that has lost the lead."""

import asyncio

from review.world import BROKEN, HELD, TROUBLE, Client, Target, World, run


async def case(world: World) -> int:
    """Run the case; return its status."""
    group = world.add_group(
        "g", [Target("g-a", "z1"), Target("g-b", "z2"), Target("g-c", "z3")]
    )
    world.add_route("dbp", "g", "primary")
    world.add_route("dbb", "g", "bounded")
    first = group.targets["g-a"]
    values: dict[str, dict[str, str]] = {"one": {}, "two": {}}
    wrong: list[str] = []

    def on_run(conn, request: str, verb: str, shape: str, rest: str) -> None:
        wanted = values[request.rsplit("-", 1)[0]]
        if conn.values != wanted:
            line = f"{request} {verb} {rest} ran on {conn.target.name} connection"
            wrong.append(f"{line} {conn.number} with {conn.values}, not {wanted}")
            world.record.say("check", wrong[-1])

    world.on_run = on_run
    await world.start()
    node = world.nodes[0]
    one = Client(world, "one", node)
    await one.connect("dbp")
    await one.query("SET v first")
    values["one"] = {"v": "first"}
    await one.query("BEGIN")
    await one.query("READ x")
    if TROUBLE:
        first.reports = False
        world.record.say("trouble", "the primary is cut off from the store")
    begun = world.record.now()
    while group.leader == "g-a" and world.record.now() - begun < (20 if TROUBLE else 4):
        await one.query("READ x")
        await asyncio.sleep(0.3)
    if TROUBLE:
        first.reports = True
        world.report(group, first)
        lasted = world.record.now() - begun
        world.record.say("trouble", f"the cut is over after {lasted:.2f} s")
    await asyncio.sleep(0.8)
    await one.query("SET v second")
    values["one"] = {"v": "second"}
    await one.query("READ x")
    await one.query("ROLLBACK")
    await asyncio.sleep(0.2)
    two = Client(world, "two", node)
    await two.connect("dbb")
    await two.query("SET v second")
    values["two"] = {"v": "second"}
    for _ in range(40):
        await two.query("READ y")
        await asyncio.sleep(0.05)
    world.record.say("check", f"{len(wrong)} statements ran with other values")
    return BROKEN if wrong else HELD


if __name__ == "__main__":
    run(case, __file__)
