"""The soak finds faults that are planted in its stand-ins while real nodes run."""

import asyncio
import random
import signal
from contextlib import asynccontextmanager

from bench import soak_checks
from bench.soak_callers import Caller
from bench.soak_fleet import run_fleet
from bench.soak_record import Stop
from lavenderstack.core import clock
from standins import line_server
from standins.line_group import LogPosition

FOUND_TIMEOUT_S = 25.0
CALLERS = 8


@asynccontextmanager
async def played(folder):
    """Run three nodes, one group and callers, without faults."""
    async with run_fleet(folder, 1, 3, 1) as fleet:
        callers = [
            Caller(fleet, "wide", random.Random(number), 0.05)
            for number in range(CALLERS)
        ]
        tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
        try:
            await asyncio.sleep(1.0)
            yield fleet
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


async def found(fleet, check):
    """Wait until a check finds something."""
    until = clock.now() + FOUND_TIMEOUT_S
    while not (lines := list(check(fleet.record.snapshot()))):
        assert clock.now() < until, f"{check.__name__} found nothing"
        await asyncio.sleep(0.3)
    return lines


async def in_use(fleet, node):
    """Wait until a caller uses an open session at a node."""
    until = clock.now() + FOUND_TIMEOUT_S
    while not any(
        request.node == node.identity and clock.now() - request.sent_at < 0.1
        for request in fleet.record.snapshot().requests
    ):
        assert clock.now() < until, f"nobody uses {node.identity}"
        await asyncio.sleep(0.05)


async def freeze_under_a_request(fleet, node):
    """Stop a node's process at a moment when a caller waits for its answer.

    A session may end between its last answer and the signal, so that nobody waits.
    """
    until = clock.now() + FOUND_TIMEOUT_S
    while True:
        await in_use(fleet, node)
        node.process.signal(signal.SIGSTOP)
        await asyncio.sleep(1.0)
        if any(
            request.node == node.identity and not request.outcome
            for request in fleet.record.snapshot().requests
        ):
            return
        assert clock.now() < until, f"nobody waits for {node.identity}"
        node.process.signal(signal.SIGCONT)


class TestPlantedInStandIns:
    async def test_each_is_found(self, tmp_path, monkeypatch):
        async with played(tmp_path) as fleet:
            assert soak_checks.violations(fleet.record.snapshot()) == []
            group = fleet.groups["g1"]
            first, second, third = group.targets.values()

            # Replicas claim to have what they lack, and read behind the primary.
            second.deaf = third.deaf = True
            with monkeypatch.context() as patch:
                patch.setattr(
                    type(group), "_is_received", lambda self, target, position: True
                )
                patch.setattr(line_server, "LogPosition", lambda *_: LogPosition(0, 0))
                await found(fleet, soak_checks.stale_reads)
                # They are promoted without it.
                group.promote(second.name)
                await found(fleet, soak_checks.lost_writes)

                # The replaced primary goes on, and a client's write runs twice.
                first.leads = True
                fleet.report(group, first)
                second.leads = False
                fleet.report(group, second)
                await found(fleet, soak_checks.replaced_primaries)

            again = group.commits[-1].entry
            first.leads, second.leads, third.deaf = False, True, False
            for name in (again.request, again.request):
                await group.commit(second, name, again.changes)
            await found(fleet, soak_checks.doubled_writes)

            # A key is withdrawn, and the nodes are not told.
            operator = fleet.operator
            put, operator.store.put = operator.store.put, lambda *args: None
            key = operator.keys["wide"][0]
            operator._write([], [key])
            operator.store.put = put
            await found(fleet, soak_checks.withdrawn_keys)

            # A stop that is no stop.
            await asyncio.sleep(1.0)
            node = fleet.nodes["n1"]
            await freeze_under_a_request(fleet, node)
            node.stopping = True
            fleet.record.stops.append(Stop(node.identity, clock.now()))
            node.process.signal(signal.SIGKILL)
            await found(fleet, soak_checks.planned_stops)

            # A process that ends by itself, and one that does not answer.
            fleet.nodes["n2"].process.signal(signal.SIGTERM)
            fleet.nodes["n3"].process.signal(signal.SIGSTOP)
            await found(fleet, soak_checks.own_ends)
            await found(fleet, soak_checks.deadlines)
