"""Stop nodes as planned under callers that choose their texts freely.

Usage:
  bench texts [--seed N] [--seconds S] [--nodes N] [--groups N] [--callers N]
              [--busy N] [--long N] [--from COMMIT] [--folder DIR]

Options:
  --seed N       Seed of the stops and of the callers [default: 1].
  --seconds S    How long nodes are stopped and started [default: 10].
  --nodes N      Number of node processes, in three zones [default: 4].
  --groups N     Number of database groups of three targets [default: 2].
  --callers N    Number of callers [default: 24].
  --busy N       Processes that use the processor meanwhile [default: 0].
  --long N       Texts of up to 1 MiB, of all callers together [default: 40].
  --from COMMIT  The build that runs; this checkout unless given.
  --folder DIR   Where the logs and the report are kept; a new folder unless given.

The callers send request ids, names, shapes, values, items and data with blanks, words
of the protocol and line ends of other conventions. Each statement that a target ran
is compared with what its caller sent.
"""

import asyncio
import random
from collections import Counter
from pathlib import Path

from docopt import docopt

from bench import stops, texts_checks
from bench.soak_fleet import Fleet
from bench.soak_record import Record
from bench.texts_callers import TextCaller
from bench.texts_words import Words


async def _play(options: stops.Options, folder: Path, long_texts: int) -> Record:
    def make_caller(fleet: Fleet, rng: random.Random, pause_s: float) -> TextCaller:
        words = Words(random.Random(rng.random()), long_texts // options.callers)
        return TextCaller(fleet, "wide", rng, pause_s, words)

    return await stops.play(options, folder, make_caller)


def _report(record: Record) -> dict:
    violations = texts_checks.violations(record)
    rules = Counter(line.partition(" ")[0] for line in violations)
    runs = [run for group in record.groups.values() for run in group.runs]
    report = stops.report_of(record, violations)
    report["runs"] = len(runs)
    report["executed shapes"] = len({r.seen.shape for r in runs if r.seen.shape})
    report["rules"] = dict(rules)
    return report


def main(argv: list[str]) -> int:
    """Run the command; return the exit status, 1 if a check was violated."""
    args = docopt(__doc__, argv)
    options, folder = stops.prepare(args, "texts-")
    record = asyncio.run(_play(options, folder, int(args["--long"])))
    report = _report(record)
    print(
        f"{report['runs']} statements ran, {report['executed shapes']} shapes, "
        f"violations of each rule: {report['rules']}"
    )
    return stops.conclude(report, options, folder)
