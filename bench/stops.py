"""Stop nodes as planned, several at a time, under callers that never pause.

Usage:
  bench stops [--seed N] [--seconds S] [--nodes N] [--groups N] [--callers N]
              [--busy N] [--from COMMIT] [--folder DIR]

Options:
  --seed N       Seed of the stops and of the callers [default: 1].
  --seconds S    How long nodes are stopped and started [default: 40].
  --nodes N      Number of node processes, in three zones [default: 4].
  --groups N     Number of database groups of three targets [default: 2].
  --callers N    Number of callers [default: 24].
  --busy N       Processes that use the processor meanwhile [default: 0].
  --from COMMIT  The build that runs; this checkout unless given.
  --folder DIR   Where the logs and the report are kept; a new folder unless given.

A third of the callers send the next statement as soon as they have the last answer, the
others pause for a moment. Nothing else is disturbed, so no request may be cut and no
answer may be lost.
"""

import asyncio
import json
import logging
import random
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from docopt import docopt

from bench import soak, soak_checks
from bench.soak_callers import Caller
from bench.soak_fault import recorded
from bench.soak_fleet import Fleet, Node, run_fleet
from bench.soak_record import Record
from bench.soak_time_checks import STABLE_WINDOW_S
from lavenderstack.core import clock
from standins.processes import ROOT
from tests.production import check_out

PAUSES_S = (0.0, 0.02, 0.2)
# How long a target works on a statement.
WORK_S = (0.02, 0.2)
# Seconds between the stops of a series, which overlap, and before a node's next start.
STOP_GAP_S, RESTART_S = (0.0, 3.0), (0.0, 1.0)

MakeCaller = Callable[[Fleet, random.Random, float], Caller]


@dataclass(frozen=True)
class Options:
    """The options of a run; ``source`` is the root of the nodes' source."""

    seed: int = 1
    seconds: float = 40.0
    nodes: int = 4
    groups: int = 2
    callers: int = 24
    busy: int = 0
    source: Path = ROOT


async def _restart(fleet: Fleet, node: Node, delay_s: float) -> None:
    with recorded(fleet, "stop", [node.name], planned=True):
        await fleet.stop(node)
        await asyncio.sleep(delay_s)
    await fleet.start(node)


async def _stop_in_series(fleet: Fleet, rng: random.Random, until: float) -> None:
    """Stop and start nodes until a time on the clock; one of them always stays."""
    while clock.now() < until:
        nodes = list(fleet.nodes.values())
        stopped = rng.sample(nodes, rng.randint(1, len(nodes) - 1))
        restarts = []
        for node in stopped:
            delay_s = rng.uniform(*RESTART_S)
            restarts.append(asyncio.ensure_future(_restart(fleet, node, delay_s)))
            await asyncio.sleep(rng.uniform(*STOP_GAP_S))
        await asyncio.gather(*restarts)
        await fleet.wait_until_ready()


@asynccontextmanager
async def _busy_processes(count: int) -> AsyncIterator[None]:
    """Run processes that compute without end while the block runs."""
    async with AsyncExitStack() as stack:
        for _ in range(count):
            child = await asyncio.create_subprocess_exec(
                sys.executable, "-c", "while True: pass"
            )
            stack.push_async_callback(child.wait)
            stack.callback(child.send_signal, signal.SIGKILL)
        yield


def _make_caller(fleet: Fleet, rng: random.Random, pause_s: float) -> Caller:
    return Caller(fleet, "wide", rng, pause_s)


async def play(
    options: Options, folder: Path, make_caller: MakeCaller = _make_caller
) -> Record:
    """Play one run; return what was seen."""
    rng = random.Random(options.seed)
    async with (
        run_fleet(
            folder, options.seed, options.nodes, options.groups, options.source
        ) as fleet,
        _busy_processes(options.busy),
    ):
        for group in fleet.groups.values():
            group.work_s = WORK_S
        for node in fleet.nodes.values():
            # A link would delay the callers' next statements.
            node.callers_port = node.own_port
        pauses_s = [PAUSES_S[i % len(PAUSES_S)] for i in range(options.callers)]
        callers = [
            make_caller(fleet, random.Random(rng.random()), pause_s)
            for pause_s in pauses_s
        ]
        calling = [asyncio.ensure_future(caller.run()) for caller in callers]
        try:
            await asyncio.sleep(STABLE_WINDOW_S)
            await _stop_in_series(fleet, rng, clock.now() + options.seconds)
            await asyncio.sleep(soak.SETTLE_S)
        finally:
            for task in calling:
                task.cancel()
            await asyncio.gather(*calling, return_exceptions=True)
    return fleet.record


def report_of(record: Record, violations: list[str]) -> dict:
    """Return the report of a run."""
    return {
        "violations": violations,
        "outcomes": record.outcomes(),
        "stops": [
            f"{one.at:.2f} {one.node} status {one.status} "
            f"after {(one.ended_at or one.at) - one.at:.2f} s"
            for one in record.stops
        ],
    }


def prepare(args: dict[str, str], prefix: str) -> tuple[Options, Path]:
    """Return the options and the folder of a run; check out the build to run."""
    folder = Path(args["--folder"] or tempfile.mkdtemp(prefix=prefix))
    source = ROOT
    if args["--from"]:
        source = folder / "source"
        source.mkdir(parents=True, exist_ok=True)
        check_out(args["--from"], source)
    folder.mkdir(parents=True, exist_ok=True)
    logging.basicConfig(filename=folder / "standins.log")
    options = Options(
        seed=int(args["--seed"]),
        seconds=float(args["--seconds"]),
        nodes=int(args["--nodes"]),
        groups=int(args["--groups"]),
        callers=int(args["--callers"]),
        busy=int(args["--busy"]),
        source=source,
    )
    return options, folder


def conclude(report: dict, options: Options, folder: Path) -> int:
    """Write and print a report; return the exit status, 1 if a check was violated."""
    (folder / "report.json").write_text(json.dumps(report, indent=1) + "\n")
    violations = report["violations"]
    print(
        f"seed {options.seed}: {len(report['stops'])} stops, {report['outcomes']}, "
        f"violations: {len(violations)}, logs in {folder}"
    )
    for violation in violations[:20]:
        print(f"VIOLATED {violation}")
    return 1 if violations else 0


def main(argv: list[str]) -> int:
    """Run the command; return the exit status, 1 if a check was violated."""
    options, folder = prepare(docopt(__doc__, argv), "stops-")
    record = asyncio.run(play(options, folder))
    report = report_of(record, soak_checks.violations(record))
    return conclude(report, options, folder)
