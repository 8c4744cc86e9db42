"""Tests of following the store: never back, proofs, dropped history."""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest

from lavenderstack.core import clock
from lavenderstack.core.change_messages import ChangesRequest
from lavenderstack.core.readers import upstream_nodes
from lavenderstack.core.view import Vm
from lavenderstack.core.view_proof import ViewProof
from lavenderstack.node.backend import ClaimLost
from lavenderstack.node.directory import Directory
from lavenderstack.node.streams import NotSent
from lavenderstack.platform import documents, loader, store
from lavenderstack.platform.documents_test import CONFIG, REPORT
from lavenderstack.platform.loader import Loader
from lavenderstack.platform.registration import Registration
from standins.metadata_store import MetadataStore, serving


def config(version):
    return json.dumps({**CONFIG, "version": version}).encode()


def report(**fields):
    return json.dumps({**REPORT, **fields}).encode()


@asynccontextmanager
async def following(kept):
    """Run a loader over a stand-in; yield its directory."""
    directory = Directory("n1", "z1", ViewProof(limit_s=5.0))
    async with serving(kept) as addr, store.opened(addr) as client:
        task = asyncio.ensure_future(Loader(client, directory).run())
        try:
            yield directory
        finally:
            task.cancel()


async def until(condition, limit_s=5.0):
    end = clock.now() + limit_s
    while not condition():
        assert clock.now() < end, "did not come"
        await asyncio.sleep(0.01)


class TestFollowing:
    async def test_what_lies_there_and_what_changes_is_taken_over(self):
        kept = MetadataStore()
        kept.put("op/config", config(3))
        kept.put("servers/i-1", report())
        async with following(kept) as directory:
            await until(lambda: directory.proof.holds(clock.now()))
            assert directory.catalog.version == 3
            assert directory.targets["i-1"].target.connections == 33
            kept.put("op/config", config(9))
            kept.delete("servers/i-1")
            await until(lambda: directory.catalog.version == 9)
            await until(lambda: not directory.targets)

    async def test_nothing_newer_is_undone_by_an_older_version(self):
        kept = MetadataStore()
        kept.put("op/config", config(9))
        async with following(kept) as directory:
            await until(lambda: directory.catalog.version == 9)
            kept.put("op/config", config(4))
            kept.put("servers/i-1", report())
            await until(lambda: "i-1" in directory.targets)
            assert directory.catalog.version == 9

    async def test_a_report_that_cant_be_read_takes_its_target_away(self):
        kept = MetadataStore()
        kept.put("op/config", config(1))
        kept.put("servers/i-1", report())
        kept.put("servers/i-2", report())
        async with following(kept) as directory:
            await until(lambda: len(directory.targets) == 2)
            kept.put("servers/i-1", b"\xff\x00")
            await until(lambda: set(directory.targets) == {"i-2"})

    async def test_dropped_history_leads_to_a_new_listing(self):
        kept = MetadataStore()
        kept.put("op/config", config(1))
        kept.put("servers/i-1", report())
        async with following(kept) as directory:
            await until(lambda: "i-1" in directory.targets)
            kept.delete("servers/i-1")
            kept.put("op/config", config(5))
            kept.compact()
            await until(lambda: directory.catalog.version == 5)
            await until(lambda: not directory.targets)

    async def test_what_changes_between_two_pages_is_not_missed(self):
        kept = MetadataStore(page=2)
        kept.put("op/config", config(1))
        for number in range(5):
            kept.put(f"servers/i-{number}", report())
        kept.between_pages = [
            lambda: kept.delete("servers/i-0"),
            lambda: kept.put("op/config", config(2)),
        ]
        async with following(kept) as directory:
            await until(lambda: directory.catalog.version == 2)
            await until(lambda: "i-0" not in directory.targets)
            assert len(directory.targets) == 4


class TestPace:
    async def test_changes_that_come_close_together_share_a_watch(self):
        """Found on grown brandt: 4.4 watches a second at each reader."""
        kept = MetadataStore()
        kept.put("op/config", config(1))
        async with following(kept) as directory:
            await until(lambda: directory.proof.holds(clock.now()))
            kept.calls.clear()
            for slots in range(60):
                kept.put("servers/i-1", report(slots=2 + slots))
                await asyncio.sleep(0.01)
            await until(lambda: directory.targets["i-1"].target.slots == 61)
            assert kept.calls.count("watch") <= 6

    async def test_while_nothing_changes_a_watch_is_always_there(self):
        """So a change that comes alone is heard of at once."""
        kept = MetadataStore()
        kept.put("op/config", config(1))
        async with following(kept) as directory:
            await until(lambda: directory.proof.holds(clock.now()))
            await asyncio.sleep(2 * loader.WATCHES_APART_S)
            absent = 0
            for _ in range(50):
                await asyncio.sleep(0.02)
                absent += not kept.watching
            assert absent <= 10


