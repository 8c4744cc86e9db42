"""The operators' API: the two lists, keys, groups, and where a change is in force.

An operator's key comes as ``Authorization: Bearer KEY``; the settings hold its
digest. A list or group is read with its revision (``ETag``) and written back with
``If-Match``, so that of two operators who race one is told what the other changed.
``Change-Id`` names a change; sent again it is made at most once. Callers' keys never
come here: an operator's command makes the key and sends the digest.

==========================================  =====================================
``GET, PUT /v1/plans``                      what each plan may use
``GET, PUT /v1/bought``                     the plan of each organisation
``GET, PUT /v1/groups/NAME``                a database group
``GET /v1/groups``                          all groups
``GET /v1/keys?organisation=NAME``          keys by digest
``PUT /v1/keys/DIGEST``                     grant a key to an organisation
``POST /v1/keys/DIGEST/withdraw``           withdraw it, for good
``GET /v1/status``                          what this node knows, and how current
``GET /v1/revision?at=REVISION``            in how many nodes it is in force
==========================================  =====================================
"""

import re
import uuid
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import asdict
from typing import Any

import structlog
from aiohttp import web
from pydantic import TypeAdapter, ValidationError

from lavenderstack.border import documents
from lavenderstack.border.admin_answers import Problem, answer, invalid
from lavenderstack.border.changes import (
    CHANGE_ID,
    Accepted,
    Changes,
    Conflict,
    Control,
    Outcome,
    Stored,
    document_of,
)
from lavenderstack.border.store import Store, StoreError
from lavenderstack.core import clock, keys
from lavenderstack.core.entry import Change

LONGEST_BODY_B = 1024 * 1024
WITHDRAW_TRIES = 5
LOGGED_DIGEST_CHARS = 12
OPERATOR = web.RequestKey("operator", str)

log = structlog.get_logger()

WhereInForce = Callable[[int], Awaitable[Mapping[str, Any]]]
_DIGEST = re.compile(r"^[0-9a-f]{64}$")
_NAME = TypeAdapter(documents.Name)


