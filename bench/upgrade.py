"""Replace the nodes of one build by another under load, and check what callers see.

Usage:
  bench upgrade [--from COMMIT] [--seed N] [--nodes N] [--way WAY] [--folder DIR]

Options:
  --from COMMIT  The build that runs at first; the one in production unless given.
  --seed N       Seed of the callers and of the faults [default: 1].
  --nodes N      Number of node processes, in three zones [default: 4].
  --way WAY      ``whole``, or ``back``: it is taken back halfway [default: whole].
  --folder DIR   Where the logs are kept; a new folder unless given.

Every other node is replaced by SIGTERM, the others by kill. While both builds run, a
primary crashes, a replica goes deaf, a node is cut off from others, and the operator
changes keys and limits all the time. The checks are those of the soak.
"""

import asyncio
import logging
import random
import signal
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

from docopt import docopt

from bench import soak, soak_checks, soak_node_faults
from bench.soak_callers import Caller
from bench.soak_fault import NotPossible, recorded
from bench.soak_fleet import Fleet, Node, run_fleet
from lavenderstack.core import clock
from standins.processes import ROOT
from tests.production import check_out, production

CALLERS = 16
CALLER_PAUSE_S = 0.1
# After each replacement: the span without a fault, and how long one lasts.
CALM_S, FAULT_S = 2.0, 3.0
FAULTS = (
    soak_node_faults.crash_primary,
    soak_node_faults.deafen,
    soak_node_faults.node_link,
    soak_node_faults.pause,
)


async def replace(fleet: Fleet, node: Node, source: Path, planned: bool) -> None:
    """End a node's process, and start one of another build in its place."""
    with recorded(fleet, "upgrade", [node.name], planned=planned):
        if planned:
            await fleet.stop(node)
        else:
            node.stopping = True
            node.process.signal(signal.SIGKILL)
            await node.process.wait()
    node.source = source
    await fleet.start(node)
    await fleet.wait_until_ready()


async def replace_in_turn(
    fleet: Fleet, nodes: list[Node], source: Path, rng: random.Random
) -> None:
    """Replace nodes one after the other, with a fault after each."""
    for number, node in enumerate(nodes):
        await replace(fleet, node, source, planned=number % 2 == 0)
        await asyncio.sleep(CALM_S)
        with suppress(NotPossible):
            async with FAULTS[number % len(FAULTS)](fleet, rng):
                await asyncio.sleep(FAULT_S)
        await asyncio.sleep(CALM_S)


@asynccontextmanager
async def calling(fleet: Fleet, rng: random.Random) -> AsyncIterator[None]:
    """Let callers and the operator work while the block runs."""
    callers = [
        Caller(fleet, "wide", random.Random(rng.random()), CALLER_PAUSE_S)
        for _ in range(CALLERS)
    ]
    tasks = [asyncio.ensure_future(one.run()) for one in callers]
    tasks.append(asyncio.ensure_future(fleet.operator.run()))
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def play(
    before: Path, folder: Path, seed: int, nodes: int, way: str
) -> tuple[list[str], str]:
    """Play an upgrade; return what was violated and a line on what was seen."""
    started_at = clock.now()
    async with run_fleet(folder, seed, nodes, 2, source=before) as fleet:
        rng = random.Random(seed)
        order = list(fleet.nodes.values())
        async with calling(fleet, rng):
            await asyncio.sleep(CALM_S)
            half = order[: (len(order) + 1) // 2]
            await replace_in_turn(fleet, half, ROOT, rng)
            if way == "back":
                await replace_in_turn(fleet, half, before, rng)
            else:
                await replace_in_turn(fleet, order[len(half) :], ROOT, rng)
            await asyncio.sleep(soak.SETTLE_S)
        record = fleet.record
        commits = sum(len(group.commits) for group in fleet.groups.values())
        promotions = sum(len(group.promotions) for group in fleet.groups.values())
        line = (
            f"way {way}, seed {seed}, {clock.now() - started_at:.0f} s: "
            f"{record.outcomes()}, commits: {commits}, promotions: {promotions}"
        )
        return soak_checks.violations(record), line


def main(argv: list[str]) -> int:
    """Run the command; return the exit status, 1 if a check was violated."""
    args = docopt(__doc__, argv)
    folder = Path(args["--folder"] or tempfile.mkdtemp(prefix="upgrade-"))
    commit = args["--from"] or production()
    source = folder / "before"
    source.mkdir(parents=True, exist_ok=True)
    check_out(commit, source)
    logging.basicConfig(filename=folder / "standins.log")
    seed, nodes = int(args["--seed"]), int(args["--nodes"])
    violations, line = asyncio.run(play(source, folder, seed, nodes, args["--way"]))
    print(f"from {commit}, {line}, logs in {folder}")
    for violation in violations:
        print(f"VIOLATED {violation}")
    return 1 if violations else 0
