"""Tests of nodes that read the store's changes from other nodes."""

import asyncio
from contextlib import asynccontextmanager

import msgspec

from lavenderstack.core import clock
from lavenderstack.core.change_messages import ChangesRequest
from lavenderstack.core.entry_compression import MIN_COMPRESSED_B, expanded
from lavenderstack.core.readers import upstream_nodes
from lavenderstack.core.view import Vm
from lavenderstack.core.view_proof import ViewProof
from lavenderstack.node.directory import Directory
from lavenderstack.node.streams import NotSent
from lavenderstack.platform import store
from lavenderstack.platform.loader import Loader
from lavenderstack.platform.loader_test import (
    config,
    report,
    wait_until,
)
from standins.metadata_store import MetadataStore, serving


class TestReaders:
    """A follower asks a reader of its zone, which reads the store."""

    ZONE_NODES = tuple(Vm(f"n{number}", "z1", "10.0.0.1", 1) for number in range(1, 8))

    def register_zone(self, directory):
        for vm in self.ZONE_NODES:
            directory.put_member(vm)

    def follower_name(self):
        """Return the name of a node that asks another node."""
        names = [vm.name for vm in self.ZONE_NODES]
        return next(
            name for name in names if upstream_nodes(self.ZONE_NODES, "z1", name)
        )

    @asynccontextmanager
    async def run_reader_and_follower(self, kv):
        """Run a reader and a follower.

        Yields their directories and a dict: ``on`` tells whether the reader replies to
        the follower, ``asked`` counts the requests. With ``damage`` the replies have an
        entry that can't be expanded.
        """
        async with serving(kv) as addr, store.open_store(addr) as client:
            reader_directory = Directory("reader", "z1", ViewProof(limit_s=5.0))
            reader = Loader(client, reader_directory)
            directory = Directory(self.follower_name(), "z1", ViewProof(limit_s=5.0))
            peers_state = {"on": True, "asked": 0, "damage": False}

            class FakePeers:
                async def ask(self, vm, msg, timeout_s):
                    peers_state["asked"] += 1
                    if not peers_state["on"]:
                        raise NotSent("off")
                    reply = await reader.handle_changes_request(msg)
                    damaged = dict.fromkeys(range(len(reply.entries)), b"?")
                    if peers_state["damage"]:
                        return msgspec.structs.replace(reply, compressed=damaged)
                    return reply

            follower = Loader(client, directory, FakePeers())
            tasks = [
                asyncio.ensure_future(instance.run()) for instance in (reader, follower)
            ]
            try:
                yield reader_directory, directory, peers_state
            finally:
                for task in tasks:
                    task.cancel()

    async def test_changes_reach_the_follower_through_the_reader(self):
        kv = MetadataStore()
        kv.put("op/config", config(1))
        async with self.run_reader_and_follower(kv) as (
            _,
            directory,
            peers_state,
        ):
            await wait_until(lambda: directory.catalog.version == 1)
            self.register_zone(directory)
            await wait_until(lambda: peers_state["asked"] > 0)
            kv.calls.clear()
            kv.put("op/config", config(5))
            kv.put("servers/i-1", report())
            await wait_until(lambda: directory.catalog.version == 5)
            await wait_until(lambda: "i-1" in directory.targets)
            kv.delete("servers/i-1")
            await wait_until(lambda: not directory.targets)
            assert kv.calls.count("watch") <= 5

    async def test_proof_of_the_follower_is_not_newer_than_the_readers(self):
        kv = MetadataStore()
        kv.put("op/config", config(1))
        async with self.run_reader_and_follower(kv) as (
            reader_directory,
            directory,
            peers_state,
        ):
            await wait_until(lambda: directory.proof.holds(clock.now()))
            self.register_zone(directory)
            await wait_until(lambda: peers_state["asked"] > 2)
            for _ in range(40):
                assert directory.proof.at <= reader_directory.proof.at + 0.02
                await asyncio.sleep(0.02)

    async def test_new_proof_is_passed_on_at_once(self):
        """Otherwise each level of the tree of nodes would add seconds to its age."""
        kv = MetadataStore()
        kv.put("op/config", config(1))
        async with self.run_reader_and_follower(kv) as (
            reader_directory,
            directory,
            peers_state,
        ):
            await wait_until(lambda: directory.proof.holds(clock.now()))
            self.register_zone(directory)
            await wait_until(lambda: peers_state["asked"] > 2)
            late_samples = 0
            for _ in range(50):
                late_samples += directory.proof.at < reader_directory.proof.at - 0.1
                await asyncio.sleep(0.04)
            assert late_samples <= 10

    async def test_follower_asks_the_store_if_no_reader_replies(self):
        kv = MetadataStore()
        kv.put("op/config", config(1))
        async with self.run_reader_and_follower(kv) as (
            _,
            directory,
            peers_state,
        ):
            await wait_until(lambda: directory.catalog.version == 1)
            self.register_zone(directory)
            await wait_until(lambda: peers_state["asked"] > 0)
            peers_state["on"] = False
            kv.put("op/config", config(7))
            await wait_until(lambda: directory.catalog.version == 7)
            await wait_until(lambda: directory.proof.age_s(clock.now()) < 2.0)

    async def test_change_between_pages_is_passed_on(self):
        """Such a change is in the listing, so the next watch skips it as known.

        The reader then did not pass it on to nodes that asked for changes.
        """
        kv = MetadataStore(page_size=2)
        kv.put("op/config", config(1))
        for number in range(4):
            kv.put(f"servers/i-{number}", report())
        first_page_rev = kv.rev
        kv.between_pages = [lambda: kv.put("servers/i-3", report(slots=9))]
        async with serving(kv) as addr, store.open_store(addr) as client:
            reader = Loader(client, Directory("r", "z1", ViewProof(limit_s=5.0)))
            task = asyncio.ensure_future(reader.run())
            await wait_until(lambda: reader._listed)
            reply = await reader.handle_changes_request(
                ChangesRequest(first_page_rev, 0.5)
            )
            later = await reader.handle_changes_request(ChangesRequest(kv.rev, 0.0))
            task.cancel()
            assert "servers/i-3" in {entry.key for entry in reply.entries}
            # An earlier change of the entry may be missing, which ends a history.
            assert (reply.listed, later.listed) == (True, False)

    async def test_only_a_build_that_knows_compressed_entries_gets_them(self):
        kv = MetadataStore()
        kv.put("op/config", config(1) + b" " * MIN_COMPRESSED_B)
        async with serving(kv) as addr, store.open_store(addr) as client:
            reader = Loader(client, Directory("r", "z1", ViewProof(limit_s=5.0)))
            task = asyncio.ensure_future(reader.run())
            await wait_until(lambda: reader._listed)
            older = await reader.handle_changes_request(ChangesRequest(1, 0.1))
            current = await reader.handle_changes_request(ChangesRequest(1, 0.1, True))
            task.cancel()
        assert not older.compressed
        assert len(older.entries[0].data) > MIN_COMPRESSED_B
        assert len(current.compressed[0]) < 1000
        assert expanded(current) == older.entries

    async def test_changes_that_cannot_be_expanded_are_read_elsewhere(self):
        kv = MetadataStore()
        kv.put("op/config", config(1))
        async with self.run_reader_and_follower(kv) as (_, directory, peers_state):
            await wait_until(lambda: directory.catalog.version == 1)
            self.register_zone(directory)
            await wait_until(lambda: peers_state["asked"] > 0)
            peers_state["damage"] = True
            kv.put("op/config", config(7))
            await wait_until(lambda: directory.catalog.version == 7)

    async def test_follower_far_behind_gets_all_entries(self):
        kv = MetadataStore()
        kv.put("op/config", config(1))
        kv.put("servers/i-1", report())
        async with serving(kv) as addr, store.open_store(addr) as client:
            reader = Loader(client, Directory("r", "z1", ViewProof(limit_s=5.0)))
            task = asyncio.ensure_future(reader.run())
            await wait_until(lambda: reader._listed)
            reply = await reader.handle_changes_request(ChangesRequest(1, 0.1))
            task.cancel()
            assert reply.whole
            keys = {entry.key for entry in reply.entries}
            assert keys == {"op/config", "servers/i-1"}
