"""Runs a small service on loopback: platform, targets and nodes as processes.

Tests, benchmarks and the demonstration use it. Each process listens behind a link, so
that zones can be disconnected from each other. Every process that is started here is
also stopped here, by its process id.

>>> async def example(folder):
...     async with running(STUDIO_SIZE, folder) as cluster:
...         cluster.kill("n1")
"""

import asyncio
import json
import secrets
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import yaml

from lavenderstack.border.target import (
    TargetConn,
    TargetLost,
    TargetStatus,
    TargetUnreachable,
    connect,
)
from standins.network import Network
from standins.processes import Process, started
from standins.seeds import HOST, Entries, digest, entries
from standins.sizes import Size
from standins.sockets import free_port

CALL_TIMEOUT_S = 5.0
WAIT_LIMIT_S = 60.0
POLL_INTERVAL_S = 0.02
PLATFORM = "platform"
OPERATOR_NAME = "maja"


async def eventually(condition: Callable[[], Awaitable[Any]]) -> Any:
    """Poll a condition and return its first true result.

    Raises ``TimeoutError`` after ``WAIT_LIMIT_S``.
    """
    async with asyncio.timeout(WAIT_LIMIT_S):
        while True:
            if result := await condition():
                return result
            await asyncio.sleep(POLL_INTERVAL_S)


@dataclass
class Node:
    """A node with its zone, the ports that it listens on and its process."""

    name: str
    zone: str
    callers_port: int
    admin_port: int
    peers_port: int
    process: Process | None = None


