"""The entry: the layer between callers and the router.

It authenticates the caller, decodes the session token, routes the request and encodes
the new token. The caller's API key is not passed beyond this module, only its digest.
"""

from collections.abc import Awaitable
from typing import Protocol

import structlog

from lavenderstack.border.answers import Done
from lavenderstack.border.callers import CallerRequest, StatementBody
from lavenderstack.core import clock, token
from lavenderstack.core.keys import digest_of
from lavenderstack.core.outcome import STALE_RETRY_S, Reason, Refused, Unknown
from lavenderstack.core.request import (
    EVERYONE,
    NO_WATERMARK,
    Answer,
    Caller,
    Request,
)
from lavenderstack.core.token import Watermark
from lavenderstack.core.unique_id import unique_id
from lavenderstack.core.view import Group, View
from lavenderstack.node import transactions
from lavenderstack.node.metrics import Metrics
from lavenderstack.node.router import Router

REFRESH_TIMEOUT_S = 0.5
SLOW_REQUEST_S = 2.0

log = structlog.get_logger()


class StoreView(Protocol):
    """The part of the relay's interface that the entry uses."""

    view: View

    def usable(self, now: float) -> bool:
        """Return whether the view is recent enough for requests that carry a key."""

    async def refresh_view(self, after_revision: int, timeout_s: float) -> bool:
        """Ask once for a newer revision; return whether it came in ``timeout_s``."""


class Entry:
    """Serves callers; implements ``border.callers.Service``."""

    def __init__(self, relay: StoreView, router: Router, metrics: Metrics) -> None:
        self.stopping = False
        self.running = 0
        self._relay = relay
        self._router = router
        self._metrics = metrics

    # Authentication and authorisation.

    async def _authenticate(self, key: str) -> Caller:
        if not key:
            raise Refused(Reason.NO_KEY, "send Authorization: Bearer KEY")
        self._check_usable()
        digest = digest_of(key)
        found = self._relay.view.keys.get(digest)
        if found is None:
            # The key may have been created after this node's revision of the view.
            await self._relay.refresh_view(self._relay.view.revision, REFRESH_TIMEOUT_S)
            self._check_usable()
            found = self._relay.view.keys.get(digest)
        if found is None or found.withdrawn:
            raise Refused(Reason.KEY_REFUSED, "the key is not known or was withdrawn")
        return Caller(found.organisation, digest)

    def _check_usable(self) -> None:
        if not self._relay.usable(clock.now()):
            raise Refused(
                Reason.STALE_VIEW,
                "the node's view of the store is stale",
                STALE_RETRY_S,
            )

    def _allowed_group(self, name: str, caller: Caller) -> Group:
        group = self._relay.view.groups.get(name)
        if group is None:
            raise Refused(Reason.UNKNOWN_GROUP, f"no database group {name!r}")
        if caller.organisation not in group.organisations:
            raise Refused(Reason.NOT_ALLOWED, "the organisation may not use the group")
        return group

    # Session tokens.

    def _token_secret(self) -> bytes:
        secret = self._relay.view.secrets.get("token")
        if secret is None:
            raise Refused(Reason.STALE_VIEW, "no token secret yet", STALE_RETRY_S)
        return secret.encode()

    def _decode_session(self, request: CallerRequest, caller: Caller) -> token.Session:
        if not request.session:
            return token.Session(caller.organisation)
        try:
            return token.decode(
                request.session, [self._token_secret()], caller.organisation
            )
        except token.BadToken as exc:
            raise Refused(Reason.BAD_TOKEN, str(exc)) from exc

    def _updated_token(
        self, session: token.Session, group: str, watermark: Watermark
    ) -> str:
        updated = token.shortened(token.with_watermark(session, group, watermark))
        return token.encode(updated, [self._token_secret()])

    def _with_free_space(self, session: token.Session, group: str) -> token.Session:
        """Return the session with space for a watermark of the group, or refuse it.

        Refuses before the request runs: without the new watermark in the token, later
        reads of the session might miss this request's write.
        """
        if token.has_space(session, group):
            return session
        reached = self._router.reached_by_all(session.watermarks)
        kept = token.without_passed(session, reached)
        if not token.has_space(kept, group):
            raise Refused(Reason.BAD_TOKEN, "too many groups; begin a new session")
        return kept

    # Methods of border.callers.Service.

    async def statement(self, request: CallerRequest) -> Done:
        """Run one statement for the organisation of the key."""
        caller = await self._authenticate(request.key)
        group = self._allowed_group(request.group, caller)
        session = self._with_free_space(
            self._decode_session(request, caller), group.name
        )
        req = _router_request(
            request,
            caller,
            group.name,
            session.watermarks.get(group.name, NO_WATERMARK),
        )
        running = self._router.run(req)
        answer = await self._run_measured(caller, _kind(req), request, running)
        new_token = self._updated_token(session, group.name, answer.watermark)
        return _done(request, answer, new_token)

    async def open_statement(self, request: CallerRequest) -> Done:
        """Run one read-only statement that needs no API key."""
        self._check_usable()
        body: StatementBody = request.body
        group = self._relay.view.groups.get(request.group)
        if group is None:
            raise Refused(Reason.UNKNOWN_GROUP, f"no database group {request.group!r}")
        if body.write or body.statement not in group.open_statements:
            raise Refused(Reason.NOT_ALLOWED, "the statement is not open to everyone")
        req = _router_request(request, EVERYONE, group.name, NO_WATERMARK)
        running = self._router.run(req)
        answer = await self._run_measured(EVERYONE, "open", request, running)
        return _done(request, answer, "")

    async def begin(self, request: CallerRequest) -> Done:
        """Open a transaction."""
        caller = await self._authenticate(request.key)
        group = self._allowed_group(request.group, caller)
        deadline = clock.now() + request.body.deadline_s
        running = self._router.begin(request.request_id, caller, group.name, deadline)
        name = await self._run_measured(caller, "begin", request, running)
        return Done(request_id=request.request_id, result=None, transaction=name)

    async def transaction_statement(self, request: CallerRequest) -> Done:
        """Run one statement in a transaction."""
        caller = await self._authenticate(request.key)
        req = _router_request(request, caller, "", NO_WATERMARK)
        running = self._router.run_in_transaction(req, request.transaction)
        answer = await self._run_measured(caller, "transaction", request, running)
        return Done(request_id=request.request_id, result=answer.result)

    async def commit(self, request: CallerRequest) -> Done:
        """Commit a transaction."""
        return await self._end(request, commit=True)

    async def rollback(self, request: CallerRequest) -> Done:
        """Roll a transaction back."""
        return await self._end(request, commit=False)

    async def _end(self, request: CallerRequest, commit: bool) -> Done:
        caller = await self._authenticate(request.key)
        group = transactions.parse(request.transaction).group
        session = self._with_free_space(self._decode_session(request, caller), group)
        deadline = clock.now() + request.body.deadline_s
        running = self._router.end(
            request.request_id,
            caller,
            request.transaction,
            commit,
            deadline,
            _scoped_key(caller, request.request_id) if commit else "",
        )
        kind = "commit" if commit else "rollback"
        written: Watermark = await self._run_measured(caller, kind, request, running)
        new_token = self._updated_token(session, group, written)
        return Done(request_id=request.request_id, result=None, session=new_token)

    async def _run_measured(
        self, caller: Caller, kind: str, request: CallerRequest, running: Awaitable
    ) -> object:
        """Await a request and record its outcome and duration in the metrics."""
        started = clock.now()
        self.running += 1
        outcome = "unknown"
        try:
            found = await running
            outcome = "done"
            return found
        except Refused as exc:
            outcome = f"refused.{exc.reason}"
            raise
        except Unknown as exc:
            log.warning(
                "entry: outcome unknown",
                request=request.request_id,
                organisation=caller.organisation,
                reason=exc.reason,
                detail=exc.detail,
            )
            raise
        finally:
            self.running -= 1
            elapsed_s = clock.now() - started
            self._metrics.observe(caller.organisation, kind, outcome, elapsed_s)
            if elapsed_s > SLOW_REQUEST_S:
                log.info("entry: slow request", request=request.request_id, kind=kind)