class TestProof:
    async def test_it_counts_from_when_the_question_was_sent(self):
        kept = MetadataStore()
        kept.put("op/config", config(1))
        async with following(kept) as directory:
            await until(lambda: directory.proof.holds(clock.now()))
            kept.silent = True
            silent_at = clock.now()
            await asyncio.sleep(0.2)
            kept.put("op/config", config(2))
            await asyncio.sleep(1.2)
            assert directory.proof.at <= silent_at + 0.05 or (
                directory.catalog.version == 2
            )

    async def test_a_store_that_refuses_proves_nothing(self):
        kept = MetadataStore()
        kept.put("op/config", config(1))
        async with following(kept) as directory:
            await until(lambda: directory.proof.holds(clock.now()))
            kept.down = True
            await asyncio.sleep(1.3)
            before = directory.proof.at
            await asyncio.sleep(0.7)
            assert directory.proof.at == before
            kept.down = False
            await until(lambda: directory.proof.at > before)


class TestNodes:
    def nodes(self):
        """Return a store in which two nodes are registered."""
        kept = MetadataStore()
        kept.put("op/config", config(1))
        for name in ("n1", "n2"):
            vm = Vm(name, "z1", "10.0.0.1", 1)
            kept.put(documents.NODES_PREFIX + name, documents.encode_node(vm))
        return kept

    async def test_one_whose_registration_ended_is_dropped_at_once(self):
        kept = self.nodes()
        async with following(kept) as directory:
            await until(lambda: len(directory.view.vms) == 2)
            kept.delete(documents.NODES_PREFIX + "n2")
            await until(lambda: set(directory.view.vms) == {"n1"}, 1.0)

    async def test_when_all_ended_together_they_are_kept_for_a_while(self):
        kept = self.nodes()
        async with following(kept) as directory:
            await until(lambda: len(directory.view.vms) == 2)
            kept.delete(documents.NODES_PREFIX + "n2")
            kept.delete(documents.NODES_PREFIX + "n1")
            await asyncio.sleep(0.6)
            assert set(directory.view.vms) == {"n1", "n2"}


