"""Tests of the allocation of connections where there are too few for everybody."""

import pytest

from lavenderstack.core.targets.connection_allocation import (
    ConnectionAllocation,
    Holding,
)

LIMIT = 29
SLOTS = 5


def allocation_of(**uses):
    """Return an allocation after a statement of each organisation every ``s``."""
    allocation = ConnectionAllocation(SLOTS)
    times = [(n * every_s, name) for name, every_s in uses.items() for n in range(200)]
    for at, name in sorted(times):
        if at < 20.0:
            allocation.record_use(name, at)
    return allocation


class TestVictim:
    def test_a_frequent_organisation_keeps_its_connection_while_unused(self):
        """Least recently used closed it whenever many rare ones came in between."""
        allocation = allocation_of(often=0.2, rarely=6.0)
        allocation.record_use("rarely", 20.0)
        holdings = {"often": Holding(idle=1), "rarely": Holding(idle=1)}
        assert allocation.victim(holdings, LIMIT, 20.3) == "rarely"

    def test_an_organisation_that_was_frequent_loses_it_in_the_end(self):
        allocation = allocation_of(before=0.2, now=5.0)
        allocation.record_use("now", 60.0)
        holdings = {"before": Holding(idle=1), "now": Holding(idle=1)}
        assert allocation.victim(holdings, LIMIT, 60.1) == "before"

    def test_a_second_connection_goes_before_the_only_one_of_another(self):
        """After a burst the first organisation would keep all that it had opened."""
        allocation = allocation_of(burst=0.2, steady=1.0)
        holdings = {"burst": Holding(idle=3), "steady": Holding(idle=1)}
        assert allocation.victim(holdings, LIMIT, 20.0) == "burst"

    def test_a_waiting_statement_keeps_the_connection_that_it_needs(self):
        allocation = allocation_of(often=0.2, rarely=6.0)
        allocation.arrive("rarely", 20.0)
        holdings = {"often": Holding(idle=1), "rarely": Holding(idle=1)}
        assert allocation.victim(holdings, LIMIT, 20.0) == "often"
        allocation.leave("rarely")
        assert allocation.victim(holdings, LIMIT, 20.0) == "rarely"

    def test_connections_in_use_are_never_taken(self):
        holdings = {"a": Holding(busy=2), "b": Holding(pinned=3)}
        assert ConnectionAllocation(SLOTS).victim(holdings, LIMIT, 1.0) is None

    def test_pinned_connections_count_in_the_share(self):
        allocation = allocation_of(often=0.2, rarely=6.0)
        holdings = {"often": Holding(idle=1, pinned=8), "rarely": Holding(idle=1)}
        assert allocation.victim(holdings, LIMIT, 20.0) == "often"


class TestOwnWait:
    @pytest.mark.parametrize(
        ("statement_s", "seeking", "waits"),
        [(0.008, 1, True), (0.008, 4, False), (0.04, 1, False)],
        ids=["short", "many before it", "long"],
    )
    def test_it_waits_if_that_is_expected_to_be_cheaper(
        self, statement_s, seeking, waits
    ):
        allocation = ConnectionAllocation(SLOTS)
        for _ in range(100):
            allocation.statement.add(statement_s)
        wait_s = allocation.own_wait_s(Holding(busy=1), seeking)
        assert wait_s == (allocation.handshake.mean_s if waits else 0.0)

    def test_it_does_not_wait_for_an_open_transaction(self):
        assert ConnectionAllocation(SLOTS).own_wait_s(Holding(pinned=3), 1) == 0.0


class TestTransactions:
    def test_together_they_leave_one_connection_for_each_slot(self):
        """120 idle transactions left other statements no connection for seconds."""
        allocation, pinned = ConnectionAllocation(SLOTS), {}
        for number in range(120):
            name = f"o{number % 75}"
            if allocation.may_pin(pinned, name, LIMIT):
                pinned[name] = pinned.get(name, 0) + 1
        assert sum(pinned.values()) == LIMIT - SLOTS

    def test_a_second_holder_has_some_too(self):
        """It has as many connections as the target has slots."""
        assert ConnectionAllocation(SLOTS).may_pin({"a": 1}, "b", SLOTS)

    def test_one_organisation_leaves_room_for_others_and_for_itself(self):
        allocation, own = ConnectionAllocation(SLOTS), 0
        while allocation.may_pin({"a": own}, "a", LIMIT):
            own += 1
        assert own == allocation.share(LIMIT) - 1
        assert allocation.may_pin({"a": own}, "b", LIMIT)
