"""Tests of claims of ownership under faults.

Run on the fleet of ``relay_test``, in virtual time.
"""

import asyncio

import pytest

from lavenderstack.core.failover.ownership import TAKEOVER_S
from lavenderstack.core.view_freshness import USABLE_S
from lavenderstack.node.relay_test import fleet_test
from tests.virtual_time import clock


class TestOwnership:
    @fleet_test()
    async def test_a_successor_acts_only_after_the_predecessor_stopped(self, fleet):
        old, new = fleet.relays["z1n0"], fleet.relays["z2n0"]
        assert await old.claim("d") == 1
        await fleet.advance_s(1)
        assert old.owns("d", clock()) == 1
        fleet.cut_zone("z1")
        fleet.set_stores_down([n for n, z in fleet.names.items() if z == "z1"])
        assert await new.claim("d") == 2
        taken = clock()
        both_own = []
        while not new.owns("d", clock()):
            await asyncio.sleep(0.01)
            both_own.append(bool(old.owns("d", clock()) and new.owns("d", clock())))
        assert not any(both_own)
        assert USABLE_S < clock() - taken <= TAKEOVER_S + 0.1
        fleet.cut_links.clear()
        await fleet.advance_s(3)
        assert old.owns("d", clock()) is None

    @pytest.mark.parametrize("lose", [False, True])
    def test_of_two_claims_at_once_one_wins(self, lose):
        async def run(_, fleet):
            names = ["z1n0", "z2n0"]
            fleet.stores["z1n0"].lose_answer = lose
            claims = [fleet.relays[n].claim("d") for n in names]
            epochs = await asyncio.gather(*claims)
            fleet.stores["z1n0"].lose_answer = False
            await fleet.advance_s(TAKEOVER_S + 1)
            owned = [fleet.relays[n].owns("d", clock()) for n in names]
            last = max((e for e in epochs if e), default=None)
            assert owned == [e if e == last else None for e in epochs]

        fleet_test()(run)(self)
