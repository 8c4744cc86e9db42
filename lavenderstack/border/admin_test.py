"""Tests of the operators' API against a fake store with injected faults."""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest
from aiohttp.test_utils import TestClient, TestServer
from structlog.testing import capture_logs

from lavenderstack.border.admin import make_app
from lavenderstack.border.changes import (
    Accepted,
    ChangeWriter,
    Conflict,
    MaybeChanged,
    NotChanged,
    Stored,
)
from lavenderstack.border.documents import parse
from lavenderstack.border.store import StoreOutcomeUnknown, StoreUnreachable
from lavenderstack.border.store_fake import FakeStore
from lavenderstack.core import documents, keys
from lavenderstack.core.documents import EMPTY

PLANS = "lavenderstack/plans"
GOLD = {"gold": {"rate": 5.0, "burst": 6.0, "weight": 1.0, "queue": 200}}
OPERATORS = {"anna": keys.digest_of("anna-key"), "bo": keys.digest_of("bo-key")}


class FakeRelay:
    """Puts announced changes into force immediately.

    With ``is_cut_off`` it reaches no other node: changes do not come into force.
    """

    def __init__(self, store):
        self.store, self.is_cut_off, self.snapshot = store, False, EMPTY
        self.is_reader = True

    @property
    def view(self):
        return self.snapshot.view

    def usable(self, now):
        return not self.is_cut_off

    def age_s(self, now):
        return 0.0

    async def announce(self, change):
        if self.is_cut_off:
            return False
        snapshot = self.snapshot
        self.snapshot = documents.apply(snapshot, [change], 0, "1", parse)
        return self.snapshot.holds(change)


class ScriptedStore(FakeStore):
    """A store that takes the fault of each swap from ``script``.

    ``refused``: the swap does not reach the store. ``conflict``: another change is
    stored first. ``lost before`` and ``lost after``: the answer is lost, before or
    after the swap takes effect. ``lost, then conflict``: the answer is lost after the
    swap has taken effect, and another change replaces it. Swaps beyond the script have
    no fault.
    """

    script: tuple = ()

    async def swap(self, key, value, expected_revision, lease=0):
        step, *self.script = self.script or ("ok",)
        if step == "refused":
            raise StoreUnreachable("refused")
        if step == "conflict":
            self.memory.put(key, b'{"change_id":"conflict","entries":{}}')
        if step == "lost before":
            raise StoreOutcomeUnknown("lost")
        result = await super().swap(key, value, expected_revision, lease)
        if step in ("lost after", "lost, then conflict"):
            if step == "lost, then conflict":
                self.memory.put(key, b'{"change_id":"conflict","entries":{}}')
            raise StoreOutcomeUnknown("lost")
        return result


@asynccontextmanager
async def running_api():
    store = ScriptedStore()
    relay = FakeRelay(store)

    async def count_in_force(revision):
        return {"z1": {"asked": 1, "in_force": int(relay.view.revision >= revision)}}

    app = make_app(store, relay, OPERATORS, count_in_force)
    async with TestClient(TestServer(app)) as client:
        yield client, store, relay


async def call(client, method, path, body=None, operator="anna", **headers):
    headers = {name.replace("_", "-"): value for name, value in headers.items()}
    headers["Authorization"] = f"Bearer {operator}-key"
    async with client.request(method, path, json=body, headers=headers) as resp:
        return resp.status, await resp.json()


