"""Tests of shares and ledgers together: no order of events exceeds the plan."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lavenderstack.core.quota import handover, ledger
from lavenderstack.core.quota.bucket import Bucket
from lavenderstack.core.quota.handover import export_ledger, import_ledger, open_ledger
from lavenderstack.core.quota.share import Share

RATE = 50.0
BURST = 40.0
NODES = 4
TOLERANCE = 1e-6


CONSTANTS = {
    # Most of the plan is leased, so that errors in the shares have the largest effect.
    "LEASED_RATE_SHARE": 0.9,
    "LEASED_BURST_SHARE": 0.6,
    # The times in the scenarios below assume these.
    "SHARE_VALID_S": 20.0,
    "DRAW_VALID_S": 2.0,
    "CLOCK_MARGIN_S": 1.0,
    "MIN_SHARE_CAPACITY_TOKENS": 0.0,
}


@pytest.fixture(autouse=True)
def _set_constants(monkeypatch):
    for name, value in CONSTANTS.items():
        monkeypatch.setattr(ledger, name, value)
        monkeypatch.setattr(handover, name, value, raising=False)


class Simulation:
    """Nodes, owners and messages of one organisation, without real time or network.

    ``plan_bucket`` is a single bucket of the whole plan. It never runs short exactly if
    no window of t seconds admits more than rate * t + burst. Every node has its own
    clock.
    """

    def __init__(self):
        self.t = 0.0
        self.plan = (RATE, BURST)
        self.plan_bucket = Bucket(RATE, BURST, BURST)
        self.epoch = 1
        self.ledger = open_ledger("o", self.plan, 1, 0.0, 0.0)
        self.names = [f"n{i}.0" for i in range(NODES)]
        self.shares = [Share("o", *self.plan) for _ in range(NODES)]
        self.in_flight = []
        self.admitted = 0

    def clock(self, i):
        """Return a node's time; offsets differ, and speeds by up to 1 in 1,000."""
        return 1000.0 * i + self.t * (1 + 0.0004 * (i - NODES / 2))

    def arrive(self, i, count):
        for left in range(count - 1, -1, -1):
            if not self.shares[i].admit(self.clock(i)):
                self.shares[i].demand.arrivals += left
                return
            self.admitted += 1
            self.plan_bucket.refill(self.t)
            self.plan_bucket.level -= 1
            assert self.plan_bucket.level > -TOLERANCE

    def check(self):
        """Compare the sizes in force with the plan, and the tokens with its bucket."""
        self.plan_bucket.refill(self.t)
        unleased = self.ledger.bucket
        unleased.refill(self.t)
        rate, capacity, tokens = unleased.rate, unleased.capacity, unleased.level
        for i, share in enumerate(self.shares):
            now = self.clock(i)
            if now < share.ends_at:
                share.bucket.refill(now)
                rate += share.bucket.rate
                capacity += share.bucket.capacity
                tokens += share.bucket.level
            if now < share.drawn_until:
                capacity += share.drawn
                tokens += share.drawn
        assert rate <= self.plan[0] + TOLERANCE
        assert capacity <= self.plan[1] + TOLERANCE
        assert tokens <= self.plan_bucket.level + TOLERANCE

    def ask(self, i, releasing=False):
        request = self.shares[i].ask(self.clock(i), releasing)
        self.in_flight.append(("ask", i, self.names[i], request))

    def draw(self, i, tokens):
        number, _ = self.shares[i].next_draw(self.clock(i), tokens)
        body = (number, tokens)
        self.in_flight.append(("draw", i, self.names[i], body))

    def deliver(self, at, keep=False):
        if not self.in_flight:
            return
        at %= len(self.in_flight)
        kind, i, name, body = self.in_flight[at]
        if not keep:
            del self.in_flight[at]
        getattr(self, "on_" + kind)(i, name, body)

    def on_ask(self, i, name, request):
        if grant := self.ledger.ask(name, request, self.t):
            self.in_flight.append(("grant", i, name, grant))

    def recall(self, i):
        request = self.shares[i].recall(self.clock(i))
        self.in_flight.append(("returned", i, self.names[i], request))

    def on_returned(self, i, name, request):
        self.ledger.record_return(name, request, self.t)

    def on_draw(self, i, name, body):
        if given := self.ledger.draw(name, *body, 10.0, self.t):
            self.in_flight.append(("drawn", i, name, (body[0], given)))

    def on_grant(self, i, name, grant):
        if name == self.names[i]:
            self.shares[i].adopt(grant, self.clock(i))

    def on_drawn(self, i, name, body):
        if name == self.names[i]:
            self.shares[i].adopt_draw(*body, self.clock(i))

    def wait(self, seconds):
        self.t += seconds

    def lose(self, at):
        del self.in_flight[at]

    def keep(self, at):
        """Deliver a message and leave a copy of it in flight."""
        self.deliver(at, keep=True)

    def renew(self, i):
        """Request a share and deliver request and answer at once."""
        self.ask(i)
        self.deliver(-1)
        if self.in_flight and self.in_flight[-1][0] == "grant":
            self.deliver(-1)

    def crash(self, i):
        stem, count = self.names[i].split(".")
        self.names[i] = f"{stem}.{int(count) + 1}"
        self.shares[i] = Share("o", *self.plan)

    def fail_over(self):
        self.epoch += 1
        self.ledger = open_ledger("o", self.plan, self.epoch, self.t, self.t)

    def hand_over(self):
        if self.t >= self.ledger.settled_at:
            self.epoch += 1
            snapshot = export_ledger(self.ledger, self.t)
            self.ledger = import_ledger(snapshot, self.plan, self.epoch, self.t)

    def change_plan(self, factor):
        plan = (RATE * factor, BURST * factor)
        self.plan = plan
        self.ledger.set_plan(*plan, self.t)
        for i, share in enumerate(self.shares):
            share.set_plan(*plan, self.clock(i))
        self.plan_bucket.resize(self.t, *plan)


