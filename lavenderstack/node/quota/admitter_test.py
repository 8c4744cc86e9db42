"""Tests of rate limiting at an entry node and of handing out tokens."""

import asyncio
from dataclasses import replace

from lavenderstack.core import clock
from lavenderstack.core.catalog import Catalog, Reserve
from lavenderstack.core.hash_ring import HashRing, hash_position
from lavenderstack.core.members import Members
from lavenderstack.core.outcome import Reason
from lavenderstack.core.quota.coordinator_messages import Attach, Detach, DrawTokens
from lavenderstack.core.view import Plan, Vm
from lavenderstack.core.view_proof import ViewProof
from lavenderstack.node.backend import ClaimLost
from lavenderstack.node.directory import Directory
from lavenderstack.node.peers import Peers
from lavenderstack.node.quota.admitter import ATTACH_INTERVAL_S, Admitter
from lavenderstack.node.quota.token_coordinator import RECORD_WAIT_S
from lavenderstack.node.streams import NotSent, StreamPool


class FakeReserves:
    """In-memory reserve record; with ``silent`` the store gives no answer for 1 s."""

    def __init__(self, directory):
        self.identity = f"{directory.name}#1"
        self.silent = False
        self.records = []
        self._directory = directory

    async def record(self, tokens, revision):
        if self.silent:
            await asyncio.sleep(1.0)
            raise ClaimLost("no answer")
        if revision != self._directory.reserve.revision:
            raise ClaimLost("conflict")
        self.records.append(dict(tokens))
        reserve = Reserve(self.identity, dict(tokens), revision + 1)
        self._directory.put_reserve(reserve)
        return reserve.revision


class SingleNode:
    """A single node, its own coordinator unless ``reachable`` is false."""

    def __init__(self, rate=20.0, burst=20.0):
        directory = self.directory = Directory("n1", "z1", ViewProof(limit_s=5.0))
        plans = {"org": Plan("org", rate, burst)}
        directory.update_catalog(Catalog(version=1, plans=plans))
        directory.put_member(Vm("n1", "z1", "10.0.0.1", 1))
        directory.proof.prove(clock.now())
        peers = Peers("n1", lambda: directory.view, StreamPool(), Members("n1"))
        self.reserves = FakeReserves(directory)
        self.admitter = Admitter(directory, peers, self.reserves)
        self.reachable = True
        self.draws = 0
        peers.ask = self.ask

    async def ask(self, vm, msg, timeout_s):
        if not self.reachable:
            raise NotSent("off")
        if isinstance(msg, Attach):
            return await self.admitter.attach(msg)
        self.draws += 1
        return await self.admitter.draw(msg)

    async def fill(self):
        """Fill the buckets of the coordinator."""
        await self.admitter.attach(Attach("n1"))
        quota = self.admitter._quota
        for bucket in quota.buckets.values():
            bucket.level = bucket.capacity


class TestAdmitting:
    async def test_operations_within_the_rate_are_admitted(self):
        node = SingleNode()
        await node.fill()
        assert [await node.admitter.admit("org") for _ in range(20)] == [None] * 20

    async def test_operations_beyond_the_rate_are_refused_at_once_with_retry_time(self):
        node = SingleNode(rate=1.0, burst=1.0)
        began = clock.now()
        refusals = [await node.admitter.admit("org") for _ in range(10)]
        refused = [one for one in refusals if one is not None]
        assert len(refused) >= 8
        assert all(one.reason == Reason.OVER_RATE for one in refused)
        assert all(one.retry_after_s > 0 and one.detail for one in refused)
        assert clock.now() - began < 0.5

    async def test_concurrent_operations_share_a_draw(self):
        node = SingleNode()
        await node.fill()
        admissions = [node.admitter.admit("org") for _ in range(8)]
        assert await asyncio.gather(*admissions) == [None] * 8
        assert node.draws <= 2

    async def test_fallback_quota_is_used_without_a_coordinator(self):
        node = SingleNode()
        node.reachable = False
        assert await node.admitter.admit("org") is None

    async def test_public_route_has_no_rate_limit(self):
        assert await SingleNode().admitter.admit("") is None


