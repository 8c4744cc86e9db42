"""The monitors of all groups that this node has to monitor.

Each group is monitored by a few of the live nodes, chosen by
``core/failover/monitor_assignment.py``. The list of live nodes may lag, and two nodes
may choose differently for a while, which costs extra probes and, at worst, a lost
proposal. Other nodes ask a group's monitoring nodes for its primary.
"""

import asyncio
from collections.abc import Callable

import structlog

from lavenderstack.core import clock
from lavenderstack.core.failover.group_messages import PrimaryReply, PrimaryRequest
from lavenderstack.core.failover.monitor_assignment import MonitorAssignment
from lavenderstack.core.routing import TermPrimary
from lavenderstack.core.view import Group, View, Vm
from lavenderstack.node.group_monitor import GroupMonitor
from lavenderstack.node.stream_server import Handler
from lavenderstack.node.streams import NotSent, StreamLost, StreamPool

VIEW_INTERVAL_S = 0.25
NODES_INTERVAL_S = 1.0
MAX_CPU_SHARE = 0.005
QUERY_TIMEOUT_S = 0.4

log = structlog.get_logger()


class Monitors:
    """The group monitors of the node ``name``; run it as a part of the supervisor.

    ``view`` and ``live_nodes`` return the current view and list of live nodes;
    ``pool`` carries requests to other nodes.
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
        self._monitors: dict[str, GroupMonitor] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._nodes: dict[str, Vm] = {}
        self._assignment = MonitorAssignment([])
        self._next_nodes_check_at = 0.0
        self._last_view = View()

    def primary_of(self, group: str) -> TermPrimary | None:
        """Return the primary of a group that this node monitors, None if unknown."""
        monitor = self._monitors.get(group)
        return monitor.primary() if monitor else None

    def monitoring_nodes(self, group: str) -> list[Vm]:
        """Return the nodes that monitor a group, in order of rank."""
        return [self._nodes[name] for name in self._assignment.monitors_of(group)]

    def handlers(self) -> dict[type, Handler]:
        """Return the handlers of other nodes' messages."""
        return {PrimaryRequest: self.on_primary_request}

    async def on_primary_request(self, message: PrimaryRequest) -> PrimaryReply:
        """Answer another node's request for a group's primary."""
        monitor = self._monitors.get(message.group)
        if monitor is None:
            return PrimaryReply()
        healthy = await monitor.check() if message.check else False
        blocked_term = monitor.blocked_term()
        if blocked_term is not None:
            return PrimaryReply(blocked_term, healthy=healthy, evacuated=True)
        primary = monitor.primary()
        if primary is None:
            return PrimaryReply(healthy=healthy)
        return PrimaryReply(primary.term, primary.target, healthy)

    async def run(self) -> None:
        """Start and stop monitors as the view changes, until cancelled."""
        try:
            while True:
                self._follow_view()
                await asyncio.sleep(VIEW_INTERVAL_S)
        finally:
            for name in list(self._tasks):
                self._stop(name)

    def _follow_view(self) -> None:
        """Apply changes of the view now and changes of the live nodes a little later.

        The interval between updates grows with the time that one takes, so that
        updates use at most ``MAX_CPU_SHARE`` of a core, whatever the number of nodes.
        """
        started = clock.now()
        view, last_view = self._view(), self._last_view
        nodes_changed = self._nodes_changed(started)
        if nodes_changed or view.groups is not last_view.groups:
            self._update_monitors(view)
            spent_s = clock.now() - started
            self._next_nodes_check_at = max(
                self._next_nodes_check_at, started + spent_s / MAX_CPU_SHARE
            )
        if nodes_changed or view is not last_view:
            leaving = _leaving_targets(view)
            for monitor in self._monitors.values():
                monitor.set_leaving(leaving)
                monitor.set_evacuated(view.evacuations.keys())
        self._last_view = view
        for name, monitor in self._monitors.items():
            if self._tasks[name].done():
                log.error("monitor: restarted after its task ended", group=name)
                self._start(monitor.group, monitor.detector.rank)

    def _nodes_changed(self, now: float) -> bool:
        if now < self._next_nodes_check_at:
            return False
        self._next_nodes_check_at = now + NODES_INTERVAL_S
        nodes = {vm.name: vm for vm in self._live_nodes()}
        if nodes == self._nodes:
            return False
        self._nodes = nodes
        self._assignment = MonitorAssignment(nodes.values())
        return True

    def _update_monitors(self, view: View) -> None:
        """Start and stop monitors; a change of rank alone leaves a monitor running."""
        assigned = self._assigned_groups(view)
        for name, monitor in list(self._monitors.items()):
            if (
                name not in assigned
                or monitor.group.targets != assigned[name][0].targets
            ):
                self._stop(name)
        for name, (group, rank) in assigned.items():
            if name in self._monitors:
                self._monitors[name].detector.rank = rank
            else:
                self._start(group, rank)

    def _assigned_groups(self, view: View) -> dict[str, tuple[Group, int]]:
        found = {}
        for name, group in view.groups.items():
            monitoring_nodes = self._assignment.monitors_of(name)
            if self._name in monitoring_nodes:
                found[name] = (group, monitoring_nodes.index(self._name))
        return found

    def _start(self, group: Group, rank: int) -> None:
        monitor = GroupMonitor(group, rank, self._query_monitors)
        monitor.set_evacuated(self._view().evacuations.keys())
        self._monitors[group.name] = monitor
        task = asyncio.create_task(monitor.run(), name=f"monitor {group.name}")
        self._tasks[group.name] = task

    def _stop(self, name: str) -> None:
        self._tasks.pop(name).cancel()
        del self._monitors[name]

    async def _query_monitors(self, group: Group) -> list[PrimaryReply]:
        others = [
            vm for vm in self.monitoring_nodes(group.name) if vm.name != self._name
        ]
        queries = [self._query(vm, group.name) for vm in others]
        return [reply for reply in await asyncio.gather(*queries) if reply]

    async def _query(self, vm: Vm, group: str) -> PrimaryReply | None:
        request = PrimaryRequest(group, check=True)
        addr = (vm.host, vm.port)
        try:
            reply = await self._pool.call(addr, request, QUERY_TIMEOUT_S)
        except (NotSent, StreamLost, TimeoutError):
            return None
        return reply if isinstance(reply, PrimaryReply) else None


def _leaving_targets(view: View) -> list[str]:
    vms = view.vms.values()
    return [vm.name for vm in vms if vm.kind == "target" and vm.state == "leaving"]