@dataclass
class Cluster:
    """A running service.

    ``keys`` has one key for each organisation, ``operator_key`` that of the operator.
    """

    size: Size
    folder: Path
    http: aiohttp.ClientSession
    network: Network = field(default_factory=Network)
    keys: dict[str, str] = field(default_factory=dict)
    operator_key: str = field(default_factory=lambda: secrets.token_urlsafe(24))
    processes: dict[str, Process] = field(default_factory=dict)
    nodes: dict[str, Node] = field(default_factory=dict)
    target_ports: dict[str, int] = field(default_factory=dict)
    control_connections: dict[str, TargetConn] = field(default_factory=dict)
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    # Faults that tests inject.

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self.processes[name].signal(signal.SIGKILL)

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP, as a suspended VM would be."""
        self.processes[name].signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self.processes[name].signal(signal.SIGCONT)

    def isolate(self, zone: str, cut_store: bool = True) -> None:
        """Disconnect a zone from all others, and from the store if ``cut_store``."""
        others = {*self.size.zones} - {zone}
        if cut_store:
            others.add(PLATFORM)
        self.network.isolate(zone, others)

    async def set_platform_fault(self, kind: str, **options: Any) -> None:
        """Set the fault of the platform stand-in; see ``standins.platform``."""
        url = f"http://{HOST}:{self.network.links[PLATFORM].port}/fault"
        async with self.http.post(url, json={"kind": kind, **options}) as resp:
            resp.raise_for_status()

    # Direct access to targets, which bypasses the nodes.

    async def control_connection(self, target: str) -> TargetConn:
        """Return a control connection to a target, for faults and snapshots."""
        conn = self.control_connections.get(target)
        if conn is None or conn.broken:
            port = self.target_ports[target]
            conn = await connect(HOST, port, "control", CALL_TIMEOUT_S)
            self.control_connections[target] = conn
        return conn

    async def set_target_fault(self, target: str, kind: str, value: float) -> None:
        """Set a fault of a target stand-in; see ``standins.faults``."""
        conn = await self.control_connection(target)
        await conn._call("fault", [kind, value], CALL_TIMEOUT_S)

    async def target_snapshot(self, target: str) -> dict[str, Any]:
        """Return the calls that a target recorded, its log and its tables."""
        conn = await self.control_connection(target)
        return (await conn._call("seen", [], CALL_TIMEOUT_S))[0]

    async def primary(self, group: str) -> str | None:
        """Return the primary with the highest term, or None if no primary answers."""
        highest = None
        for name, target_group, _ in self.size.targets():
            if target_group != group or not self.processes[name].running:
                continue
            state = await self._state(name)
            if state is None:
                continue
            if state.role == "primary" and (highest is None or state.term > highest[0]):
                highest = (state.term, name)
        return highest and highest[1]

    async def _state(self, target: str) -> TargetStatus | None:
        try:
            conn = await self.control_connection(target)
            return await conn.state(CALL_TIMEOUT_S)
        except (TargetUnreachable, TargetLost):
            return None

    # Starting nodes and checking their readiness.

    async def ready(self, name: str) -> bool:
        """Return whether a node reports that it is ready for callers."""
        url = f"http://{HOST}:{self.nodes[name].callers_port}/v1/ready"
        try:
            async with self.http.get(url) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def start_node(self, name: str) -> None:
        """Start a node, or restart one that ended; its settings are its only state."""
        node = self.nodes[name]
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self._settings(node)))
        args = ("lavenderstack", "node", "--settings", str(path))
        process = await self.stack.enter_async_context(
            started(name, self.folder, *args)
        )
        node.process = self.processes[name] = process
        self.network.zones[process.pid] = node.zone

    def _settings(self, node: Node) -> Entries:
        links = self.network.links
        others = [name for name in self.nodes if name != node.name]
        operators = {OPERATOR_NAME: digest(self.operator_key)}
        return {
            "name": node.name,
            "availability_zone": node.zone,
            "callers": {"host": HOST, "port": node.callers_port},
            "peers": {"host": HOST, "port": node.peers_port},
            "administration": {
                "host": HOST,
                "port": node.admin_port,
                "operators": operators,
            },
            "platform": {"urls": [f"http://{HOST}:{links[PLATFORM].port}"]},
            "seeds": [f"{HOST}:{links[name].port}" for name in others],
            "log_level": "info",
        }

    # Starting the targets and the platform, and choosing the nodes' ports.

    async def start_targets(self) -> None:
        """Start the targets and put a link in front of each."""
        size = self.size
        for name, group, zone in size.targets():
            args = {
                "--name": name,
                "--group": group,
                "--slots": size.slots,
                "--connections": size.connections,
                "--open-ms": size.open_ms,
            }
            options = [str(part) for pair in args.items() for part in pair]
            process = await self.stack.enter_async_context(
                started(name, self.folder, "standins.target", *options)
            )
            self.processes[name] = process
            self.network.zones[process.pid] = zone
        for name, _, zone in size.targets():
            port = int(await self.processes[name].ready_line())
            self.target_ports[name] = port
            listening = self.network.listen(name, zone, port)
            await self.stack.enter_async_context(listening)

    async def allocate_node_ports(self) -> None:
        """Choose the ports of the nodes and put a link in front of each."""
        for name, zone in self.size.nodes():
            node = Node(name, zone, free_port(), free_port(), free_port())
            self.nodes[name] = node
            listening = self.network.listen(name, zone, node.peers_port)
            await self.stack.enter_async_context(listening)

    async def start_platform(self, seed: Entries) -> None:
        """Start the platform stand-in with these store entries."""
        path = self.folder / "seed.json"
        path.write_text(json.dumps(seed))
        process = await self.stack.enter_async_context(
            started(
                PLATFORM, self.folder, "standins.platform", "--seed-file", str(path)
            )
        )
        self.processes[PLATFORM] = process
        port = int(await process.ready_line())
        listening = self.network.listen(PLATFORM, PLATFORM, port)
        await self.stack.enter_async_context(listening)


async def _start_platform_and_targets(
    cluster: Cluster, adjust: Callable[[Entries], None]
) -> None:
    for organisation in cluster.size.organisations:
        cluster.keys[organisation] = secrets.token_urlsafe(24)
    await cluster.start_targets()
    await cluster.allocate_node_ports()
    ports = {name: link.port for name, link in cluster.network.links.items()}
    seed = entries(cluster.size, ports, cluster.keys)
    adjust(seed)
    await cluster.start_platform(seed)


async def _start_nodes(cluster: Cluster) -> None:
    for name in cluster.nodes:
        await cluster.start_node(name)
    for name in cluster.nodes:
        await cluster.processes[name].ready_line()
        await eventually(lambda name=name: cluster.ready(name))
    for group in cluster.size.groups:
        await eventually(lambda group=group: cluster.primary(group))


@asynccontextmanager
async def running_without_nodes(
    size: Size,
    folder: Path,
    adjust: Callable[[Entries], None] = lambda seed: None,
    linked: bool = True,
) -> AsyncIterator[Cluster]:
    """Run the platform and the targets, without nodes.

    ``adjust`` may change the initial store entries. With ``linked=False`` zones
    can't be disconnected, and the cost of forwarding stays out of measurements.
    """
    async with aiohttp.ClientSession() as http, AsyncExitStack() as stack:
        network = Network(linked)
        cluster = Cluster(size, folder, http, network, stack=stack)
        await _start_platform_and_targets(cluster, adjust)
        yield cluster


@asynccontextmanager
async def running(
    size: Size,
    folder: Path,
    adjust: Callable[[Entries], None] = lambda seed: None,
    linked: bool = True,
) -> AsyncIterator[Cluster]:
    """Run a whole service until the block ends.

    The parameters are those of ``running_without_nodes``.
    """
    async with running_without_nodes(size, folder, adjust, linked) as cluster:
        await _start_nodes(cluster)
        yield cluster
