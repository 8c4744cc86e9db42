"""The operators' API: plans, bought plans, keys, groups and the state of changes.

An operator's key is sent as ``Authorization: Bearer KEY``; the settings hold its
digest. The plans, the bought plans and each group are read with a revision (``ETag``)
that the write must send as ``If-Match``. If two operators write at the same time, one
of them gets a conflict that shows the other's changes. ``Change-Id`` identifies a
change; a change that is sent again with the same id takes effect at most once.
Callers' keys are never sent here: the ``admin`` command creates the key and sends only
its digest.

==========================================  =====================================
``GET, PUT /v1/plans``                      the limits of each plan
``GET, PUT /v1/bought``                     the plan of each organisation
``GET, PUT /v1/groups/NAME``                a database group
``GET /v1/groups``                          all groups
``GET /v1/keys?organisation=NAME``          keys by digest
``PUT /v1/keys/DIGEST``                     grant a key to an organisation
``POST /v1/keys/DIGEST/withdraw``           withdraw it permanently
``/v1/evacuations``                         see ``border/evacuations.py``
``GET /v1/status``                          this node's view and its age
``GET /v1/revision?at=REVISION``            number of nodes where it is in force
==========================================  =====================================
"""

import re
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import asdict
from typing import Any

import structlog
from aiohttp import web
from pydantic import TypeAdapter, ValidationError

from lavenderstack.border import documents, evacuations
from lavenderstack.border.admin_answers import Problem, answer, invalid
from lavenderstack.border.admin_requests import (
    OPERATOR,
    change_id_from,
    if_match,
    log_change,
    parse_revision,
    read_body,
    with_revision,
)
from lavenderstack.border.changes import (
    CHANGE_ID,
    AdminRelay,
    ChangeWriter,
    Conflict,
    document_of,
)
from lavenderstack.border.store import Store, StoreError
from lavenderstack.core import clock, keys

MAX_BODY_B = 1024 * 1024
MAX_WITHDRAW_ATTEMPTS = 5

log = structlog.get_logger()

CountInForce = Callable[[int], Awaitable[Mapping[str, Any]]]
_DIGEST = re.compile(r"[0-9a-f]{64}")
_NAME = TypeAdapter(documents.Name)


def make_app(
    store: Store,
    relay: AdminRelay,
    operators: Mapping[str, str],
    count_in_force: CountInForce,
) -> web.Application:
    """Return the application.

    ``operators`` maps a name to the digest of that operator's key.
    ``count_in_force`` returns the number of nodes with a revision in force, by zone.
    """
    admin = _Admin(store, relay, count_in_force)
    app = web.Application(
        client_max_size=MAX_BODY_B,
        middlewares=[_error_responses, _require_operator(operators)],
    )
    for name in ("plans", "bought"):
        app.router.add_get(f"/v1/{{list:{name}}}", admin.get_list)
        app.router.add_put(f"/v1/{{list:{name}}}", admin.put_list)
    app.router.add_get("/v1/groups", admin.get_groups)
    app.router.add_get("/v1/groups/{name}", admin.get_group)
    app.router.add_put("/v1/groups/{name}", admin.put_group)
    app.router.add_get("/v1/keys", admin.get_keys)
    app.router.add_put("/v1/keys/{digest}", admin.grant)
    app.router.add_post("/v1/keys/{digest}/withdraw", admin.withdraw)
    evacuations.add_routes(app, store, relay)
    app.router.add_get("/v1/status", admin.status)
    app.router.add_get("/v1/revision", admin.revision)
    return app


@web.middleware
async def _error_responses(req: web.Request, handler) -> web.StreamResponse:
    try:
        return await handler(req)
    except Problem as exc:
        return web.json_response(exc.body, status=exc.status)
    except StoreError:
        body = {"outcome": "not_changed", "why": "the store is unreachable"}
        return web.json_response(body, status=503)
    except ValidationError as exc:
        mistakes = documents.describe_errors(exc).split("; ")
        body = {"outcome": "invalid", "mistakes": mistakes}
        return web.json_response(body, status=400)


def _require_operator(operators: Mapping[str, str]):
    @web.middleware
    async def check(req: web.Request, handler) -> web.StreamResponse:
        scheme, _, key = req.headers.get("Authorization", "").partition(" ")
        name = keys.owner_of(key.strip(), operators)
        if scheme.lower() != "bearer" or name is None:
            resource = req.match_info.route.resource
            # Without the names in the path: one may be a key or its whole digest.
            path = resource.canonical if resource else ""
            log.warning("admin: unknown operator key", path=path, peer=req.remote)
            raise Problem(401, "no_operator")
        req[OPERATOR] = name
        return await handler(req)

    return check


def _digest(req: web.Request) -> str:
    digest = req.match_info["digest"]
    if not _DIGEST.fullmatch(digest):
        raise invalid("expected the digest of a key, 64 hex digits")
    return digest


