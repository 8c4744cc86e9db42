"""Contract tests of the store interface, run against the adapter and the fake."""

import asyncio
import itertools
import json
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from lavenderstack.border.store import (
    Compacted,
    StoreError,
    StoreOutcomeUnknown,
    StoreUnreachable,
    SwapConflict,
    SwapDone,
    open_store,
)
from lavenderstack.border.store_fake import FakeStore
from standins.platform import Platform


class FakeBackend:
    """The fake, with its fault injection."""

    def __init__(self):
        self.store = FakeStore()

    async def inject_fault(self, kind, **_):
        self.store.down = kind == "outage"
        self.store.lose_answer = kind == "lost_answer"
        self.store.memory.wake()


class GatewayBackend:
    """The adapter connected to the stand-in, with its fault injection."""

    def __init__(self, store, server):
        self.store, self.server = store, server

    async def inject_fault(self, kind, **options):
        async with aiohttp.ClientSession() as session:
            url = self.server.make_url("/fault")
            await session.post(url, json={"kind": kind, **options})


@asynccontextmanager
async def running_backend(backend_kind):
    if backend_kind == "fake":
        yield FakeBackend()
        return
    async with (
        TestServer(Platform().app()) as server,
        open_store([str(server.make_url(""))]) as store,
    ):
        yield GatewayBackend(store, server)


BOTH_BACKENDS = pytest.mark.parametrize("backend_kind", ["fake", "gateway"])


@BOTH_BACKENDS
class TestSwap:
    async def test_a_swap_needs_the_expected_revision(self, backend_kind):
        async with running_backend(backend_kind) as backend:
            store = backend.store
            assert await store.get("a/x") is None
            done = await store.swap("a/x", b"1", 0)
            assert isinstance(done, SwapDone)
            conflict = await store.swap("a/x", b"2", 0)
            assert conflict == SwapConflict(await store.get("a/x"))
            assert conflict.current.revision == done.revision
            second = await store.swap("a/x", b"3", done.revision)
            assert second.revision > done.revision
            assert (await store.get("a/x")).value == b"3"
            assert isinstance(await store.swap("a/x", None, second.revision), SwapDone)
            assert await store.swap("a/x", b"4", 99) == SwapConflict(None)

    async def test_an_outage_has_no_effect(self, backend_kind):
        async with running_backend(backend_kind) as backend:
            await backend.inject_fault("outage")
            with pytest.raises(StoreError):
                await backend.store.swap("a/x", b"1", 0)
            await backend.inject_fault("none")
            assert await backend.store.get("a/x") is None

    async def test_a_lost_answer_is_unknown_and_took_effect(self, backend_kind):
        async with running_backend(backend_kind) as backend:
            await backend.inject_fault("lost_answer", times=1)
            with pytest.raises(StoreOutcomeUnknown):
                await backend.store.swap("a/x", b"1", 0)
            await backend.inject_fault("none")
            assert (await backend.store.get("a/x")).value == b"1"


@BOTH_BACKENDS
class TestReads:
    async def test_a_listing_has_the_prefix_only(self, backend_kind):
        async with running_backend(backend_kind) as backend:
            for key in ("a/x", "a/y", "a0", "b"):
                await backend.store.swap(key, b"1", 0)
            listing = await backend.store.list("a/")
            assert sorted(e.key for e in listing.entries) == ["a/x", "a/y"]
            assert listing.revision >= max(e.revision for e in listing.entries)
            assert listing.store_id

    async def test_a_probe_shows_writes_and_deletes_under_its_prefixes(
        self, backend_kind
    ):
        async with running_backend(backend_kind) as backend:
            first = await backend.store.swap("a/x", b"1", 0)
            await backend.store.swap("m", b"1", 0)
            probe = await backend.store.probe(["a/", "b/"], first.revision)
            assert (probe.newest, probe.count) == (0, 1)
            assert probe.revision > first.revision
            second = await backend.store.swap("b/y", b"1", 0)
            probe = await backend.store.probe(["a/", "b/"], first.revision)
            assert (probe.newest, probe.count) == (second.revision, 2)
            await backend.store.swap("a/x", None, first.revision)
            probe = await backend.store.probe(["a/", "b/"], second.revision)
            assert (probe.newest, probe.count) == (0, 1)

    async def test_leases(self, backend_kind):
        async with running_backend(backend_kind) as backend:
            lease = await backend.store.grant_lease(5)
            assert await backend.store.keep_lease(lease) == 5
            assert await backend.store.keep_lease(424242) == 0


