"""Shared by the handlers of the operators' API: headers, bodies, the log of changes."""

import uuid
from typing import Any

import structlog
from aiohttp import web

from lavenderstack.border.admin_answers import Problem, invalid
from lavenderstack.border.changes import Accepted, Outcome, Stored
from lavenderstack.core.entry import Change

MAX_CHANGE_ID_CHARS = 200
LOGGED_DIGEST_CHARS = 12  # logs never contain a whole digest
MAX_REVISION = 2**63 - 1  # the store's revisions are signed integers of 64 bits
OPERATOR = web.RequestKey("operator", str)

log = structlog.get_logger()


def if_match(req: web.Request) -> int:
    """Return the revision that the caller expects; raises ``Problem`` without one."""
    text = req.headers.get("If-Match", "").strip().strip('"')
    if not text:
        raise Problem(428, "no_revision")
    return parse_revision(text, "If-Match: expected the revision that was read")


def parse_revision(text: str, mistake: str) -> int:
    """Return a revision; raises ``Problem`` with the mistake if no entry can have it.

    The length is checked first, since ``int`` refuses more than 4,300 digits.
    """
    if not (text.isdecimal() and len(text) <= len(str(MAX_REVISION))):
        raise invalid(mistake)
    revision = int(text)
    if revision > MAX_REVISION:
        raise invalid(mistake)
    return revision


def change_id_from(req: web.Request) -> str:
    """Return the id of the change, a new one if the caller sent none.

    It is stored in the entry, which nodes reject if a text in it isn't Unicode.
    Raises ``Problem``.
    """
    change_id = req.headers.get("Change-Id") or uuid.uuid4().hex
    if not (change_id.isprintable() and len(change_id) <= MAX_CHANGE_ID_CHARS):
        raise invalid(f"Change-Id: expected up to {MAX_CHANGE_ID_CHARS} characters")
    return change_id


async def read_body(req: web.Request) -> dict:
    """Return the JSON object in the body; raises ``Problem`` if there is none."""
    try:
        body = await req.json()
    except (ValueError, LookupError, RecursionError) as exc:
        # LookupError: an unknown charset; RecursionError: too many nested lists.
        raise invalid("the body is not JSON") from exc
    if not isinstance(body, dict):
        raise invalid("the body is not an object")
    return body


def with_revision(document: Any, entry: Change | None) -> web.Response:
    """Return the response with a document and the revision of its entry."""
    revision = entry.revision if entry else 0
    resp = web.json_response({"revision": revision, "entries": document})
    resp.headers["ETag"] = f'"{revision}"'
    return resp


def log_change(req: web.Request, name: str, change_id: str, outcome: Outcome) -> None:
    """Log an operator's change of the entry ``name``, in force or not."""
    folder, slash, name_part = name.rpartition("/")
    if folder == "keys":
        name_part = name_part[:LOGGED_DIGEST_CHARS]
    in_store = isinstance(outcome, Accepted | Stored)
    log.info(
        "admin: change",
        operator=req[OPERATOR],
        what=folder + slash + name_part,
        change_id=change_id,
        outcome=type(outcome).__name__,
        revision=outcome.revision if in_store else None,
    )
