"""Shows what callers got, from the log lines of many nodes.

Usage:
  lavenderstack measures FILE...
  lavenderstack measures --help

The files contain the lines that nodes write to standard output, as for ``explain``. It
prints the share of reads that replicas served, the gap in writes at each failover, the
worst-served organisation, and refusals over the rate. Lines of served requests are a
sample, so the shares are estimates.

Exit status: 0, or 2 if a file can't be read or has no line of a request.
"""

import sys

from docopt import docopt

from lavenderstack.core.log.service_measures import Measures, measure
from lavenderstack.core.printable import printable
from lavenderstack.tools.explain import EXIT_UNREADABLE, read_lines


def render(measures: Measures) -> str:
    """Format measures as text."""
    lines = [
        f"reads at replicas, {freshness or 'no route'}: {share:.1%}"
        for freshness, share in sorted(measures.replica_share.items())
    ]
    lines += [
        f"failover of {one.group}: {one.gap_s:.2f} s without a served write"
        for one in measures.write_gaps
    ]
    name, share = measures.worst
    lines.append(f"worst-served organisation: {name}, {share:.1%} of its requests")
    lines.append(
        f"refused over the rate: {measures.over_rate} of {measures.requests} requests, "
        f"{measures.fallback_refusals} of these without the quota coordinator"
    )
    return "\n".join(map(printable, lines))


def run(argv: list[str]) -> int:
    """Run the command with its arguments; return the exit status."""
    args = docopt(__doc__, argv=["measures", *argv])
    try:
        measures = measure(read_lines(args["FILE"]))
    except (OSError, UnicodeDecodeError) as exc:
        print(f"can't be read: {exc}", file=sys.stderr)
        return EXIT_UNREADABLE
    if not measures.requests:
        print("no line of a request in these files", file=sys.stderr)
        return EXIT_UNREADABLE
    print(render(measures))
    return 0
