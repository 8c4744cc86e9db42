"""Run the named benchmarks, or all: print their tables, and fail on a missed bound.

Usage:
  bench [NAME...] [--json FILE] [--seed N]
  bench --list
  bench soak [OPTIONS...]
  bench upgrade [OPTIONS...]
  bench promotions [OPTIONS...]
  bench stops [OPTIONS...]
  bench texts [OPTIONS...]
  bench changes [OPTIONS...]

``bench soak --help`` lists the options of the fault soak, ``bench upgrade --help``
those of an upgrade from another build, ``bench promotions --help`` those of promotions
at random moments, ``bench stops --help`` those of planned stops that overlap,
``bench texts --help`` those of callers that choose their texts freely,
``bench changes --help`` those of changes of primary beside another build.

Options:
  --json FILE  Write the results as JSON.
  --seed N     Seed of the random demand [default: 1].
  --list       Print the names of the benchmarks.
"""

import importlib
import json
import sys
from pathlib import Path

from docopt import docopt

from bench.measure import Result

# The module ``bench.NAME`` of each benchmark has ``run(seed) -> Result``.
BENCHMARKS = (
    "refusals",
    "fairness",
    "overload",
    "connection_pools",
    "allotment_cost",
    "replica_reads",
    "control",
    "speed",
    "withdrawal",
    "failover",
    "evacuation",
    "concurrency",
)


def _table(result: Result) -> str:
    rows = [result.columns, *[[_cell(value) for value in row] for row in result.rows]]
    widths = [max(len(row[i]) for row in rows) for i in range(len(result.columns))]
    lines = [
        "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)) for row in rows
    ]
    return "\n".join(line.rstrip() for line in lines)


def _cell(value: object) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def main(argv: list[str] | None = None) -> int:
    """Run the benchmarks named on the command line; return the exit status.

    It is 0 if all bounds are met, 1 if one is missed, and 2 if a name is unknown.
    """
    words = sys.argv[1:] if argv is None else argv
    if words[:1] == ["soak"]:
        from bench import soak

        return soak.main(words)
    if words[:1] == ["upgrade"]:
        from bench import upgrade

        return upgrade.main(words)
    if words[:1] == ["promotions"]:
        from bench import promotions

        return promotions.main(words)
    if words[:1] == ["stops"]:
        from bench import stops

        return stops.main(words)
    if words[:1] == ["texts"]:
        from bench import texts

        return texts.main(words)
    if words[:1] == ["changes"]:
        from bench import changes

        return changes.main(words)
    args = docopt(__doc__, argv)
    if args["--list"]:
        print("\n".join(BENCHMARKS))
        return 0
    names = args["NAME"] or list(BENCHMARKS)
    unknown = sorted(set(names) - set(BENCHMARKS))
    if unknown:
        print(f"bench: unknown benchmark: {', '.join(unknown)}", file=sys.stderr)
        return 2
    results = {}
    missed = []
    for name in names:
        result = importlib.import_module(f"bench.{name}").run(int(args["--seed"]))
        print(f"== {name}: {result.title}\n{_table(result)}")
        for bound in result.bounds:
            print(f"{'ok  ' if bound.met else 'MISS'} {bound}")
        missed += [bound for bound in result.bounds if not bound.met]
        results[name] = result.as_json()
    if args["--json"]:
        Path(args["--json"]).write_text(json.dumps(results, indent=2) + "\n")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