class TestReaders:
    """A follower that asks a reader of its zone, which asks the store."""

    ZONE = tuple(Vm(f"n{one}", "z1", "10.0.0.1", 1) for one in range(1, 8))

    def zone(self, directory):
        for vm in self.ZONE:
            directory.put_member(vm)

    def follower(self):
        """Return the name of a node that asks another one."""
        names = [vm.name for vm in self.ZONE]
        return next(name for name in names if upstream_nodes(self.ZONE, "z1", name))

    @asynccontextmanager
    async def pair(self, kept):
        """Run a reader and a follower; yield their directories and a switch."""
        async with serving(kept) as addr, store.opened(addr) as client:
            first = Directory("reader", "z1", ViewProof(limit_s=5.0))
            reader = Loader(client, first)
            directory = Directory(self.follower(), "z1", ViewProof(limit_s=5.0))
            state = {"on": True, "asked": 0}

            class FakePeers:
                async def ask(self, vm, msg, timeout_s):
                    state["asked"] += 1
                    if not state["on"]:
                        raise NotSent("off")
                    return await reader.news(msg)

            follower = Loader(client, directory, FakePeers())
            tasks = [asyncio.ensure_future(one.run()) for one in (reader, follower)]
            try:
                yield first, directory, state
            finally:
                for task in tasks:
                    task.cancel()

    async def test_news_reach_the_follower_without_the_store(self):
        kept = MetadataStore()
        kept.put("op/config", config(1))
        async with self.pair(kept) as (_, directory, state):
            await until(lambda: directory.catalog.version == 1)
            self.zone(directory)
            await until(lambda: state["asked"] > 0)
            kept.calls.clear()
            kept.put("op/config", config(5))
            kept.put("servers/i-1", report())
            await until(lambda: directory.catalog.version == 5)
            await until(lambda: "i-1" in directory.targets)
            kept.delete("servers/i-1")
            await until(lambda: not directory.targets)
            assert kept.calls.count("watch") <= 5

    async def test_its_proof_is_never_younger_than_the_readers(self):
        kept = MetadataStore()
        kept.put("op/config", config(1))
        async with self.pair(kept) as (first, directory, state):
            await until(lambda: directory.proof.holds(clock.now()))
            self.zone(directory)
            await until(lambda: state["asked"] > 2)
            for _ in range(40):
                assert directory.proof.at <= first.proof.at + 0.02
                await asyncio.sleep(0.02)

    async def test_a_proof_is_passed_on_as_soon_as_there_is_one(self):
        """So that a tree of nodes adds round trips to its age, not seconds."""
        kept = MetadataStore()
        kept.put("op/config", config(1))
        async with self.pair(kept) as (first, directory, state):
            await until(lambda: directory.proof.holds(clock.now()))
            self.zone(directory)
            await until(lambda: state["asked"] > 2)
            behind = 0
            for _ in range(50):
                behind += directory.proof.at < first.proof.at - 0.1
                await asyncio.sleep(0.04)
            assert behind <= 10

    async def test_without_a_reader_the_store_is_asked(self):
        kept = MetadataStore()
        kept.put("op/config", config(1))
        async with self.pair(kept) as (_, directory, state):
            await until(lambda: directory.catalog.version == 1)
            self.zone(directory)
            await until(lambda: state["asked"] > 0)
            state["on"] = False
            kept.put("op/config", config(7))
            await until(lambda: directory.catalog.version == 7)
            await until(lambda: directory.proof.age_s(clock.now()) < 2.0)

    async def test_what_changed_between_pages_is_passed_on(self):
        """Found by reading: it is in the listing, and the next watch adds nothing."""
        kept = MetadataStore(page=2)
        kept.put("op/config", config(1))
        for number in range(4):
            kept.put(f"servers/i-{number}", report())
        first_page = kept.rev
        kept.between_pages = [lambda: kept.put("servers/i-3", report(slots=9))]
        async with serving(kept) as addr, store.opened(addr) as client:
            reader = Loader(client, Directory("r", "z1", ViewProof(limit_s=5.0)))
            task = asyncio.ensure_future(reader.run())
            await until(lambda: reader._listed)
            answer = await reader.news(ChangesRequest(first_page, 0.5))
            task.cancel()
            assert "servers/i-3" in {one.key for one in answer.entries}

    async def test_a_follower_far_behind_gets_everything(self):
        kept = MetadataStore()
        kept.put("op/config", config(1))
        kept.put("servers/i-1", report())
        async with serving(kept) as addr, store.opened(addr) as client:
            reader = Loader(client, Directory("r", "z1", ViewProof(limit_s=5.0)))
            task = asyncio.ensure_future(reader.run())
            await until(lambda: reader._listed)
            answer = await reader.news(ChangesRequest(1, 0.1))
            task.cancel()
            assert answer.whole
            keys = {one.key for one in answer.entries}
            assert keys == {"op/config", "servers/i-1"}


@asynccontextmanager
async def registered(kept):
    """Run a registration over a stand-in; yield it once the node is there."""
    async with serving(kept) as addr, store.opened(addr) as client:
        registration = Registration(client, Vm("n1", "z1", "10.0.0.1", 1))
        task = asyncio.ensure_future(registration.run())
        try:
            await until(lambda: documents.NODES_PREFIX + "n1" in kept.items)
            yield registration
        finally:
            task.cancel()


class TestRegistration:
    DUTY = documents.DUTIES_PREFIX + "g"

    async def test_a_claim_ends_with_the_lease(self):
        kept = MetadataStore()
        async with registered(kept) as registration:
            await registration.claim("g")
            assert self.DUTY in kept.items
            await registration.end()
            assert kept.items == {}

    async def test_a_duty_that_is_taken_cant_be_claimed(self):
        kept = MetadataStore()
        kept.put(self.DUTY, documents.encode_duty("n2#x"))
        async with registered(kept) as registration:
            with pytest.raises(ClaimLost):
                await registration.claim("g")

    async def test_each_epoch_is_greater_than_the_one_before(self):
        kept = MetadataStore()
        async with registered(kept) as registration:
            await registration.claim("g")
            first = kept.items[self.DUTY]["rev"]
            await registration.renew_epoch("g", first)
            assert kept.items[self.DUTY]["rev"] > first

    async def test_a_lease_that_ended_leads_to_a_new_registration(self):
        kept = MetadataStore()
        key = documents.NODES_PREFIX + "n1"
        async with registered(kept):
            kept.end_lease(kept.items[key]["lease"])
            assert key not in kept.items
            await until(lambda: key in kept.items)