def _scoped_key(caller: Caller, request_id: str) -> str:
    """Return a key that no other organisation and request id have.

    Targets remember keys, and builds that run side by side have to form the same ones.
    So only an organisation with a colon has another separator: a slash, which no
    request id contains. The last slash then ends the organisation.
    """
    separator = "/" if ":" in caller.organisation else ":"
    return f"{caller.organisation}{separator}{request_id}"


def _idempotency_key(body: StatementBody, caller: Caller, request_id: str) -> str:
    """Return the key by which the target detects a repeat of a write; "" for a read.

    A non-idempotent write uses the caller's request id, so that a repeat by the
    caller is detected. An idempotent one gets a random key: its caller may use one
    request id for many writes, and only the router's own repeats must be detected.
    """
    if not body.write:
        return ""
    if body.idempotent:
        return _scoped_key(caller, f"~{unique_id()}")
    return _scoped_key(caller, request_id)


def _router_request(
    request: CallerRequest, caller: Caller, group: str, watermark: Watermark
) -> Request:
    body: StatementBody = request.body
    return Request(
        id=request.request_id,
        caller=caller,
        group=group,
        statement=body.statement,
        args=body.args,
        deadline=clock.now() + body.deadline_s,
        write=body.write,
        idempotent=body.idempotent,
        idempotency_key=_idempotency_key(body, caller, request.request_id),
        fresh=body.fresh,
        max_age_s=body.max_age_s,
        watermark=watermark,
    )


def _kind(req: Request) -> str:
    if req.write:
        return "write"
    return "fresh_read" if req.fresh else "read"


def _done(request: CallerRequest, answer: Answer, session: str) -> Done:
    return Done(
        request_id=request.request_id,
        result=answer.result,
        session=session,
        age_s=answer.age_s,
        replica=answer.replica,
        repeated=answer.repeated,
    )
