"""Tests of the watch by three nodes against stand-ins of targets, over loopback."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

import pytest

from lavenderstack.core.group_messages import PrimaryReply, PrimaryRequest
from lavenderstack.core.routing import Leader
from lavenderstack.core.view import Group, Target, View, Vm
from lavenderstack.node.monitors import Monitors
from lavenderstack.node.streams import StreamPool, StreamServer
from standins.link import open_link
from standins.target import Limits, serve

NAMES = ["a", "b", "c"]
LIMIT_S = 14.0
POLL_S = 0.02


class Bench:
    """Three watchers of one group; ``links`` lie between them and the targets."""

    def __init__(self):
        self.targets = {}
        self.links = {}
        self.watches = []
        self.view = View()
        self.pool = StreamPool()
        self.nodes = []

    def leader(self):
        """Return the leader on which all watchers and the target itself agree."""
        (known, *others) = {watch.primary_of("studio") for watch in self.watches}
        if known is None or others:
            return None
        log = self.targets[known.target].log
        agrees = (log.term, log.role) == (known.term, "primary")
        return known if agrees else None

    def followed(self, leader):
        logs = [target.log for target in self.targets.values()]
        return all(Leader(log.term, log.primary) == leader for log in logs)

    async def until(self, condition):
        for _ in range(int(LIMIT_S / POLL_S)):
            if result := condition():
                return result
            await asyncio.sleep(POLL_S)
        raise TimeoutError

    async def first(self):
        leader = await self.until(self.leader)
        await self.until(lambda: self.followed(leader))
        return leader

    async def other_than(self, old):
        def found():
            leader = self.leader()
            return leader if leader and leader.target != old.target else None

        return await self.until(found)

    def leave(self, name):
        vm = Vm(name, "z", "127.0.0.1", 1, "target", "leaving")
        self.view = replace(self.view, vms={name: vm})


@asynccontextmanager
async def bench(open_ms=0.0):
    async with AsyncExitStack() as stack:
        it = Bench()
        entries = []
        for name in NAMES:
            serving = serve(name, "studio", Limits(open_ms=open_ms))
            it.targets[name], port = await stack.enter_async_context(serving)
            link = await stack.enter_async_context(open_link("127.0.0.1", port))
            it.links[name] = link
            entries.append(Target(name, f"z{name}", "127.0.0.1", link.port, 2, 20))
        group = Group("studio", tuple(entries), frozenset())
        it.view = View(groups={"studio": group})
        tasks = [asyncio.create_task(it.pool.run())]
        servers = []
        for number in range(3):
            name = f"n{number}"
            watch = Monitors(name, lambda: it.view, lambda: it.nodes, it.pool)
            servers.append(StreamServer(watch.handlers()))
            port = await servers[-1].start("127.0.0.1", 0)
            it.watches.append(watch)
            it.nodes.append(Vm(name, f"z{NAMES[number]}", "127.0.0.1", port))
        tasks += [asyncio.create_task(watch.run()) for watch in it.watches]
        try:
            yield it
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            it.pool.close()
            for server in servers:
                await server.stop(0.1)


class TestWatch:
    @pytest.mark.parametrize("open_ms", [0.0, 500.0])
    async def test_a_new_group_gets_a_primary_that_all_follow(self, open_ms):
        async with bench(open_ms) as it:
            leader = await it.first()
            asked = await it.watches[0].answer(PrimaryRequest("studio", check=True))
            assert asked == PrimaryReply(leader.term, leader.target, healthy=True)
            unknown = await it.watches[0].answer(PrimaryRequest("other"))
            assert unknown == PrimaryReply()

    @pytest.mark.parametrize("fault", ["down", "freeze", "cut"])
    async def test_a_lost_primary_is_replaced_and_follows_when_it_is_back(self, fault):
        async with bench() as it:
            old = await it.first()
            target, link = it.targets[old.target], it.links[old.target]
            if fault == "cut":
                link.way.cut()
            else:
                target.fault(f"{fault}_s", 5.0)
            new = await it.other_than(old)
            assert new.term > old.term
            if fault == "cut":
                assert (target.log.term, target.log.role) == (old.term, "primary")
                link.way.mend()
            await it.until(lambda: it.followed(new))

    async def test_a_connection_that_goes_silent_is_no_lost_primary(self):
        async with bench() as it:
            leader = await it.first()
            target = it.targets[leader.target]
            before = target.witness.calls["hello"]
            target.fault("silent", 1)
            await it.until(lambda: target.witness.calls["hello"] >= before + 3)
            await asyncio.sleep(0.5)
            assert it.leader() == leader

    async def test_a_leaving_primary_hands_over(self):
        async with bench() as it:
            old = await it.first()
            it.leave(old.target)
            new = await it.other_than(old)
            await it.until(lambda: it.followed(new))
            assert new.term > old.term