def make_app(
    store: Store,
    control: Control,
    operators: Mapping[str, str],
    where: WhereInForce,
) -> web.Application:
    """Return the application.

    ``operators`` maps a name to the digest of that operator's key, ``where`` tells
    in which nodes a revision is in force.
    """
    admin = _Admin(store, control, where)
    app = web.Application(
        client_max_size=LONGEST_BODY_B,
        middlewares=[_problems, _operators_only(operators)],
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
    app.router.add_get("/v1/status", admin.status)
    app.router.add_get("/v1/revision", admin.revision)
    return app


@web.middleware
async def _problems(req: web.Request, handler) -> web.StreamResponse:
    try:
        return await handler(req)
    except Problem as exc:
        return web.json_response(exc.body, status=exc.status)
    except StoreError:
        body = {"outcome": "not_changed", "why": "the store is out of reach"}
        return web.json_response(body, status=503)
    except ValidationError as exc:
        mistakes = documents.explained(exc).split("; ")
        body = {"outcome": "invalid", "mistakes": mistakes}
        return web.json_response(body, status=400)


def _operators_only(operators: Mapping[str, str]):
    @web.middleware
    async def check(req: web.Request, handler) -> web.StreamResponse:
        scheme, _, key = req.headers.get("Authorization", "").partition(" ")
        name = keys.owner_of(key.strip(), operators)
        if scheme.lower() != "bearer" or name is None:
            log.warning("admin: unknown operator key", path=req.path, peer=req.remote)
            raise Problem(401, "no_operator")
        req[OPERATOR] = name
        return await handler(req)

    return check


def _if_match(req: web.Request) -> int:
    text = req.headers.get("If-Match", "").strip().strip('"')
    if not text:
        raise Problem(428, "no_revision")
    if not text.isdecimal():
        raise invalid("If-Match: expected the revision that was read")
    return int(text)


def _change_id(req: web.Request) -> str:
    return req.headers.get("Change-Id") or uuid.uuid4().hex


async def _body(req: web.Request) -> dict:
    try:
        body = await req.json()
    except ValueError as exc:
        raise invalid("the body is not JSON") from exc
    if not isinstance(body, dict):
        raise invalid("the body is not an object")
    return body


def _digest(req: web.Request) -> str:
    digest = req.match_info["digest"]
    if not _DIGEST.match(digest):
        raise invalid("a key is named by its digest, 64 hex digits")
    return digest


def _with_revision(document: Any, entry: Change | None) -> web.Response:
    revision = entry.revision if entry else 0
    resp = web.json_response({"revision": revision, "entries": document})
    resp.headers["ETag"] = f'"{revision}"'
    return resp


class _Admin:
    """The handlers; each is one route of the table above."""

    def __init__(self, store: Store, control: Control, where: WhereInForce) -> None:
        self._changes = Changes(store, control)
        self._control = control
        self._where = where

    async def get_list(self, req: web.Request) -> web.Response:
        """Return one of the two lists as it stands in the store."""
        entry = await self._changes.read(f"lavenderstack/{req.match_info['list']}")
        return _with_revision(documents.unwrapped(document_of(entry)) or {}, entry)

    async def put_list(self, req: web.Request) -> web.Response:
        """Replace one of the two lists."""
        name, expected, entries = req.match_info["list"], _if_match(req), None
        entries = await _body(req)
        if name == "plans":
            entries = _dumped(documents.PLANS, entries)
            await self._check_plans(entries)
        else:
            entries = _dumped(documents.BOUGHT, entries)
            await self._check_bought(entries)
        return await self._write(req, name, {"entries": entries}, expected)

    async def _check_plans(self, plans: dict) -> None:
        entry = await self._changes.read("lavenderstack/bought")
        bought = documents.unwrapped(document_of(entry)) or {}
        lost = sorted(set(bought.values()) - set(plans))
        if lost:
            raise invalid(*(f"{plan}: still bought" for plan in lost))

    async def _check_bought(self, bought: dict) -> None:
        entry = await self._changes.read("lavenderstack/plans")
        plans = documents.unwrapped(document_of(entry)) or {}
        bad = sorted(o for o, plan in bought.items() if plan not in plans)
        if bad:
            raise invalid(*(f"{name}: no such plan" for name in bad))

    async def _write(
        self, req: web.Request, name: str, document: dict, expected: int
    ) -> web.Response:
        change_id = _change_id(req)
        document = document | {CHANGE_ID: change_id, "operator": req[OPERATOR]}
        key = f"lavenderstack/{name}"
        outcome = await self._changes.write(key, document, expected)
        _audit(req, name, change_id, outcome)
        return answer(outcome, document, change_id)

    async def get_groups(self, _: web.Request) -> web.Response:
        """Return the groups that this node knows."""
        groups = self._control.view.groups.values()
        found = {group.name: _group(group) for group in groups}
        body = {"revision": self._control.view.revision, "entries": found}
        return web.json_response(body)

    async def get_group(self, req: web.Request) -> web.Response:
        """Return one group as it stands in the store."""
        entry = await self._changes.read(f"lavenderstack/groups/{_name(req)}")
        if entry is None:
            raise Problem(404, "not_found")
        return _with_revision(document_of(entry), entry)

    async def put_group(self, req: web.Request) -> web.Response:
        """Replace one group, or make it (``If-Match: "0"``)."""
        name, expected = _name(req), _if_match(req)
        model = documents.GroupModel.model_validate(await _body(req))
        document = model.model_dump(mode="json")
        return await self._write(req, f"groups/{name}", document, expected)

    async def get_keys(self, req: web.Request) -> web.Response:
        """Return the keys that this node knows, by digest."""
        wanted = req.query.get("organisation")
        known = self._control.view.keys.values()
        found = [asdict(k) for k in known if wanted in (None, k.organisation)]
        body = {"revision": self._control.view.revision, "keys": found}
        return web.json_response(body)

    async def grant(self, req: web.Request) -> web.Response:
        """Grant a key that has never been used; again is no fault."""
        digest = _digest(req)
        model = documents.KeyModel.model_validate(await _body(req))
        document = {"organisation": model.organisation, "withdrawn": False}
        entry = await self._changes.read(f"lavenderstack/keys/{digest}")
        held = document_of(entry) or {}
        if entry and document.items() <= held.items():
            return answer(Accepted(entry.revision), held, held.get(CHANGE_ID, ""))
        if entry:
            outcome = Conflict(entry)
            return answer(outcome, document, _change_id(req))
        return await self._write(req, f"keys/{digest}", document, 0)

    async def withdraw(self, req: web.Request) -> web.Response:
        """Withdraw a key for good, whatever else is changed meanwhile."""
        digest = _digest(req)
        for _ in range(WITHDRAW_TRIES):
            entry = await self._changes.read(f"lavenderstack/keys/{digest}")
            if entry is None:
                raise Problem(404, "not_found")
            document = (document_of(entry) or {}) | {"withdrawn": True}
            resp = await self._write(req, f"keys/{digest}", document, entry.revision)
            if resp.status != 412:
                break
        return resp

    async def status(self, _: web.Request) -> web.Response:
        """Tell what this node knows and how current it is."""
        control, now = self._control, clock.now()
        rejected = [asdict(bad) for bad in control.snapshot.rejected]
        body = {
            "revision": control.view.revision,
            "complete_to": control.snapshot.revision,
            "age_s": min(control.age_s(now), 1e9),
            "usable": control.usable(now),
            "reader": control.is_reader,
            "rejected": rejected,
            "vms": len(control.view.vms),
        }
        return web.json_response(body)

    async def revision(self, req: web.Request) -> web.Response:
        """Tell in how many nodes of each zone a revision is in force."""
        text = req.query.get("at", str(self._control.view.revision))
        if not text.isdecimal():
            raise invalid("at: expected a revision")
        found = await self._where(int(text))
        return web.json_response({"at": int(text), "zones": found})


def _name(req: web.Request) -> str:
    return _NAME.validate_python(req.match_info["name"])


def _dumped(adapter: TypeAdapter, entries: dict) -> dict:
    return adapter.dump_python(adapter.validate_python(entries), mode="json")


def _group(group: Any) -> dict:
    plain = asdict(group)
    plain["organisations"] = sorted(group.organisations)
    plain["open_statements"] = sorted(group.open_statements)
    return plain


def _audit(req: web.Request, name: str, change_id: str, outcome: Outcome) -> None:
    folder, slash, rest = name.rpartition("/")
    if folder == "keys":
        rest = rest[:LOGGED_DIGEST_CHARS]
    took = isinstance(outcome, Accepted | Stored)
    log.info(
        "admin: change",
        operator=req[OPERATOR],
        what=folder + slash + rest,
        change_id=change_id,
        outcome=type(outcome).__name__,
        revision=outcome.revision if took else None,
    )