class _Admin:
    """The request handlers; each serves one route of the table above."""

    def __init__(
        self, store: Store, relay: AdminRelay, count_in_force: CountInForce
    ) -> None:
        self._writer = ChangeWriter(store, relay)
        self._relay = relay
        self._count_in_force = count_in_force

    async def get_list(self, req: web.Request) -> web.Response:
        """Return the plans or the bought plans, read from the store."""
        entry = await self._writer.read(f"lavenderstack/{req.match_info['list']}")
        return with_revision(documents.unwrap_entries(document_of(entry)) or {}, entry)

    async def put_list(self, req: web.Request) -> web.Response:
        """Replace the plans or the bought plans."""
        name, expected_revision, entries = req.match_info["list"], if_match(req), None
        entries = await read_body(req)
        if name == "plans":
            entries = _normalise(documents.PLANS, entries)
            await self._check_plans(entries)
        else:
            entries = _normalise(documents.BOUGHT, entries)
            await self._check_bought(entries)
        return await self._write(req, name, {"entries": entries}, expected_revision)

    async def _check_plans(self, plans: dict) -> None:
        entry = await self._writer.read("lavenderstack/bought")
        bought = documents.unwrap_entries(document_of(entry)) or {}
        missing = sorted(set(bought.values()) - set(plans))
        if missing:
            raise invalid(*(f"{plan}: still bought" for plan in missing))

    async def _check_bought(self, bought: dict) -> None:
        entry = await self._writer.read("lavenderstack/plans")
        plans = documents.unwrap_entries(document_of(entry)) or {}
        unknown = sorted(o for o, plan in bought.items() if plan not in plans)
        if unknown:
            raise invalid(*(f"{name}: no such plan" for name in unknown))

    async def _write(
        self, req: web.Request, name: str, document: dict, expected_revision: int
    ) -> web.Response:
        change_id = change_id_from(req)
        document = document | {CHANGE_ID: change_id, "operator": req[OPERATOR]}
        key = f"lavenderstack/{name}"
        outcome = await self._writer.write(key, document, expected_revision)
        log_change(req, name, change_id, outcome)
        return answer(outcome, document, change_id)

    async def get_groups(self, _: web.Request) -> web.Response:
        """Return the groups in this node's view."""
        groups = self._relay.view.groups.values()
        result = {group.name: _group_document(group) for group in groups}
        body = {"revision": self._relay.view.revision, "entries": result}
        return web.json_response(body)

    async def get_group(self, req: web.Request) -> web.Response:
        """Return one group, read from the store."""
        entry = await self._writer.read(f"lavenderstack/groups/{_name(req)}")
        if entry is None:
            raise Problem(404, "not_found")
        return with_revision(document_of(entry), entry)

    async def put_group(self, req: web.Request) -> web.Response:
        """Replace one group, or create it (``If-Match: "0"``)."""
        name, expected_revision = _name(req), if_match(req)
        model = documents.GroupModel.model_validate(await read_body(req))
        document = model.model_dump(mode="json")
        return await self._write(req, f"groups/{name}", document, expected_revision)

    async def get_keys(self, req: web.Request) -> web.Response:
        """Return the keys in this node's view, by digest."""
        organisation = req.query.get("organisation")
        in_view = self._relay.view.keys.values()
        result = [asdict(k) for k in in_view if organisation in (None, k.organisation)]
        body = {"revision": self._relay.view.revision, "keys": result}
        return web.json_response(body)

    async def grant(self, req: web.Request) -> web.Response:
        """Grant a new key; repeating the same grant announces it again."""
        digest = _digest(req)
        model = documents.KeyModel.model_validate(await read_body(req))
        document = {"organisation": model.organisation, "withdrawn": False}
        entry = await self._writer.read(f"lavenderstack/keys/{digest}")
        stored = document_of(entry) or {}
        if entry and document.items() <= stored.items():
            change_id = stored.get(CHANGE_ID, "")
            outcome = await self._writer.put_into_force(entry)
            log_change(req, f"keys/{digest}", change_id, outcome)
            return answer(outcome, stored, change_id)
        if entry:
            outcome = Conflict(entry)
            return answer(outcome, document, change_id_from(req))
        return await self._write(req, f"keys/{digest}", document, 0)

    async def withdraw(self, req: web.Request) -> web.Response:
        """Withdraw a key permanently; retries if the entry is changed concurrently."""
        digest = _digest(req)
        for _ in range(MAX_WITHDRAW_ATTEMPTS):
            entry = await self._writer.read(f"lavenderstack/keys/{digest}")
            if entry is None:
                raise Problem(404, "not_found")
            document = (document_of(entry) or {}) | {"withdrawn": True}
            resp = await self._write(req, f"keys/{digest}", document, entry.revision)
            if resp.status != 412:
                break
        return resp

    async def status(self, _: web.Request) -> web.Response:
        """Return the state of this node's view and its age in seconds."""
        relay, now = self._relay, clock.now()
        rejected = [asdict(document) for document in relay.snapshot.rejected]
        body = {
            "revision": relay.view.revision,
            "complete_to": relay.snapshot.revision,
            "age_s": min(relay.age_s(now), 1e9),
            "usable": relay.usable(now),
            "reader": relay.is_reader,
            "rejected": rejected,
            "vms": len(relay.view.vms),
        }
        return web.json_response(body)

    async def revision(self, req: web.Request) -> web.Response:
        """Return the number of nodes, by zone, on which a revision is in force."""
        text = req.query.get("at", str(self._relay.view.revision))
        at = parse_revision(text, "at: expected a revision")
        result = await self._count_in_force(at)
        return web.json_response({"at": at, "zones": result})


def _name(req: web.Request) -> str:
    return _NAME.validate_python(req.match_info["name"])


def _normalise(adapter: TypeAdapter, entries: dict) -> dict:
    return adapter.dump_python(adapter.validate_python(entries), mode="json")


def _group_document(group: Any) -> dict:
    document = asdict(group)
    document["organisations"] = sorted(group.organisations)
    document["open_statements"] = sorted(group.open_statements)
    return document
