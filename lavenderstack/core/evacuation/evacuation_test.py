"""Tests of the decisions about evacuations, by table."""

import math

import pytest

from lavenderstack.core.catalog import TargetState
from lavenderstack.core.evacuation.evacuation import (
    Evacuation,
    Use,
    grace_until,
    may_send,
    turn_delay_s,
)
from lavenderstack.core.evacuation.evacuation_routing import (
    Prospect,
    is_proof_recent,
    prospect,
    use_of,
    zones_of,
)
from lavenderstack.core.evacuation.evacuations import Evacuations, Turns
from lavenderstack.core.statement import StatementKind
from lavenderstack.core.view import Target
from lavenderstack.core.work_messages import Access, TransactionStart

LIMIT_S = 5.0
KNOWN = Evacuation("a", 7, learned_at=10.0, proved_before=9.5)
# Learned so late that the limit ends before the grace period does.
LATE = Evacuation("a", 7, learned_at=10.0, proved_before=5.5)
# A node that has just started has no proof at all.
FIRST = Evacuation("a", 7, learned_at=10.0, proved_before=-math.inf)


class TestMaySend:
    @pytest.mark.parametrize(
        ("evacuation", "use", "now", "limit_s", "expected"),
        [
            (None, Use.READ, 10.0, LIMIT_S, True),
            (KNOWN, Use.READ, 10.0, LIMIT_S, False),
            (KNOWN, Use.PRIMARY, 10.99, LIMIT_S, True),
            (KNOWN, Use.OPEN, 10.99, LIMIT_S, True),
            (KNOWN, Use.FINISH, 10.99, LIMIT_S, True),
            (KNOWN, Use.PRIMARY, 11.0, LIMIT_S, False),
            (KNOWN, Use.OPEN, 11.0, LIMIT_S, False),
            (KNOWN, Use.FINISH, 11.0, LIMIT_S, False),
            (LATE, Use.PRIMARY, 10.2, LIMIT_S, True),
            (LATE, Use.PRIMARY, 10.25, LIMIT_S, False),
            (LATE, Use.PRIMARY, 10.99, None, True),
            (FIRST, Use.FINISH, 10.0, LIMIT_S, False),
            (FIRST, Use.FINISH, 10.0, None, True),
        ],
    )
    def test_reads_stop_at_once_and_the_rest_after_the_grace_period(
        self, evacuation, use, now, limit_s, expected
    ):
        assert may_send(evacuation, use, now, limit_s) is expected

    def test_the_grace_period_ends_before_the_limit_whenever_it_was_learned(self):
        for tenths in range(100):
            late = Evacuation("a", 7, learned_at=tenths / 10, proved_before=0.0)
            assert grace_until(late, LIMIT_S) < LIMIT_S

    @pytest.mark.parametrize(
        ("age_s", "limit_s", "expected"),
        [(4.75, LIMIT_S, True), (4.76, LIMIT_S, False), (600.0, None, True)],
    )
    def test_an_old_proof_stops_all_statements(self, age_s, limit_s, expected):
        assert is_proof_recent(age_s, limit_s) is expected


class TestUse:
    @pytest.mark.parametrize(
        ("access", "opens", "kind", "in_transaction", "expected"),
        [
            (Access.AGED_READ, 0, StatementKind.READ, False, Use.READ),
            (Access.AGED_READ, 2, StatementKind.READ, False, Use.READ),
            (Access.CURRENT_READ, 0, StatementKind.READ, False, Use.PRIMARY),
            (Access.WRITE, 0, StatementKind.WRITE, False, Use.PRIMARY),
            (Access.WRITE, 1, StatementKind.READ, False, Use.PRIMARY),
            (Access.CURRENT_READ, 0, StatementKind.READ, True, Use.OPEN),
            (Access.WRITE, 0, StatementKind.COMMIT, True, Use.FINISH),
        ],
    )
    def test_it_follows_from_the_statement(
        self, access, opens, kind, in_transaction, expected
    ):
        opens = TransactionStart(opens)
        assert use_of(access, opens, kind, in_transaction) is expected


