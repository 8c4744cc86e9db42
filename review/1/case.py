"""A node is killed and starts again while a transaction is open through it."""

import asyncio

from review.world import BROKEN, HELD, TROUBLE, CaseFailed, Client, Target, World, run


async def case(world: World) -> int:
    """Run the case; return its status."""
    group = world.add_group(
        "g", [Target("g-a", "z1"), Target("g-b", "z2"), Target("g-c", "z3")]
    )
    world.add_route("db", "g", "primary")
    await world.start()
    inside: list[str] = []
    # The client of the transaction that is open on each connection to a target.
    owners: dict[int, str] = {}

    def on_run(conn, request: str, verb: str, shape: str, rest: str) -> None:
        client = request.rsplit("-", 1)[0]
        owner = owners.setdefault(conn.number, client)
        if verb == "COMMIT":
            del owners[conn.number]
        if owner != client:
            line = f"{request} {verb} ran in the transaction of {owner}"
            inside.append(f"{line}, connection {conn.number} to {conn.target.name}")
            world.record.say("check", inside[-1])

    world.on_run = on_run
    one = Client(world, "one", world.nodes[1])
    await one.connect("db")
    await one.query("BEGIN")
    request, _, end = await one.query("WRITE first-item of-one")
    if not end.startswith("DONE"):
        raise CaseFailed(end)
    holder = None
    for _ in range(20):
        await asyncio.sleep(0.02)
        holder = holder or world.holder_of(request)
    if holder is None or holder is one.node:
        raise CaseFailed(f"the transaction of one is open through {holder}")
    world.record.say("case", f"its transaction is open through {holder.name}")
    begun = world.record.now()
    if TROUBLE:
        await holder.kill()
        world.record.say("trouble", f"{holder.name} is killed")
        await asyncio.sleep(0.2)
        await holder.start(world.logs)
        await world.until(holder.ready, 5, f"{holder.name} has started again")
    two = Client(world, "two", holder)
    answer = await two.connect("db")
    for _ in range(20):
        if answer.startswith("READY"):
            break
        await asyncio.sleep(0.05)
        answer = await two.connect("db")
    await two.query("BEGIN")
    _, _, wrote = await two.query("WRITE second-item of-two")
    world.record.say("two", f"BEGIN, WRITE second-item of-two: {wrote}")
    pause_s = world.record.now() - begun
    _, _, committed = await one.query("COMMIT")
    world.record.say("one", f"COMMIT after a pause of {pause_s:.2f} s: {committed}")
    await asyncio.sleep(0.3)
    _, _, rolled_back = await two.query("ROLLBACK")
    world.record.say("two", f"ROLLBACK: {rolled_back}")
    for item in ("first-item", "second-item"):
        world.record.say("log", f"{item} = {group.primary.item(item)}")
    return BROKEN if inside else HELD


if __name__ == "__main__":
    run(case, __file__)
