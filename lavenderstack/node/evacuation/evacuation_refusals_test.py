"""Tests of routing around evacuated zones at the entry node."""

import asyncio
from dataclasses import replace

import pytest

from lavenderstack.core import clock
from lavenderstack.core.catalog import Catalog, GroupLimits
from lavenderstack.core.outcome import Reason
from lavenderstack.core.view import Plan, Target
from lavenderstack.core.work_messages import Access, WorkDone
from lavenderstack.node.dispatch_test import (
    READ,
    WRITE,
    DispatcherHarness,
    refused,
)
from lavenderstack.node.session_test import READ as SESSION_READ
from lavenderstack.node.session_test import session


def evacuate(harness, *zones, ago_s=0.0):
    for zone in zones:
        harness.directory.put_evacuation(zone, 50)
        known = harness.directory.evacuations[zone]
        changed = type(known)(zone, 50, known.learned_at - ago_s, clock.now())
        harness.directory._evacuations.in_force[zone] = changed


class TestSelection:
    async def test_a_read_goes_to_a_target_outside(self):
        harness = DispatcherHarness()
        evacuate(harness, "z1", "z2")
        for _ in range(10):
            await harness.run(READ, Access.AGED_READ)
        assert set(harness.targets) == {"t3"}

    async def test_a_read_refused_by_a_holder_that_knew_first_is_sent_elsewhere(self):
        harness = DispatcherHarness(t2=refused(Reason.EVACUATED))
        answer = await harness.run(READ, Access.AGED_READ)
        assert isinstance(answer, WorkDone)

    async def test_writes_go_to_the_primary_until_the_grace_period_ends(self):
        harness = DispatcherHarness()
        evacuate(harness, "z1")
        await harness.run(WRITE, Access.WRITE)
        assert harness.targets == ["t1"]

    async def test_a_write_waits_for_the_replacement_of_the_primary(self):
        harness = DispatcherHarness()
        evacuate(harness, "z1", ago_s=1.5)
        running = asyncio.ensure_future(harness.run(WRITE, Access.WRITE))
        await asyncio.sleep(0.05)
        assert harness.targets == []
        harness.directory.record_primary("g", "t2")
        assert isinstance(await running, WorkDone)
        assert harness.targets == ["t2"]


class TestRefusedAtOnce:
    """Guards against callers that wait for what can't happen."""

    @pytest.mark.parametrize(
        ("statement", "access"), [(READ, Access.AGED_READ), (WRITE, Access.WRITE)]
    )
    async def test_a_group_with_all_targets_inside(self, statement, access):
        harness = DispatcherHarness()
        evacuate(harness, "z1", "z2", "z3", ago_s=1.5)
        began_at = clock.now()
        answer = await harness.run(statement, access)
        assert clock.now() - began_at < 0.1
        assert (answer.run, answer.reason) == (False, Reason.EVACUATED)
        assert answer.retry_after_s > 0
        assert harness.asked == []

    async def test_a_group_whose_turn_comes_later_is_told_when(self):
        harness = DispatcherHarness()
        directory = harness.directory
        names = [f"a{number:03}" for number in range(400)]
        for revision, name in enumerate(names, 100):
            target = Target(name, "z1", "10.0.0.1", 1, 2, 30)
            directory.put_target(target, name, False, True, revision)
        groups = {name: GroupLimits(30, True) for name in [*names, "g"]}
        directory.update_catalog(Catalog(version=2, groups=groups))
        evacuate(harness, "z1", ago_s=1.5)
        answer = await harness.run(WRITE, Access.WRITE)
        assert answer.reason == Reason.EVACUATED
        assert 8.0 < answer.retry_after_s < 10.0
        assert harness.asked == []


class TestSession:
    @pytest.mark.parametrize("reason", [Reason.EVACUATED, Reason.OUTSIDE_HOMES])
    async def test_a_refusal_costs_no_token(self, reason):
        opened, fake = session()
        directory = opened.services.directory
        directory.put_target(Target("t", "z1", "h", 1, 2, 30), "g", False, False, 1)
        if reason is Reason.EVACUATED:
            directory.put_evacuation("z1", 2)
        else:
            plans = {"org": Plan("org", 1, 1, home_regions=("r1",))}
            directory.catalog = replace(directory.catalog, plans=plans)
        reply = await opened.run("r1", SESSION_READ)
        assert reply.reason is reason
        assert "retry after 1000 ms" in reply.detail
        assert fake.admitted == 0
