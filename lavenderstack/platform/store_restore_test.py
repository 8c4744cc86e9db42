"""Tests of a store that comes back from an older copy, under a new era.

What this service wrote since the copy is gone, and so are all leases. Revisions are
given again. The operators and the targets write their lost entries again.
"""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest

from lavenderstack.core import clock
from lavenderstack.core.change_messages import ChangesReply, ChangesRequest
from lavenderstack.core.failover.replica_set import ReplicaSet, TargetRun
from lavenderstack.core.store_era import READ_HOLD_S
from lavenderstack.core.store_position import era_of, store_position
from lavenderstack.core.view import Vm
from lavenderstack.core.view_proof import ViewProof
from lavenderstack.node.backend import ClaimLost
from lavenderstack.node.directory import Directory
from lavenderstack.platform import records, store
from lavenderstack.platform.callers import digest_of
from lavenderstack.platform.documents_test import CONFIG, REPORT
from lavenderstack.platform.loader import RETRY_DELAY_S, Loader
from lavenderstack.platform.registration import (
    Registration,
)
from standins.metadata_store import MetadataStore, serving

KEY = CONFIG["tenants"][0]["api_keys"][0]
ORGANISATION = CONFIG["tenants"][0]["name"]
CLAIM_KEY = records.OWNERSHIP_PREFIX + "g"


def config(version, keys=(KEY,)):
    tenants = [{**CONFIG["tenants"][0], "api_keys": list(keys)}]
    return json.dumps({**CONFIG, "version": version, "tenants": tenants}).encode()


def report(**fields):
    return json.dumps({**REPORT, **fields}).encode()


def new_store(era=1, settled=True):
    """Return a store in an era that began long ago, unless ``settled`` is False."""
    kv = MetadataStore(era=era)
    kv.put("op/config", config(3))
    if settled:
        kv.put(records.ERA_KEY, records.encode_era(era))
    return kv


@asynccontextmanager
async def running(coroutine):
    task = asyncio.ensure_future(coroutine)
    try:
        yield task
    finally:
        task.cancel()


@asynccontextmanager
async def run_loader(kv):
    """Run a loader; yield it and its directory."""
    directory = Directory("n1", "z1", ViewProof(limit_s=5.0))
    async with serving(kv) as addr, store.open_store(addr) as client:
        loader = Loader(client, directory)
        async with running(loader.run()):
            yield loader, directory


@asynccontextmanager
async def run_registration(kv, name="n1"):
    """Run a registration; yield it once the node is registered."""
    async with serving(kv) as addr, store.open_store(addr) as client:
        registration = Registration(client, Vm(name, "z1", "10.0.0.1", 1))
        async with running(registration.run()):
            await wait_until(lambda: records.NODES_PREFIX + name in kv.items)
            # A loader would have read the record of the settled era.
            client.era.settle(kv.era)
            yield registration


async def wait_until(condition, timeout_s=8.0):
    deadline = clock.now() + timeout_s
    while not condition():
        assert clock.now() < deadline, "condition not met in time"
        await asyncio.sleep(0.01)


def proved(directory):
    return directory.proof.holds(clock.now())


