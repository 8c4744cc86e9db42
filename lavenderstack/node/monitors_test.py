"""Tests of the monitors of three nodes with stand-in targets, over loopback."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

import pytest
from structlog.testing import capture_logs

from lavenderstack.core.failover.group_messages import PrimaryReply, PrimaryRequest
from lavenderstack.core.routing import TermPrimary
from lavenderstack.core.view import EvacuationRequest, Group, Target, View, Vm
from lavenderstack.node.monitors import Monitors
from lavenderstack.node.primaries import Primaries
from lavenderstack.node.stream_server import StreamServer
from lavenderstack.node.streams import StreamPool
from standins.link import open_link
from standins.target import Limits, serve

NAMES = ["a", "b", "c"]
WAIT_LIMIT_S = 14.0
POLL_S = 0.02


class MonitorCluster:
    """Three nodes that monitor one group; ``links`` connect them to its targets."""

    def __init__(self):
        self.targets = {}
        self.links = {}
        self.monitors = []
        self.view = View()
        self.pool = StreamPool()
        self.nodes = []

    def primary(self):
        """Return the primary on which all monitors and the target itself agree."""
        (known, *others) = {monitor.primary_of("studio") for monitor in self.monitors}
        if known is None or others:
            return None
        log = self.targets[known.target].log
        agrees = (log.term, log.role) == (known.term, "primary")
        return known if agrees else None

    def is_followed(self, primary):
        logs = [target.log for target in self.targets.values()]
        return all(TermPrimary(log.term, log.primary) == primary for log in logs)

    async def until(self, condition):
        for _ in range(int(WAIT_LIMIT_S / POLL_S)):
            if result := condition():
                return result
            await asyncio.sleep(POLL_S)
        raise TimeoutError

    async def first_primary(self):
        primary = await self.until(self.primary)
        await self.until(lambda: self.is_followed(primary))
        return primary

    async def new_primary_after(self, old):
        def found():
            primary = self.primary()
            return primary if primary and primary.target != old.target else None

        return await self.until(found)

    def evacuate(self, *names):
        """Evacuate the zones of these targets and of no others."""
        zones = {f"z{name}": EvacuationRequest(f"z{name}") for name in names}
        self.view = replace(self.view, evacuations=zones)

    def knows_evacuated(self, names):
        group_monitors = [one._monitors["studio"] for one in self.monitors]
        return all(one.detector.evacuated == names for one in group_monitors)

    async def until_blocked(self, expected):
        """Ask the monitors as an entry node does, until the group is blocked or not."""

        def ask(vm, msg, timeout_s):
            return self.pool.call((vm.host, vm.port), msg, timeout_s)

        primaries = Primaries(ask, self.monitors[0].monitoring_nodes)
        status = primaries.of("studio")
        for _ in range(int(WAIT_LIMIT_S / POLL_S)):
            await primaries.find("studio")
            if status.blocked is expected:
                return
            status.primary_uncertain = True
            await asyncio.sleep(POLL_S)
        raise TimeoutError

    def mark_leaving(self, name):
        vm = Vm(name, "z", "127.0.0.1", 1, "target", "leaving")
        self.view = replace(self.view, vms={name: vm})


@asynccontextmanager
async def monitor_cluster(open_ms=0.0):
    async with AsyncExitStack() as stack:
        cluster = MonitorCluster()
        entries = []
        for name in NAMES:
            serving = serve(name, "studio", Limits(open_ms=open_ms))
            cluster.targets[name], port = await stack.enter_async_context(serving)
            link = await stack.enter_async_context(open_link("127.0.0.1", port))
            cluster.links[name] = link
            entries.append(Target(name, f"z{name}", "127.0.0.1", link.port, 2, 20))
        group = Group("studio", tuple(entries), frozenset())
        cluster.view = View(groups={"studio": group})
        tasks = [asyncio.create_task(cluster.pool.run())]
        servers = []
        for number in range(3):
            name = f"n{number}"
            monitor = Monitors(
                name, lambda: cluster.view, lambda: cluster.nodes, cluster.pool
            )
            servers.append(StreamServer(monitor.handlers()))
            port = await servers[-1].start("127.0.0.1", 0)
            cluster.monitors.append(monitor)
            cluster.nodes.append(Vm(name, f"z{NAMES[number]}", "127.0.0.1", port))
        tasks += [asyncio.create_task(monitor.run()) for monitor in cluster.monitors]
        try:
            yield cluster
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            cluster.pool.close()
            for server in servers:
                await server.stop(0.1)


class TestMonitors:
    @pytest.mark.parametrize("open_ms", [0.0, 500.0])
    async def test_a_new_group_gets_a_primary_that_all_follow(self, open_ms):
        async with monitor_cluster(open_ms) as cluster:
            primary = await cluster.first_primary()
            asked = await cluster.monitors[0].on_primary_request(
                PrimaryRequest("studio", check=True)
            )
            assert asked == PrimaryReply(primary.term, primary.target, healthy=True)
            unknown = await cluster.monitors[0].on_primary_request(
                PrimaryRequest("other")
            )
            assert unknown == PrimaryReply()

    @pytest.mark.parametrize("fault", ["down", "freeze", "cut"])
    async def test_a_lost_primary_is_replaced_and_follows_when_it_is_back(self, fault):
        async with monitor_cluster() as cluster:
            old = await cluster.first_primary()
            target, link = cluster.targets[old.target], cluster.links[old.target]
            if fault == "cut":
                link.path.cut()
            else:
                target.fault(f"{fault}_s", 5.0)
            new = await cluster.new_primary_after(old)
            assert new.term > old.term
            if fault == "cut":
                assert (target.log.term, target.log.role) == (old.term, "primary")
                link.path.heal()
            await cluster.until(lambda: cluster.is_followed(new))

    async def test_a_connection_that_goes_silent_is_no_lost_primary(self):
        async with monitor_cluster() as cluster:
            primary = await cluster.first_primary()
            target = cluster.targets[primary.target]
            before = target.call_record.calls["hello"]
            target.fault("silent", 1)
            await cluster.until(lambda: target.call_record.calls["hello"] >= before + 3)
            await asyncio.sleep(0.5)
            assert cluster.primary() == primary

    async def test_a_leaving_primary_hands_over(self):
        async with monitor_cluster() as cluster:
            old = await cluster.first_primary()
            cluster.mark_leaving(old.target)
            new = await cluster.new_primary_after(old)
            await cluster.until(lambda: cluster.is_followed(new))
            assert new.term > old.term


class TestEvacuation:
    async def test_a_primary_in_the_zone_hands_over_to_one_outside(self):
        """Guards against a group that is refused though it has targets outside."""
        async with monitor_cluster() as cluster:
            old = await cluster.first_primary()
            other = next(name for name in NAMES if name != old.target)
            cluster.evacuate(old.target, other)
            new = await cluster.new_primary_after(old)
            assert new.target not in (old.target, other)
            await cluster.until(lambda: cluster.is_followed(new))

    async def test_a_lost_primary_is_replaced_by_an_equal_outside(self):
        """Guards against a failover into a zone that the operators want empty."""
        async with monitor_cluster() as cluster:
            old = await cluster.first_primary()
            # Of equally advanced targets the one with the later name is preferred.
            chosen, evacuated = (name for name in NAMES if name != old.target)
            cluster.evacuate(evacuated)
            await cluster.until(lambda: cluster.knows_evacuated({evacuated}))
            cluster.targets[old.target].fault("down_s", 60.0)
            new = await cluster.new_primary_after(old)
            assert new.target == chosen

    @pytest.mark.parametrize("outside", ["down", "behind"])
    async def test_a_group_that_only_evacuated_targets_could_lead_is_told(
        self, outside
    ):
        """Guards against callers that wait for a primary until their deadline."""
        async with monitor_cluster() as cluster:
            old = await cluster.first_primary()
            other, inside = (name for name in NAMES if name != old.target)
            cluster.evacuate(inside)
            await cluster.until(lambda: cluster.knows_evacuated({inside}))
            if outside == "behind":
                cluster.targets[other].fault("lag_ms", 60_000.0)
                written = cluster.targets[old.target].log.append([], "").position
                log = cluster.targets[inside].log
                await cluster.until(lambda: log.last == written)
            else:
                cluster.evacuate(inside, other)
                await cluster.until(lambda: cluster.knows_evacuated({inside, other}))
            cluster.targets[old.target].fault("down_s", 60.0)
            with capture_logs() as logs:
                await cluster.until_blocked(True)
            assert "monitor: no target may lead" in {line["event"] for line in logs}
            cluster.evacuate()
            await cluster.new_primary_after(old)
            await cluster.until_blocked(False)