class TestFreshService:
    """Buckets of organisations that can't have spent anything yet.

    Found twice: some of 36 operations at four nodes that had just started were refused
    with a retry time of 0 ms, on a plan of 68/s and 60 at once.
    """

    async def test_plan_is_unspent_if_no_coordinator_ever_recorded_anything(self):
        node = SingleNode(rate=68.0, burst=60.0)
        admissions = [node.admitter.admit("org") for _ in range(36)]
        assert await asyncio.gather(*admissions) == [None] * 36

    async def test_after_a_coordinator_the_level_is_unknown(self):
        node = SingleNode(rate=1.0, burst=60.0)
        node.directory.put_reserve(Reserve("n9#1", {}, 4))
        admissions = [node.admitter.admit("org") for _ in range(36)]
        admitted = [one for one in await asyncio.gather(*admissions) if one is None]
        assert len(admitted) <= 6

    async def test_missing_record_in_an_old_view_says_nothing(self):
        node = SingleNode(rate=1.0, burst=60.0)
        node.directory.proof.at = clock.now() - 10.0
        admissions = [node.admitter.admit("org") for _ in range(36)]
        admitted = [one for one in await asyncio.gather(*admissions) if one is None]
        assert len(admitted) <= 6

    async def test_new_organisation_of_a_running_coordinator_is_unspent(self):
        node = SingleNode(rate=1.0, burst=10.0)
        node.directory.put_reserve(Reserve("n9#1", {}, 4))
        await node.admitter.attach(Attach("n1"))
        plans = {"org": Plan("org", 1.0, 10.0), "new": Plan("new", 1.0, 30.0)}
        node.directory.update_catalog(Catalog(version=2, plans=plans))
        admissions = [node.admitter.admit("new") for _ in range(30)]
        assert await asyncio.gather(*admissions) == [None] * 30

    async def test_organisation_that_comes_back_is_not_unspent_again(self):
        node = SingleNode(rate=1.0, burst=30.0)
        await node.fill()
        plans = dict(node.directory.catalog.plans)
        spent = [node.admitter.admit("org") for _ in range(30)]
        assert await asyncio.gather(*spent) == [None] * 30
        for version, one in ((2, {}), (3, plans)):
            node.directory.update_catalog(Catalog(version=version, plans=one))
            await node.admitter.attach(Attach("n1"))
        again = [node.admitter.admit("org") for _ in range(30)]
        admitted = [one for one in await asyncio.gather(*again) if one is None]
        assert len(admitted) <= 2


class Cluster:
    """Three nodes that ask each other.

    ``dead`` nodes refuse connections, ``silent`` nodes don't answer.
    """

    NAMES = ("n1", "n2", "n3")

    def __init__(self):
        self.dead = set()
        self.silent = set()
        self.asked = []
        self.directories = {name: self.directory(name) for name in self.NAMES}
        self.admitters = {name: self.admitter(name) for name in self.NAMES}
        self.entry = self.admitters["n1"]

    def directory(self, name):
        directory = Directory(name, "z1", ViewProof(limit_s=5.0))
        plans = {"org": Plan("org", 60.0, 60.0)}
        directory.update_catalog(Catalog(version=1, plans=plans))
        for one in self.NAMES:
            directory.put_member(Vm(one, "z1", "10.0.0.1", 1))
        return directory

    def admitter(self, name):
        directory = self.directories[name]
        peers = Peers(name, lambda: directory.view, StreamPool(), Members(name))
        peers.ask = self.ask
        return Admitter(directory, peers, FakeReserves(directory))

    async def ask(self, vm, msg, timeout_s):
        if vm.name in self.dead:
            raise NotSent("refused")
        if vm.name in self.silent:
            raise TimeoutError
        self.asked.append((vm.name, type(msg)))
        admitter = self.admitters[vm.name]
        match msg:
            case Attach():
                return await admitter.attach(msg)
            case Detach():
                return await admitter.detach(msg)
        return await admitter.draw(msg)

    def set_recently_changed(self):
        """Make it look as if the entry has just changed its coordinator."""
        attachment = self.entry._attachment
        attachment._current = replace(attachment._current, changed_at=clock.now())

    def coordinator_order(self):
        """Return the node names, the preferred coordinator first."""
        ring = HashRing(self.NAMES)
        return list(ring.nodes_after(hash_position("allotment")))