class TestPositions:
    async def test_positions_rise_though_revisions_go_back(self):
        kv = new_store()
        kept = kv.take_copy()
        async with serving(kv) as addr, store.open_store(addr) as client:
            before = await client.change(puts=[store.Put("ls/x", b"1")])
            kv.restore(kept)
            with pytest.raises(store.EraChanged):
                await client.list("")
            after = await client.change(puts=[store.Put("ls/x", b"1")])
            assert after > before
            assert era_of(after) == era_of(before) + 1

    async def test_answer_of_an_older_era_proves_nothing(self):
        kv = new_store(era=5)
        async with serving(kv) as addr, store.open_store(addr) as client:
            await client.list("")
            kv.era = 4
            with pytest.raises(store.StoreFailed, match="era 4"):
                await client.list("")
            assert client.era.number == 5

    async def test_answer_to_a_call_of_the_older_era_is_not_taken(self):
        """A watch under way is answered in the new era, after another call saw it."""
        kv = new_store()
        kept = kv.take_copy()
        async with serving(kv) as addr, store.open_store(addr) as client:
            page = await client.list("")
            watch = asyncio.ensure_future(client.watch("", page.as_of, 2.0))
            await wait_until(lambda: kv.watching)
            kv.rev += 5
            kv.era += 1
            with pytest.raises(store.EraChanged):
                await client.list("")
            kv.put("servers/i-1", report())
            with pytest.raises(store.EraChanged):
                await watch
        assert kept.rev < kv.rev

    async def test_condition_of_an_older_era_is_never_met(self):
        """The store may have given the same revision to the same key again."""
        kv = new_store()
        kept = kv.take_copy()
        async with serving(kv) as addr, store.open_store(addr) as client:
            old = await client.change(puts=[store.Put("ls/x", b"mine")])
            kv.restore(kept)
            kv.put("ls/x", b"another node's")
            with pytest.raises(store.EraChanged):
                await client.list("")
            assert kv.items["ls/x"]["rev"] == old & 0xFFFF
            condition = store.Condition("ls/x", old)
            with pytest.raises(store.Conflict):
                await client.change([condition], [store.Put("ls/x", b"mine")])

    async def test_era_that_is_no_number_is_an_error(self):
        kv = new_store(era="x")
        async with serving(kv) as addr, store.open_store(addr) as client:
            with pytest.raises(store.StoreFailed, match="no number"):
                await client.list("")


class TestLoading:
    async def test_changes_of_the_new_era_arrive_with_few_calls(self):
        """Found on a build that ordered by revision alone.

        Each node listed some hundred times a second without end.
        """
        kv = new_store()
        kept = kv.take_copy()
        async with run_loader(kv) as (loader, directory):
            for number in range(300):
                kv.put(f"servers/i-{number % 3}", report(slots=1 + number))
            await wait_until(lambda: len(directory.targets) == 3)
            kv.restore(kept)
            kv.calls.clear()
            kv.put("servers/i-9", report())
            await wait_until(lambda: set(directory.targets) == {"i-9"})
            assert kv.calls.count("list") <= 2
            assert loader.store_restores() == 1
            kv.put("op/config", config(8))
            await wait_until(lambda: directory.catalog.version == 8, 1.5)

    async def test_nothing_is_proved_before_the_operators_wrote_again(self):
        """A withdrawal that this node missed may be missing in the copy, too."""
        kv = new_store()
        kept = kv.take_copy()
        async with run_loader(kv) as (_, directory):
            await wait_until(lambda: proved(directory))
            kv.restore(kept)
            restored_at = clock.now()
            await asyncio.sleep(READ_HOLD_S - 0.5)
            assert directory.proof.at <= restored_at
            kv.put("op/config", config(5, keys=["other"]))
            await wait_until(lambda: directory.proof.at > restored_at)
            assert directory.proof.at >= restored_at + READ_HOLD_S
            assert directory.catalog.version == 5

    async def test_withdrawn_key_stays_withdrawn(self):
        kv = new_store()
        kept = kv.take_copy()
        async with run_loader(kv) as (_, directory):
            kv.put("op/config", config(4, keys=["other"]))
            await wait_until(lambda: directory.catalog.version == 4)
            kv.restore(kept)
            restored_at = clock.now()
            await wait_until(lambda: directory.proof.at > restored_at)
            assert directory.catalog.version == 4
            digest = digest_of(KEY)
            assert not directory.is_work_allowed(ORGANISATION, digest, 4, clock.now())

    async def test_node_that_starts_after_a_restore_waits_before_it_proves(self):
        kv = new_store()
        kept = kv.take_copy()
        kv.put("op/config", config(4, keys=["other"]))
        kv.restore(kept)
        started_at = clock.now()
        async with run_loader(kv) as (_, directory):
            await wait_until(lambda: directory.catalog.version == 3)
            assert not proved(directory)
            await asyncio.sleep(READ_HOLD_S - 0.5)
            assert not proved(directory)
            kv.put("op/config", config(4, keys=["other"]))
            await wait_until(lambda: proved(directory))
            assert directory.catalog.version == 4
            assert directory.proof.at >= started_at + READ_HOLD_S

    @pytest.mark.parametrize("era", [None, 0, 6])
    async def test_node_that_starts_in_a_settled_era_does_not_wait(self, era):
        kv = new_store(era=era, settled=era == 6)
        started_at = clock.now()
        async with run_loader(kv) as (_, directory):
            await wait_until(lambda: proved(directory))
            assert clock.now() - started_at < READ_HOLD_S / 2

    async def test_second_restore_during_the_wait_starts_it_again(self):
        kv = new_store()
        kept = kv.take_copy()
        async with run_loader(kv) as (loader, directory):
            await wait_until(lambda: proved(directory))
            kv.restore(kept)
            await asyncio.sleep(1.5)
            kv.restore(kept)
            again_at = clock.now()
            await wait_until(lambda: directory.proof.at > again_at)
            assert loader.store_restores() == 2

    async def test_restore_between_two_pages_is_noticed(self):
        kv = new_store()
        kv.page_size = 2
        kept = kv.take_copy()
        for number in range(5):
            kv.put(f"servers/i-{number}", report())
        kv.between_pages = [lambda: kv.restore(kept)]
        async with run_loader(kv) as (loader, directory):
            await wait_until(lambda: proved(directory))
            assert directory.targets == {}
            assert loader.store_restores() == 1

    async def test_watch_that_is_always_refused_causes_few_listings(self):
        """A store that goes back without a new era must not be flooded."""
        kv = new_store(era=None)
        kept = kv.take_copy()
        async with run_loader(kv) as (_, directory):
            await wait_until(lambda: proved(directory))
            for _ in range(50):
                kv.put("servers/i-1", report())
            await wait_until(lambda: "i-1" in directory.targets)
            kv.restore(kept)
            kv.era = None
            kv.calls.clear()
            await asyncio.sleep(1.5)
            assert kv.calls.count("list") <= 2 + 1.5 / RETRY_DELAY_S


