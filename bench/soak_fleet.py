"""The processes of a soak and what is around them.

The nodes are processes of ``lavenderstack serve``; the store, the targets and the
orders are stand-ins in this process. Each node reaches them, and each other node,
through links that can be disturbed.
"""

import asyncio
import json
import random
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from bench.soak_operator import Operator
from bench.soak_record import Record, Stop
from bench.soak_time_checks import EVACUATION_LIMIT_S, GRACE_S
from lavenderstack.core import clock
from standins import faulty_store, line_server, promotion_orders
from standins.faulty_store import FaultyStore
from standins.line_group import GroupTarget, LineGroup
from standins.link import Link, open_link
from standins.network import Network
from standins.processes import ROOT, Process, started
from standins.promotion_orders import PromotionOrders
from standins.sockets import HOST, free_port

HEARTBEAT_S = 1.2
REPORT_LIFETIME_S = 3 * HEARTBEAT_S
READY_INTERVAL_S = 1.0
MISSES_ALLOWED = 1
START_LIMIT_S = 15.0
SLOTS = 5


@dataclass
class Node:
    """A node and its current process; ``starts`` counts its processes.

    ``links`` are those in front of what the node calls and of the node itself;
    ``own_port`` is where it listens for callers, behind such a link.
    ``misses`` counts unanswered questions of the balancer in a row. ``source`` is the
    root of the source that its processes run.
    """

    name: str
    zone: str
    settings: Path
    callers_port: int
    ready_port: int
    own_port: int = 0
    links: dict[str, Link] = field(default_factory=dict)
    process: Process | None = None
    starts: int = 0
    misses: int = 2
    paused: bool = False
    stopping: bool = False
    source: Path = ROOT

    @property
    def identity(self) -> str:
        """The name of the present process."""
        return f"{self.name}#{self.starts}"

    @property
    def running(self) -> bool:
        """Whether there is a process."""
        return self.process is not None and self.process.running