class TestWrite:
    """The outcome of a change, by the faults between the node and the store."""

    @pytest.mark.parametrize(
        ("script", "is_cut_off", "outcome", "is_stored"),
        [
            (["ok"], False, Accepted, True),
            (["ok"], True, Stored, True),
            (["lost after"], False, Accepted, True),
            (["lost before"], False, Accepted, True),
            (["lost before"] * 3, False, MaybeChanged, False),
            (["lost after"] * 3, False, MaybeChanged, True),
            (["refused"], False, Accepted, True),
            (["refused"] * 3, False, NotChanged, False),
            (["lost before", "refused", "refused"], False, MaybeChanged, False),
            (["conflict"], False, Conflict, False),
            (["lost, then conflict"], False, Conflict, False),
            (["lost before", "conflict"], False, Conflict, False),
        ],
    )
    async def test_outcome(self, script, is_cut_off, outcome, is_stored):
        store = ScriptedStore()
        relay = FakeRelay(store)
        relay.is_cut_off = is_cut_off
        store.script = script
        document = {"change_id": "c1", "entries": GOLD}
        result = await ChangeWriter(store, relay).write(PLANS, document, 0)
        assert isinstance(result, outcome)
        entry = store.memory.entries.get(PLANS)
        assert bool(entry and b'"c1"' in entry.value) is is_stored
        assert (PLANS in relay.snapshot.entries) is (outcome is Accepted)
        if outcome is Conflict:
            assert result.answer_lost is (script != ["conflict"])

    async def test_a_repeated_change_takes_effect_once(self):
        store = ScriptedStore()
        writer = ChangeWriter(store, FakeRelay(store))
        document = {"change_id": "c1", "entries": GOLD}
        first = await writer.write(PLANS, document, 0)
        assert await writer.write(PLANS, document, 0) == first
        assert store.memory.revision == first.revision

    @pytest.mark.parametrize("is_list_newer", [False, True])
    async def test_a_store_older_than_the_view_puts_nothing_into_force(
        self, is_list_newer
    ):
        store = ScriptedStore()
        relay = FakeRelay(store)
        writer = ChangeWriter(store, relay)
        first = await writer.write(PLANS, {"change_id": "c1", "entries": {}}, 0)
        last = first.revision
        if is_list_newer:
            document = {"change_id": "c2", "entries": GOLD}
            last = (await writer.write(PLANS, document, last)).revision
        else:
            await writer.write("lavenderstack/bought", {"change_id": "c2"}, 0)
        before = relay.snapshot
        # Roll the store back to the revision of the first change.
        store.memory.revision = first.revision
        store.memory.put(PLANS, store.memory.entries[PLANS].value)
        store.memory.revision = first.revision
        entry = store.memory.entries[PLANS]
        store.memory.entries[PLANS] = entry._replace(revision=first.revision)
        document = {"change_id": "c3", "entries": {}}
        result = await writer.write(PLANS, document, first.revision)
        assert isinstance(result, NotChanged if is_list_newer else Stored)
        assert relay.snapshot is before


class TestLists:
    async def test_concurrent_changes_give_one_operator_a_conflict(self):
        async with running_api() as (client, _, _relay):
            _, plans = await call(client, "GET", "/v1/plans")
            match = str(plans["revision"])
            first_write = call(client, "PUT", "/v1/plans", GOLD, If_Match=match)
            tin = {"tin": {"rate": 1, "burst": 1}}
            second_write = call(client, "PUT", "/v1/plans", tin, "bo", If_Match=match)
            answers = sorted(
                await asyncio.gather(first_write, second_write), key=lambda a: a[0]
            )
            assert [status for status, _ in answers] == [200, 412]
            conflict = answers[1][1]
            assert conflict["operator"] in ("anna", "bo")
            assert set(conflict["differences"]) == {"gold", "tin"}
            _, stored = await call(client, "GET", "/v1/plans")
            assert stored["entries"] == conflict["current"]
            assert stored["revision"] == conflict["revision"]

    @pytest.mark.parametrize(
        ("path", "body", "headers", "status"),
        [
            ("/v1/plans", GOLD, {}, 428),
            ("/v1/plans", GOLD, {"If_Match": "x"}, 400),
            ("/v1/plans", {"gold": {"rate": 0, "burst": 1}}, {"If_Match": "0"}, 400),
            ("/v1/plans", ["gold"], {"If_Match": "0"}, 400),
            ("/v1/bought", {"o1": "no-such"}, {"If_Match": "0"}, 400),
            ("/v1/groups/g", {"targets": []}, {"If_Match": "0"}, 400),
            ("/v1/keys/short", {"organisation": "o"}, {}, 400),
            ("/v1/plans", GOLD, {"If_Match": "0", "operator": "eve"}, 401),
        ],
    )
    async def test_an_invalid_request_changes_nothing(
        self, path, body, headers, status
    ):
        async with running_api() as (client, store, _):
            found_status, answer = await call(client, "PUT", path, body, **headers)
            assert (found_status, store.memory.entries) == (status, {})
            assert answer["outcome"] not in ("accepted", "stored")

    async def test_a_bought_plan_cannot_be_removed(self):
        async with running_api() as (client, _, relay):
            await call(client, "PUT", "/v1/plans", GOLD, If_Match="0")
            bought = {"o1": "gold"}
            assert (await call(client, "PUT", "/v1/bought", bought, If_Match="0"))[
                0
            ] == 200
            _, plans = await call(client, "GET", "/v1/plans")
            match = str(plans["revision"])
            status, answer = await call(client, "PUT", "/v1/plans", {}, If_Match=match)
            assert (status, answer["mistakes"]) == (400, ["gold: still bought"])
            assert relay.view.plan_of("o1").rate == 5.0

    @pytest.mark.parametrize(("fault", "status"), [("down", 503), ("lose_answer", 503)])
    async def test_no_change_is_accepted_without_the_store(self, fault, status):
        async with running_api() as (client, store, _):
            setattr(store, fault, True)
            found_status, _ = await call(client, "PUT", "/v1/plans", GOLD, If_Match="0")
            assert found_status == status


