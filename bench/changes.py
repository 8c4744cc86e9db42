"""Measure what callers see of changes of primary, beside the build in production.

Usage:
  bench changes [--from COMMIT] [--trials N] [--seed N]

Options:
  --from COMMIT  The build to compare with; the one in production unless given.
  --trials N     Changes of each kind and build [default: 3].
  --seed N       Seed of the first trial; each next one has the next seed [default: 1].

A fleet of four nodes and one group of three targets serves writers that write all the
time. Its primary leaves as planned, or crashes. The gap is the longest time without an
acknowledged write. The builds take turns, so that both meet the same machine.
"""

import asyncio
import logging
import tempfile
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path

from docopt import docopt

from bench.soak_callers import Caller, Session
from bench.soak_fleet import Fleet, run_fleet
from bench.soak_record import DONE
from standins.line_group import GroupTarget, LineGroup
from standins.processes import ROOT
from tests.production import check_out, production

WRITERS = 8
NODES = 4
BEFORE_S, AFTER_S = 4.0, 7.0


class Writer(Caller):
    """Writes to the databases of the group, one write after the other."""

    async def _operate(self, session: Session) -> None:
        await self._write(session)


@dataclass
class Seen:
    """What was seen of one kind of change under one build."""

    gaps_s: list[float] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    orders: int = 0
    lost: int = 0


def leave(fleet: Fleet, group: LineGroup, primary: GroupTarget) -> None:
    """Let a primary announce that it leaves."""
    primary.draining = True
    fleet.report(group, primary)


def crash(fleet: Fleet, group: LineGroup, primary: GroupTarget) -> None:
    """Let a primary crash."""
    group.crash(primary)


CHANGES: dict[str, Callable[[Fleet, LineGroup, GroupTarget], None]] = {
    "planned": leave,
    "unplanned": crash,
}


@contextmanager
def writing(fleet: Fleet) -> Iterator[None]:
    """Let writers work while the block runs."""
    writers = [Writer(fleet, "wide", fleet.rng, 0.005) for _ in range(WRITERS)]
    tasks = [asyncio.ensure_future(one.run()) for one in writers]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


async def play(source: Path, folder: Path, kind: str, seed: int, seen: Seen) -> None:
    """Play one change and add what was seen."""
    async with run_fleet(folder, seed, NODES, 1, source=source) as fleet:
        (group,) = fleet.groups.values()
        # The owner of the group has looked at it by then.
        await asyncio.sleep(BEFORE_S)
        with writing(fleet):
            await asyncio.sleep(BEFORE_S)
            CHANGES[kind](fleet, group, group.targets[group.leader])
            await asyncio.sleep(AFTER_S)
        writes = [one for one in fleet.record.requests if one.text != "CONNECT"]
        done = sorted(one.ended_at for one in writes if one.outcome == DONE)
        seen.gaps_s.append(max(b - a for a, b in pairwise(done)))
        seen.outcomes.update(one.outcome for one in writes)
        seen.orders += len(fleet.record.orders)
        log = {entry.request for entry in group.targets[group.leader].log}
        seen.lost += sum(one.outcome == DONE and one.name not in log for one in writes)


def main(argv: list[str]) -> int:
    """Run the command; return the exit status, 1 if a write was lost."""
    args = docopt(__doc__, argv)
    logging.disable(logging.WARNING)
    folder = Path(tempfile.mkdtemp(prefix="changes-"))
    commit = args["--from"] or production()
    before = folder / "before"
    before.mkdir()
    check_out(commit, before)
    builds = {commit: before, "this build": ROOT}
    seen = {(kind, build): Seen() for kind in CHANGES for build in builds}
    seed = int(args["--seed"])
    for number in range(int(args["--trials"])):
        for kind, build in seen:
            played = folder / f"{kind}-{number}-{build.replace(' ', '-')}"
            played.mkdir()
            asyncio.run(
                play(builds[build], played, kind, seed + number, seen[kind, build])
            )
    for (kind, build), one in seen.items():
        gaps = " ".join(f"{gap_s:.3f}" for gap_s in one.gaps_s)
        print(
            f"{kind} {build}: gaps {gaps} s, writes {dict(one.outcomes)}, "
            f"orders {one.orders}, lost {one.lost}"
        )
    return 1 if any(one.lost for one in seen.values()) else 0
