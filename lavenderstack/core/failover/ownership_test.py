"""Tests of exclusive ownership and its takeover."""

import pytest

from lavenderstack.core.failover.ownership import TAKEOVER_S, Claims
from lavenderstack.core.view import Ownership

OWN = Ownership("n1", 3)
PREVIOUS = Ownership("n0", 2)


def claims(current):
    own_claims = Claims("n1")
    own_claims.record_accepted("d", own_claims.next_ownership(current), current, 10.0)
    return own_claims


class TestClaims:
    @pytest.mark.parametrize(
        ("record", "now", "epoch", "pending"),
        [
            (OWN, 10.0 + TAKEOVER_S, 3, True),
            (OWN, 10.0, None, True),
            (PREVIOUS, 10.0 + TAKEOVER_S, None, True),
            (None, 10.0 + TAKEOVER_S, None, True),
            (Ownership("n2", 4), 10.0 + TAKEOVER_S, None, False),
            (Ownership("n1", 4), 10.0 + TAKEOVER_S, None, False),
        ],
    )
    def test_epoch_and_pending_for_each_record(self, record, now, epoch, pending):
        current = claims(PREVIOUS)
        assert current.epoch("d", record, now) == epoch
        assert current.pending("d", record) is pending

    @pytest.mark.parametrize(("stopped", "epoch"), [(2, 3), (1, None), (0, None)])
    def test_no_wait_only_if_the_owner_declared_that_it_stopped(self, stopped, epoch):
        current = Claims("n1")
        current.record_accepted("d", OWN, PREVIOUS, 10.0, stopped)
        assert current.epoch("d", OWN, 10.0) == epoch

    def test_the_first_owner_does_not_wait(self):
        assert claims(None).epoch("d", Ownership("n1", 1), 10.0) == 1

    def test_another_process_of_the_vm_has_no_claim(self):
        assert Claims("n1").epoch("d", OWN, 99.0) is None
        assert not Claims("n1").pending("d", OWN)