class TestKeys:
    async def test_a_withdrawn_key_cannot_be_granted_again(self):
        async with running_api() as (client, _, relay):
            digest = keys.digest_of("secret")
            path, body = f"/v1/keys/{digest}", {"organisation": "o1"}
            for _ in range(2):
                assert (await call(client, "PUT", path, body))[0] == 200
            assert (await call(client, "PUT", path, {"organisation": "o2"}))[0] == 412
            assert relay.view.keys[digest].organisation == "o1"
            for _ in range(2):
                assert (await call(client, "POST", path + "/withdraw"))[0] == 200
            assert relay.view.keys[digest].withdrawn
            assert (await call(client, "PUT", path, body))[0] == 412
            _, result = await call(client, "GET", "/v1/keys?organisation=o1")
            assert [k["withdrawn"] for k in result["keys"]] == [True]
            missing = "/v1/keys/" + "0" * 64 + "/withdraw"
            assert (await call(client, "POST", missing))[0] == 404

    async def test_a_repeated_grant_is_accepted_only_once_it_is_in_force(self):
        async with running_api() as (client, _, relay):
            digest = keys.digest_of("secret")
            path, body = f"/v1/keys/{digest}", {"organisation": "o1"}
            relay.is_cut_off = True
            answers = [await call(client, "PUT", path, body) for _ in range(2)]
            assert [status for status, _ in answers] == [202, 202]
            assert digest not in relay.view.keys
            relay.is_cut_off = False
            status, repeated = await call(client, "PUT", path, body)
            assert (status, repeated["outcome"]) == (200, "accepted")
            assert relay.view.keys[digest].organisation == "o1"
            first = answers[0][1]
            assert repeated["revision"] == first["revision"]
            assert repeated["change_id"] == first["change_id"]

    async def test_a_store_older_than_a_withdrawal_accepts_no_repeated_grant(self):
        async with running_api() as (client, store, relay):
            digest = keys.digest_of("secret")
            path, body = f"/v1/keys/{digest}", {"organisation": "o1"}
            await call(client, "PUT", path, body)
            older = dict(store.memory.entries)
            await call(client, "POST", path + "/withdraw")
            store.memory.entries = older
            status, answer = await call(client, "PUT", path, body)
            assert (status, answer["outcome"]) == (503, "not_changed")
            assert relay.view.keys[digest].withdrawn

    async def test_neither_keys_nor_whole_digests_are_logged(self):
        with capture_logs() as logs:
            async with running_api() as (client, _, _relay):
                path = f"/v1/keys/{keys.digest_of('secret')}"
                await call(client, "PUT", path, {"organisation": "o1"})
                await call(client, "GET", "/v1/status", operator="eve")
        text = json.dumps(logs, default=str)
        assert [line["event"] for line in logs] == [
            "admin: change",
            "admin: unknown operator key",
        ]
        assert logs[0]["operator"] == "anna"
        for secret in ("anna-key", "eve-key", keys.digest_of("secret")):
            assert secret not in text


class TestStatus:
    async def test_status_and_count_of_nodes_with_a_revision(self):
        async with running_api() as (client, _, relay):
            _, change = await call(client, "PUT", "/v1/plans", GOLD, If_Match="0")
            _, status = await call(client, "GET", "/v1/status")
            assert status["revision"] == change["revision"] == relay.view.revision
            _, result = await call(
                client, "GET", f"/v1/revision?at={change['revision']}"
            )
            assert result["zones"]["z1"] == {"asked": 1, "in_force": 1}
