"""Node processes that take a live primary for lost while a replica is unregistered."""

import asyncio
import random

import pytest

from bench import soak_checks, soak_promotion_faults
from bench.soak_fleet import run_fleet
from bench.upgrade import calling

ROUNDS = 2
CALM_S = 2.0
# Both lose commits with the processes of 3ec1e96.
SEEDS = (1, 2)


class TestHiddenReplica:
    """Guards against an acknowledged commit that only the hidden replica received."""

    @pytest.mark.parametrize("seed", SEEDS)
    async def test_no_commit_is_lost(self, seed, tmp_path):
        async with run_fleet(tmp_path, seed, 4, 2) as fleet:
            rng = random.Random(seed)
            async with calling(fleet, rng):
                for _ in range(ROUNDS):
                    await asyncio.sleep(CALM_S)
                    async with soak_promotion_faults.hidden_replica(fleet, rng):
                        await asyncio.sleep(CALM_S)
                await asyncio.sleep(CALM_S)
            assert len(fleet.record.acknowledged()) > 100
            assert soak_checks.violations(fleet.record) == []
