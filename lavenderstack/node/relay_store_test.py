"""Tests of reading a store that restarts, changes or becomes silent.

Run on the fleet of ``relay_test``, in virtual time.
"""

import asyncio
import json

from lavenderstack.border.store_fake import MemoryStore
from lavenderstack.core.entry import Change
from lavenderstack.core.view_freshness import USABLE_S
from lavenderstack.node.relay_test import KEY, fleet_test


class TestStoreRestarts:
    @fleet_test()
    async def test_older_answers_never_revert_a_view(self, fleet):
        older = dict(fleet.memory.entries), fleet.memory.revision
        fleet.accept_change()
        await fleet.advance_s(2)
        fleet.memory.entries, fleet.memory.revision = older
        fleet.memory.history = [
            c for c in fleet.memory.history if c.revision <= older[1]
        ]
        await fleet.advance_s(20)
        assert all(fleet.withdrawn())
        assert all(fleet.usable())
        fleet.cut_zone("z1")
        await fleet.advance_s(USABLE_S + 1.5)
        assert not any(fleet.usable()), "an older store must not prove a view"

    @fleet_test()
    async def test_entries_of_another_store_are_refused(self, fleet):
        fleet.memory.store_id = "2"
        fleet.put_key(True)
        await fleet.advance_s(10)
        assert not any(fleet.withdrawn())

    @fleet_test()
    async def test_a_silent_watch_is_replaced(self, fleet):
        for name, store in fleet.stores.items():
            if fleet.relays[name].is_reader:
                store.memory = MemoryStore()
                store.memory.__dict__.update(fleet.memory.__dict__)
                store.memory.changed = asyncio.Event()
        reader = next(n for n in fleet.names if fleet.relays[n].is_reader)
        others = [n for n in fleet.names if n != reader]
        fleet.set_stores_down(others)
        memory = fleet.stores[reader].memory
        memory.revision += 1
        value = json.dumps({"organisation": "o", "withdrawn": True}).encode()
        memory.entries[KEY] = Change(KEY, value, memory.revision)
        await fleet.advance_s(6)
        assert all(fleet.withdrawn())
