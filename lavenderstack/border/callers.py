"""The HTTP interface for callers; the path holds the version of the interface.

========================================================  =====================
route                                                     what it does
========================================================  =====================
``POST /v1/groups/GROUP/statements``                      run one statement
``POST /v1/open/groups/GROUP/statements``                 the same, without a key
``POST /v1/groups/GROUP/transactions``                    open a transaction
``POST /v1/transactions/NAME/statements``                 run a statement in it
``POST /v1/transactions/NAME/commit`` or ``/rollback``    end it
``GET /v1/ready``, ``GET /v1/alive``                      for load balancers
========================================================  =====================

The key is sent as ``Authorization: Bearer KEY`` and the session token as
``Session-Token``; the response carries the token to send next. ``Request-Id``
identifies a request; a non-idempotent one that is sent again with the same id is not
run again. This module validates and parses requests; a ``Service`` carries them out.
"""

import asyncio
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Annotated, Any, Protocol

from aiohttp import web
from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
)

from lavenderstack.border import answers
from lavenderstack.border.settings import Callers
from lavenderstack.core.outcome import Reason, Refused, Unknown
from lavenderstack.core.request import DEFAULT_DEADLINE_S, MAX_DEADLINE_S
from lavenderstack.core.unique_id import unique_id

MAX_DETAIL_CHARS = 500  # of the errors in a body; about ten of them
SESSION_HEADER = "Session-Token"
REQUEST_ID_HEADER = "Request-Id"
_REQUEST_ID = re.compile(r"[A-Za-z0-9_.:-]{1,64}")

# The integers that messages between nodes and to targets can have.
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**64 - 1

Seconds = Annotated[float, Field(gt=0, le=MAX_DEADLINE_S)]


def _checked_args(args: list[Any]) -> list[Any]:
    """Return the arguments; raises ``ValueError`` for one that can't be sent on."""
    waiting = [args]
    while waiting:
        value = waiting.pop()
        if isinstance(value, list):
            waiting += value
        elif isinstance(value, dict):
            waiting += value.values()
        elif isinstance(value, int) and not MIN_INTEGER <= value <= MAX_INTEGER:
            raise ValueError("an integer has more than 64 bits")
    return args


class Body(BaseModel):
    """Base class of request bodies; unknown fields are refused."""

    model_config = ConfigDict(extra="forbid", strict=True)


class StatementBody(Body):
    """One statement; ``max_age_s`` and ``deadline_s`` are in seconds."""

    statement: Annotated[str, Field(min_length=1, max_length=10_000)]
    args: Annotated[list[Any], AfterValidator(_checked_args)] = []
    write: bool = False
    idempotent: bool = True
    fresh: bool = False
    max_age_s: Annotated[float, Field(gt=0, le=86_400)] | None = None
    deadline_s: Seconds = DEFAULT_DEADLINE_S


