"""Tests of target selection: four loads, played on virtual time, and the choice alone.

A group has a primary in z1, which is busy with writes, and replicas in z2 and z3, with
queues as holders keep them. ``pytest -s`` prints the table of ``TestLoads``.
"""

import heapq
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, field
from functools import cache, partial
from itertools import count
from random import Random

import pytest

from lavenderstack.core.fair_queue import FairQueue, QueueFull
from lavenderstack.core.load_report import SlotTimes, build_report
from lavenderstack.core.load_view import Expectation, LoadView
from lavenderstack.core.queue_load import QueueLoad, refusal_retry_after_s
from lavenderstack.core.target_choice import (
    Candidate,
    ChoiceReason,
    choose,
    retry_spread_s,
)

SLOTS, NODES, ZONES = 5, 60, ("z1", "z2", "z3")
TIMEOUT_S, WORK_S, TRANSIT_S, LONG_SHARE, LONG = 2.5, 0.022, 0.004, 0.03, 7
# Reads per second of two replicas at full load.
FULL_RATE = 2 * SLOTS / (WORK_S * (1 + LONG_SHARE * (LONG - 1)))


@dataclass(eq=False)
class Holder:
    """A target with its queue; ``slowness`` tells how much longer statements take."""

    name: str
    zone: str
    slowness: float = 1.0
    free: int = SLOTS
    held_s: float = 0.0
    frozen: tuple[float, float] = (0.0, 0.0)
    queue: FairQueue = field(default_factory=FairQueue)
    times: SlotTimes = field(default_factory=SlotTimes)

    def load(self, organisation, now):
        own = self.queue.length_of(organisation)
        organisations = self.queue.organisation_count + (not own)
        cost_s = self.times.mean_of_all_s(now)
        waiting = len(self.queue)
        return QueueLoad(waiting, own, organisations, self.free, SLOTS, cost_s)


@dataclass(eq=False)
class Read:
    node: int
    organisation: str
    began: float
    work_s: float = 0.0
    tried: list = field(default_factory=list)
    answered: bool = False


