"""Promotions at random moments, with the seeds that lost a commit without a guard."""

import pytest

from bench import promotions
from bench.promotions import Joins

COUNT = 300
# Without holds 11 and 22 lose a commit, without counting unregistered replicas 244.
SEEDS = (11, 22, 244, 1038)
LATE_JOIN_SEEDS = (76, 165, 238)
# With orders that are carried out late; the seeds lost a commit without a guard.
LATE_ORDER_SEEDS = ((Joins.NEVER, 11), (Joins.SERVED, 83), (Joins.SERVED, 197))


class TestPromotions:
    """Guards against promotions of a replica that lacks an acknowledged commit."""

    @pytest.mark.parametrize("seed", SEEDS)
    async def test_no_commit_is_lost_with_this_seed(self, seed):
        with promotions.without_pauses():
            play = promotions.Play(seed)
            assert await play.run() > 0
        assert play.lost == []

    @pytest.mark.parametrize("joins", [Joins.NEVER, Joins.SERVED])
    async def test_no_commit_is_lost_in_many(self, joins):
        count, losses = await promotions.play_until(COUNT, 1, False, joins)
        assert count >= COUNT
        assert losses == []

    @pytest.mark.parametrize(("joins", "seed"), LATE_ORDER_SEEDS)
    async def test_no_commit_is_lost_to_a_late_order_with_this_seed(self, joins, seed):
        with promotions.without_pauses():
            play = promotions.Play(seed, joins, late=True)
            assert await play.run() > 0
        assert play.lost == []

    @pytest.mark.parametrize("joins", [Joins.NEVER, Joins.SERVED])
    async def test_no_commit_is_lost_to_late_orders_in_many(self, joins):
        """Guards against orders without an answer, of this owner and of former ones."""
        count, losses = await promotions.play_until(COUNT, 1, False, joins, late=True)
        assert count >= COUNT
        assert losses == []

    @pytest.mark.parametrize("seed", LATE_JOIN_SEEDS)
    async def test_a_replica_that_joins_after_the_choice_costs_no_commit(self, seed):
        """It joins while the primary is taken for lost, and a node is silent."""
        with promotions.without_pauses():
            play = promotions.Play(seed, Joins.ALWAYS)
            assert await play.run() > 0
        assert play.lost == []
