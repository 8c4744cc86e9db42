"""A real evacuation under load: node processes with stand-ins around them."""

import asyncio
import random

import pytest

from bench import soak_checks
from bench.soak_callers import Caller
from bench.soak_fleet import run_fleet
from bench.soak_record import DONE
from bench.soak_time_checks import EVACUATION_LIMIT_S
from lavenderstack.core import clock

CALLERS = 10
LIMIT_S = 15.0


async def wait_until(condition):
    deadline = clock.now() + LIMIT_S
    while not condition():
        assert clock.now() < deadline, "condition not met in time"
        await asyncio.sleep(0.05)


def primaries_in(fleet, zone):
    groups = fleet.groups.values()
    return [one for one in groups if one.targets[one.leader].zone == zone]


def runs_in(fleet, zone):
    """Return what callers ran on the targets of a zone."""
    return [
        run
        for group in fleet.groups.values()
        for run in group.runs
        if run.request and fleet.record.zones[run.target] == zone
    ]


def committed(fleet, since):
    """Return the groups that acknowledged a commit sent after a time."""
    return {
        request.database.group
        for request in fleet.record.acknowledged()
        if request.sent_at > since
    }


class TestEvacuation:
    @pytest.mark.parametrize("seed", [3])
    async def test_callers_are_served_on_outside_and_nothing_is_lost(
        self, tmp_path, seed
    ):
        async with run_fleet(tmp_path, seed, 3, 2) as fleet:
            callers = [
                Caller(fleet, "wide", random.Random(number), 0.03)
                for number in range(CALLERS)
            ]
            tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
            try:
                group = fleet.groups["g1"]
                zone = group.targets[group.leader].zone
                await wait_until(lambda: runs_in(fleet, zone))

                span = fleet.operator.evacuate(zone)
                await wait_until(lambda: not primaries_in(fleet, zone))
                moved_at = clock.now()
                await wait_until(lambda: committed(fleet, moved_at) == {"g1", "g2"})
                await asyncio.sleep(EVACUATION_LIMIT_S)
                last_at = max(run.at for run in runs_in(fleet, zone))
                assert last_at < span.acked_at + EVACUATION_LIMIT_S
                served = [
                    one
                    for one in fleet.record.requests
                    if one.sent_at > moved_at and one.ended_at is not None
                ]
                share = sum(one.outcome == DONE for one in served) / len(served)
                assert share > 0.9

                fleet.operator.give_back(span)
                await wait_until(
                    lambda: any(run.at > span.end for run in runs_in(fleet, zone))
                )
                assert soak_checks.violations(fleet.record.snapshot()) == []
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
