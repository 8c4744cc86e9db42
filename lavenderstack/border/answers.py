"""The responses that callers get, by outcome and reason.

There are three outcomes. ``done``: the request took effect and ``result`` holds its
complete result. ``refused``: it was not run; ``retry_after_s`` says when to retry, if
a retry can help. ``unknown``: it may have run.
"""

import math
import random
from typing import Any

import msgspec
from aiohttp import web

from lavenderstack.core.outcome import Reason, Refused, Unknown

# Up to this share is added to a retry time, so that callers do not retry all at once.
RETRY_JITTER_SHARE = 0.25

STATUS_OF_REFUSAL: dict[Reason, int] = {
    Reason.BAD_REQUEST: 400,
    Reason.BAD_TOKEN: 400,
    Reason.NO_KEY: 401,
    Reason.KEY_REFUSED: 401,
    Reason.NOT_ALLOWED: 403,
    Reason.UNKNOWN_GROUP: 404,
    Reason.STATEMENT_FAILED: 409,
    Reason.TRANSACTION_LOST: 409,
    Reason.OVER_RATE: 429,
    Reason.CROWDED: 503,
    Reason.DEADLINE: 503,
    Reason.BEHIND: 503,
    Reason.NO_PRIMARY: 503,
    Reason.NOT_PRIMARY: 503,
    Reason.LEAVING: 503,
    Reason.UNREACHABLE: 503,
    Reason.STALE_VIEW: 503,
    Reason.EVACUATED: 503,
}
STATUS_OF_UNKNOWN = 504

_encoder = msgspec.json.Encoder()


class Done(msgspec.Struct, kw_only=True):
    """The request took effect.

    ``replica`` says whether a replica served it. ``repeated`` is True if it had
    already taken effect under the same request id; its result is then no longer
    available. ``age_s`` is the age of the data in seconds, if known.
    """

    outcome: str = "done"
    request_id: str
    result: Any
    session: str = ""
    age_s: float | None = None
    replica: bool | None = None
    repeated: bool = False
    transaction: str = ""


class RefusedAnswer(msgspec.Struct, kw_only=True):
    """The request was not run."""

    outcome: str = "refused"
    request_id: str
    reason: str
    detail: str
    retry_after_s: float | None


class UnknownAnswer(msgspec.Struct, kw_only=True):
    """The request may have run."""

    outcome: str = "unknown"
    request_id: str
    reason: str
    detail: str


def _response(status: int, body: msgspec.Struct) -> web.Response:
    return web.Response(
        status=status,
        body=_encoder.encode(body),
        content_type="application/json",
    )


def done(answer: Done) -> web.Response:
    """Return the response to a request that took effect."""
    return _response(200, answer)


def refused(request_id: str, exc: Refused) -> web.Response:
    """Return the response to a request that was not run."""
    status = STATUS_OF_REFUSAL.get(exc.reason, 503)
    retry_after_s = _jittered(exc.retry_after_s)
    body = RefusedAnswer(
        request_id=request_id,
        reason=exc.reason,
        detail=exc.detail,
        retry_after_s=retry_after_s,
    )
    resp = _response(status, body)
    if retry_after_s is not None:
        # The header allows only whole seconds; the body has the exact value.
        resp.headers["Retry-After"] = str(math.ceil(retry_after_s))
    return resp


def unknown(request_id: str, exc: Unknown) -> web.Response:
    """Return the response to a request whose outcome is unknown."""
    body = UnknownAnswer(request_id=request_id, reason=exc.reason, detail=exc.detail)
    return _response(STATUS_OF_UNKNOWN, body)


def _jittered(retry_after_s: float | None) -> float | None:
    if retry_after_s is None:
        return None
    return round(retry_after_s * random.uniform(1.0, 1.0 + RETRY_JITTER_SHARE), 3)
