"""Tests of the soak's checks: each one holds on a good record and finds a fault."""

import pytest

from bench import soak_log_checks, soak_time_checks
from bench.soak_checks import CHECKS, violations
from bench.soak_record import (
    CUT,
    DONE,
    NO_ANSWER,
    Database,
    Disturbance,
    EvacuatedSpan,
    Freshness,
    IdleCut,
    KeyChange,
    Plan,
    Record,
    Request,
    Stop,
)
from standins.line_group import (
    Commit,
    Entry,
    GroupTarget,
    LineGroup,
    LogPosition,
    Run,
)
from standins.promotion_orders import Order

NOW = Database("now", "g", Freshness.PRIMARY, 2.0)
AGED = Database("aged", "g", Freshness.BOUNDED, 2.0, max_age_s=1.5)
OWN = Database("own", "g", Freshness.SESSION, 2.0, max_age_s=3.0)


class Play:
    """A record with one group, to which a test adds what was seen."""

    def __init__(self):
        targets = {name: GroupTarget(name, "z1") for name in ("a", "b", "c")}
        self.group = LineGroup("g", targets)
        self.record = Record(plans={"org": Plan(10, 5)}, groups={"g": self.group})
        self.record.zones = dict.fromkeys(targets, "z1")
        self.record.granted["k"] = KeyChange("k", 1, 0.0)

    def request(self, name, text, at, took_s=0.1, outcome=DONE, **fields):
        fields = {
            "operation": name,
            "session": 1,
            "node": "n1#1",
            "key": "k",
            "organisation": "org",
            "database": NOW,
            "began_at": at,
            "receipt": f"receipt-{name}",
            **fields,
        }
        request = Request(
            name=name,
            text=text,
            sent_at=at,
            ended_at=at + took_s,
            outcome=outcome,
            **fields,
        )
        self.record.requests.append(request)
        return request

    def run(self, request, target="a", end=None, at=None):
        at = request.sent_at + 0.05 if at is None else at
        end = end or self.group.targets[target].received
        run = Run(
            at, target, "org", request.name, request.verb, end, True, request.receipt
        )
        self.group.runs.append(run)

    def commit(self, request, to=("a", "b"), led=True):
        first = self.group.targets[to[0]]
        position = LogPosition(first.term, first.received.number + 1)
        entry = Entry(position, request.name)
        for name in to:
            self.group.targets[name].log.append(entry)
        self.group.commits.append(Commit(request.sent_at, to[0], entry, led))
        return position

    def write(self, name, at, **fields):
        """Play a write that is acknowledged, run and received by a replica."""
        to = fields.pop("to", ("a", "b", "c"))
        request = self.request(name, "WRITE x 1", at, **fields)
        self.run(request, to[0])
        return self.commit(request, to)

    def read(self, name, at, end, **fields):
        request = self.request(name, "READ x", at, **fields)
        self.run(request, "b", end)

    def found(self):
        """Return the names of the checks that found something."""
        return {line.partition(":")[0] for line in violations(self.record)}


@pytest.fixture
def play():
    return Play()


def plant_lost(play):
    play.write("w1", 1.0, to=("a", "b"))
    play.group.promote("c")


def plant_lost_by_the_first_of_two_promotions(play):
    play.write("w1", 1.0, to=("a", "b"))
    play.group.targets["b"].up = False
    play.group.promote("c")
    play.group.targets["b"].up = True
    play.group.promote("b")


def plant_never_committed(play):
    request = play.request("w1", "WRITE x 1", 1.0)
    play.run(request)


def plant_doubled(play):
    request = play.request("w1", "WRITE x 1", 1.0)
    play.run(request)
    play.commit(request, ("a", "b", "c"))
    play.commit(request, ("a", "b", "c"))


def plant_false_refusal(play):
    play.write("w1", 1.0, outcome="BUSY")


def plant_false_refusal_inside_a_transaction(play):
    fields = {"operation": "t1", "in_transaction": True}
    play.run(play.request("t1.1", "WRITE x 1", 1.0, outcome="ABORTED", **fields))
    request = play.request("t1.2", "COMMIT", 1.2, outcome="UNKNOWN", **fields)
    play.run(request)
    play.commit(request)


def plant_unasked(play):
    request = Play().request("elsewhere", "WRITE x 1", 1.0)
    play.commit(request)


def plant_uncommitted_transaction(play):
    request = play.request("t1", "WRITE x 1", 1.0, in_transaction=True)
    play.run(request)
    play.commit(request)


