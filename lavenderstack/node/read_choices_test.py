"""Tests of target selection under load control, through the dispatcher."""

from collections import Counter
from dataclasses import replace

from structlog.testing import capture_logs

from lavenderstack.core import clock
from lavenderstack.core.catalog import Catalog, GroupLimits
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import Position
from lavenderstack.core.targets.cold_start import ColdLimits
from lavenderstack.core.targets.contention import LoadControl
from lavenderstack.core.targets.target_load import TargetLoad
from lavenderstack.core.work_messages import Access, WorkDone
from lavenderstack.node.dispatch_test import READ, WRITE, DispatcherHarness


def done(waiting=0, wait_s=0.0, full_s=0.0):
    load = TargetLoad(waiting, min(waiting, 2), 2, 0.01, wait_s, full_s)
    return WorkDone(rows=[], receipt="r", position=Position(1, 1), load=load)


IDLE, LOADED, FULL = done(), done(40, wait_s=0.2), done(90, wait_s=0.2, full_s=0.3)


class Harness(DispatcherHarness):
    """The entry is in z1; its replicas are t2 in its own zone, and t3 in z3."""

    def __init__(self, mode=LoadControl.ON, **answers):
        super().__init__(**{"t1": IDLE, "t3": IDLE} | answers)
        self.directory.load_control = mode
        moved = replace(self.directory.targets["t2"].target, zone="z1")
        self.directory.put_target(moved, "g", False, False, 7)
        self.choices = self.dispatcher.read_choices

    async def read(self, number, **fields):
        for _ in range(number):
            await self.run(READ, Access.AGED_READ, **fields)
        return Counter(self.targets)

    def count(self, reason):
        return self.choices.counters.target_choices.labels(reason)._value.get()


class TestReads:
    async def test_reads_keep_to_their_zone_until_its_target_is_loaded(self):
        harness = Harness(t2=IDLE)
        assert await harness.read(20) == {"t2": 20}
        assert harness.count("own_zone") == 20
        harness.answers["t2"] = LOADED
        with capture_logs() as lines:
            asked = await harness.read(60)
        texts = Counter(line["event"] for line in lines)
        assert asked["t3"] > 30
        assert texts["dispatch: loaded target passed over"] == 1
        assert harness.count("less_load") + harness.count("unknown") == asked["t3"]

    async def test_nothing_changes_where_load_control_is_off(self):
        harness = Harness(LoadControl.OFF, t2=LOADED)
        assert await harness.read(20) == {"t2": 20}
        assert harness.choices.loads.known(clock.now()) == 0

    async def test_a_hedged_read_goes_to_the_less_loaded_target(self):
        """Guards against hedges in the order of the list, to a full replica."""
        harness = Harness(t2=FULL)
        await harness.read(1)
        harness.answers |= {"t3": 5.0}
        await harness.run(READ, Access.AGED_READ)
        assert harness.targets == ["t2", "t3", "t1"]

    async def test_read_after_a_write_goes_to_the_primary_unless_it_is_full(self):
        harness = Harness(t1=FULL, t2=IDLE)
        assert await harness.read(1, wrote_s_ago=0.01) == {"t1": 1}
        assert await harness.read(1, wrote_s_ago=0.01) == {"t1": 1, "t2": 1}

    async def test_a_cold_target_is_asked_last(self):
        """Its refusals used up the retry budget, while other targets had room."""
        harness = Harness(t2=IDLE)
        groups = {"g": GroupLimits(30, False, cold_rate=2.0)}
        harness.directory.update_catalog(Catalog(version=1, groups=groups))
        harness.directory.cold_limits = ColdLimits(excess=1.5, slack=5.0)
        cold = harness.directory.targets["t2"].target
        harness.directory.put_target(cold, "g", False, False, 20, cold_s=60.0)
        assert await harness.read(20) == {"t3": 20}


async def test_full_for_one_kind_says_nothing_of_another_with_its_priority():
    """Guards against reads refused here that their holder would have accepted."""
    harness = Harness(t2=FULL, t3=FULL)
    await harness.read(4)
    short = harness.call(READ, Access.AGED_READ)
    long = harness.call(READ, Access.AGED_READ)
    long.route = replace(long.route, latency_goal_s=0.5, timeout_s=8.0)
    choices = harness.dispatcher._read_choices(short)[:2]
    assert harness.dispatcher.limits.accepting(short.route, choices) == []
    assert harness.dispatcher.limits.accepting(long.route, choices) == choices


async def test_work_carries_the_limit_that_another_holder_reported():
    harness = Harness(t2=IDLE)
    await harness.read(1)
    call = harness.call(READ, Access.AGED_READ)
    work = harness.dispatcher.attempts.build_work(call, "t2", call.access, 1.0)
    limits = [
        harness.choices.with_known_limit(work, name).known_limit
        for name in ("another", *harness.directory.view.vms)
    ]
    assert limits[0] == 2
    assert 0 in limits


class TestLostHolder:
    async def test_retries_are_spread_over_the_time_of_the_lost_queue(self):
        """Guards against the queue of a lost holder reaching its successor at once."""
        harness = Harness(t2=done(40))
        await harness.read(1)
        harness.answers["t2"] = Failed(run=False, reason=Reason.UNREACHABLE)
        route = harness.call(READ, Access.AGED_READ).route
        harness.choices._random.seed(3)
        delays = [harness.choices.retry_delay_s(route, "t2") for _ in range(40)]
        assert max(sum(at <= d < at + 0.05 for d in delays) for at in delays) < 35
        began = clock.now()
        for _ in range(10):
            # Else the reads after the first one would pass over the target.
            harness.choices.loads._targets["t2"].avoided_until.clear()
            await harness.read(1)
        assert clock.now() - began > 0.1

    async def test_a_lost_write_that_may_have_run_is_reported_at_once(self):
        harness = Harness(t1=Failed(run=True, reason=Reason.CONNECTION_LOST))
        call = harness.call(WRITE, Access.WRITE)
        await harness.dispatcher.run(call)
        assert (harness.targets, call.spread) == (["t1"], False)