def state(zone, leads=False, leaving=False):
    target = Target(f"t-{zone}", zone, "10.0.0.1", 1, 2, 30)
    return TargetState(target, "g", leaving, leads, 1)


class TestProspect:
    """Guards against callers that wait for what can't happen, or are refused early."""

    INSIDE = (state("a", leads=True), state("a"))
    MIXED = (state("a", leads=True), state("b"))
    LEAVING = (state("a", leads=True), state("b", leaving=True))
    OUTSIDE = (state("b", leads=True), state("a"))

    @pytest.mark.parametrize(
        ("targets", "use", "now", "expected"),
        [
            (INSIDE, Use.READ, 10.0, Prospect.REFUSE),
            (INSIDE, Use.PRIMARY, 10.5, Prospect.SERVE),
            (INSIDE, Use.PRIMARY, 11.0, Prospect.REFUSE),
            (MIXED, Use.READ, 12.0, Prospect.SERVE),
            (MIXED, Use.PRIMARY, 10.5, Prospect.SERVE),
            (MIXED, Use.PRIMARY, 11.0, Prospect.WAIT),
            (LEAVING, Use.PRIMARY, 11.0, Prospect.REFUSE),
            (OUTSIDE, Use.PRIMARY, 12.0, Prospect.SERVE),
            (OUTSIDE, Use.READ, 12.0, Prospect.SERVE),
            ((state("a"),), Use.PRIMARY, 10.0, Prospect.REFUSE),
            ((), Use.READ, 10.0, Prospect.SERVE),
        ],
    )
    def test_it_follows_from_the_targets_outside(self, targets, use, now, expected):
        primary = next((one for one in targets if one.leads), None)
        zones = zones_of(targets, primary)
        found = prospect(zones, {"a": KNOWN}, use, now, LIMIT_S)
        assert found is expected


class TestEvacuations:
    def test_an_older_position_never_overrides_a_later_one(self):
        known = Evacuations()
        assert known.put("a", 5, 10.0, 9.0)
        assert not known.drop("a", 4)
        assert known.drop("a", 6)
        assert not known.put("a", 5, 11.0, 10.0)
        assert not known.in_force

    def test_a_further_request_gives_no_further_grace(self):
        known = Evacuations()
        known.put("a", 5, 10.0, 9.0)
        assert not known.put("a", 9, 14.0, 13.0)
        assert grace_until(known.in_force["a"], LIMIT_S) == 11.0
        assert not known.drop("a", 8)


class TestTurns:
    """Load: 4,100 groups, of which a zone has a third of the primaries."""

    ORDERS_PER_S = 50.0

    def due(self, turns, groups, now):
        found = [
            name
            for name in list(groups)
            if turns.at(name, groups[name], lambda: groups, self.ORDERS_PER_S) <= now
        ]
        for name in found:
            del groups[name]
        return len(found)

    def test_all_orders_together_stay_below_what_the_platform_accepts(self):
        """Guards against groups that move up as earlier ones are replaced."""
        turns = Turns()
        groups = {f"g{number:04}": KNOWN for number in range(1367)}
        counts = [
            self.due(turns, groups, KNOWN.learned_at + tick / 10) for tick in range(350)
        ]
        assert not groups
        assert max(sum(counts[at : at + 10]) for at in range(350)) <= self.ORDERS_PER_S

    def test_the_groups_of_a_second_zone_follow_those_of_the_first(self):
        turns = Turns()
        first = {f"g{number}": KNOWN for number in range(80)}
        turns.at("g0", KNOWN, lambda: first, self.ORDERS_PER_S)
        other = Evacuation("b", 8, learned_at=10.5, proved_before=10.0)
        at = turns.at("a0", other, lambda: first, self.ORDERS_PER_S)
        assert at == 10.0 + 80 / 40

    def test_each_owner_gets_the_turn_of_its_groups_rank(self):
        names = ["c", "a", "b"]
        groups = dict.fromkeys(names, KNOWN)
        for name in names:
            at = Turns().at(name, KNOWN, lambda: groups, self.ORDERS_PER_S)
            delay_s = turn_delay_s(name, names, self.ORDERS_PER_S)
            assert at == KNOWN.learned_at + delay_s