INDEX = st.integers(0, NODES - 1)


class QuotaStateMachine(RuleBasedStateMachine):
    """Any order of the simulation's events; ``Simulation.arrive`` checks the plan."""

    def __init__(self):
        super().__init__()
        self.sim = Simulation()

    @rule(seconds=st.sampled_from([0.0, 0.01, 0.3, 3.0, 11.0, 25.0]))
    def pass_time(self, seconds):
        self.sim.wait(seconds)

    @rule(i=INDEX, count=st.sampled_from([1, 10, 200]))
    def arrive(self, i, count):
        self.sim.arrive(i, count)

    @rule(i=INDEX, releasing=st.booleans())
    def ask(self, i, releasing):
        self.sim.ask(i, releasing)

    @rule(i=INDEX)
    def renew(self, i):
        self.sim.renew(i)

    @rule(i=INDEX)
    def recall(self, i):
        self.sim.recall(i)

    @rule(i=INDEX, tokens=st.integers(1, 50))
    def draw(self, i, tokens):
        self.sim.draw(i, tokens)

    @rule(at=st.integers(0, 30), keep=st.booleans())
    def deliver(self, at, keep):
        self.sim.deliver(at, keep)

    @rule(at=st.integers(0, 30))
    def lose(self, at):
        if self.sim.in_flight:
            del self.sim.in_flight[at % len(self.sim.in_flight)]

    @rule(i=INDEX)
    def crash(self, i):
        self.sim.crash(i)

    @rule()
    def fail_over(self):
        self.sim.fail_over()

    @rule()
    def hand_over(self):
        self.sim.hand_over()

    @rule(factor=st.sampled_from([0.2, 0.5, 1.0, 2.0]))
    def change_plan(self, factor):
        self.sim.change_plan(factor)

    @invariant()
    def sizes_in_force_stay_within_the_plan(self):
        self.sim.check()


QuotaStateMachine.TestCase.settings = settings(
    max_examples=120, stateful_step_count=60, derandomize=True, deadline=None
)
TestQuotaStateMachine = QuotaStateMachine.TestCase


EVENT_WEIGHTS = {
    "drain": 40,
    "renew": 30,
    "ask": 4,
    "release": 1,
    "draw": 8,
    "recall": 4,
    "deliver": 12,
    "repeat": 4,
    "lose": 3,
    "crash": 0.1,
    "change_plan": 0.3,
    "fail_over": 0.06,
    "hand_over": 0.2,
    "wait": 0.2,
}


def apply_event(sim, rng, event):
    i = rng.randrange(NODES)
    match event:
        case "drain":
            for j in rng.sample(range(NODES), NODES):
                sim.arrive(j, rng.choice([3, 200]))
        case "release":
            sim.ask(i, releasing=True)
        case "draw":
            sim.draw(i, rng.randint(1, 30))
            sim.deliver(-1)
            sim.deliver(-1)
        case "deliver" | "repeat":
            sim.deliver(rng.randrange(50), keep=event == "repeat")
        case "lose" if sim.in_flight:
            del sim.in_flight[rng.randrange(len(sim.in_flight))]
        case "change_plan":
            sim.change_plan(rng.choice([0.2, 0.5, 1.0, 2.0]))
        case "wait":
            sim.t += rng.choice([2.0, 8.0, 19.0, 30.0])
        case "ask" | "renew" | "crash" | "recall":
            getattr(sim, event)(i)
        case "fail_over" | "hand_over":
            getattr(sim, event)()


class TestLongRuns:
    @pytest.mark.parametrize("seed", range(10))
    def test_thousands_of_random_events_stay_within_the_plan(self, seed):
        rng = random.Random(seed)
        sim = Simulation()
        names, weights = list(EVENT_WEIGHTS), list(EVENT_WEIGHTS.values())
        for event in rng.choices(names, weights, k=3000):
            sim.t += rng.choice([0.0, 0.01, 0.2])
            apply_event(sim, rng, event)
            sim.check()
        assert sim.admitted > 2500
