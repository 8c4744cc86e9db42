"""The watch of all groups for which this node is one of the watchers.

The node is a watcher of a few groups, chosen by ``core/monitor_assignment.py`` from the nodes
that are live; the list may lag and two nodes may choose differently for a while,
which costs probes and, at worst, a lost proposal. Other nodes ask a group's
watchers for its primary.
"""

import asyncio
from collections.abc import Callable

import structlog

from lavenderstack.core import clock
from lavenderstack.core.group_messages import PrimaryReply, PrimaryRequest
from lavenderstack.core.monitor_assignment import MonitorAssignment
from lavenderstack.core.routing import Leader
from lavenderstack.core.view import Group, View, Vm
from lavenderstack.node.group_monitor import GroupMonitor
from lavenderstack.node.streams import Handler, NotSent, StreamLost, StreamPool

DUTIES_INTERVAL_S = 0.25
NODES_INTERVAL_S = 1.0
MOST_SHARE = 0.005
ASK_TIMEOUT_S = 0.4

log = structlog.get_logger()


class Monitors:
    """The watches of this node, ``name``; run it as a part of the supervisor.

    ``view`` and ``live_nodes`` return what is current; ``pool`` carries questions
    to other nodes.
    """

    def __init__(
        self,
        name: str,
        view: Callable[[], View],
        live_nodes: Callable[[], list[Vm]],
        pool: StreamPool,
    ) -> None:
        self._name = name
        self._view = view
        self._live_nodes = live_nodes
        self._pool = pool
        self._watches: dict[str, GroupMonitor] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._nodes: dict[str, Vm] = {}
        self._watchers = MonitorAssignment([])
        self._nodes_at = 0.0
        self._seen = View()

    def primary_of(self, group: str) -> Leader | None:
        """Return the primary of a group that this node watches, if it knows one."""
        watch = self._watches.get(group)
        return watch.leader() if watch else None

    def watchers(self, group: str) -> list[Vm]:
        """Return the nodes that watch a group, the one that goes first first."""
        return [self._nodes[name] for name in self._watchers.of(group)]

    def handlers(self) -> dict[type, Handler]:
        """Return what answers the messages of other nodes."""
        return {PrimaryRequest: self.answer}

    async def answer(self, message: PrimaryRequest) -> PrimaryReply:
        """Answer another node that asks for a group's primary."""
        watch = self._watches.get(message.group)
        if watch is None:
            return PrimaryReply()
        healthy = await watch.check() if message.check else False
        leader = watch.leader()
        if leader is None:
            return PrimaryReply(healthy=healthy)
        return PrimaryReply(leader.term, leader.target, healthy)

    async def run(self) -> None:
        """Keep the watches in line with the view until cancelled."""
        try:
            while True:
                self._take_duties()
                await asyncio.sleep(DUTIES_INTERVAL_S)
        finally:
            for name in list(self._tasks):
                self._stop(name)

    def _take_duties(self) -> None:
        """Follow a change of the view at once, one of the nodes a little later.

        Changes of nodes take at most ``MOST_SHARE`` of a core, however many there are.
        """
        started = clock.now()
        view, seen = self._view(), self._seen
        nodes_changed = self._nodes_changed(started)
        if nodes_changed or view.groups is not seen.groups:
            self._rearrange(view)
            spent_s = clock.now() - started
            self._nodes_at = max(self._nodes_at, started + spent_s / MOST_SHARE)
        if nodes_changed or view is not seen:
            leaving = _leaving_targets(view)
            for watch in self._watches.values():
                watch.set_leaving(leaving)
        self._seen = view
        for name, watch in self._watches.items():
            if self._tasks[name].done():
                log.error("watch: ended", group=name)
                self._start(watch.group, watch.suspicion.rank)

    def _nodes_changed(self, now: float) -> bool:
        if now < self._nodes_at:
            return False
        self._nodes_at = now + NODES_INTERVAL_S
        nodes = {vm.name: vm for vm in self._live_nodes()}
        if nodes == self._nodes:
            return False
        self._nodes = nodes
        self._watchers = MonitorAssignment(nodes.values())
        return True

    def _rearrange(self, view: View) -> None:
        """Start and stop watches; a change of rank alone leaves a watch running."""
        duties = self._duties(view)
        for name, watch in list(self._watches.items()):
            if name not in duties or watch.group.targets != duties[name][0].targets:
                self._stop(name)
        for name, (group, rank) in duties.items():
            if name in self._watches:
                self._watches[name].suspicion.rank = rank
            else:
                self._start(group, rank)

    def _duties(self, view: View) -> dict[str, tuple[Group, int]]:
        found = {}
        for name, group in view.groups.items():
            watchers = self._watchers.of(name)
            if self._name in watchers:
                found[name] = (group, watchers.index(self._name))
        return found

    def _start(self, group: Group, rank: int) -> None:
        watch = GroupMonitor(group, rank, self._ask_others)
        self._watches[group.name] = watch
        task = asyncio.create_task(watch.run(), name=f"watch {group.name}")
        self._tasks[group.name] = task

    def _stop(self, name: str) -> None:
        self._tasks.pop(name).cancel()
        del self._watches[name]

    async def _ask_others(self, group: Group) -> list[PrimaryReply]:
        others = [vm for vm in self.watchers(group.name) if vm.name != self._name]
        asks = [self._ask(vm, group.name) for vm in others]
        return [answer for answer in await asyncio.gather(*asks) if answer]

    async def _ask(self, vm: Vm, group: str) -> PrimaryReply | None:
        question = PrimaryRequest(group, check=True)
        addr = (vm.host, vm.port)
        try:
            answer = await self._pool.call(addr, question, ASK_TIMEOUT_S)
        except (NotSent, StreamLost, TimeoutError):
            return None
        return answer if isinstance(answer, PrimaryReply) else None


def _leaving_targets(view: View) -> list[str]:
    vms = view.vms.values()
    return [vm.name for vm in vms if vm.kind == "target" and vm.state == "leaving"]