class TestOwnRecords:
    @pytest.mark.parametrize("keeps_leased", [False, True])
    async def test_records_of_the_copy_name_no_node_and_no_owner(self, keeps_leased):
        kv = new_store()
        kv.keeps_leased = keeps_leased
        kv.leases.add(99)
        vm = Vm("n9", "z1", "10.0.0.9", 1)
        kv.put(records.NODES_PREFIX + "n9", records.encode_node(vm, 1), 99)
        kv.put(CLAIM_KEY, records.encode_ownership("n9#x", 1), 99)
        kept = kv.take_copy()
        async with run_loader(kv) as (_, directory):
            await wait_until(lambda: "n9" in directory.view.vms)
            assert "g" in directory.ownerships
            kv.restore(kept)
            own = Vm("n1", "z1", "10.0.0.1", 1)
            kv.put(records.NODES_PREFIX + "n1", records.encode_node(own, 2))
            await wait_until(lambda: "n9" not in directory.view.vms)
            await wait_until(lambda: "g" not in directory.ownerships)

    async def test_replica_set_of_the_copy_counts_as_none(self):
        kv = new_store()
        runs = frozenset({TargetRun("i-1")})
        data = records.encode_replica_set(ReplicaSet("i-2", runs), 1)
        kv.put(records.REPLICAS_PREFIX + "g", data)
        kept = kv.take_copy()
        async with run_loader(kv) as (_, directory):
            await wait_until(lambda: "g" in directory.replica_sets)
            kv.restore(kept)
            await wait_until(lambda: "g" not in directory.replica_sets)

    def test_tokens_of_an_older_era_are_not_handed_out_again(self):
        data = records.encode_reserve("n1#a", {"org": 40.0}, 1)
        reserve = records.decode_reserve("ls/reserve", data, store_position(2, 9))
        assert (reserve.node, reserve.tokens) == ("n1", {})
        same = records.decode_reserve("ls/reserve", data, store_position(1, 9))
        assert same.tokens == {"org": 40.0}

    def test_records_of_a_build_without_eras_stay_valid(self):
        data = b'{"node":"n1#a"}'
        assert not records.is_void(CLAIM_KEY, data, store_position(3, 9))


