"""Tests of the relay under faults: many relays in one process, on virtual time.

``Fleet.check`` runs throughout each test: a usable view must hold every change that was
accepted more than ``USABLE_S`` ago, and no view may lose a change.
"""

import asyncio
import json
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lavenderstack.border.store import StoreError, SwapDone
from lavenderstack.border.store_fake import FakeStore, MemoryStore
from lavenderstack.core.entry import Change
from lavenderstack.core.view_freshness import USABLE_S
from lavenderstack.node.relay import Relay
from lavenderstack.node.streams import NotSent, StreamLost
from tests.virtual_time import clock, run_on_virtual_time

KEY = "lavenderstack/keys/aa"
ZONES = ["z1", "z2", "z3"]


class FakePool:
    """A node's connections to others; ``fleet`` sets which are cut or delayed."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name

    async def call(self, addr, body, timeout_s):
        fleet, other = self.fleet, addr[0]
        if fleet.is_cut(self.name, other):
            await asyncio.sleep(min(timeout_s, 1.0))
            raise NotSent("cut")
        async with asyncio.timeout(timeout_s):
            await fleet.delay_message(self.name, other)
            answer = await fleet.relays[other].handlers()[type(body)](body)
            await fleet.delay_message(other, self.name)
        if fleet.is_cut(self.name, other):
            raise StreamLost("cut")
        return answer


class FaultyStore(FakeStore):
    """A node's connection to the store, with the faults of the fleet."""

    def __init__(self, fleet, name):
        super().__init__(fleet.memory)
        self.fleet, self.name = fleet, name

    async def probe(self, prefixes, after_revision):
        await self.fleet.wait_while_paused(self.name)
        probe = await super().probe(prefixes, after_revision)
        await self.fleet.wait_while_paused(self.name)
        return probe


class Fleet:
    """Relays in several zones with one store, and the faults between them."""

    def __init__(self, zones, per_zone):
        self.memory = MemoryStore()
        self.names = {f"{z}n{i}": z for z in zones for i in range(per_zone)}
        for name, zone in self.names.items():
            vm = {"zone": zone, "host": name, "port": 1}
            self.memory.put(f"platform/vms/{name}", json.dumps(vm).encode())
        self.relays, self.tasks, self.stores = {}, {}, {}
        self.cut_links, self.paused = set(), {}
        self.delay_s = 0.001
        self.accepted = [(clock(), self.put_key(False))]
        self.newest = {}

    def put_key(self, withdrawn):
        value = {"organisation": "o", "withdrawn": withdrawn}
        return self.memory.put(KEY, json.dumps(value).encode())

    def start(self, *names, seeds=()):
        for name in names:
            store = self.stores[name] = FaultyStore(self, name)
            zone = self.names[name]
            relay = Relay(name, zone, store, FakePool(self, name), seeds, clock)
            self.relays[name] = relay
            self.tasks[name] = asyncio.ensure_future(relay.run())

    def stop(self, *names):
        for name in names:
            self.tasks.pop(name).cancel()
            self.cut_links |= {frozenset([name, o]) for o in self.names}

    def is_cut(self, name, other):
        return frozenset([name, other]) in self.cut_links

    def cut_zone(self, zone):
        inside = {n for n, z in self.names.items() if z == zone}
        for name in inside:
            self.cut_links |= {
                frozenset([name, o]) for o in self.names if o not in inside
            }

    def set_stores_down(self, names, down=True):
        for name in names:
            self.stores[name].down = down
        self.memory.wake()

    async def wait_while_paused(self, name):
        await asyncio.sleep(max(0.0, self.paused.get(name, 0.0) - clock()))

    async def delay_message(self, name, other):
        await self.wait_while_paused(name)
        await asyncio.sleep(self.delay_s)
        await self.wait_while_paused(other)

    def accept_change(self, withdrawn=True):
        """Change an entry in the store directly, without a node."""
        self.accepted.append((clock(), self.put_key(withdrawn)))

    async def change(self, name, withdrawn=True):
        """Change an entry through a node, as operators do; return if accepted."""
        relay, value = self.relays[name], {"organisation": "o", "withdrawn": withdrawn}
        raw = json.dumps(value).encode()
        entry = await relay.store.get(KEY)
        done = await relay.store.swap(KEY, raw, entry.revision)
        if not isinstance(done, SwapDone):
            return False
        ok = await relay.announce(Change(KEY, raw, done.revision))
        if ok:
            self.accepted.append((clock(), done.revision))
        return ok

    def check(self):
        now = clock()
        for name in self.tasks:
            relay = self.relays[name]
            held = relay.snapshot.entries.get(KEY)
            held = held.revision if held else 0
            assert held >= self.newest.get(name, 0), f"{name} reverted"
            self.newest[name] = held
            if relay.usable(now) and self.paused.get(name, 0) <= now:
                due = [r for at, r in self.accepted if at < now - USABLE_S]
                assert held >= max(due, default=0), f"{name} is stale, yet usable"

    async def advance_s(self, seconds):
        until = clock() + seconds
        while clock() < until:
            await asyncio.sleep(0.05)
            self.check()

    def usable(self, *zones):
        now = clock()
        names = [n for n in self.tasks if not zones or self.names[n] in zones]
        return [self.relays[n].usable(now) for n in names]

    def withdrawn(self):
        return [self.relays[n].view.keys["aa"].withdrawn for n in self.tasks]

    async def close(self):
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)