def plant_wrong_receipt(play):
    request = play.request("r1", "READ x", 1.0)
    play.run(request)
    request.receipt = "receipt-r2"


def plant_wrong_row(play):
    request = play.request("r1", "READ x", 1.0)
    play.run(request)
    request.row = "another"


def plant_stale_primary(play):
    play.write("w1", 1.0)
    play.read("r1", 1.2, LogPosition(1, 1))


def plant_stale_bounded(play):
    play.write("w1", 1.0)
    play.read("r1", 2.7, LogPosition(1, 1), database=AGED)


def plant_stale_session(play):
    play.write("w1", 1.0, database=OWN)
    play.read("r1", 1.2, LogPosition(1, 1), database=OWN)


def plant_stale_session_of_others(play):
    play.write("w1", 1.0, database=OWN, session=2)
    play.read("r1", 4.2, LogPosition(1, 1), database=OWN)


def plant_replaced_primary(play):
    play.group.promote("b")
    request = play.request("w1", "WRITE x 1", 1.0)
    play.run(request, "a")
    play.commit(request, ("a",), led=False)


def plant_epoch_of_two(play):
    play.record.orders += [
        Order(1.0, "g", "b", "n1", 7, True),
        Order(1.1, "g", "c", "n2", 7, False),
    ]


def plant_over_rate(play):
    for number in range(90):
        name, at = f"r{number}", 1.0 + number * 0.01
        play.run(play.request(name, "READ x", at))


def plant_withdrawn_key(play):
    play.record.withdrawn["k"] = KeyChange("k", 2, 1.0)
    play.run(play.request("r1", "READ x", 6.1))


def plant_withdrawn_again_in_force(play):
    play.record.withdrawn["k"] = KeyChange("k", 2, 1.0)
    play.record.granted["k2"] = KeyChange("k2", 2, 1.0)
    play.run(play.request("r1", "READ x", 2.0, key="k2"))
    play.run(play.request("r2", "READ x", 2.5))


def plant_evacuated(play):
    play.record.evacuations.append(EvacuatedSpan("z1", 1.0))
    play.run(play.request("r1", "READ x", 6.3))


def plant_granted_forgotten(play):
    play.record.granted["k2"] = KeyChange("k2", 2, 1.0)
    play.run(play.request("r1", "READ x", 2.0, key="k2"))
    play.request("c2", "CONNECT", 2.5, outcome="NOAUTH", key="k2")


def plant_cut_by_stop(play):
    play.record.stops.append(Stop("n1#1", 10.0))
    play.run(play.request("r1", "READ x", 9.9, took_s=1.0, outcome=CUT))


def plant_cut_before_it_ran(play):
    play.record.stops.append(Stop("n1#1", 10.0))
    play.request("r1", "READ x", 10.5, took_s=0.3, outcome=CUT)


def plant_cut_transaction(play):
    play.record.stops.append(Stop("n1#1", 10.0))
    play.record.idle_cuts.append(IdleCut(12.0, "n1#1", 9.5))


def plant_lost_with_a_holder(play):
    play.record.stops.append(Stop("n2#1", 10.0, 12.3))
    play.run(play.request("r1", "READ x", 12.1, took_s=0.3, outcome="UNKNOWN"))


def plant_late(play):
    play.run(play.request("r1", "READ x", 1.0, took_s=2.3))


def plant_unanswered(play):
    play.request("r1", "READ x", 1.0, took_s=5.0, outcome=NO_ANSWER)


def plant_own_end(play):
    play.record.own_ends.append("n1#1 ended by itself with status 1")


PLANTED = [
    (plant_lost, {"lost_writes"}),
    (plant_lost_by_the_first_of_two_promotions, {"lost_writes"}),
    (plant_never_committed, {"lost_writes"}),
    (plant_doubled, {"doubled_writes"}),
    (plant_false_refusal, {"false_refusals"}),
    (plant_false_refusal_inside_a_transaction, {"false_refusals"}),
    (plant_unasked, {"unasked_commits"}),
    (plant_uncommitted_transaction, {"unasked_commits"}),
    (plant_wrong_receipt, {"unasked_commits"}),
    (plant_wrong_row, {"unasked_commits"}),
    (plant_stale_primary, {"stale_reads"}),
    (plant_stale_bounded, {"stale_reads"}),
    (plant_stale_session, {"stale_reads"}),
    (plant_stale_session_of_others, {"stale_reads"}),
    (plant_replaced_primary, {"replaced_primaries", "lost_writes"}),
    (plant_epoch_of_two, {"replaced_primaries"}),
    (plant_over_rate, {"rates"}),
    (plant_withdrawn_key, {"withdrawn_keys"}),
    (plant_withdrawn_again_in_force, {"reverted_configurations"}),
    (plant_evacuated, {"evacuated_zones"}),
    (plant_granted_forgotten, {"reverted_configurations"}),
    (plant_cut_by_stop, {"planned_stops"}),
    (plant_cut_before_it_ran, {"planned_stops"}),
    (plant_cut_transaction, {"planned_stops"}),
    (plant_lost_with_a_holder, {"lost_answers"}),
    (plant_late, {"deadlines"}),
    (plant_unanswered, {"deadlines"}),
    (plant_own_end, {"own_ends"}),
]