class TestCoordinatorChange:
    async def test_dead_coordinators_are_skipped_at_once(self):
        """Guards against waiting 2.5 s for each dead coordinator.

        Found in test run grown scale-1.
        """
        cluster = Cluster()
        cluster.dead = set(cluster.coordinator_order()[:2])
        assert await cluster.entry.admit("org") is None
        assert cluster.asked[-1] == (cluster.coordinator_order()[2], DrawTokens)

    async def test_entry_detaches_from_a_leaving_coordinator_and_asks_the_next(self):
        cluster = Cluster()
        first, second, _ = cluster.coordinator_order()
        assert await cluster.entry.admit("org") is None
        leaving = Vm(first, "z1", "10.0.0.1", 1, state="leaving")
        cluster.directories["n1"].put_member(leaving)
        cluster.entry._queues["org"].prefetched.tokens = 0
        assert await cluster.entry.admit("org") is None
        assert cluster.asked[-2:] == [(first, Detach), (second, DrawTokens)]
        assert cluster.admitters[first]._quota.attached.asked_at == {}

    async def test_serving_coordinator_is_used_until_the_entry_may_change_again(self):
        """Guards against using the fallback quota in addition to it.

        Found in test run grown scale-1: the entry had just changed its coordinator
        when the preferred one came back.
        """
        cluster = Cluster()
        first, second, _ = cluster.coordinator_order()
        cluster.dead = {first}
        assert await cluster.entry.admit("org") is None
        cluster.dead = set()
        cluster.set_recently_changed()
        cluster.entry._peers.trust(first)
        cluster.entry._queues["org"].prefetched.tokens = 0
        assert await cluster.entry.admit("org") is None
        assert cluster.asked[-1] == (second, DrawTokens)

    async def test_owner_of_the_record_stays_coordinator(self):
        """Guards against all entries returning to a restarted node.

        Found in test run grown scale-1.
        """
        cluster = Cluster()
        *_, last = cluster.coordinator_order()
        cluster.directories["n1"].put_reserve(Reserve(f"{last}#1", {}, 4))
        assert await cluster.entry.admit("org") is None
        assert cluster.asked == [(last, DrawTokens)]

    async def test_dead_owner_of_the_record_is_skipped(self):
        cluster = Cluster()
        first, second, last = cluster.coordinator_order()
        owner = last if last != "n1" else second
        cluster.directories["n1"].put_reserve(Reserve(f"{owner}#1", {}, 4))
        cluster.dead = {owner}
        assert await cluster.entry.admit("org") is None
        assert cluster.asked == [(first, DrawTokens)]

    async def test_zone_of_a_dead_owner_comes_last(self):
        """Guards against trying nodes of the owner's zone first when it is cut off.

        Found in test run grown lipa trouble-2.
        """
        cluster = Cluster()
        first, second, last = cluster.coordinator_order()
        owner, same, other = (
            (first, second, last) if first != "n1" else (second, last, first)
        )
        if same == "n1":
            same, other = other, same
        directory = cluster.directories["n1"]
        directory.put_member(Vm(other, "z2", "10.0.0.1", 1))
        directory.put_reserve(Reserve(f"{owner}#1", {}, 4))
        cluster.dead = {owner}
        assert await cluster.entry.admit("org") is None
        assert cluster.asked == [(other, DrawTokens)]

    async def test_record_is_taken_over_only_with_enough_attached_nodes(self):
        cluster = Cluster()
        first, second, last = cluster.coordinator_order()
        cluster.directories[first].put_reserve(Reserve(f"{last}#1", {"org": 9.0}, 4))
        coordinator = cluster.admitters[first]
        await coordinator.attach(Attach(second))
        assert cluster.directories[first].reserve.node == last
        await coordinator.attach(Attach("n1"))
        assert cluster.directories[first].reserve.node == first

    async def test_coordinator_that_may_have_received_a_request_is_kept_for_now(self):
        cluster = Cluster()
        first = cluster.coordinator_order()[0]
        cluster.silent = {first}
        assert await cluster.entry.admit("org") is None
        cluster.entry._queues["org"].prefetched.tokens = 0
        await cluster.entry.admit("org")
        assert cluster.asked == []

    async def test_silent_coordinator_that_is_kept_is_used_when_it_answers_again(self):
        """Guards against a single late answer costing two seconds.

        Found in test run grown scale-1.
        """
        cluster = Cluster()
        first, second, _ = cluster.coordinator_order()
        cluster.dead = {first}
        await cluster.entry.admit("org")
        cluster.entry._queues["org"].prefetched.tokens = 0
        cluster.set_recently_changed()
        cluster.silent = {second}
        await cluster.entry.admit("org")
        cluster.silent = set()
        running = asyncio.ensure_future(cluster.entry.run())
        await asyncio.sleep(2 * ATTACH_INTERVAL_S)
        running.cancel()
        cluster.asked.clear()
        await cluster.entry.admit("org")
        assert (second, DrawTokens) in cluster.asked

    async def test_concurrent_requests_wait_for_the_detach(self):
        cluster = Cluster()
        first, second, _ = cluster.coordinator_order()
        await cluster.entry.admit("org")
        leaving = Vm(first, "z1", "10.0.0.1", 1, state="leaving")
        cluster.directories["n1"].put_member(leaving)
        requests = [cluster.entry._ask_coordinator(Attach("n1")) for _ in range(5)]
        assert all(await asyncio.gather(*requests))
        assert [one for one in cluster.asked if one[1] is Detach] == [(first, Detach)]
        assert {one[0] for one in cluster.asked[2:]} == {second}


