"""Tests of the loader against a stand-in of the store."""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest

from lavenderstack.core import clock
from lavenderstack.core.view import Vm
from lavenderstack.core.view_proof import ViewProof
from lavenderstack.node.directory import Directory
from lavenderstack.node.streams import NotSent
from lavenderstack.platform import loader, records, store
from lavenderstack.platform.documents_test import CONFIG, REPORT
from lavenderstack.platform.loader import Loader
from standins.metadata_store import MetadataStore, serving


def config(version):
    return json.dumps({**CONFIG, "version": version}).encode()


def report(**fields):
    return json.dumps({**REPORT, **fields}).encode()


@asynccontextmanager
async def run_loader_object(kv, first_era=0):
    """Run a loader on a stand-in of the store; yield it and its directory."""
    directory = Directory("n1", "z1", ViewProof(limit_s=5.0))
    async with serving(kv) as addr, store.open_store(addr) as client:
        follower = Loader(client, directory, first_era=first_era)
        task = asyncio.ensure_future(follower.run())
        try:
            yield follower, directory
        finally:
            task.cancel()


@asynccontextmanager
async def run_loader(kv, first_era=0):
    """Run a loader on a stand-in of the store; yield its directory."""
    async with run_loader_object(kv, first_era) as (_, directory):
        yield directory


async def wait_until(condition, timeout_s=5.0):
    deadline = clock.now() + timeout_s
    while not condition():
        assert clock.now() < deadline, "condition not met in time"
        await asyncio.sleep(0.01)


class TestFollowing:
    async def test_existing_entries_and_changes_reach_the_directory(self):
        kv = MetadataStore()
        kv.put("op/config", config(3))
        kv.put("servers/i-1", report())
        async with run_loader(kv) as directory:
            await wait_until(lambda: directory.proof.holds(clock.now()))
            assert directory.catalog.version == 3
            assert directory.targets["i-1"].target.connections == 33
            kv.put("op/config", config(9))
            kv.delete("servers/i-1")
            await wait_until(lambda: directory.catalog.version == 9)
            await wait_until(lambda: not directory.targets)

    async def test_older_catalog_version_does_not_replace_a_newer_one(self):
        kv = MetadataStore()
        kv.put("op/config", config(9))
        async with run_loader(kv) as directory:
            await wait_until(lambda: directory.catalog.version == 9)
            kv.put("op/config", config(4))
            kv.put("servers/i-1", report())
            await wait_until(lambda: "i-1" in directory.targets)
            assert directory.catalog.version == 9

    async def test_invalid_report_removes_its_target(self):
        kv = MetadataStore()
        kv.put("op/config", config(1))
        kv.put("servers/i-1", report())
        kv.put("servers/i-2", report())
        async with run_loader(kv) as directory:
            await wait_until(lambda: len(directory.targets) == 2)
            kv.put("servers/i-1", b"\xff\x00")
            await wait_until(lambda: set(directory.targets) == {"i-2"})

    async def test_dropped_history_causes_a_new_listing(self):
        kv = MetadataStore()
        kv.put("op/config", config(1))
        kv.put("servers/i-1", report())
        async with run_loader(kv) as directory:
            await wait_until(lambda: "i-1" in directory.targets)
            kv.delete("servers/i-1")
            kv.put("op/config", config(5))
            kv.compact()
            await wait_until(lambda: directory.catalog.version == 5)
            await wait_until(lambda: not directory.targets)

    async def test_change_between_two_pages_is_not_missed(self):
        kv = MetadataStore(page_size=2)
        kv.put("op/config", config(1))
        for number in range(5):
            kv.put(f"servers/i-{number}", report())
        kv.between_pages = [
            lambda: kv.delete("servers/i-0"),
            lambda: kv.put("op/config", config(2)),
        ]
        async with run_loader(kv) as directory:
            await wait_until(lambda: directory.catalog.version == 2)
            await wait_until(lambda: "i-0" not in directory.targets)
            assert len(directory.targets) == 4


class TestStoreAnswers:
    async def test_answers_are_recorded_and_refusals_to_answer_are_not(self):
        """A store that answers may have accepted changes that this node lacks."""
        kv = MetadataStore()
        kv.put("op/config", config(1))
        async with run_loader(kv) as directory:
            await wait_until(lambda: directory.proof.holds(clock.now()))
            assert directory.proof.answered_at >= directory.proof.at
            kv.down = True
            await asyncio.sleep(1.5)
            known = directory.proof.answered_at
            await asyncio.sleep(0.7)
            assert directory.proof.answered_at == known


class TestMemory:
    async def test_removed_entries_are_remembered_up_to_a_number(self, monkeypatch):
        monkeypatch.setattr(loader, "MAX_REMOVED_KEYS", 20)
        kv = MetadataStore()
        kv.put("op/config", config(1))
        async with run_loader_object(kv) as (follower, directory):
            await wait_until(lambda: directory.proof.holds(clock.now()))
            for number in range(60):
                kv.put(f"servers/i-{number}", report())
                kv.delete(f"servers/i-{number}")
            kv.put("servers/last", report())
            await wait_until(lambda: "last" in directory.targets)
            assert len(follower._revisions) <= 20 + 2
            assert set(directory.targets) == {"last"}


class TestNotFound:
    async def test_a_listing_that_is_not_found_is_no_ended_lease(self):
        async with serving(MetadataStore()) as addr, store.open_store(addr) as client:
            with pytest.raises(store.StoreFailed):
                await client._call("GET", "kv-unknown", None)


