"""Tests of the operators' API of evacuations against a fake store with faults."""

import pytest

from lavenderstack.border.admin_test import call, running_api

PATH = "/v1/evacuations/a"
KEY = "lavenderstack/evacuations/a"


async def evacuate(client, **headers):
    status, body = await call(client, "PUT", PATH, **headers)
    assert status == 200
    return body["revision"]


class TestEvacuate:
    async def test_it_is_in_force_until_the_zone_is_returned(self):
        """Guards against an accepted request that no node acts on."""
        async with running_api() as (client, store, relay):
            revision = await evacuate(client)
            assert relay.view.evacuations["a"].operator == "anna"
            _, listed = await call(client, "GET", "/v1/evacuations")
            entry = {"zone": "a", "operator": "anna", "targets": []}
            assert listed["entries"] == {"a": entry | {"revision": revision}}
            status, answer = await call(client, "DELETE", PATH, If_Match=str(revision))
            assert (status, answer["outcome"]) == (200, "accepted")
            assert not relay.view.evacuations
            assert not store.memory.entries
            assert (await call(client, "GET", PATH))[0] == 404

    async def test_a_return_withdraws_no_later_request(self):
        """Guards against an operator who undoes what another one has just asked."""
        async with running_api() as (client, _, relay):
            first = str(await evacuate(client))
            later = await evacuate(client, operator="bo")
            status, conflict = await call(client, "DELETE", PATH, If_Match=first)
            assert (status, conflict["operator"]) == (412, "bo")
            assert conflict["revision"] == later
            assert "a" in relay.view.evacuations

    async def test_a_change_that_is_sent_again_changes_nothing_more(self):
        """Guards against a renewed request after an answer that was lost."""
        async with running_api() as (client, store, relay):
            relay.is_cut_off = True
            answers = [
                await call(client, "PUT", PATH, Change_Id="c1") for _ in range(2)
            ]
            assert [status for status, _ in answers] == [202, 202]
            relay.is_cut_off = False
            first = await evacuate(client, Change_Id="c1")
            assert first == answers[0][1]["revision"] == store.memory.revision
            for _ in range(2):
                status, _ = await call(client, "DELETE", PATH, If_Match=str(first))
                assert status == 200

    async def test_a_reused_change_id_does_not_hide_a_conflict(self):
        """Guards against a return that is accepted while the zone stays evacuated."""
        async with running_api() as (client, _, relay):
            first = str(await evacuate(client, Change_Id="c1"))
            await evacuate(client, Change_Id="c2")
            headers = {"If_Match": first, "Change_Id": "c2"}
            assert (await call(client, "DELETE", PATH, **headers))[0] == 412
            assert "a" in relay.view.evacuations

    async def test_a_view_that_lacks_a_return_does_not_stop_a_new_request(self):
        """Guards against a refusal since this node still knows the former request."""
        async with running_api() as (client, store, relay):
            await evacuate(client)
            store.memory.put(KEY, None)
            revision = await evacuate(client)
            assert relay.snapshot.entries[KEY].revision == revision

    @pytest.mark.parametrize(
        ("method", "path", "headers", "status"),
        [
            ("DELETE", PATH, {}, 428),
            ("DELETE", PATH, {"If_Match": "0"}, 404),
            ("DELETE", PATH, {"If_Match": "x"}, 400),
            ("PUT", PATH, {"If_Match": "7"}, 412),
            ("PUT", "/v1/evacuations/a%20b", {}, 400),
            ("PUT", PATH, {"operator": "eve"}, 401),
        ],
    )
    async def test_an_invalid_request_changes_nothing(
        self, method, path, headers, status
    ):
        """Guards against an evacuation by mistake, or by someone else."""
        async with running_api() as (client, store, _):
            assert (await call(client, method, path, **headers))[0] == status
            assert store.memory.entries == {}


class TestFaults:
    @pytest.mark.parametrize(
        ("script", "status", "is_stored"),
        [
            (["lost after"], 200, False),
            (["lost before"], 200, False),
            (["refused"] * 3, 503, True),
            (["lost before"] * 3, 504, True),
            (["lost after", "refused", "refused"], 504, False),
        ],
    )
    async def test_the_outcome_of_a_return(self, script, status, is_stored):
        """Guards against a zone that is reported as returned and is not."""
        async with running_api() as (client, store, relay):
            match = str(await evacuate(client))
            store.script = script
            found_status, _ = await call(client, "DELETE", PATH, If_Match=match)
            assert (found_status, KEY in store.memory.entries) == (status, is_stored)
            assert ("a" in relay.view.evacuations) is (status != 200)

    async def test_a_deletion_is_announced_at_no_revision_that_no_watch_delivers(self):
        """Guards against views that can't be proved current after a lost answer."""
        async with running_api() as (client, store, relay):
            revision = await evacuate(client)
            deleted_at = store.memory.put(KEY, None)
            store.memory.put("other/entry", b"")
            await call(client, "DELETE", PATH, If_Match=str(revision))
            assert "a" not in relay.view.evacuations
            assert relay.snapshot.newest <= deleted_at

    async def test_an_older_store_returns_no_zone(self):
        """Guards against a copy of the store that withdraws a request by lacking it."""
        async with running_api() as (client, store, relay):
            revision = await evacuate(client)
            store.memory.entries.clear()
            store.memory.revision = revision - 1
            status, _ = await call(client, "DELETE", PATH, If_Match=str(revision))
            assert (status, "a" in relay.view.evacuations) == (503, True)
