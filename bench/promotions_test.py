"""Promotions at random moments, with the seeds that lost a commit without a guard."""

import pytest

from bench import promotions

COUNT = 300
# Without holds 11 and 22 lose a commit, without counting unregistered replicas 244.
SEEDS = (11, 22, 244, 1038)


class TestPromotions:
    """Guards against promotions of a replica that lacks an acknowledged commit."""

    @pytest.mark.parametrize("seed", SEEDS)
    async def test_no_commit_is_lost_with_this_seed(self, seed):
        with promotions.without_pauses():
            play = promotions.Play(seed)
            assert await play.run() > 0
        assert play.lost == []

    async def test_no_commit_is_lost_in_many(self):
        count, losses = await promotions.play_until(COUNT, 1, go_on=False)
        assert count >= COUNT
        assert losses == []