class TestWatchRate:
    async def test_changes_in_quick_succession_share_watch_calls(self):
        """Without a minimum interval, almost every change costs a call.

        In a large test deployment each reader made 4.4 watch calls a second.
        """
        kv = MetadataStore()
        kv.put("op/config", config(1))
        async with run_loader(kv) as directory:
            await wait_until(lambda: directory.proof.holds(clock.now()))
            kv.calls.clear()
            for slots in range(60):
                kv.put("servers/i-1", report(slots=2 + slots))
                await asyncio.sleep(0.01)
            await wait_until(lambda: directory.targets["i-1"].target.slots == 61)
            assert kv.calls.count("watch") <= 6

    async def test_watch_is_open_most_of_the_time_without_changes(self):
        """Without an open watch, a single change would not be received at once."""
        kv = MetadataStore()
        kv.put("op/config", config(1))
        async with run_loader(kv) as directory:
            await wait_until(lambda: directory.proof.holds(clock.now()))
            await asyncio.sleep(2 * loader.MIN_WATCH_INTERVAL_S)
            samples_without_watch = 0
            for _ in range(50):
                await asyncio.sleep(0.02)
                samples_without_watch += not kv.watching
            assert samples_without_watch <= 10


class TestFirstProof:
    """Callers wait while a node starts, and each call of the store has a price."""

    async def test_listing_of_one_page_proves_without_another_call(self, monkeypatch):
        async def unanswered(*_):
            await asyncio.Event().wait()

        monkeypatch.setattr(store.Store, "watch", unanswered)
        kv = MetadataStore()
        kv.put("op/config", config(1))
        async with run_loader(kv) as directory:
            await wait_until(lambda: directory.proof.holds(clock.now()))
            assert kv.calls == ["list"]

    async def test_node_that_starts_with_its_zone_is_proved_by_the_store(self):
        """The nodes above it start as well and answer no request for changes yet.

        Found on the large fleet after a loss of power: 0.4 s until the first proof, and
        callers were refused meanwhile (stale_view).
        """
        kv = MetadataStore(page_size=3)
        kv.put("op/config", config(1))
        for number in range(8):
            vm = Vm(f"a{number}", "z1", "10.0.0.1", 1)
            key = records.NODES_PREFIX + vm.name
            kv.put(key, records.encode_node(vm, 0))
        kv.put(records.NODES_PREFIX + "n1", records.encode_node(vm, 0))

        class StartingPeers:
            async def ask(self, vm, msg, timeout_s):
                await asyncio.sleep(0.3)
                raise NotSent("connecting timed out")

        directory = Directory("n1", "z1", ViewProof(limit_s=5.0))
        async with serving(kv) as addr, store.open_store(addr) as client:
            began = clock.now()
            task = asyncio.ensure_future(
                Loader(client, directory, StartingPeers()).run()
            )
            await wait_until(lambda: directory.proof.holds(clock.now()))
            assert clock.now() - began < 0.3
            task.cancel()

    async def test_listing_of_several_pages_proves_nothing(self):
        kv = MetadataStore(page_size=2)
        kv.put("op/config", config(1))
        for number in range(4):
            kv.put(f"servers/i-{number}", report())
        async with run_loader(kv) as directory:
            await wait_until(lambda: directory.proof.holds(clock.now()))
            assert kv.calls.count("watch") >= 1


class TestProof:
    async def test_proof_counts_from_when_the_call_was_sent(self):
        kv = MetadataStore()
        kv.put("op/config", config(1))
        async with run_loader(kv) as directory:
            await wait_until(lambda: directory.proof.holds(clock.now()))
            kv.silent = True
            silenced_at = clock.now()
            await asyncio.sleep(0.2)
            kv.put("op/config", config(2))
            await asyncio.sleep(1.2)
            assert directory.proof.at <= silenced_at + 0.05 or (
                directory.catalog.version == 2
            )

    async def test_failed_calls_of_the_store_do_not_renew_the_proof(self):
        kv = MetadataStore()
        kv.put("op/config", config(1))
        async with run_loader(kv) as directory:
            await wait_until(lambda: directory.proof.holds(clock.now()))
            kv.down = True
            await asyncio.sleep(1.3)
            before = directory.proof.at
            await asyncio.sleep(0.7)
            assert directory.proof.at == before
            kv.down = False
            await wait_until(lambda: directory.proof.at > before)


class TestNodes:
    def store_with_two_nodes(self):
        """Return a store with two registered nodes."""
        kv = MetadataStore()
        kv.put("op/config", config(1))
        for name in ("n1", "n2"):
            vm = Vm(name, "z1", "10.0.0.1", 1)
            kv.put(records.NODES_PREFIX + name, records.encode_node(vm, 0))
        return kv

    async def test_node_without_registration_is_dropped_at_once(self):
        kv = self.store_with_two_nodes()
        async with run_loader(kv) as directory:
            await wait_until(lambda: len(directory.view.vms) == 2)
            kv.delete(records.NODES_PREFIX + "n2")
            await wait_until(lambda: set(directory.view.vms) == {"n1"}, 1.0)

    async def test_nodes_are_kept_if_all_registrations_end_together(self):
        kv = self.store_with_two_nodes()
        async with run_loader(kv) as directory:
            await wait_until(lambda: len(directory.view.vms) == 2)
            kv.delete(records.NODES_PREFIX + "n2")
            kv.delete(records.NODES_PREFIX + "n1")
            await asyncio.sleep(0.6)
            assert set(directory.view.vms) == {"n1", "n2"}