def fleet_test(zones=3, per_zone=3):
    """Run the decorated coroutine function with a running fleet."""

    def wrap(test):
        def run(self, *args, **kwargs):
            async def main():
                fleet = Fleet(ZONES[:zones], per_zone)
                fleet.start(*fleet.names)
                try:
                    await fleet.advance_s(4)
                    assert all(fleet.usable())
                    await test(self, fleet, *args, **kwargs)
                finally:
                    await fleet.close()

            run_on_virtual_time(main())

        run.__name__ = test.__name__
        return run

    return wrap


class TestOutage:
    @fleet_test()
    async def test_a_store_too_slow_to_answer_counts_as_unreachable(self, fleet):
        for store in fleet.stores.values():
            store.lose_answer = True
        await fleet.advance_s(20)
        assert all(fleet.usable())
        fleet.cut_zone("z1")
        await fleet.advance_s(USABLE_S + 1.5)
        assert not any(fleet.usable())

    @fleet_test()
    async def test_an_outage_alone_stops_nothing(self, fleet):
        fleet.set_stores_down(fleet.names)
        for _ in range(60):
            await fleet.advance_s(1)
            assert all(fleet.usable())
        fleet.set_stores_down(fleet.names, down=False)
        fleet.accept_change()
        await fleet.advance_s(2)
        assert all(fleet.withdrawn())

    @fleet_test()
    async def test_one_node_reaches_the_store_and_changes_it(self, fleet):
        """Readers take the outage as proved; the change must still take effect."""
        readers = {vm.name for r in fleet.relays.values() for vm in r.tree.readers}
        name = next(n for n in fleet.names if n not in readers)
        fleet.set_stores_down(set(fleet.names) - {name})
        await fleet.advance_s(10)
        assert await fleet.change(name)
        await fleet.advance_s(USABLE_S + 1)
        assert all(fleet.withdrawn())
        assert all(fleet.usable())

    @fleet_test()
    async def test_a_change_that_reaches_no_reader_is_not_accepted(self, fleet):
        readers = {vm.name for r in fleet.relays.values() for vm in r.tree.readers}
        name = next(n for n in fleet.names if n not in readers)
        fleet.set_stores_down(set(fleet.names) - {name})
        fleet.cut_links |= {frozenset([name, o]) for o in fleet.names}
        await fleet.advance_s(6)
        assert not await fleet.change(name)
        assert not fleet.relays[name].usable(clock())

    @fleet_test()
    async def test_a_new_vm_starts_from_its_peers(self, fleet):
        fleet.set_stores_down(fleet.names)
        await fleet.advance_s(5)
        fleet.names["z1new"] = "z1"
        fleet.start("z1new", seeds=[("z1n0", 1), ("z2n0", 1)])
        fleet.set_stores_down(["z1new"])
        await fleet.advance_s(4)
        assert all(fleet.usable())
        assert fleet.relays["z1new"].view == fleet.relays["z1n0"].view


class TestCuts:
    @fleet_test()
    async def test_a_zone_cut_off_from_everything_becomes_unusable(self, fleet):
        fleet.cut_zone("z1")
        fleet.set_stores_down([n for n, z in fleet.names.items() if z == "z1"])
        fleet.accept_change()
        await fleet.advance_s(USABLE_S + 0.1)
        assert not any(fleet.usable("z1"))
        assert all(fleet.usable("z2", "z3"))
        fleet.cut_links.clear()
        await fleet.advance_s(5)
        assert all(fleet.usable())
        assert all(fleet.withdrawn())

    @fleet_test()
    async def test_a_zone_cut_off_from_the_platform_only_stays_current(self, fleet):
        fleet.set_stores_down([n for n, z in fleet.names.items() if z == "z1"])
        await fleet.advance_s(8)
        fleet.accept_change()
        await fleet.advance_s(2)
        assert all(fleet.usable())
        assert all(fleet.withdrawn())

    @fleet_test()
    async def test_an_outage_is_not_proved_without_every_zone(self, fleet):
        fleet.set_stores_down(fleet.names)
        fleet.cut_zone("z1")
        await fleet.advance_s(USABLE_S + 3)
        assert not any(fleet.usable())

    @fleet_test()
    async def test_a_zone_that_becomes_silent_no_longer_proves_an_outage(self, fleet):
        fleet.set_stores_down(fleet.names)
        await fleet.advance_s(10)
        assert all(fleet.usable())
        fleet.cut_zone("z1")
        await fleet.advance_s(USABLE_S + 1.5)
        assert not any(fleet.usable())

    @fleet_test(zones=2)
    async def test_a_zone_without_the_store_follows_the_other_zone(self, fleet):
        """One zone reaches the store, the other reaches only that zone, slowly."""
        fleet.set_stores_down([n for n, z in fleet.names.items() if z == "z2"])
        fleet.delay_s = 0.2
        for _ in range(10):
            fleet.accept_change()
            await fleet.advance_s(3)
        assert all(fleet.usable())


