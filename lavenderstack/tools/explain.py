"""Explains the outcome of one request from the log lines of several nodes.

Usage:
  lavenderstack explain ID FILE...
  lavenderstack explain --help

The files contain the lines that nodes write to standard output; ``-`` reads standard
input. Any text before the first brace of a line is ignored, so files from a log
collector that adds a time and a name to each line can be read directly.

Exit status: 0 if the cause was found, 1 if not, 2 if a file can't be read.
"""

import json
import sys
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path

from docopt import docopt

from lavenderstack.core.log.explanation import Explanation, LogLine, explain
from lavenderstack.core.printable import printable

EXIT_NO_CAUSE = 1
EXIT_UNREADABLE = 2


def parse_line(text: str) -> LogLine | None:
    """Parse one line of text; return None if it contains no log line."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        at = datetime.fromisoformat(fields.pop("timestamp")).timestamp()
        node, event = fields.pop("node"), fields.pop("event")
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None
    is_text = isinstance(node, str) and isinstance(event, str)
    return LogLine(at, node, event, fields) if is_text else None


def read_lines(paths: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines of files; ``-`` is standard input."""
    for path in paths:
        text = sys.stdin.read() if path == "-" else Path(path).read_text()
        # A prefix or another writer's text may have other characters that end lines.
        for raw_line in text.split("\n"):
            line = parse_line(raw_line)
            if line is not None:
                yield line


def _format_value(value: object) -> str:
    """Return a value as text; one that might look like further fields is quoted."""
    text = str(value)
    is_quoted = isinstance(value, str) and "=" in text
    return json.dumps(text, ensure_ascii=False) if is_quoted else text


def _format_line(line: LogLine, start: float) -> str:
    fields = " ".join(
        f"{name}={_format_value(value)}"
        for name, value in line.fields.items()
        if name != "level"
    )
    text = f"{line.at - start:+9.3f} s  {line.node:<20} {line.event}  {fields}"
    return printable(text)


def render(explanation: Explanation) -> str:
    """Format an explanation as text, in order of time.

    Lines of the request itself are marked with ``*``.
    """
    request = printable(explanation.request)
    if not explanation.request_lines:
        return f"{request}: no log line mentions it"
    start = explanation.request_lines[0].at
    marked_lines = [(line, "*") for line in explanation.request_lines]
    marked_lines += [(line, " ") for line in explanation.state_lines]
    marked_lines.sort(key=lambda marked: marked[0].at)
    rows = [f"{mark} {_format_line(line, start)}" for line, mark in marked_lines]
    cause = printable(explanation.cause) or "not found in the log lines"
    return "\n".join([f"request {request}", *rows, f"cause: {cause}"])


def run(argv: list[str]) -> int:
    """Run the command; return the exit status."""
    args = docopt(__doc__, argv=["explain", *argv])
    try:
        lines = list(read_lines(args["FILE"]))
    except (OSError, UnicodeDecodeError) as exc:
        print(f"can't be read: {exc}", file=sys.stderr)
        return EXIT_UNREADABLE
    explanation = explain(args["ID"], lines)
    print(render(explanation))
    return 0 if explanation.has_cause else EXIT_NO_CAUSE