class TestReplicaSets:
    RUNS = ReplicaSet("i-2", frozenset({TargetRun("i-1", 7), TargetRun("i-1", 9)}))

    async def test_the_owner_records_it_for_the_next_one(self):
        kv = new_store()
        async with run_registration(kv) as registration:
            await registration.claim("g")
            epoch = store_position(kv.era, kv.items[CLAIM_KEY]["rev"])
            await registration.record_replicas("g", epoch, self.RUNS, 0)
        async with run_loader(kv) as (_, directory):
            await wait_until(lambda: directory.replica_sets.get("g") == self.RUNS)

    async def test_a_record_that_is_carried_out_late_does_not_replace_a_newer_one(
        self,
    ):
        kv = new_store()
        async with run_registration(kv) as registration:
            await registration.claim("g")
            epoch = store_position(kv.era, kv.items[CLAIM_KEY]["rev"])
            await registration.record_replicas("g", epoch, self.RUNS, 0)
            newer = ReplicaSet("i-2", frozenset())
            with pytest.raises(ClaimLost):
                await registration.record_replicas("g", epoch, newer, 0)
            known = kv.items[records.REPLICAS_PREFIX + "g"]["rev"]
            revision = store_position(kv.era, known)
            await registration.record_replicas("g", epoch, newer, revision)

    @pytest.mark.parametrize("data", [b"nothing", None], ids=["invalid", "void"])
    async def test_a_record_that_counts_as_none_is_replaced(self, data):
        kv = new_store(era=2)
        key = records.REPLICAS_PREFIX + "g"
        kv.put(key, data or records.encode_replica_set(self.RUNS, 1))
        async with run_registration(kv) as registration:
            await registration.claim("g")
            epoch = store_position(kv.era, kv.items[CLAIM_KEY]["rev"])
            await registration.record_replicas("g", epoch, self.RUNS, 0)
        assert kv.items[key]["rev"] > kv.items[CLAIM_KEY]["rev"]

    async def test_a_former_owner_does_not_overwrite_it(self):
        kv = new_store()
        async with run_registration(kv) as registration:
            await registration.claim("g")
            epoch = store_position(kv.era, kv.items[CLAIM_KEY]["rev"])
            await registration.renew_epoch("g", epoch)
            with pytest.raises(ClaimLost):
                await registration.record_replicas("g", epoch, self.RUNS, 0)
        assert records.REPLICAS_PREFIX + "g" not in kv.items


class TestFollowers:
    async def test_reply_of_an_older_era_is_not_used(self):
        kv = new_store(era=4)
        async with run_loader(kv) as (loader, directory):
            await wait_until(lambda: proved(directory))
            for era, usable in ((3, False), (4, True), (5, True)):
                reply = ChangesReply([], store_position(era, 900), False, 0.0, 0.1)
                assert loader._is_usable(reply) is usable

    async def test_follower_of_the_older_era_gets_all_entries(self):
        kv = new_store()
        kept = kv.take_copy()
        async with run_loader(kv) as (loader, directory):
            for _ in range(50):
                kv.put("servers/i-1", report())
            await wait_until(lambda: "i-1" in directory.targets)
            old = loader._as_of
            kv.restore(kept)
            await wait_until(lambda: era_of(loader._as_of) == kv.era)
            reply = await loader.handle_changes_request(ChangesRequest(old, 0.1))
            assert reply.whole
            assert era_of(reply.as_of) == kv.era