class TestPlantedFaults:
    @pytest.mark.parametrize(
        ("plant", "checks"), PLANTED, ids=lambda one: getattr(one, "__name__", "")
    )
    def test_is_found(self, play, plant, checks):
        plant(play)
        assert play.found() == checks

    def test_every_check_is_seen_to_fail(self):
        seen = {name for _, checks in PLANTED for name in checks}
        assert seen == {check.__name__ for check in CHECKS}


class TestAllowed:
    """What is near to a fault but within the rules is not found."""

    def test_reads_that_are_as_current_as_asked(self, play):
        play.write("w1", 1.0)
        play.read("r1", 1.05, LogPosition(1, 1))
        play.read("r2", 1.3, LogPosition(1, 2))
        play.read("r3", 2.5, LogPosition(1, 1), database=AGED)
        play.read("r4", 1.3, LogPosition(1, 1), database=OWN, session=2)
        assert play.found() == set()

    def test_a_write_without_an_answer_that_a_promotion_loses(self, play):
        play.write("w1", 1.0, to=("a", "b"), outcome="UNKNOWN")
        play.group.promote("c")
        assert play.found() == set()

    def test_a_refused_write_that_no_log_keeps(self, play):
        play.write("w1", 1.0, to=("a",), outcome="READONLY")
        play.group.promote("c")
        assert play.found() == set()

    def test_operations_within_rate_burst_and_tolerance(self, play):
        limit = (10 * 5 + 5) * 1.1 + 20
        for number in range(int(limit)):
            play.run(play.request(f"r{number}", "READ x", 1.0 + number * 0.01))
        assert play.found() == set()

    def test_a_withdrawn_key_within_its_bound(self, play):
        play.record.withdrawn["k"] = KeyChange("k", 2, 1.0)
        play.run(play.request("r1", "READ x", 5.9))
        assert play.found() == set()

    @pytest.mark.parametrize(
        "span", [("z1", 1.3), ("z1", 1.0, 6.3), ("z2", 1.0)], ids=str
    )
    def test_a_read_before_the_limit_or_of_another_zone(self, play, span):
        play.record.evacuations.append(EvacuatedSpan(*span))
        play.run(play.request("r1", "READ x", 6.3))
        assert play.found() == set()

    def test_a_connection_that_ends_as_a_request_is_sent(self, play):
        play.record.stops.append(Stop("n1#1", 10.0))
        play.request("r1", "READ x", 11.0, took_s=0.1, outcome=CUT)
        assert play.found() == set()

    @pytest.mark.parametrize("scope", ["n1", "n2", "store"])
    def test_a_cut_beside_an_unplanned_fault(self, play, scope):
        fault = Disturbance("kill", frozenset([scope]), 8.0, 8.0)
        play.record.disturbances.append(fault)
        plant_cut_by_stop(play)
        assert play.found() == set()

    def test_a_late_answer_of_a_paused_node(self, play):
        fault = Disturbance("pause", frozenset(["n1"]), 1.5, 3.5)
        play.record.disturbances.append(fault)
        plant_late(play)
        assert play.found() == set()

    def test_a_late_answer_while_something_else_is_away_is_found(self, play):
        fault = Disturbance("pause", frozenset(["n2", "store"]), 1.5, 3.5)
        play.record.disturbances.append(fault)
        plant_late(play)
        assert play.found() == {"deadlines"}


class TestBounds:
    def test_they_are_the_figures_of_the_pages(self):
        bounds = soak_time_checks
        assert bounds.WITHDRAWN_KEY_LIMIT_S == 5.0
        assert bounds.REGRESSION_LIMIT_S == 0.25
        assert (bounds.QUOTA_WINDOW_S, bounds.QUOTA_TOLERANCE) == (5.0, 0.1)
        assert (bounds.GRACE_S, bounds.LOSS_SLACK_S) == (6.0, 0.2)
        assert len(soak_log_checks.PROMISES) == 6