class TestReserve:
    async def test_silent_store_does_not_delay_draws(self):
        """Guards against slow draws while the store is silent (incident in brandt).

        The entries then considered the coordinator itself silent.
        """
        node = SingleNode()
        await node.fill()
        node.admitter._quota.reserved = {"org": 15.0}
        node.reserves.silent = True
        for _ in range(30):
            began = clock.now()
            await node.admitter.draw(DrawTokens("n1", "org", 1))
            assert clock.now() - began < RECORD_WAIT_S + 0.1

    async def test_reserve_is_withdrawn_from_the_record_before_it_is_handed_out(self):
        node = SingleNode()
        await node.fill()
        await node.admitter._reserve()
        assert node.reserves.records[-1] == {"org": 12.0}
        drawn = await node.admitter.draw(DrawTokens("n1", "org", 20))
        assert node.reserves.records[-1] == {}
        assert drawn.tokens == 20

    async def test_reserve_is_not_handed_out_if_it_cannot_be_withdrawn(self):
        node = SingleNode()
        await node.fill()
        await node.admitter._reserve()
        node.reserves.silent = True
        drawn = await node.admitter.draw(DrawTokens("n1", "org", 20))
        assert drawn.tokens <= 8

    async def test_successor_takes_the_reserve_over(self):
        node = SingleNode()
        node.directory.put_reserve(Reserve("n9#1", {"org": 12.0}, 4))
        await node.admitter.attach(Attach("n1"))
        assert node.directory.reserve.owner == "n1#1"
        drawn = await node.admitter.draw(DrawTokens("n1", "org", 20))
        assert drawn.tokens >= 12

    async def test_owner_of_a_restored_record_records_again(self):
        """After a restore of the store the record names this node, but as a void one.

        The same is seen after a lost answer: the node must not wait for another owner
        of the record for ever.
        """
        node = SingleNode()
        await node.fill()
        await node.admitter._reserve()
        restored = Reserve("n1#1", {}, node.directory.reserve.revision + 1000)
        node.directory.put_reserve(restored)
        await node.admitter._withdraw("org")
        assert not node.admitter._owns_reserve
        node.admitter._record_retry_at = node.admitter._taken_over_at = float("-inf")
        await node.admitter.attach(Attach("n1"))
        assert node.admitter._owns_reserve
        # Another coordinator may have handed the reserve out in the meantime.
        drawn = await node.admitter.draw(DrawTokens("n1", "org", 20))
        assert 0 < drawn.tokens <= 8
