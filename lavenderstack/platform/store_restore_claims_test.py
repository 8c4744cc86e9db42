"""Tests of claims on groups after the store came back from a copy."""

import asyncio

import pytest

from lavenderstack.core import clock
from lavenderstack.core.store_era import CLAIM_HOLD_S, READ_HOLD_S
from lavenderstack.core.store_position import store_position
from lavenderstack.core.view import Vm
from lavenderstack.node.backend import ClaimLost
from lavenderstack.platform import records, store
from lavenderstack.platform.registration import (
    REGISTER_SPREAD_S,
    RENEWAL_INTERVAL_S,
    Registration,
)
from lavenderstack.platform.store_restore_test import (
    CLAIM_KEY,
    new_store,
    report,
    run_registration,
    wait_until,
)
from standins.metadata_store import serving


class TestClaims:
    async def test_owner_stops_at_the_first_answer_of_the_new_era(self):
        kv = new_store()
        kept = kv.take_copy()
        async with run_registration(kv) as registration:
            await registration.claim("g")
            assert registration.valid_until() > clock.now()
            kv.restore(kept)
            with pytest.raises(ClaimLost):
                await registration.renew_epoch("g", store_position(1, kv.rev))
            assert registration.valid_until() < clock.now()

    @pytest.mark.parametrize("keeps_leased", [False, True])
    async def test_group_is_claimed_after_the_wait_with_a_later_epoch(
        self, keeps_leased
    ):
        kv = new_store()
        kv.keeps_leased = keeps_leased
        async with run_registration(kv) as registration:
            await registration.claim("g")
            first = store_position(kv.era, kv.items[CLAIM_KEY]["rev"])
            kept = kv.take_copy()
            for _ in range(300):
                kv.put("servers/i-1", report())
            kv.restore(kept)
            restored_at = clock.now()
            await wait_until(lambda: registration._store.era.restores == 1)
            while True:
                try:
                    await registration.claim("g")
                    break
                except ClaimLost:
                    await asyncio.sleep(0.05)
            assert clock.now() - restored_at >= CLAIM_HOLD_S
            item = kv.items[CLAIM_KEY]
            assert store_position(kv.era, item["rev"]) > first
            assert item["lease"] in kv.leases
            assert kv.items[records.ERA_KEY]

    async def test_lease_of_the_older_era_is_neither_renewed_nor_ended(self):
        """Its number may belong to another node by now."""
        kv = new_store()
        async with run_registration(kv) as registration:
            kept = kv.take_copy()
            kv.restore(kept)
            await wait_until(lambda: registration._store.era.restores == 1)
            kv.leases.add(registration._lease)
            other = dict(kv.items)
            await registration.end()
            assert kv.items == other

    async def test_leaving_node_without_a_lease_leaves_no_record_behind(self):
        kv = new_store()
        async with run_registration(kv) as registration:
            kv.restore(kv.take_copy())
            await wait_until(lambda: registration._store.era.restores == 1)
            await registration.leave()
            key = records.NODES_PREFIX + "n1"
            assert key not in kv.items or kv.items[key]["lease"]

    async def test_nodes_register_again_spread_over_time(self):
        kv = new_store()
        names = [f"n{number}" for number in range(40)]
        async with serving(kv) as addr:
            clients = [store.open_store(addr) for _ in names]
            tasks = []
            for name, opened in zip(names, clients, strict=True):
                client = await opened.__aenter__()
                registration = Registration(client, Vm(name, "z1", "10.0.0.1", 1))
                tasks.append(asyncio.ensure_future(registration.run()))
            prefix = records.NODES_PREFIX
            await wait_until(lambda: all(prefix + name in kv.items for name in names))
            kv.change_times.clear()
            kv.restore(kv.take_copy())
            restored_at = clock.now()
            await wait_until(lambda: all(prefix + name in kv.items for name in names))
            assert clock.now() - restored_at < READ_HOLD_S
            for task in tasks:
                task.cancel()
            for opened in clients:
                await opened.__aexit__(None, None, None)
        times = sorted(kv.change_times)
        busiest = max(sum(at <= t < at + 0.2 for t in times) for at in times)
        assert busiest <= len(names) / 2
        # What is left is for three answers of a store that takes 0.1 s for each.
        assert RENEWAL_INTERVAL_S + REGISTER_SPREAD_S <= READ_HOLD_S - 0.3
