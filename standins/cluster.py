"""A whole small service on loopback: platform, targets and nodes as processes.

It is made for tests and the first session, at small variants of the users' sizes.
Each process listens behind a link, so zones can be cut from each other. What is
started here is ended here, by process id.

>>> async def example(folder):
...     async with running(LIPA, folder) as cluster:
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
POLL_S = 0.02
PLATFORM = "platform"
OPERATOR = "maja"


async def eventually(condition: Callable[[], Awaitable[Any]]) -> Any:
    """Return the first true result of a condition, asked again and again."""
    async with asyncio.timeout(WAIT_LIMIT_S):
        while True:
            if result := await condition():
                return result
            await asyncio.sleep(POLL_S)


@dataclass
class Node:
    """A node: where callers and operators reach it, and its settings file."""

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
    controls: dict[str, TargetConn] = field(default_factory=dict)
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    # Faults.

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self.processes[name].signal(signal.SIGKILL)

    def pause(self, name: str) -> None:
        """Stop a process as a suspended VM would."""
        self.processes[name].signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a paused process go on."""
        self.processes[name].signal(signal.SIGCONT)

    def isolate(self, zone: str, store: bool = True) -> None:
        """Cut a zone off from all others, and from the store if asked."""
        others = {*self.size.zones} - {zone}
        if store:
            others.add(PLATFORM)
        self.network.isolate(zone, others)

    async def platform_fault(self, kind: str, **options: Any) -> None:
        """Switch a fault of the platform stand-in."""
        url = f"http://{HOST}:{self.network.links[PLATFORM].port}/fault"
        async with self.http.post(url, json={"kind": kind, **options}) as resp:
            resp.raise_for_status()

    # Targets, past the service.

    async def control(self, target: str) -> TargetConn:
        """Return a connection for faults of a target and for what it saw."""
        conn = self.controls.get(target)
        if conn is None or conn.broken:
            port = self.target_ports[target]
            conn = await connect(HOST, port, "control", CALL_TIMEOUT_S)
            self.controls[target] = conn
        return conn

    async def target_fault(self, target: str, kind: str, value: float) -> None:
        """Switch a fault of a target stand-in."""
        conn = await self.control(target)
        await conn._call("fault", [kind, value], CALL_TIMEOUT_S)

    async def seen(self, target: str) -> dict[str, Any]:
        """Return what a target saw and what it holds."""
        conn = await self.control(target)
        return (await conn._call("seen", [], CALL_TIMEOUT_S))[0]

    async def primary(self, group: str) -> str | None:
        """Return the target that leads the highest term, if one is to be found."""
        best = None
        for name, its_group, _ in self.size.targets():
            if its_group != group or not self.processes[name].running:
                continue
            state = await self._state(name)
            if state is None:
                continue
            if state.role == "primary" and (best is None or state.term > best[0]):
                best = (state.term, name)
        return best and best[1]

    async def _state(self, target: str) -> TargetStatus | None:
        try:
            conn = await self.control(target)
            return await conn.state(CALL_TIMEOUT_S)
        except (TargetUnreachable, TargetLost):
            return None

    # Nodes.

    async def ready(self, name: str) -> bool:
        """Tell whether a node says that it is ready for callers."""
        url = f"http://{HOST}:{self.nodes[name].callers_port}/v1/ready"
        try:
            async with self.http.get(url) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def start_node(self, name: str) -> None:
        """Start a node, also one that ended, with nothing but its settings."""
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
        operators = {OPERATOR: digest(self.operator_key)}
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

    # The start.

    async def start_targets(self) -> None:
        """Start the targets, each behind a link."""
        size = self.size
        for name, group, zone in size.targets():
            args = {
                "--name": name,
                "--group": group,
                "--slots": size.slots,
                "--connections": size.connections,
                "--open-ms": size.open_ms,
            }
            flat = [str(part) for pair in args.items() for part in pair]
            process = await self.stack.enter_async_context(
                started(name, self.folder, "standins.target", *flat)
            )
            self.processes[name] = process
            self.network.zones[process.pid] = zone
        for name, _, zone in size.targets():
            port = int(await self.processes[name].ready_line())
            self.target_ports[name] = port
            listening = self.network.listen(name, zone, port)
            await self.stack.enter_async_context(listening)

    async def reserve_nodes(self) -> None:
        """Choose the ports of the nodes and put links in front of them."""
        for name, zone in self.size.nodes():
            node = Node(name, zone, free_port(), free_port(), free_port())
            self.nodes[name] = node
            listening = self.network.listen(name, zone, node.peers_port)
            await self.stack.enter_async_context(listening)

    async def start_platform(self, seed: Entries) -> None:
        """Start the platform stand-in with these entries."""
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


async def _start_outside(cluster: Cluster, adjust: Callable[[Entries], None]) -> None:
    for organisation in cluster.size.organisations:
        cluster.keys[organisation] = secrets.token_urlsafe(24)
    await cluster.start_targets()
    await cluster.reserve_nodes()
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
async def outside(
    size: Size,
    folder: Path,
    adjust: Callable[[Entries], None] = lambda seed: None,
    linked: bool = True,
) -> AsyncIterator[Cluster]:
    """Run platform and targets only; ``adjust`` may change the first entries.

    Without links nothing can be cut, and none is in the way of a measurement.
    """
    async with aiohttp.ClientSession() as http, AsyncExitStack() as stack:
        network = Network(linked)
        cluster = Cluster(size, folder, http, network, stack=stack)
        await _start_outside(cluster, adjust)
        yield cluster


@asynccontextmanager
async def running(
    size: Size,
    folder: Path,
    adjust: Callable[[Entries], None] = lambda seed: None,
    linked: bool = True,
) -> AsyncIterator[Cluster]:
    """Run a whole service until the block ends; see ``outside``."""
    async with outside(size, folder, adjust, linked) as cluster:
        await _start_nodes(cluster)
        yield cluster