class Play:
    """An event loop over virtual time; ``rate`` gives a zone's reads per second.

    With ``shared`` reports all nodes get the same ones, four times a second.
    ``direct`` lists what else reaches targets: target, organisation, rate, work.
    """

    def __init__(self, by_load, rate, goal_s, seconds, shared=False, direct=()):
        self.by_load, self.rate, self.seconds = by_load, rate, seconds
        self.shared, self.goal_s, self.now = shared, goal_s, 0.0
        self.random, self.order, self.events = Random(7), count(), []
        self.holders = {f"t{zone[1]}": Holder(f"t{zone[1]}", zone) for zone in ZONES}
        self.views = [LoadView(ZONES[number % 3]) for number in range(NODES)]
        self.total, self.timely = dict.fromkeys(ZONES, 0), dict.fromkeys(ZONES, 0)
        self.sent = self.crossed = 0
        self.windows = [Counter() for _ in range(int(2 * seconds) + 6)]
        self.direct = [("t1", "w", 0.4 * SLOTS / 0.008, 0.008), *direct]

    def at(self, delay_s, call, *args):
        event = (self.now + delay_s, next(self.order), partial(call, *args))
        heapq.heappush(self.events, event)

    def run(self):
        for zone in ZONES:
            self.at(0.0, self.arrive, zone)
        for one in self.direct:
            self.at(0.0, self.arrive_direct, *one)
        if self.shared:
            self.at(0.0, self.share)
        while self.events:
            self.now, _, call = heapq.heappop(self.events)
            call()
        return self

    def arrive(self, zone):
        if self.now > self.seconds:
            return
        node = 3 * self.random.randrange(NODES // 3) + ZONES.index(zone)
        long = self.random.random() < LONG_SHARE
        work_s = WORK_S * (LONG if long else 1)
        organisation = f"o{self.random.randrange(75)}"
        self.total[zone] += 1
        self.send(Read(node, organisation, self.now, work_s))
        self.at(self.random.expovariate(self.rate(zone, self.now)), self.arrive, zone)

    def arrive_direct(self, target, organisation, rate, work_s):
        if self.now < self.seconds:
            read = Read(-1, organisation, self.now, work_s, list(self.holders.values()))
            self.receive(self.holders[target], read, self.now, 0.0, ExitStack(), None)
            delay_s = self.random.expovariate(rate)
            self.at(delay_s, self.arrive_direct, target, organisation, rate, work_s)

    def share(self):
        for holder in self.holders.values():
            report = self.report(holder, 0.0)
            for view in self.views:
                with view.in_flight(holder.name, self.now) as sent:
                    view.record(sent, "n", holder.zone, 2, report, self.now)
        if self.now < self.seconds:
            self.at(0.25, self.share)

    def report(self, holder, held_s):
        load = holder.load("", self.now)
        return build_report(load, holder.times, 2, self.goal_s, held_s, self.now)

    def send(self, read):
        left = [one for one in self.holders.values() if one not in read.tried]
        if read.answered or not left or self.now - read.began > TIMEOUT_S:
            return
        view = self.views[read.node]
        holder = self.select(view, left)
        read.tried.append(holder)
        self.sent += 1
        self.windows[int(2 * self.now)][holder.name] += 1
        self.crossed += holder.zone != view.zone
        transit_s = TRANSIT_S if holder.zone != view.zone else TRANSIT_S / 10
        stack = ExitStack()
        sent = stack.enter_context(view.in_flight(holder.name, self.now))
        self.at(transit_s, self.receive, holder, read, None, transit_s, stack, sent)
        self.at(self.goal_s / 2, self.send, read)

    def select(self, view, left):
        if not self.by_load:
            self.random.shuffle(left)
            return min(left, key=lambda one: (one.name == "t1", one.zone != view.zone))
        found = [
            Candidate(
                one.name,
                one.zone == view.zone,
                SLOTS,
                view.expect(one.name, 2, self.now),
                view.distance_s(one.zone),
                one.name == "t1",
                view.full_until(one.name, 2) > self.now,
            )
            for one in left
        ]
        return self.holders[choose(found, self.goal_s, self.random).selected.target]

    def receive(self, holder, read, at, transit_s, stack, sent):
        begin, end = holder.frozen
        if begin <= self.now < end:
            rest = (holder, read, at, transit_s, stack, sent)
            self.at(end - self.now, self.receive, *rest)
            return
        item = (read, self.now, transit_s, stack, sent)
        left_s = TIMEOUT_S - (self.now - read.began)
        load, goal_s = holder.load(read.organisation, self.now), self.goal_s
        goal_left_s = goal_s - (self.now - read.began)
        if refusal_retry_after_s(load, goal_left_s, goal_s, left_s) is not None:
            self.answer(holder, item, False)
        elif holder.free and not len(holder.queue):
            holder.queue.serve_directly(read.organisation, 1.0, WORK_S)
            self.start(holder, item)
        else:
            try:
                deadline = self.now + left_s
                holder.queue.push(read.organisation, 1, item, deadline, 400, WORK_S)
            except QueueFull:
                self.answer(holder, item, False)

    def start(self, holder, item):
        holder.free -= 1
        measured = holder.times.measured(2, lambda: self.now)
        measured.__enter__()
        self.at(item[0].work_s * holder.slowness, self.end, holder, item, measured)

    def end(self, holder, item, measured):
        begin, end = holder.frozen
        if begin <= self.now < end:
            self.at(end - self.now, self.end, holder, item, measured)
            return
        measured.__exit__(None, None, None)
        holder.free += 1
        following = holder.queue.pop(self.now)
        if following:
            self.start(holder, following)
        self.answer(holder, item, True)

    def answer(self, holder, item, done):
        _, arrived, transit_s, _, _ = item
        holder.held_s += self.now - arrived
        report = self.report(holder, self.now - arrived)
        self.at(transit_s, self.finish, holder, item, report, done)

    def finish(self, holder, item, report, done):
        read, _, _, stack, sent = item
        stack.close()
        if sent is None:
            return
        view = self.views[read.node]
        if not self.shared:
            view.record(sent, "n", holder.zone, 2, report, self.now)
        if not done:
            self.send(read)
        elif not read.answered:
            read.answered = True
            self.timely[view.zone] += self.now - read.began <= self.goal_s

    @property
    def figures(self):
        """Shares: within goal, the worst zone's, busiest of the mean, other zones'."""
        held = [self.holders[name].held_s for name in ("t2", "t3")]
        return (
            sum(self.timely.values()) / sum(self.total.values()),
            min(self.timely[zone] / self.total[zone] for zone in ZONES),
            2 * max(held) / sum(held),
            self.crossed / self.sent,
        )


LOADS = {
    "slow": "one replica 6 times slower, 60 % load",
    "flooded": "one flooded by another organisation, 95 % load",
    "swinging": "75 % load, +55 %/-55 % between z2 and z3 each 15 s, equal reports",
    "frozen": "a holder frozen for 2 s, 50 % load",
    "even": "50 % load",
}


def swinging(zone, now):
    """Return 0.75 of full load, of which z2 and z3 have 55 % more or less in turn."""
    swing = 0.55 if int(now // 15) % 2 == (zone == "z2") else -0.55
    return 0.75 * FULL_RATE / 3 * (1 + swing * (zone != "z1"))


@cache
def play(load, by_load):
    share = {"slow": 0.6, "flooded": 0.95}.get(load, 0.5)
    goal_s = 0.5 if load in ("slow", "flooded") else 0.3
    if load == "swinging":
        return Play(by_load, swinging, goal_s, 30, shared=True).run()
    seconds = 40 if load == "slow" else 10
    flood = [("t2", "flood", 1.5 * FULL_RATE, WORK_S)] if load == "flooded" else []
    one = Play(by_load, lambda *_: share * FULL_RATE / 3, goal_s, seconds, False, flood)
    one.holders["t2"].slowness = 6.0 if load == "slow" else 1.0
    one.holders["t2"].frozen = (4.0, 6.0) if load == "frozen" else (0.0, 0.0)
    return one.run()


class TestLoads:
    def test_share_within_goal_is_higher_than_by_the_former_policy(self):
        """Guards against reads that wait at one target while others idle."""
        print("\nload       policy   within goal worst zone busiest crossing")
        for load in LOADS:
            former, now = play(load, False).figures, play(load, True).figures
            for policy, figures in (("former", former), ("by load", now)):
                row = "".join(f"{figure:11.3f}" for figure in figures)
                print(f"{load:10} {policy:8} {row}")
            assert now[0] >= min(former[0], 0.999), load
            assert now[1] >= min(former[1], 0.995), load
            assert now[0] > 0.99, load

    def test_a_slow_target_gets_fewer_reads(self):
        one = play("slow", True)
        sent = sum(one.windows, Counter())
        assert sent["t2"] < sent["t3"] / 2

    def test_nodes_with_equal_reports_do_not_move_together(self):
        """Guards against all nodes choosing the target that looks best."""
        for window in play("swinging", True).windows[2:60]:
            assert max(window.values()) < 0.75 * sum(window.values())

    def test_reads_keep_to_their_zone_while_targets_are_even(self):
        """Guards against traffic between zones that callers gain nothing from.

        A third of the reads crosses zones, since z1 has no replica.
        """
        assert play("even", True).figures[3] < 0.37

    def test_nothing_is_sent_for_long_to_a_frozen_holder(self):
        windows = play("frozen", True).windows
        assert sum(w["t2"] for w in windows[10:12]) < windows[6]["t2"]


def candidate(name, zone="z1", wait_s=0.0, weight=1.0, **fields):
    known = Expectation(wait_s, 0.02, SLOTS, weight)
    return Candidate(name, zone == "z1", SLOTS, known, **fields)


def shares(*candidates, goal_s=1.0):
    random = Random(3)
    found = Counter(
        choose(candidates, goal_s, random).selected.target for _ in range(1000)
    )
    return {name: number / 1000 for name, number in found.items()}


class TestChoice:
    def test_own_zone_is_kept_unless_the_gain_exceeds_the_distance(self):
        near, far = candidate("a", wait_s=0.3), candidate("b", "z2", distance_s=0.3)
        assert shares(near, far) == {"a": 1.0}

    def test_unknown_target_is_not_taken_for_an_idle_one(self):
        unknown = candidate("b", "z2", weight=0.0)
        assert shares(candidate("a", wait_s=0.1), unknown) == {"a": 1.0}
        assert shares(candidate("a", wait_s=0.9), unknown) == {"b": 1.0}

    def test_primary_serves_reads_only_if_it_is_clearly_better(self):
        primary = candidate("p", primary=True)
        assert shares(candidate("a", "z2", wait_s=0.2), primary) == {"a": 1.0}
        assert shares(candidate("a", "z2", wait_s=0.8), primary) == {"p": 1.0}

    def test_full_target_is_selected_only_if_all_are_full(self):
        full, other = candidate("a", full=True), candidate("b", "z2", wait_s=0.9)
        assert shares(full, other) == {"b": 1.0}
        assert shares(full) == {"a": 1.0}

    def test_the_reason_tells_what_is_known(self):
        for one, reason in (
            (candidate("a", weight=0.0), ChoiceReason.OWN_ZONE),
            (candidate("b", "z2"), ChoiceReason.LESS_LOAD),
            (candidate("c", "z2", weight=0.0), ChoiceReason.UNKNOWN),
        ):
            assert choose([one], 1.0, Random(1)).selected.reason is reason


@pytest.mark.parametrize(
    ("drain_s", "goal_s", "spread_s"),
    [(1.9, 0.5, 0.2), (0.02, 0.5, 0.02), (None, 0.5, 0.05)],
)
def test_retries_are_spread_over_the_time_of_the_lost_queue(drain_s, goal_s, spread_s):
    """Guards against the queue of a lost holder reaching its successor at once."""
    assert retry_spread_s(drain_s, goal_s) == spread_s
