"""Tells the story of one request from the log lines of several nodes.

Usage:
  lavenderstack explain ID FILE...
  lavenderstack explain --help

The files hold the lines that nodes write to standard output; ``-`` reads standard
input. What stands before the first brace of a line is passed over, so the output of a
collector that puts a time and a name in front can be read as it is.

Exit status: 0 if the cause was told, 1 if not, 2 if a file can't be read.
"""

import json
import sys
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path

from docopt import docopt

from lavenderstack.core.explanation import Explanation, LogLine, explain

NOT_TOLD = 1
UNREADABLE = 2


def parse_line(text: str) -> LogLine | None:
    """Return the log line in a line of text, or None if there is none."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        at = datetime.fromisoformat(fields.pop("timestamp")).timestamp()
        return LogLine(at, fields.pop("node"), fields.pop("event"), fields)
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _lines(paths: Iterable[str]) -> Iterator[LogLine]:
    for path in paths:
        text = sys.stdin.read() if path == "-" else Path(path).read_text()
        for one in text.splitlines():
            line = parse_line(one)
            if line is not None:
                yield line


def _shown(line: LogLine, start: float) -> str:
    fields = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name != "level"
    )
    return f"{line.at - start:+9.3f} s  {line.node:<20} {line.event}  {fields}"


def render(story: Explanation) -> str:
    """Return a story as text, in order of time."""
    if not story.request_lines:
        return f"{story.request}: no line mentions it"
    start = story.request_lines[0].at
    marked = [(line, "*") for line in story.request_lines]
    marked += [(line, " ") for line in story.state_lines]
    marked.sort(key=lambda one: one[0].at)
    rows = [f"{mark} {_shown(line, start)}" for line, mark in marked]
    cause = story.cause or "not told by any line"
    return "\n".join([f"request {story.request}", *rows, f"cause: {cause}"])


def run(argv: list[str]) -> int:
    """Run the command; return the exit status."""
    args = docopt(__doc__, argv=["explain", *argv])
    try:
        lines = list(_lines(args["FILE"]))
    except (OSError, UnicodeDecodeError) as exc:
        print(f"can't be read: {exc}", file=sys.stderr)
        return UNREADABLE
    story = explain(args["ID"], lines)
    print(render(story))
    return 0 if story.has_cause else NOT_TOLD
