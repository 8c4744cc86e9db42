"""A small deployment of the third review: nodes of the deploy file and stand-ins.

The nodes are processes of the command in ``deploy/system.toml``. The store, the call
that promotes and the targets are the project's stand-ins, served by this process.
"""

import asyncio
import json
import os
import random
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

from standins import faulty_store, line_server, promotion_orders
from standins.faulty_store import FaultyStore
from standins.line_group import GroupTarget, LineGroup
from standins.network import Network
from standins.promotion_orders import PromotionOrders
from standins.sockets import HOST, free_port

ROOT = Path(__file__).parents[1]
HEARTBEAT_S = 1.2
REPORT_LIFETIME_S = 3 * HEARTBEAT_S
GRACE_S = 6.0
KEY = "key-of-org"


def now() -> float:
    """Return seconds on the loop's clock."""
    return asyncio.get_running_loop().time()


class Log:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._begun = now()

    def add(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        self._file.write(f"{now() - self._begun:9.4f} {text}\n")
        self._file.flush()


@dataclass
class Node:
    """A node: its zone, its ports and its process."""

    name: str
    zone: str
    settings: Path
    callers: int
    ready: int
    process: asyncio.subprocess.Process | None = None


@dataclass
class World:
    """All parts of the deployment."""

    folder: Path
    log: Log
    store: FaultyStore
    group: LineGroup
    orders: PromotionOrders
    network: Network
    stack: AsyncExitStack
    zones: tuple[str, ...]
    nodes: dict[str, Node] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)
    reported_at: dict[str, float] = field(default_factory=dict)
    born: dict[str, int] = field(default_factory=dict)

    # The targets and the store.

    async def add_target(self, target: GroupTarget) -> None:
        """Start a target, which receives and reports itself from now on."""
        self.group.targets[target.name] = target
        port = await self.stack.enter_async_context(
            line_server.serving(self.group, target)
        )
        link = await self.stack.enter_async_context(
            self.network.listen(target.name, target.zone, port)
        )
        self.ports[target.name] = link.port
        self.born[target.name] = 1_700_000_000_000 + len(self.born)
        self.log.add(f"target {target.name} starts in {target.zone}")
        self.report(target)

    def report(self, target: GroupTarget) -> None:
        """Write what a target says of itself, if it reaches the store."""
        if not target.up:
            return
        self.reported_at[target.name] = now()
        fields = {
            "service": self.group.name,
            "addr": f"{HOST}:{self.ports[target.name]}",
            "zone": target.zone,
            "version": "v1",
            "slots": 5,
            "state": "draining" if target.draining else "ready",
            "cold_left_ms": 0,
            "db_role": "primary" if target.leads else "replica",
            "seq": int(now() * 1000),
            "born": self.born[target.name],
        }
        self.store.put(f"servers/{target.name}", json.dumps(fields).encode())

    async def report_targets(self) -> None:
        """Report the targets regularly, and remove the reports of silent ones."""
        while True:
            for name, target in list(self.group.targets.items()):
                self.report(target)
                key = f"servers/{name}"
                silent_s = now() - self.reported_at.get(name, 0.0)
                if silent_s > REPORT_LIFETIME_S and key in self.store.items:
                    self.store.delete(key)
            await asyncio.sleep(HEARTBEAT_S)

    # The nodes.

    async def add_node(self, name: str, zone: str, orders_port: int) -> None:
        """Write the settings of a node, as ``deploy/node.yaml`` has them."""
        ports = {key: free_port() for key in ("callers", "ready", "peers", "metrics")}
        enter = self.stack.enter_async_context
        store_port = await enter(faulty_store.serving_node(self.store, name))
        peers = await enter(self.network.listen(name, zone, ports["peers"]))
        self.store.link_ports[ports["peers"]] = peers.port
        settings = {
            "name": name,
            "availability_zone": zone,
            "host": HOST,
            "callers": f"{HOST}:{ports['callers']}",
            "readiness": f"{HOST}:{ports['ready']}",
            "peers_port": ports["peers"],
            "metrics_port": ports["metrics"],
            "store": f"{HOST}:{store_port}",
            "orders": f"{HOST}:{orders_port}",
            "descriptors": 1024,
            "withdrawn_key_limit_ms": 5000,
            "catalog_limit_ms": 3000,
            "stop_limit_s": GRACE_S,
            "zones": dict.fromkeys(self.zones, "r1"),
            "orders_per_s": 50.0,
            "target_drain_limit_ms": 7000,
            "cores": 2,
            "core_share": 0.537,
            "link_mbps": 1000.0,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.nodes[name] = Node(name, zone, path, ports["callers"], ports["ready"])

    async def start(self, node: Node) -> None:
        """Start the process of a node with the command of the deploy file."""
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LAVENDERSTACK_CONFIG": str(node.settings),
        }
        with (self.folder / f"{node.name}.log").open("ab") as output:
            node.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lavenderstack",
                "serve",
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.network.zones[node.process.pid] = node.zone
        self.log.add(f"node {node.name} in {node.zone} started")

    async def is_ready(self, node: Node) -> bool:
        """Return whether a node answers the platform's question with 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, node.ready)
                writer.write(b"GET /api/ready HTTP/1.0\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def wait_until_ready(self, limit_s: float = 20.0) -> bool:
        """Wait until all nodes are ready; return False if they aren't in time."""
        until = now() + limit_s
        while now() < until:
            if all([await self.is_ready(one) for one in self.nodes.values()]):
                return True
            await asyncio.sleep(0.1)
        return False

    def kept_logs(self) -> None:
        """Copy what the nodes say of promotions into the record."""
        for node in self.nodes.values():
            path = self.folder / f"{node.name}.log"
            lines = path.read_text().splitlines() if path.exists() else []
            for line in lines:
                if '"replacer:' in line:
                    self.log.add(f"said by {node.name}: {line[:400]}")