@dataclass
class Fleet:
    """All parts of a soak; ``unreported`` are targets that live without a report."""

    folder: Path
    rng: random.Random
    record: Record
    store: FaultyStore
    groups: dict[str, LineGroup]
    orders: PromotionOrders
    operator: Operator
    network: Network
    stack: AsyncExitStack
    nodes: dict[str, Node] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)
    reported_at: dict[str, float] = field(default_factory=dict)
    unreported: set[str] = field(default_factory=set)

    def targets(self) -> list[tuple[LineGroup, GroupTarget]]:
        """Return all targets with their groups."""
        return [
            (group, target)
            for group in self.groups.values()
            for target in group.targets.values()
        ]

    def report(self, group: LineGroup, target: GroupTarget) -> None:
        """Write what a target says of itself, unless the store is away."""
        if self.store.down or self.store.silent or not target.up:
            return
        if target.name in self.unreported:
            return
        now = clock.now()
        self.reported_at[target.name] = now
        fields = {
            "service": group.name,
            "addr": f"{HOST}:{self.ports[target.name]}",
            "zone": target.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "draining" if target.draining else "ready",
            "cold_left_ms": 0,
            "db_role": "primary" if target.leads else "replica",
            "seq": int(now * 1000),
            "born": 1,
        }
        self.store.put(f"servers/{target.name}", json.dumps(fields).encode())

    async def report_targets(self) -> None:
        """Report the targets regularly, and remove the reports of silent ones."""
        while True:
            for group, target in self.targets():
                self.report(group, target)
                silent_s = clock.now() - self.reported_at.get(target.name, 0)
                key = f"servers/{target.name}"
                if silent_s > REPORT_LIFETIME_S and key in self.store.items:
                    self.store.delete(key)
            await asyncio.sleep(HEARTBEAT_S)

    async def poll_ready(self) -> None:
        """Ask every node whether it is ready, as the platform's balancer does."""
        while True:
            await asyncio.gather(*(self._ask_ready(one) for one in self.nodes.values()))
            await asyncio.sleep(READY_INTERVAL_S)

    async def _ask_ready(self, node: Node) -> None:
        ready = False
        writer = None
        try:
            async with asyncio.timeout(READY_INTERVAL_S):
                reader, writer = await asyncio.open_connection(HOST, node.ready_port)
                writer.write(b"GET /api/ready HTTP/1.0\r\n\r\n")
                ready = b" 200 " in (await reader.readline())
        except (OSError, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        node.misses = 0 if ready else node.misses + 1

    def in_rotation(self) -> list[Node]:
        """Return the nodes that get new connections; all, if none is ready."""
        ready = [one for one in self.nodes.values() if one.misses <= MISSES_ALLOWED]
        return ready or list(self.nodes.values())

    async def start(self, node: Node) -> None:
        """Start a process of a node."""
        node.starts += 1
        node.paused = node.stopping = False
        name = f"{node.name}.{node.starts}"
        settings = ("serve", "--settings", str(node.settings))
        process = started(
            name, self.folder, "lavenderstack", *settings, root=node.source
        )
        node.process = await self.stack.enter_async_context(process)
        self.network.zones[node.process.pid] = node.name
        asyncio.ensure_future(self._watch_end(node, node.process, node.identity))

    async def _watch_end(self, node: Node, process: Process, identity: str) -> None:
        status = await process.child.wait()
        if status != -signal.SIGKILL and node.process is process and not node.stopping:
            line = f"{identity} ended by itself with status {status}"
            self.record.own_ends.append(line)

    async def stop(self, node: Node) -> None:
        """Stop a node as planned: SIGTERM, and SIGKILL once its time is over."""
        node.stopping = True
        process, at = node.process, clock.now()
        index = len(self.record.stops)
        self.record.stops.append(Stop(node.identity, at))
        process.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await process.child.wait()
        except TimeoutError:
            process.signal(signal.SIGKILL)
            await process.child.wait()
        status = process.child.returncode
        self.record.stops[index] = Stop(node.identity, at, clock.now(), status)

    async def wait_until_ready(self) -> None:
        """Wait until all nodes are ready."""
        deadline = clock.now() + START_LIMIT_S
        while any(node.misses for node in self.nodes.values()):
            if clock.now() > deadline:
                raise TimeoutError("a node did not become ready")
            await asyncio.sleep(READY_INTERVAL_S / 10)


async def _add_node(fleet: Fleet, name: str, zone: str, orders_port: int) -> None:
    stack = fleet.stack
    ports = {key: free_port() for key in ("callers", "ready", "peers", "metrics")}
    store_port = await stack.enter_async_context(
        faulty_store.serving_node(fleet.store, name)
    )
    links = {
        "store": await stack.enter_async_context(open_link(HOST, store_port)),
        "orders": await stack.enter_async_context(open_link(HOST, orders_port)),
        "callers": await stack.enter_async_context(open_link(HOST, ports["callers"])),
        "peers": await stack.enter_async_context(
            fleet.network.listen(name, name, ports["peers"])
        ),
    }
    fleet.store.link_ports[ports["peers"]] = links["peers"].port
    settings = {
        "name": name,
        "availability_zone": zone,
        "host": HOST,
        "callers": f"{HOST}:{ports['callers']}",
        "readiness": f"{HOST}:{ports['ready']}",
        "peers_port": ports["peers"],
        "metrics_port": ports["metrics"],
        "store": f"{HOST}:{links['store'].port}",
        "orders": f"{HOST}:{links['orders'].port}",
        "stop_limit_s": GRACE_S,
        "evacuation_limit_ms": EVACUATION_LIMIT_S * 1000,
        # The store of the soak begins in this era.
        "first_store_era": 1,
    }
    path = fleet.folder / f"{name}.json"
    path.write_text(json.dumps(settings))
    node = Node(
        name,
        zone,
        path,
        links["callers"].port,
        ports["ready"],
        ports["callers"],
        links,
    )
    fleet.nodes[name] = node


async def _add_targets(fleet: Fleet) -> None:
    for group, target in fleet.targets():
        port = await fleet.stack.enter_async_context(line_server.serving(group, target))
        link = await fleet.stack.enter_async_context(
            fleet.network.listen(target.name, target.name, port)
        )
        fleet.ports[target.name] = link.port
        fleet.report(group, target)


@asynccontextmanager
async def run_fleet(
    folder: Path,
    seed: int,
    node_count: int,
    group_count: int,
    source: Path = ROOT,
) -> AsyncIterator[Fleet]:
    """Run a fleet with its nodes ready; everything is ended after the block.

    ``source`` is the root of the source that the nodes run at first.
    """
    rng = random.Random(seed)
    zones = ("z1", "z2", "z3")
    groups = {}
    for number in range(1, group_count + 1):
        targets = [GroupTarget(f"g{number}-{zone}", zone) for zone in zones]
        rng.shuffle(targets)
        name = f"g{number}"
        groups[name] = LineGroup(name, {one.name: one for one in targets}, rng)
    in_zones = {
        target.name: target.zone
        for group in groups.values()
        for target in group.targets.values()
    }
    record = Record(groups=groups, zones=in_zones)
    store = FaultyStore(rng=rng, era=1)
    store.put("ls/era", b'{"era":1}')
    operator = Operator(store, record, rng)
    orders = PromotionOrders(groups, rng, record.orders)
    async with AsyncExitStack() as stack:
        fleet = Fleet(
            folder, rng, record, store, groups, orders, operator, Network(), stack
        )
        operator.begin(list(groups))
        for group in groups.values():
            group.changed = lambda target, group=group: fleet.report(group, target)
        await _add_targets(fleet)
        orders_port = await stack.enter_async_context(promotion_orders.serving(orders))
        for number in range(1, node_count + 1):
            zone = zones[(number - 1) % len(zones)]
            await _add_node(fleet, f"n{number}", zone, orders_port)
            fleet.nodes[f"n{number}"].source = source
        tasks = [
            asyncio.ensure_future(work)
            for work in (store.end_leases(), fleet.report_targets(), fleet.poll_ready())
        ]
        try:
            await asyncio.gather(*(fleet.start(one) for one in fleet.nodes.values()))
            await fleet.wait_until_ready()
            yield fleet
        finally:
            for task in tasks:
                task.cancel()