class TestFailedNodes:
    @fleet_test(per_zone=8)
    async def test_readers_fail_one_by_one(self, fleet):
        readers = fleet.relays["z1n0"].tree.readers
        for vm in readers:
            fleet.stop(vm.name)
            await fleet.advance_s(10)
            assert all(fleet.usable())
            fleet.accept_change()
            await fleet.advance_s(3)
            assert all(fleet.withdrawn())

    @fleet_test()
    async def test_a_paused_node_is_not_usable_when_it_wakes(self, fleet):
        for name in fleet.names:
            fleet.paused[name] = clock() + 6
            await asyncio.sleep(5.9)
            fleet.accept_change()
            assert not fleet.relays[name].usable(clock())
            await fleet.advance_s(4)
            assert all(fleet.usable())


class TestSpeed:
    @pytest.mark.parametrize(("zones", "per_zone"), [(3, 3), (2, 60)])
    def test_a_withdrawn_key_stops_everywhere_within_seconds(self, zones, per_zone):
        async def run(_, fleet):
            fleet.accept_change()
            await fleet.advance_s(0.3)
            assert all(fleet.withdrawn())
            assert all(fleet.usable())

        fleet_test(zones, per_zone)(run)(self)


class TestRefreshView:
    @fleet_test(per_zone=4)
    async def test_an_unknown_key_is_looked_up_once_and_then_remembered(self, fleet):
        relay = next(r for r in fleet.relays.values() if not r.is_reader)
        before = sum(s.calls for s in fleet.stores.values())
        found = [relay.refresh_view(relay.view.revision, 1.0) for _ in range(50)]
        assert not any(await asyncio.gather(*found))
        for _ in range(20):
            assert not await relay.refresh_view(relay.view.revision, 1.0)
        assert sum(s.calls for s in fleet.stores.values()) - before <= 4
        await fleet.advance_s(1)
        known = relay.view.revision
        fleet.accept_change(withdrawn=True)
        assert await relay.refresh_view(known, 1.0)
        assert relay.view.keys["aa"].withdrawn


FAULTS = st.sampled_from(
    [
        "outage",
        "recovery",
        "cut",
        "heal",
        "pause",
        "delay",
        "change",
        "change",
        "restart",
    ]
)


class TestRandomFaults:
    @settings(max_examples=40, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(FAULTS, st.integers(0, 2**16)), min_size=3, max_size=14))
    def test_no_view_reverts_or_is_usable_while_stale(self, faults):
        async def run(_, fleet):
            for kind, seed in faults:
                await self.inject_fault(fleet, kind, random.Random(seed))
                await fleet.advance_s(random.Random(seed).uniform(0.1, 4))

        fleet_test(per_zone=2)(run)(self)

    async def inject_fault(self, fleet, kind, rng):
        some = rng.sample(sorted(fleet.names), rng.randint(1, len(fleet.names)))
        if kind in ("outage", "recovery"):
            fleet.set_stores_down(some, down=kind == "outage")
        elif kind == "cut":
            fleet.cut_zone(rng.choice(ZONES))
        elif kind == "heal":
            fleet.cut_links.clear()
        elif kind == "pause":
            fleet.paused[some[0]] = clock() + rng.uniform(0, 8)
        elif kind == "delay":
            fleet.delay_s = rng.choice([0.001, 0.3])
        elif kind == "restart":
            fleet.tasks.pop(some[0]).cancel()
            fleet.newest.pop(some[0], None)
            seeds = [(n, 1) for n in fleet.names if n != some[0]]
            fleet.start(some[0], seeds=seeds[:2])
        else:
            try:
                await fleet.change(some[0], rng.random() < 0.5)
            except StoreError:
                return