class TransactionBody(Body):
    """The body of requests that begin or end a transaction."""

    deadline_s: Seconds = DEFAULT_DEADLINE_S


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A parsed request.

    The key is not passed on beyond the entry node and, like the session token, is
    left out of ``repr`` so that it does not get into logs.
    """

    request_id: str
    key: str = field(repr=False)
    session: str = field(repr=False)
    body: Any
    group: str = ""
    transaction: str = ""


class Service(Protocol):
    """Carries out requests; each method raises ``Refused`` or ``Unknown``."""

    stopping: bool

    async def statement(self, request: CallerRequest) -> answers.Done:
        """Run one statement for the organisation that owns the key."""

    async def open_statement(self, request: CallerRequest) -> answers.Done:
        """Run one statement that needs no key."""

    async def begin(self, request: CallerRequest) -> answers.Done:
        """Open a transaction."""

    async def transaction_statement(self, request: CallerRequest) -> answers.Done:
        """Run one statement in a transaction."""

    async def commit(self, request: CallerRequest) -> answers.Done:
        """Commit a transaction."""

    async def rollback(self, request: CallerRequest) -> answers.Done:
        """Roll back a transaction."""


def _bearer(req: web.Request) -> str:
    scheme, _, key = req.headers.get("Authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _request_id(req: web.Request) -> str:
    request_id = req.headers.get(REQUEST_ID_HEADER)
    if request_id is None:
        return unique_id()
    if not _REQUEST_ID.fullmatch(request_id):
        detail = f"{REQUEST_ID_HEADER} takes 1 to 64 of A-Z a-z 0-9 _ . : -"
        raise Refused(Reason.BAD_REQUEST, detail)
    return request_id


async def _read_body(req: web.Request, limits: Callers) -> bytes:
    try:
        if req.content.is_eof():
            # The whole body came with the headers, so no timeout is needed.
            return await req.read()
        async with asyncio.timeout(limits.body_timeout_s):
            return await req.read()
    except TimeoutError as exc:
        raise Refused(Reason.BAD_REQUEST, "the body was not received in time") from exc
    except web.HTTPRequestEntityTooLarge as exc:
        detail = f"the body is longer than {limits.body_limit_b} bytes"
        raise Refused(Reason.BAD_REQUEST, detail) from exc


def _parse(model: type[Body], data: bytes) -> Body:
    try:
        return model.model_validate_json(data or b"{}")
    except ValidationError as exc:
        raise Refused(Reason.BAD_REQUEST, _describe_errors(exc)) from exc


def _describe_errors(exc: ValidationError) -> str:
    """Return the errors with their fields, without the values that were sent.

    The names and number of fields are the caller's, so the text is cut.
    """
    errors = exc.errors(include_url=False, include_input=False)
    text = "; ".join(f"{'.'.join(map(str, e['loc']))}: {e['msg']}" for e in errors)
    return text if len(text) <= MAX_DETAIL_CHARS else text[:MAX_DETAIL_CHARS] + "..."


def _handler(
    model: type[Body],
    call: Callable[[CallerRequest], Awaitable[answers.Done]],
    service: Service,
    limits: Callers,
) -> Callable[[web.Request], Awaitable[web.Response]]:
    async def handle(req: web.Request) -> web.Response:
        request_id = ""
        try:
            request_id = _request_id(req)
            request = CallerRequest(
                request_id=request_id,
                key=_bearer(req),
                session=req.headers.get(SESSION_HEADER, ""),
                body=_parse(model, await _read_body(req, limits)),
                group=req.match_info.get("group", ""),
                transaction=req.match_info.get("transaction", ""),
            )
            answer = await call(request)
            resp = answers.done(answer)
            if answer.session:
                resp.headers[SESSION_HEADER] = answer.session
        except Refused as exc:
            resp = answers.refused(request_id, exc)
        except Unknown as exc:
            resp = answers.unknown(request_id, exc)
        resp.headers[REQUEST_ID_HEADER] = request_id
        if service.stopping:
            resp.force_close()
        return resp

    return handle


def _ready(service: Service) -> Callable[[web.Request], Awaitable[web.Response]]:
    async def handle(_: web.Request) -> web.Response:
        if service.stopping:
            return web.Response(status=503, text="stopping\n")
        return web.Response(text="ready\n")

    return handle


async def _alive(_: web.Request) -> web.Response:
    return web.Response(text="alive\n")


def make_app(service: Service, limits: Callers) -> web.Application:
    """Return the application that serves callers within ``limits``."""
    app = web.Application(client_max_size=limits.body_limit_b)

    def handler(
        model: type[Body], call: Callable[[CallerRequest], Awaitable[answers.Done]]
    ):
        return _handler(model, call, service, limits)

    statement = handler(StatementBody, service.statement)
    open_statement = handler(StatementBody, service.open_statement)
    transaction_statement = handler(StatementBody, service.transaction_statement)
    begin = handler(TransactionBody, service.begin)
    commit = handler(TransactionBody, service.commit)
    rollback = handler(TransactionBody, service.rollback)
    app.router.add_post("/v1/groups/{group}/statements", statement)
    app.router.add_post("/v1/open/groups/{group}/statements", open_statement)
    app.router.add_post("/v1/groups/{group}/transactions", begin)
    app.router.add_post(
        "/v1/transactions/{transaction}/statements", transaction_statement
    )
    app.router.add_post("/v1/transactions/{transaction}/commit", commit)
    app.router.add_post("/v1/transactions/{transaction}/rollback", rollback)
    app.router.add_get("/v1/ready", _ready(service))
    app.router.add_get("/v1/alive", _alive)
    return app
