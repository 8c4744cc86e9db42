"""The operators' API for the evacuation of availability zones.

==================================  ==========================================
``GET /v1/evacuations``             the evacuated zones in this node's view
``GET /v1/evacuations/ZONE``        one request, read from the store
``PUT /v1/evacuations/ZONE``        evacuate the zone
``DELETE /v1/evacuations/ZONE``     return it; ``If-Match`` is required
==================================  ==========================================

A zone is evacuated while its entry exists. A ``PUT`` for an evacuated zone renews the
request under the operator's name; with ``If-Match`` it does so only if the entry has
that revision (0: there must be none). A ``DELETE`` is based on the revision that the
operator has read, so that it doesn't withdraw another operator's later request.
"""

from dataclasses import asdict

from aiohttp import web
from pydantic import TypeAdapter

from lavenderstack.border import documents
from lavenderstack.border.admin_answers import Problem, answer
from lavenderstack.border.admin_requests import (
    OPERATOR,
    change_id_from,
    if_match,
    log_change,
    with_revision,
)
from lavenderstack.border.changes import (
    CHANGE_ID,
    AdminRelay,
    ChangeWriter,
    Conflict,
    Outcome,
    change_id_of,
    document_of,
)
from lavenderstack.border.store import Store
from lavenderstack.core.documents import EVACUATIONS_FOLDER

MAX_PUT_ATTEMPTS = 5
_ZONE = TypeAdapter(documents.Name)


def add_routes(app: web.Application, store: Store, relay: AdminRelay) -> None:
    """Add the routes to the operators' application."""
    evacuations = _Evacuations(store, relay)
    app.router.add_get("/v1/evacuations", evacuations.get_all)
    app.router.add_get("/v1/evacuations/{zone}", evacuations.get)
    app.router.add_put("/v1/evacuations/{zone}", evacuations.put)
    app.router.add_delete("/v1/evacuations/{zone}", evacuations.delete)


class _Evacuations:
    """The request handlers; each serves one route of the table above."""

    def __init__(self, store: Store, relay: AdminRelay) -> None:
        self._writer = ChangeWriter(store, relay)
        self._relay = relay

    async def get_all(self, _: web.Request) -> web.Response:
        """Return each evacuated zone with its request and its targets."""
        snapshot = self._relay.snapshot
        result = {}
        for zone, request in snapshot.view.evacuations.items():
            entry = snapshot.entries[EVACUATIONS_FOLDER + zone]
            targets = self._targets_in(zone)
            fields = {"revision": entry.revision, "targets": targets}
            result[zone] = asdict(request) | fields
        body = {"revision": snapshot.view.revision, "entries": result}
        return web.json_response(body)

    def _targets_in(self, zone: str) -> list[str]:
        groups = self._relay.view.groups.values()
        targets = (target for group in groups for target in group.targets)
        return sorted(target.name for target in targets if target.zone == zone)

    async def get(self, req: web.Request) -> web.Response:
        """Return the request for one zone."""
        entry = await self._writer.read(_key(req))
        if entry is None:
            raise Problem(404, "not_found")
        return with_revision(document_of(entry), entry)

    async def put(self, req: web.Request) -> web.Response:
        """Evacuate a zone; retries if its entry is changed at the same time."""
        change_id = change_id_from(req)
        document = {CHANGE_ID: change_id, "operator": req[OPERATOR]}
        attempts = 1 if "If-Match" in req.headers else MAX_PUT_ATTEMPTS
        for _ in range(attempts):
            outcome = await self._put(req, document)
            if not isinstance(outcome, Conflict):
                break
        log_change(req, _name(req), change_id, outcome)
        return answer(outcome, document, change_id)

    async def _put(self, req: web.Request, document: dict) -> Outcome:
        key = _key(req)
        entry = await self._writer.read(key)
        if entry is not None and change_id_of(entry) == document[CHANGE_ID]:
            return await self._writer.put_into_force(entry)
        if entry is None and key in self._relay.snapshot.entries:
            # The view is behind: it would take the new request for an outdated one.
            await self._writer.put_absence_into_force(key, 0)
        if "If-Match" in req.headers:
            expected_revision = if_match(req)
        else:
            expected_revision = entry.revision if entry else 0
        return await self._writer.write(key, document, expected_revision)

    async def delete(self, req: web.Request) -> web.Response:
        """Return a zone."""
        change_id, expected_revision = change_id_from(req), if_match(req)
        if not expected_revision:
            raise Problem(404, "not_found")
        outcome = await self._writer.remove(_key(req), expected_revision)
        log_change(req, _name(req), change_id, outcome)
        return answer(outcome, {}, change_id)


def _name(req: web.Request) -> str:
    zone = _ZONE.validate_python(req.match_info["zone"])
    return f"evacuations/{zone}"


def _key(req: web.Request) -> str:
    return f"lavenderstack/{_name(req)}"
