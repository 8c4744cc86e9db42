"""Tests of the stand-in of the platform's key-value service."""

from standins.platform import StoreData


class TestLeases:
    def test_the_id_of_an_ended_lease_is_not_given_again(self):
        data = StoreData()
        first = data.grant_lease(0, 2, now=0.0)
        second = data.grant_lease(0, 60, now=0.0)
        data.expire_leases(now=5.0)
        third = data.grant_lease(0, 60, now=5.0)
        assert len({first, second, third}) == 3
        assert set(data.leases) == {second, third}

    def test_ids_that_callers_chose_are_not_given_again(self):
        data = StoreData()
        chosen = data.grant_lease(5000, 60, now=0.0)
        assert data.grant_lease(0, 60, now=0.0) > chosen

    def test_ids_go_on_after_a_rollback(self):
        data = StoreData()
        before = data.grant_lease(0, 60, now=0.0)
        assert data.rolled_back(1).grant_lease(0, 60, now=0.0) > before
