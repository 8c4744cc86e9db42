"""Contract of the store's port: one table for the adapter and for the fake."""

import asyncio
import itertools
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from lavenderstack.border.store import (
    Compacted,
    StoreError,
    StoreUnknown,
    StoreUnreachable,
    SwapConflict,
    SwapDone,
    open_store,
)
from lavenderstack.border.store_fake import FakeStore
from standins.platform import Platform


class Fake:
    """The fake and its faults."""

    def __init__(self):
        self.store = FakeStore()

    async def fault(self, kind, **_):
        self.store.down = kind == "outage"
        self.store.lose_answer = kind == "lost_answer"
        self.store.memory.wake()


class Gateway:
    """The adapter against the stand-in, and its faults."""

    def __init__(self, store, server):
        self.store, self.server = store, server

    async def fault(self, kind, **more):
        async with aiohttp.ClientSession() as session:
            url = self.server.make_url("/fault")
            await session.post(url, json={"kind": kind, **more})


@asynccontextmanager
async def rig(kind):
    if kind == "fake":
        yield Fake()
        return
    async with (
        TestServer(Platform().app()) as server,
        open_store([str(server.make_url(""))]) as store,
    ):
        yield Gateway(store, server)


BOTH = pytest.mark.parametrize("kind", ["fake", "gateway"])


@BOTH
class TestSwap:
    async def test_each_case_of_expectation(self, kind):
        async with rig(kind) as r:
            store = r.store
            assert await store.get("a/x") is None
            done = await store.swap("a/x", b"1", 0)
            assert isinstance(done, SwapDone)
            conflict = await store.swap("a/x", b"2", 0)
            assert conflict == SwapConflict(await store.get("a/x"))
            assert conflict.current.revision == done.revision
            again = await store.swap("a/x", b"3", done.revision)
            assert again.revision > done.revision
            assert (await store.get("a/x")).value == b"3"
            assert isinstance(await store.swap("a/x", None, again.revision), SwapDone)
            assert await store.swap("a/x", b"4", 99) == SwapConflict(None)

    async def test_an_outage_has_no_effect(self, kind):
        async with rig(kind) as r:
            await r.fault("outage")
            with pytest.raises(StoreError):
                await r.store.swap("a/x", b"1", 0)
            await r.fault("none")
            assert await r.store.get("a/x") is None

    async def test_a_lost_answer_is_unknown_and_took_effect(self, kind):
        async with rig(kind) as r:
            await r.fault("lost_answer", times=1)
            with pytest.raises(StoreUnknown):
                await r.store.swap("a/x", b"1", 0)
            await r.fault("none")
            assert (await r.store.get("a/x")).value == b"1"


@BOTH
class TestReads:
    async def test_a_listing_has_the_prefix_only(self, kind):
        async with rig(kind) as r:
            for key in ("a/x", "a/y", "a0", "b"):
                await r.store.swap(key, b"1", 0)
            listing = await r.store.list("a/")
            assert sorted(e.key for e in listing.entries) == ["a/x", "a/y"]
            assert listing.revision >= max(e.revision for e in listing.entries)
            assert listing.store_id

    async def test_a_probe_tells_writes_and_deletes_of_its_prefixes(self, kind):
        async with rig(kind) as r:
            first = await r.store.swap("a/x", b"1", 0)
            await r.store.swap("m", b"1", 0)
            probe = await r.store.probe(["a/", "b/"], first.revision)
            assert (probe.newest, probe.count) == (0, 1)
            assert probe.revision > first.revision
            second = await r.store.swap("b/y", b"1", 0)
            probe = await r.store.probe(["a/", "b/"], first.revision)
            assert (probe.newest, probe.count) == (second.revision, 2)
            await r.store.swap("a/x", None, first.revision)
            probe = await r.store.probe(["a/", "b/"], second.revision)
            assert (probe.newest, probe.count) == (0, 1)

    async def test_leases(self, kind):
        async with rig(kind) as r:
            lease = await r.store.grant_lease(5)
            assert await r.store.keep_lease(lease) == 5
            assert await r.store.keep_lease(424242) == 0


@BOTH
class TestWatch:
    async def test_changes_come_in_order_from_the_revision_asked_for(self, kind):
        async with rig(kind) as r:
            start = await r.store.swap("a/x", b"0", 0)
            await r.store.swap("a/x", b"1", start.revision)
            await r.store.swap("m", b"1", 0)
            seen = []

            async def follow():
                async for batch in r.store.watch(["a/", "b/"], start.revision):
                    seen.extend(batch.changes)
                    assert batch.revision == batch.changes[-1].revision
                    if len(seen) == 3:
                        return

            task = asyncio.ensure_future(follow())
            one = await r.store.swap("b/z", b"2", 0)
            await r.store.swap("b/z", None, one.revision)
            await asyncio.wait_for(task, 5)
            keys = [(c.key, c.value) for c in seen]
            assert keys == [("a/x", b"1"), ("b/z", b"2"), ("b/z", None)]
            assert all(a.revision < b.revision for a, b in itertools.pairwise(seen))

    async def test_an_outage_breaks_the_watch(self, kind):
        async with rig(kind) as r:
            await r.store.swap("a/x", b"0", 0)
            batches = r.store.watch(["a/"], 0)
            await anext(batches)
            waiting = asyncio.ensure_future(anext(batches))
            await asyncio.sleep(0)
            await r.fault("outage")
            with pytest.raises(StoreUnknown):
                await asyncio.wait_for(waiting, 5)


class TestFake:
    async def test_a_compacted_revision_is_told(self):
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
        async with rig("gateway") as r, rig("gateway") as other:
            r.store._urls.append(other.store._urls[0])
            await r.fault("slow", seconds=1)
            with pytest.raises(StoreUnknown):
                await r.store.get("a")
            assert await r.store.get("a") is None

    @pytest.mark.parametrize("fault", ["rollback", "new_cluster"])
    async def test_a_restart_shows_in_revision_or_lineage(self, fault):
        async with rig("gateway") as r:
            first = await r.store.swap("a/x", b"1", 0)
            await r.store.swap("a/x", b"2", first.revision)
            before = await r.store.list("a/")
            await r.fault(fault, revision=first.revision)
            after = await r.store.list("a/")
            older = after.revision < before.revision
            assert older is (fault == "rollback")
            assert (after.store_id != before.store_id) is (fault == "new_cluster")
