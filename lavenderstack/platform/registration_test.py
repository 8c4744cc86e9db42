"""Tests of the registration of a node in the store."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from lavenderstack.core.view import Vm
from lavenderstack.node.backend import ClaimLost
from lavenderstack.platform import records, store
from lavenderstack.platform.loader_test import (
    wait_until,
)
from lavenderstack.platform.registration import Registration
from standins.metadata_store import MetadataStore, serving


@asynccontextmanager
async def run_registration(kv):
    """Run a registration on a stand-in; yield it once the node is registered."""
    async with serving(kv) as addr, store.open_store(addr) as client:
        registration = Registration(client, Vm("n1", "z1", "10.0.0.1", 1))
        task = asyncio.ensure_future(registration.run())
        try:
            await wait_until(lambda: records.NODES_PREFIX + "n1" in kv.items)
            yield registration
        finally:
            task.cancel()


class TestRegistration:
    OWNERSHIP_KEY = records.OWNERSHIP_PREFIX + "g"

    async def test_claim_ends_with_the_lease(self):
        kv = MetadataStore()
        async with run_registration(kv) as registration:
            await registration.claim("g")
            assert self.OWNERSHIP_KEY in kv.items
            await registration.end()
            assert kv.items == {}

    async def test_owned_group_cannot_be_claimed(self):
        kv = MetadataStore()
        kv.put(self.OWNERSHIP_KEY, records.encode_ownership("n2#x", 0))
        async with run_registration(kv) as registration:
            with pytest.raises(ClaimLost):
                await registration.claim("g")

    async def test_epochs_increase(self):
        kv = MetadataStore()
        async with run_registration(kv) as registration:
            await registration.claim("g")
            epoch = kv.items[self.OWNERSHIP_KEY]["rev"]
            await registration.renew_epoch("g", epoch)
            assert kv.items[self.OWNERSHIP_KEY]["rev"] > epoch

    async def test_ended_lease_causes_a_new_registration(self):
        kv = MetadataStore()
        key = records.NODES_PREFIX + "n1"
        async with run_registration(kv):
            kv.end_lease(kv.items[key]["lease"])
            assert key not in kv.items
            await wait_until(lambda: key in kv.items)
