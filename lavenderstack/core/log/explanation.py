"""Explains the outcome of one request from the log lines of several nodes.

The lines about the request itself show only what was decided. The state of the nodes
at that time is in the lines about the target, the organisation and the nodes involved,
so those around the time of the request are included as well.
"""

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from lavenderstack.core.log.bounded_fields import bounded
from lavenderstack.core.log.events import EVENTS, LineKind

# Older state changes rarely explain a request, even if they still apply.
CONTEXT_BEFORE_S = 10.0
CONTEXT_AFTER_S = 0.5

Fields = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line; ``at`` is in seconds of its node's clock, ``event`` the text."""

    at: float
    node: str
    event: str
    fields: Fields


# What each reason of a failed request means.
CAUSES = {
    "over_rate": "its organisation had no token left; detail says who refused it",
    "stale_view": "the node had no recent proof of which keys are withdrawn",
    "key_refused": "the key is not in force in the version that the line names",
    "no_key": "the route needs a key and the caller sent none",
    "unknown_group": "no route has this database in the version that the line names",
    "crowded": "the wait at the target would have been longer than the time left",
    "deadline": "no slot at the target was free before the statement's deadline",
    "behind": "no target held the position that the read had to see",
    "no_primary": "the group had no primary that this node knew",
    "not_primary": "the target that was asked was no longer the primary",
    "unreachable": "none of the nodes asked could reach the target",
    "connection_lost": "the connection to target or holder was lost after sending",
    "outcome_unknown": "a write was sent and never answered",
    "timed_out": "the target or its holder didn't answer before the deadline",
    "transaction_lost": "its transaction was rolled back; detail says why",
    "statement_failed": "the target ran the statement and answered that it failed",
    "bad_request": "the caller sent a request that can't be run",
    "no_prepared": "the caller used a name that it had not prepared",
    "no_connection": "the target allows no more connections",
    "wrong_target": "another target answered at the address",
    "leaving": "the node was stopping",
    "unconfirmed": "the write was not confirmed by a majority",
    "not_allowed": "the organisation may not use the database",
    "bad_token": "the session token can't be used",
    "evacuated": "its zone is evacuated, and no target outside could run it",
    "outside_homes": "no target in the home regions could run it",
}


@dataclass(slots=True)
class Explanation:
    """The log lines of a request, those about the state of the nodes, and the cause."""

    request: str
    request_lines: list[LogLine] = field(default_factory=list)
    state_lines: list[LogLine] = field(default_factory=list)
    cause: str = ""

    @property
    def has_cause(self) -> bool:
        """Whether the cause is known."""
        return bool(self.cause)


def _names_in(lines: Iterable[LogLine]) -> set[str]:
    """Return the names of the targets and nodes that the lines mention."""
    found: set[str] = set()
    for line in lines:
        found.add(line.node)
        for name in ("target", "holder"):
            value = line.fields.get(name)
            if value and isinstance(value, str):
                found.add(value)
    return found


def _mentions(line: LogLine, names: set[str]) -> bool:
    values = {value for value in line.fields.values() if isinstance(value, str)}
    if values & names:
        return True
    event = EVENTS.get(line.event)
    is_life_cycle = event is not None and event.kind is LineKind.LIFE
    return is_life_cycle and line.node in names


def explain(request: str, lines: Iterable[LogLine]) -> Explanation:
    """Explain a request; ``cause`` is empty if no line shows it.

    Lines have a long id in its cut form, those of earlier builds as it was sent.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    ids = (request, bounded(request))
    request_lines = [line for line in ordered if line.fields.get("request") in ids]
    explanation = Explanation(bounded(request), request_lines)
    if not request_lines:
        return explanation
    names = _names_in(request_lines)
    start, end = (
        request_lines[0].at - CONTEXT_BEFORE_S,
        request_lines[-1].at + CONTEXT_AFTER_S,
    )
    explanation.state_lines = [
        line
        for line in ordered
        if start <= line.at <= end
        and "request" not in line.fields
        and _mentions(line, names)
    ]
    explanation.cause = _cause(request_lines)
    return explanation


def _cause(request_lines: list[LogLine]) -> str:
    """Return the cause in the last line that has a known reason, or an empty string.

    A request without a failure counts as served if a line says that it was done.
    """
    for line in reversed(request_lines):
        reason = line.fields.get("reason")
        if isinstance(reason, str) and reason in CAUSES:
            detail = re.sub(r"\s+", " ", str(line.fields.get("detail", "")))
            suffix = f" ({detail})" if detail else ""
            return f"{reason}: {CAUSES[reason]}{suffix}"
    return (
        "served"
        if any(one.event == "callers: request done" for one in request_lines)
        else ""
    )
