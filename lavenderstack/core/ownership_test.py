"""Tests of the ownership of duties."""

import pytest

from lavenderstack.core.ownership import TAKEOVER_S, Claims
from lavenderstack.core.view import Ownership

OWN = Ownership("n1", 3)
BEFORE = Ownership("n0", 2)


def claims(held):
    found = Claims("n1")
    found.accepted("d", found.wanted(held), held, 10.0)
    return found


class TestClaims:
    @pytest.mark.parametrize(
        ("record", "now", "epoch", "pending"),
        [
            (OWN, 10.0 + TAKEOVER_S, 3, True),
            (OWN, 10.0, None, True),
            (BEFORE, 10.0 + TAKEOVER_S, None, True),
            (None, 10.0 + TAKEOVER_S, None, True),
            (Ownership("n2", 4), 10.0 + TAKEOVER_S, None, False),
            (Ownership("n1", 4), 10.0 + TAKEOVER_S, None, False),
        ],
    )
    def test_who_may_act_and_who_must_not_claim_again(
        self, record, now, epoch, pending
    ):
        held = claims(BEFORE)
        assert held.epoch("d", record, now) == epoch
        assert held.pending("d", record) is pending

    @pytest.mark.parametrize(("stopped", "epoch"), [(2, 3), (1, None), (0, None)])
    def test_only_a_holder_that_says_it_stopped_is_not_waited_for(self, stopped, epoch):
        held = Claims("n1")
        held.accepted("d", OWN, BEFORE, 10.0, stopped)
        assert held.epoch("d", OWN, 10.0) == epoch

    def test_the_first_holder_ever_waits_for_nobody(self):
        assert claims(None).epoch("d", Ownership("n1", 1), 10.0) == 1

    def test_another_process_of_the_vm_has_no_claim(self):
        assert Claims("n1").epoch("d", OWN, 99.0) is None
        assert not Claims("n1").pending("d", OWN)
