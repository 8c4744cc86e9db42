"""The responses that operators get.

======  ==================  ====================================================
status  outcome             meaning
======  ==================  ====================================================
200     ``accepted``        in the store, passed to the store readers of this zone
202     ``stored``          in the store, not yet known in force; ask /v1/revision
400     ``invalid``         nothing changed; ``mistakes`` says what to correct
401     ``no_operator``     nothing changed; no operator has this key
404     ``not_found``       nothing changed; there is no such entry
412     ``conflict``        not in force; ``current`` is the stored entry
428     ``no_revision``     nothing changed; send If-Match with the revision read
503     ``not_changed``     nothing changed; try again later
504     ``maybe_changed``   may take effect; the same request with the same
                            Change-Id resolves it
======  ==================  ====================================================
"""

from functools import singledispatch
from typing import Any

from aiohttp import web

from lavenderstack.border.changes import (
    Accepted,
    Conflict,
    MaybeChanged,
    NotChanged,
    Outcome,
    Stored,
    document_of,
)
from lavenderstack.border.documents import unwrap_entries


class Problem(Exception):
    """A request that is answered with an error; nothing was changed.

    ``status`` is the HTTP status, ``body`` the JSON object of the response.
    """

    def __init__(self, status: int, outcome: str, **fields: Any) -> None:
        super().__init__(outcome)
        self.status = status
        self.body = {"outcome": outcome, **fields}


def invalid(*mistakes: str) -> Problem:
    """Return the error for an invalid request."""
    return Problem(400, "invalid", mistakes=list(mistakes))


@singledispatch
def _answer(outcome: Outcome, _: dict) -> tuple[int, dict]:
    raise TypeError(type(outcome).__name__)


@_answer.register
def _(outcome: Accepted, _: dict) -> tuple[int, dict]:
    return 200, {"outcome": "accepted", "revision": outcome.revision}


@_answer.register
def _(outcome: Stored, _: dict) -> tuple[int, dict]:
    return 202, {"outcome": "stored", "revision": outcome.revision}


@_answer.register
def _(outcome: Conflict, wanted: dict) -> tuple[int, dict]:
    current = document_of(outcome.current) or {}
    body = {
        "outcome": "conflict",
        "revision": outcome.current.revision if outcome.current else 0,
        "operator": current.get("operator", ""),
        "current": unwrap_entries(current),
        "differences": differences(unwrap_entries(current), unwrap_entries(wanted)),
        "maybe_in_force_before": outcome.answer_lost,
    }
    return 412, body


@_answer.register
def _(outcome: NotChanged, _: dict) -> tuple[int, dict]:
    return 503, {"outcome": "not_changed", "why": outcome.why}


@_answer.register
def _(outcome: MaybeChanged, _: dict) -> tuple[int, dict]:
    return 504, {"outcome": "maybe_changed"}


def differences(current: dict, wanted: dict) -> dict[str, dict]:
    """Return the differing entries by name, as ``current`` and ``wanted``.

    The value of an entry that is missing on one side is None.

    >>> differences({"a": 1, "b": 2}, {"a": 1})
    {'b': {'current': 2, 'wanted': None}}
    """
    names = sorted(set(current) | set(wanted))
    pairs = {name: (current.get(name), wanted.get(name)) for name in names}
    return {
        name: {"current": old, "wanted": new}
        for name, (old, new) in pairs.items()
        if old != new
    }


def answer(outcome: Outcome, wanted: dict, change_id: str) -> web.Response:
    """Return the response to a change."""
    status, body = _answer(outcome, wanted)
    resp = web.json_response(body | {"change_id": change_id}, status=status)
    if "revision" in body:
        resp.headers["ETag"] = f'"{body["revision"]}"'
    return resp
