"""The story of one request, put together from the log lines of several nodes.

Lines about the request come first to mind, but they tell only what was decided. What
the nodes believed then is in the lines about the target, the organisation and the
nodes that the request met; those of the seconds before it ended are told as well.
"""

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from lavenderstack.core.events import EVENTS, LineKind

# Beliefs older than this are in force but explain little.
BEFORE_S = 10.0
AFTER_S = 0.5

Fields = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line: when, by the clock of its node, and what it says."""

    at: float
    node: str
    event: str
    fields: Fields


# The final word on a request: each reason, and what it means to the caller.
CAUSES = {
    "over_rate": "its organisation had no token left; detail names who said so",
    "stale_view": "the node had no recent proof of which keys are withdrawn",
    "key_refused": "the key is not in force in the version that the line names",
    "no_key": "the route needs a key and none came",
    "unknown_group": "no route has this database in the version that the line names",
    "crowded": "the queue at the target was longer than the time left",
    "deadline": "no slot at the target was free in the statement's time",
    "behind": "no target held the position that the read had to see",
    "no_primary": "the group had no primary that this node knew",
    "not_primary": "the target that was asked did not lead any more",
    "unreachable": "no node that was asked reached the target",
    "connection_lost": "the connection to target or holder was lost after sending",
    "outcome_unknown": "a write was sent and its answer never came",
    "timed_out": "the target or its holder gave no answer in the statement's time",
    "transaction_lost": "its transaction was rolled back; detail says why",
    "statement_failed": "the target ran the statement and answered that it failed",
    "bad_request": "the caller sent what can't be run",
    "no_prepared": "the caller used a name that it had not prepared",
    "no_connection": "the target allows no more connections",
    "wrong_target": "another target answered at the address",
    "leaving": "the node was stopping",
    "unconfirmed": "the write was not confirmed by a majority",
    "not_allowed": "the organisation may not use the database",
    "bad_token": "the session token can't be used",
}


@dataclass(slots=True)
class Explanation:
    """What was found: the request's own lines, what was believed, and the cause."""

    request: str
    request_lines: list[LogLine] = field(default_factory=list)
    state_lines: list[LogLine] = field(default_factory=list)
    cause: str = ""

    @property
    def has_cause(self) -> bool:
        """Whether the cause is known."""
        return bool(self.cause)


def _named(lines: Iterable[LogLine]) -> set[str]:
    """Return the targets, nodes and groups that the lines speak of."""
    found: set[str] = set()
    for line in lines:
        found.add(line.node)
        for name in ("target", "holder"):
            value = line.fields.get(name)
            if value:
                found.add(value)
    return found


def _speaks_of(line: LogLine, names: set[str]) -> bool:
    values = {value for value in line.fields.values() if isinstance(value, str)}
    if values & names:
        return True
    event = EVENTS.get(line.event)
    life = event is not None and event.kind is LineKind.LIFE
    return life and line.node in names


def explain(request: str, lines: Iterable[LogLine]) -> Explanation:
    """Return the story of a request; ``cause`` is empty if no line decides it."""
    ordered = sorted(lines, key=lambda line: line.at)
    request_lines = [line for line in ordered if line.fields.get("request") == request]
    story = Explanation(request, request_lines)
    if not request_lines:
        return story
    names = _named(request_lines)
    start, end = request_lines[0].at - BEFORE_S, request_lines[-1].at + AFTER_S
    story.state_lines = [
        line
        for line in ordered
        if start <= line.at <= end
        and "request" not in line.fields
        and _speaks_of(line, names)
    ]
    story.cause = _cause(request_lines)
    return story


def _cause(request_lines: list[LogLine]) -> str:
    """Return what the last deciding line says; an earlier one if it has none."""
    for line in reversed(request_lines):
        reason = line.fields.get("reason")
        if reason in CAUSES:
            detail = re.sub(r"\s+", " ", str(line.fields.get("detail", "")))
            said = f" ({detail})" if detail else ""
            return f"{reason}: {CAUSES[reason]}{said}"
    return (
        "served"
        if any(one.event == "callers: request done" for one in request_lines)
        else ""
    )