class Client:
    """A caller's session; it sends one message after the other."""

    def __init__(self, world: World, node: Node, database: str) -> None:
        self._world, self._node, self._database = world, node, database
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> bool:
        """Open the session; return whether it is accepted."""
        try:
            async with asyncio.timeout(2.0):
                opened = await asyncio.open_connection(HOST, self._node.callers)
                self._reader, self._writer = opened
                self._writer.write(f"CONNECT {self._database} {KEY}\r\n".encode())
                line = await self._reader.readuntil(b"\r\n")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return False
        if not line.startswith(b"READY"):
            self.close()
            return False
        return True

    async def query(self, request: str, text: str, limit_s: float = 8.0) -> list[str]:
        """Send a statement; return the lines of the answer, empty if there is none."""
        if self._writer is None and not await self.connect():
            return []
        self._world.log.add(f"sent to {self._node.name}: {request} {text}")
        lines: list[str] = []
        try:
            async with asyncio.timeout(limit_s):
                self._writer.write(f"QUERY {request} {text}\r\n".encode())
                while not lines or not lines[-1].startswith("READY"):
                    data = await self._reader.readuntil(b"\r\n")
                    lines.append(data.decode().rstrip("\r\n"))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            lines = []
        self._world.log.add(f"answer to {request}: {' | '.join(lines) or 'none'}")
        return lines

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def _write_config(store: FaultyStore, group: str) -> None:
    route = {"service": group, "timeout_ms": 1000, "target_latency_ms": 200, "prio": 1}
    kinds = {
        "now": {"type": "primary"},
        "aged": {"type": "bounded", "max_stale_ms": 1500},
        "own": {"type": "read_your_writes", "max_stale_ms": 2500},
    }
    tenant = {"name": "org", "api_keys": [KEY], "per_s": 500, "burst": 500}
    config = {
        "version": 3,
        "routes": [{"host": name, **route, **kind} for name, kind in kinds.items()],
        "services": [{"name": group, "max_conns": 33, "sync_replicas": 1}],
        "limits": {"tx_idle_ms": 3000},
        "tenants": [tenant],
    }
    store.put("op/config", json.dumps(config).encode())


@asynccontextmanager
async def running(
    record: Path, zones: tuple[str, ...], node_zones: tuple[str, ...], seed: int = 1
) -> AsyncIterator[World]:
    """Run a deployment: a target in each of three zones, the first is the primary."""
    rng = random.Random(seed)
    log = Log(record)
    targets = [GroupTarget(f"i-{zone}", zone) for zone in zones[:3]]
    group = LineGroup("db", {one.name: one for one in targets}, rng)
    store = FaultyStore(rng=rng)
    orders = PromotionOrders({"db": group}, rng, [])
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        world = World(folder, log, store, group, orders, Network(), stack, zones)
        group.changed = world.report
        _write_config(store, "db")
        for target in targets:
            await world.add_target(target)
        orders_port = await stack.enter_async_context(promotion_orders.serving(orders))
        for number, zone in enumerate(node_zones, 1):
            await world.add_node(f"n{number}", zone, orders_port)
        tasks = [
            asyncio.ensure_future(store.end_leases()),
            asyncio.ensure_future(world.report_targets()),
        ]
        try:
            for node in world.nodes.values():
                await world.start(node)
            yield world
        finally:
            for task in tasks:
                task.cancel()
            for node in world.nodes.values():
                if node.process is not None:
                    with suppress(ProcessLookupError):
                        node.process.kill()
                    await node.process.wait()
            world.kept_logs()
            log.add("all processes have ended")