@BOTH_BACKENDS
class TestWatch:
    async def test_changes_come_in_order_from_the_revision_asked_for(
        self, backend_kind
    ):
        async with running_backend(backend_kind) as backend:
            start = await backend.store.swap("a/x", b"0", 0)
            await backend.store.swap("a/x", b"1", start.revision)
            await backend.store.swap("m", b"1", 0)
            seen = []

            async def follow():
                async for batch in backend.store.watch(["a/", "b/"], start.revision):
                    seen.extend(batch.changes)
                    assert batch.revision == batch.changes[-1].revision
                    if len(seen) == 3:
                        return

            task = asyncio.ensure_future(follow())
            created = await backend.store.swap("b/z", b"2", 0)
            await backend.store.swap("b/z", None, created.revision)
            await asyncio.wait_for(task, 5)
            keys = [(c.key, c.value) for c in seen]
            assert keys == [("a/x", b"1"), ("b/z", b"2"), ("b/z", None)]
            assert all(a.revision < b.revision for a, b in itertools.pairwise(seen))

    async def test_an_outage_ends_the_watch(self, backend_kind):
        async with running_backend(backend_kind) as backend:
            await backend.store.swap("a/x", b"0", 0)
            batches = backend.store.watch(["a/"], 0)
            await anext(batches)
            waiting = asyncio.ensure_future(anext(batches))
            await asyncio.sleep(0)
            await backend.inject_fault("outage")
            with pytest.raises(StoreOutcomeUnknown):
                await asyncio.wait_for(waiting, 5)


class TestFake:
    async def test_a_compacted_revision_is_reported(self):
        store = FakeStore()
        store.memory.compacted = 5
        with pytest.raises(Compacted):
            await anext(store.watch(["a/"], 2))


class TestGateway:
    async def test_a_refused_connection_is_unreachable(self):
        async with open_store(["http://127.0.0.1:1"]) as store:
            with pytest.raises(StoreUnreachable):
                await store.get("a")

    async def test_a_slow_store_is_unknown_and_the_next_gateway_is_tried(
        self, monkeypatch
    ):
        monkeypatch.setattr("lavenderstack.border.store.READ_TIMEOUT_S", 0.1)
        async with (
            running_backend("gateway") as backend,
            running_backend("gateway") as other,
        ):
            backend.store._urls.append(other.store._urls[0])
            await backend.inject_fault("slow", seconds=1)
            with pytest.raises(StoreOutcomeUnknown):
                await backend.store.get("a")
            assert await backend.store.get("a") is None

    @pytest.mark.parametrize("is_open", [False, True])
    async def test_a_failed_watch_is_tried_at_the_next_gateway(self, is_open):
        async with (
            running_backend("gateway") as backend,
            running_backend("gateway") as other,
        ):
            await backend.store.swap("a/x", b"1", 0)
            await other.store.swap("a/x", b"2", 0)
            backend.store._urls.append(other.store._urls[0])
            watch = backend.store.watch(["a/"], 0)
            if is_open:
                assert (await anext(watch)).changes[0].value == b"1"
            await backend.inject_fault("outage")
            with pytest.raises(StoreError):
                await asyncio.wait_for(anext(watch), 5)
            again = backend.store.watch(["a/"], 0)
            batch = await asyncio.wait_for(anext(again), 5)
            assert batch.changes[0].value == b"2"
            await again.aclose()

    async def test_a_compacted_revision_is_no_failure_of_the_gateway(self):
        async def answer(_):
            result = {"canceled": True, "compact_revision": "5"}
            return web.Response(text=json.dumps({"result": result}) + "\n")

        app = web.Application()
        app.router.add_post("/v3/watch", answer)
        async with (
            TestServer(app) as server,
            open_store([str(server.make_url("")), "unused"]) as store,
        ):
            for _ in range(2):
                with pytest.raises(Compacted):
                    await anext(store.watch(["a/"], 2))

    async def test_calls_that_fail_at_once_do_not_skip_the_next_gateway(self):
        async with (
            running_backend("gateway") as backend,
            running_backend("gateway") as other,
        ):
            backend.store._urls.append(other.store._urls[0])
            await backend.inject_fault("outage")
            calls = [backend.store.get("a") for _ in range(2)]
            failures = await asyncio.gather(*calls, return_exceptions=True)
            assert all(isinstance(exc, StoreError) for exc in failures)
            assert await backend.store.get("a") is None

    @pytest.mark.parametrize("fault", ["rollback", "new_cluster"])
    async def test_a_restart_shows_in_revision_or_store_id(self, fault):
        async with running_backend("gateway") as backend:
            first = await backend.store.swap("a/x", b"1", 0)
            await backend.store.swap("a/x", b"2", first.revision)
            before = await backend.store.list("a/")
            await backend.inject_fault(fault, revision=first.revision)
            after = await backend.store.list("a/")
            is_older = after.revision < before.revision
            assert is_older is (fault == "rollback")
            assert (after.store_id != before.store_id) is (fault == "new_cluster")
