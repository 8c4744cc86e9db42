"""The world around the nodes in the cases of this review, all on loopback.

It has the platform's store (the project's own stand-in), the call that promotes, the
groups of targets and the clients. The nodes are processes of their own, started with
the command of the deploy file. Targets and the promoting call follow PROTOCOL.md:

- a plain transaction whose target has lost the lead gets READONLY to any statement but
  ROLLBACK and the COMMIT of one that wrote nothing; that makes the transaction fail;
- a commit is answered once one replica has received it;
- ``POST /promote`` names the target that leads the next term ``PROMOTE_S`` after the
  call with what it has received then; for the present primary it changes nothing; a
  fence that is lower than one that was seen gets 409.
"""

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web

from standins import faulty_store
from standins.faulty_store import FaultyStore
from standins.sockets import free_port

ROOT = Path(__file__).parents[1]
HOST = "127.0.0.1"
HEARTBEAT_S = 1.2
PROMOTE_S = 1.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FENCE = "Lavenderstack-Fence-Token"
HOLDER = "Lavenderstack-Holder"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseFailed(Exception):
    """The case could not run as described, so it shows nothing."""


class Record:
    """Writes ``record.txt``: what was sent, answered and run, with the time."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._begun = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._begun

    def add(self, who: str, what: str) -> None:
        """Add a line."""
        self._file.write(f"{self.now():9.4f} {who}: {what}\n")

    def say(self, who: str, what: str) -> None:
        """Add a line and print it as well."""
        self.add(who, what)
        print(f"{self.now():9.4f} {who}: {what}", flush=True)

    def close(self) -> None:
        """Write out everything."""
        self._file.close()


@dataclass(frozen=True)
class Entry:
    """A committed entry of a log."""

    term: int
    number: int
    request: str
    changes: tuple[tuple[str, str], ...]

    @property
    def position(self) -> tuple[int, int]:
        """The position of the entry."""
        return self.term, self.number


FIRST = Entry(1, 1, "first", ())


@dataclass
class Target:
    """One target. ``delay_s`` is the way of an entry from the primary to it.

    ``reports`` tells whether it reaches the store, ``up`` whether its process runs.
    ``sent`` counts the entries that are on their way or have arrived.
    """

    name: str
    zone: str
    delay_s: float = 0.001
    leads: bool = False
    term: int = 1
    log: list[Entry] = field(default_factory=lambda: [FIRST])
    up: bool = True
    reports: bool = True
    deaf: bool = False
    draining: bool = False
    held_term: int = 0
    port: int = 0
    born: int = 0
    reported_at: float = 0.0
    conns: set = field(default_factory=set)

    @property
    def end(self) -> tuple[int, int]:
        """The end of the log."""
        return self.log[-1].position

    def item(self, name: str) -> str:
        """Return the value of an item."""
        for entry in reversed(self.log):
            for key, value in reversed(entry.changes):
                if key == name:
                    return value
        return "nothing"


class Group:
    """A service: one primary and its replicas."""

    def __init__(self, name: str, targets: list[Target], world: "World") -> None:
        self.name = name
        self.targets = {one.name: one for one in targets}
        self.world = world
        self.leader = targets[0].name
        targets[0].leads = True
        self.term = 1
        self.moved = asyncio.Event()
        self.written_at: dict[Entry, float] = {}
        # The base log of each promotion: (time, target, entries).
        self.promotions: list[tuple[float, str, list[Entry]]] = []

    @property
    def primary(self) -> Target:
        """The target that leads by the platform's last order."""
        return self.targets[self.leader]

    def notify(self) -> None:
        """Wake all that wait for a log or a role to change."""
        self.moved.set()
        self.moved = asyncio.Event()

    async def follow(self, target: Target) -> None:
        """Receive the entries of the primary, each ``delay_s`` after it was written."""
        while True:
            moved = self.moved
            leader = self.primary
            if self._receives(target, leader):
                missing = leader.log[len(target.log) :]
                if missing:
                    due = self.written_at.get(missing[0], 0.0) + target.delay_s
                    await asyncio.sleep(max(0.0, due - time.monotonic()))
                    if leader is self.primary and self._receives(target, leader):
                        self._arrive(target, leader)
                    continue
                target.term = leader.term
            if moved is self.moved:
                await moved.wait()

    def _arrive(self, target: Target, leader: Target) -> None:
        """Add what was written at least ``delay_s`` ago."""
        before = time.monotonic() - target.delay_s
        target.term = leader.term
        for entry in leader.log[len(target.log) :]:
            if self.written_at.get(entry, 0.0) > before:
                break
            target.log.append(entry)
        self.notify()

    def _receives(self, target: Target, leader: Target) -> bool:
        if target is leader or target.leads or not (target.up and leader.up):
            return False
        if target.held_term or target.deaf:
            return False
        self._roll_back(target, leader)
        return True

    def _roll_back(self, target: Target, leader: Target) -> None:
        common = min(len(target.log), len(leader.log))
        while target.log[common - 1] != leader.log[common - 1]:
            common -= 1
        del target.log[common:]

    async def commit(self, target: Target, request: str, changes: tuple) -> bool:
        """Append an entry; return True once a replica has received it."""
        entry = Entry(target.term, target.end[1] + 1, request, changes)
        target.log.append(entry)
        self.written_at[entry] = time.monotonic()
        self.notify()
        until = time.monotonic() + 8.0
        while time.monotonic() < until:
            if not target.leads or not target.up:
                return False
            for other in self.targets.values():
                if other is not target and entry in other.log[-200:]:
                    return True
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await self.moved.wait()
            except TimeoutError:
                return False
        return False

    def promote(self, name: str) -> None:
        """Let a target lead the next term with what it has received."""
        target = self.targets[name]
        if name == self.leader or not target.up:
            return
        self.primary.leads = False
        self.term += 1
        self.leader = name
        target.leads, target.term, target.deaf = True, self.term, False
        base = list(target.log)
        self.promotions.append((self.world.record.now(), name, base))
        self.world.record.say(
            "platform", f"{name} leads term {self.term} from {target.end}"
        )
        for one in self.targets.values():
            one.held_term = 0
            if one.up:
                self.world.report(self, one)
        self.notify()

    def crash(self, target: Target) -> None:
        """End a target's process; its log stays."""
        target.up = False
        for conn in list(target.conns):
            conn.abort()
        self.notify()

    def restart(self, target: Target) -> None:
        """Start it again with its log."""
        target.up, target.held_term = True, 0
        target.leads = target.name == self.leader
        self.world.report(self, target)
        self.notify()

    def acknowledged_but_missing(self, acknowledged: dict[str, float]) -> list[str]:
        """Return what was acknowledged before a promotion and is not in its log."""
        found = []
        for at, name, base in self.promotions:
            held = {entry.request for entry in base}
            found += [
                f"{request} acknowledged at {when:.4f}, {name} led at {at:.4f}"
                for request, when in acknowledged.items()
                if when < at and request not in held
            ]
        return found


class Conn(asyncio.Protocol):
    """One connection to a target."""

    def __init__(self, group: Group, target: Target) -> None:
        self.group, self.target = group, target
        self.buffer = b""
        self.transport: asyncio.Transport | None = None
        self.greeted = False
        self.organisation = ""
        self.state, self.plain, self.term = "I", False, 0
        self.writes: list[tuple[str, str]] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.queue: asyncio.Queue = asyncio.Queue()
        self.task: asyncio.Task | None = None
        self.number = next(group.world.numbers)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve the connection."""
        self.transport = transport
        if not self.target.up:
            transport.abort()
            return
        self.target.conns.add(self)
        self.task = asyncio.ensure_future(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Roll back what is open."""
        self.target.conns.discard(self)
        if self.task is not None:
            self.task.cancel()

    def abort(self) -> None:
        """Break the connection."""
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Queue the lines that are complete."""
        self.buffer += data
        *lines, self.buffer = self.buffer.split(b"\r\n")
        for line in lines:
            self.queue.put_nowait(line.decode())

    async def _serve(self) -> None:
        while True:
            line = await self.queue.get()
            word, _, rest = line.partition(" ")
            if word == "QUIT":
                self.transport.close()
                return
            if word == "CONNECT":
                service, organisation, *name = rest.split(" ")
                self.organisation = organisation
                wrong = name and name[0] != self.target.name
                if service != self.group.name or wrong:
                    self._write([f"ERROR WRONGNODE {self.target.name}"])
                    self.transport.close()
                    return
                self._write([f"READY I {self._position()}"])
                continue
            request, _, text = rest.partition(" ")
            if request == "-" and not self.target.up:
                return
            lines = await self._answer(request, text)
            if lines is None or not self.target.up:
                return
            if lines[-1].startswith("ERROR") and self.state == "T":
                self.state, self.writes = "E", []
            self._write([*lines, f"READY {self.state} {self._position()}"])

    def _write(self, lines: list[str]) -> None:
        self.transport.write("".join(f"{one}\r\n" for one in lines).encode())

    def _position(self) -> str:
        return "{}.{}".format(*self.target.end)

    async def _answer(self, request: str, text: str) -> list[str] | None:
        answer = await self._run(request, text)
        if request != "-" or text.split(" ")[0] not in ("STATUS",):
            self.group.world.record.add(
                f"target {self.target.name} connection {self.number}",
                f"{request} {text} -> {answer} values {self.values}",
            )
        return answer

    async def _run(self, request: str, text: str) -> list[str] | None:
        target = self.target
        if text.startswith("SINCE "):
            _, wanted, text = text.split(" ", 2)
            term, number = (int(part) for part in wanted.split("."))
            if not any(one.position == (term, number) for one in target.log):
                return ["ERROR LAGGING behind"]
        verb, _, rest = text.partition(" ")
        if verb in ("STATUS", "PAUSE", "RESUME"):
            return self._replication(verb, rest)
        if verb == "ROLLBACK":
            self.state, self.writes = "I", []
            return ["DONE -"]
        if self.state == "E":
            return ["ERROR MALFORMED the transaction failed"]
        lost = self.state == "T" and self.plain
        lost = lost and not (target.leads and target.term == self.term)
        if lost and not (verb == "COMMIT" and not self.writes):
            return [f"ERROR READONLY {target.name}"]
        match verb:
            case "BEGIN":
                if self.state == "T":
                    return ["ERROR MALFORMED a transaction is open"]
                if not rest and not target.leads:
                    return [f"ERROR READONLY {target.name}"]
                self.state, self.writes = "T", []
                self.plain, self.term = not rest, target.term
                return ["DONE -"]
            case "SET":
                name, _, value = rest.partition(" ")
                self.values[name] = value
                return ["DONE -"]
            case "RESET":
                self.values.clear()
                self.prepared.clear()
                return ["DONE -"]
            case "PREPARE":
                name, kind, shape = rest.split(" ", 2)
                self.prepared[name] = (kind, shape)
                return ["DONE -"]
            case "CLOSE":
                self.prepared.pop(rest, None)
                return ["DONE -"]
        return await self._work(request, verb, rest)

    def _replication(self, verb: str, rest: str) -> list[str]:
        target = self.target
        if verb == "PAUSE" and not target.leads and int(rest) > target.term:
            target.held_term = int(rest)
        elif verb == "RESUME":
            target.held_term = 0
            self.group.notify()
        if verb != "STATUS":
            self.group.world.record.add(target.name, f"{verb} {rest}")
        role = "primary" if target.leads else "replica"
        row = f"ROW {role} {target.term} {self._position()} {target.held_term} 0 0"
        return [f"{row} {len(target.conns)}", "DONE -"]

    async def _work(self, request: str, verb: str, rest: str) -> list[str] | None:
        target, world = self.target, self.group.world
        shape = ""
        if verb == "EXEC":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                world.on_run(self, request, "EXEC", f"unknown {name}", rest)
                return ["ERROR NOSTMT unknown"]
            verb, shape = self.prepared[name]
        await asyncio.sleep(world.work_s)
        if rest in world.failing:
            await asyncio.sleep(world.failing[rest])
            world.on_run(self, request, verb, shape, rest)
            return ["ERROR FAILED the statement failed"]
        if not target.up:
            return None
        receipt = f"DONE {target.name}.{next(world.numbers)}"
        if verb == "READ":
            world.on_run(self, request, verb, shape, rest)
            return [f"ROW {target.item(rest)}", receipt]
        if verb == "WRITE":
            if not target.leads:
                return [f"ERROR READONLY {target.name}"]
            item, _, data = rest.partition(" ")
            world.on_run(self, request, verb, shape, rest)
            self.writes.append((item, data))
            if self.state == "T":
                return [receipt]
        elif verb != "COMMIT":
            return ["ERROR MALFORMED unknown text"]
        writes, self.writes, self.state = tuple(self.writes), [], "I"
        if verb == "COMMIT":
            world.on_run(self, request, verb, "", "")
        if not writes or await self.group.commit(target, request, writes):
            return [receipt]
        return ["ERROR TIMEOUT not received by a replica"] if target.up else None


@dataclass
class Promoting:
    """The call that promotes. ``silent`` calls get no answer and are kept in ``kept``.

    ``on_call`` is called with the service, the target and the fence of each call.
    """

    world: "World"
    silent: bool = False
    fences: dict[str, int] = field(default_factory=dict)
    calls: list[tuple[float, str, str, str, int, str]] = field(default_factory=list)
    kept: list[tuple[str, str, int]] = field(default_factory=list)
    on_call: Callable[[str, str, int], None] = lambda service, name, fence: None

    async def handle(self, req: web.Request) -> web.Response:
        """Handle ``POST /promote``."""
        body = await req.json()
        service, name = body["service"], body["id"]
        fence, holder = int(req.headers[FENCE]), req.headers[HOLDER]
        self.on_call(service, name, fence)
        if self.silent:
            self.kept.append((service, name, fence))
            self._note(holder, service, name, fence, "no answer")
            await asyncio.sleep(30)
            raise web.HTTPServiceUnavailable
        status = self.execute(service, name, fence)
        self._note(holder, service, name, fence, str(status))
        return web.json_response({}, status=status)

    def _note(self, holder: str, service: str, name: str, fence: int, what: str):
        self.calls.append((self.world.record.now(), holder, service, name, fence, what))
        line = f"promote {name} of {service} by {holder} with {fence}: {what}"
        self.world.record.say("platform", line)

    def execute(self, service: str, name: str, fence: int) -> int:
        """Carry out a call; return its status."""
        group = self.world.groups[service]
        if fence < self.fences.get(service, 0) or not group.targets[name].up:
            return 409
        self.fences[service] = fence
        if name != group.leader:
            loop = asyncio.get_running_loop()
            loop.call_later(PROMOTE_S, group.promote, name)
        return 200


class Node:
    """A process of the project."""

    def __init__(self, name: str, zone: str, world: "World") -> None:
        self.name, self.zone, self.world = name, zone, world
        self.callers_port, self.ready_port = free_port(), free_port()
        self.peers_port, self.store_port = free_port(), 0
        self.child: asyncio.subprocess.Process | None = None

    async def start(self, folder: Path) -> None:
        """Start it with the command of the deploy file."""
        settings = {
            "name": self.name,
            "availability_zone": self.zone,
            "host": HOST,
            "callers": f"{HOST}:{self.callers_port}",
            "readiness": f"{HOST}:{self.ready_port}",
            "peers_port": self.peers_port,
            "metrics_port": free_port(),
            "store": f"{HOST}:{self.store_port}",
            "orders": f"{HOST}:{self.world.orders_port}",
            "descriptors": 4300,
            "withdrawn_key_limit_ms": 5000,
            "catalog_limit_ms": 3000,
            "stop_limit_s": 6,
            "zones": dict.fromkeys(self.world.zones, "r1"),
            "orders_per_s": 50,
            "cores": 2,
            "core_share": 0.537,
            "link_mbps": 1000,
        }
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        env = {
            "PATH": os.environ["PATH"],
            "HOME": str(folder),
            "LAVENDERSTACK_CONFIG": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.log = folder / f"{self.name}.log"
        with self.log.open("ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "lavenderstack",
                "serve",
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )

    async def kill(self) -> None:
        """End the process at once."""
        self.child.kill()
        await self.child.wait()

    async def ready(self) -> bool:
        """Return whether it says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready_port)
            writer.write(b"GET /api/ready HTTP/1.0\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line


class World:
    """Everything; ``on_run`` gets the connection, the id and the text of each run."""

    def __init__(self, folder: Path, zones=("z1", "z2", "z3"), nodes: int = 6) -> None:
        self.record = Record(folder)
        self.folder = folder
        self.zones = zones
        self.rng = random.Random(1)
        self.store = FaultyStore(rng=self.rng)
        self.groups: dict[str, Group] = {}
        self.promoting = Promoting(self)
        self.orders_port = 0
        self.work_s = 0.004
        # Items whose statements fail, and after how many seconds.
        self.failing: dict[str, float] = {}
        self.numbers = iter(range(1, 10**9))
        self.on_run: Callable[[Conn, str, str, str, str], None] = lambda *_: None
        self.version = 6
        self.nodes = [Node(f"n{i + 1}", zones[i % 3], self) for i in range(nodes)]
        self.clients: list[Client] = []
        self.stack = AsyncExitStack()
        self.tasks: list[asyncio.Task] = []
        self.routes: list[dict] = []
        self.tenants = [
            {"name": "ten", "api_keys": ["k1key"], "per_s": 4000, "burst": 4000}
        ]
        self.max_conns = 60

    def add_group(self, name: str, targets: list[Target]) -> Group:
        """Add a service."""
        self.groups[name] = Group(name, targets, self)
        return self.groups[name]

    def add_route(self, host: str, service: str, kind: str, **fields) -> None:
        """Add a route."""
        route = {
            "name": f"r-{host}",
            "host": host,
            "service": service,
            "type": kind,
            "timeout_ms": 2000,
            "target_latency_ms": 400,
            "max_stale_ms": 0 if kind == "primary" else 1500,
            "prio": 1,
            "public": False,
        }
        self.routes.append(route | fields)

    def write_config(self) -> None:
        """Write the configuration as the operator does."""
        self.version += 3
        services = [
            {"name": name, "max_conns": self.max_conns, "sync_replicas": 1}
            for name in self.groups
        ]
        config = {
            "version": self.version,
            "routes": self.routes,
            "services": services,
            "limits": {"tx_idle_ms": 3000},
            "tenants": self.tenants,
        }
        self.store.put("op/config", json.dumps(config).encode())
        self.record.say("operator", f"configuration {self.version}: {config}")

    def report(self, group: Group, target: Target) -> None:
        """Let a target register itself, if it runs and reaches the store."""
        if not target.up or not target.reports:
            return
        target.reported_at = time.monotonic()
        fields = {
            "service": group.name,
            "addr": f"{HOST}:{target.port}",
            "zone": target.zone,
            "version": "v1",
            "slots": 5,
            "state": "draining" if target.draining else "ready",
            "cold_left_ms": 0,
            "db_role": "primary" if target.leads else "replica",
            "seq": next(self.numbers),
            "born": target.born,
        }
        self.store.put(f"servers/{target.name}", json.dumps(fields).encode())

    async def start_target(self, group: Group, target: Target) -> None:
        """Serve a target and let it receive what the primary writes."""
        loop = asyncio.get_running_loop()
        target.born = int(time.time() * 1000)
        server = await loop.create_server(lambda: Conn(group, target), HOST, 0)
        self.stack.callback(server.close)
        target.port = server.sockets[0].getsockname()[1]
        group.targets[target.name] = target
        self.tasks.append(asyncio.ensure_future(group.follow(target)))

    async def _heartbeats(self) -> None:
        while True:
            now = time.monotonic()
            for group in self.groups.values():
                for target in group.targets.values():
                    if now - target.reported_at >= HEARTBEAT_S:
                        self.report(group, target)
                    key = f"servers/{target.name}"
                    silent = time.monotonic() - target.reported_at > 3 * HEARTBEAT_S
                    if silent and key in self.store.items:
                        self.store.delete(key)
                        self.record.say("store", f"{key} has expired")
            await asyncio.sleep(0.1)

    async def start(self) -> None:
        """Start everything and wait until the nodes are ready and have owners."""
        folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        self.logs = folder
        for group in self.groups.values():
            for target in group.targets.values():
                await self.start_target(group, target)
        app = web.Application()
        app.router.add_post("/promote", self.promoting.handle)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, HOST, 0)
        await site.start()
        self.orders_port = runner.addresses[0][1]
        for node in self.nodes:
            node.store_port = await self.stack.enter_async_context(
                faulty_store.serving_node(self.store, node.name)
            )
        self.tasks.append(asyncio.ensure_future(self.store.end_leases()))
        self.write_config()
        self.tasks.append(asyncio.ensure_future(self._heartbeats()))
        await asyncio.gather(*(node.start(folder) for node in self.nodes))
        await self.until(self._all_ready, 25, "the nodes are ready")
        await self.until(
            lambda: all(f"ls/duties/{g}" in self.store.items for g in self.groups),
            15,
            "the groups have owners",
        )
        await self.until(
            lambda: all(f"ls/replicas/{g}" in self.store.items for g in self.groups),
            15,
            "the replica sets are recorded",
        )
        # Until then the nodes may disagree on who holds a target.
        await asyncio.sleep(2.0)

    async def _all_ready(self) -> bool:
        return all([await node.ready() for node in self.nodes])

    def owner(self, group: str) -> Node:
        """Return the node that owns a group."""
        data = json.loads(self.store.read(f"ls/duties/{group}"))
        name = data["node"].split("#")[0]
        return next(node for node in self.nodes if node.name == name)

    def holder_of(self, request: str) -> "Node | None":
        """Return the node through which a request reached its target, by the logs."""
        for node in self.nodes:
            for line in node.log.read_text().splitlines():
                if f'"{request}"' in line and '"holder": "' in line:
                    name = line.partition('"holder": "')[2].partition('"')[0]
                    return next(one for one in self.nodes if one.name == name)
        return None

    async def until(self, test, limit_s: float, what: str) -> None:
        """Wait for a condition; raise ``CaseFailed`` if it doesn't come."""
        end = time.monotonic() + limit_s
        while True:
            found = test()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                self.record.say("case", what)
                return
            if time.monotonic() > end:
                raise CaseFailed(f"not in {limit_s} s: {what}")
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """End every process and task."""
        for task in self.tasks:
            task.cancel()
        for client in self.clients:
            client.close()
        for node in self.nodes:
            if node.child is not None and node.child.returncode is None:
                node.child.send_signal(signal.SIGCONT)
                node.child.kill()
                await node.child.wait()
        for node in self.nodes:
            self._keep_log(node)
        await self.stack.aclose()
        self.record.close()

    def _keep_log(self, node: Node) -> None:
        words = ("replacer:", "restart", "lost", "exception", "ended")
        try:
            lines = (self.logs / f"{node.name}.log").read_text().splitlines()
        except (OSError, AttributeError):
            return
        for line in lines:
            if any(word in line for word in words):
                self.record.add(f"log of {node.name}", line)


class Client:
    """A client's session, through one node."""

    def __init__(self, world: World, name: str, node: Node) -> None:
        self.world, self.name, self.node = world, name, node
        world.clients.append(self)
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.state = "I"

    async def connect(self, database: str, key: str = "k1key") -> str:
        """Connect; return the answer."""
        self.reader, self.writer = await asyncio.open_connection(
            HOST, self.node.callers_port
        )
        self.writer.write(f"CONNECT {database} {key}\r\n".encode())
        line = (await self.reader.readline()).decode().rstrip()
        self.world.record.add(self.name, f"CONNECT {database} at {self.node.name}")
        self.world.record.add(self.name, f"<- {line}")
        return line

    async def query(self, text: str, request: str = "") -> tuple[str, list[str], str]:
        """Send a statement; return its id, the rows and the line that ends them."""
        request = request or f"{self.name}-{next(self.world.numbers)}"
        self.world.record.add(self.name, f"QUERY {request} {text}")
        rows, end = [], "no answer"
        try:
            self.writer.write(f"QUERY {request} {text}\r\n".encode())
            while line := (await self.reader.readline()).decode().rstrip("\r\n"):
                word, _, rest = line.partition(" ")
                if word == "ROW":
                    rows.append(rest)
                elif word == "READY":
                    self.state = rest.split(" ")[0]
                    break
                else:
                    end = line
            else:
                end = "no answer"
        except OSError as exc:
            end = f"no answer: {exc!r}"
        self.world.record.add(self.name, f"<- {request} {rows} {end} {self.state}")
        return request, rows, end

    def close(self) -> None:
        """End the session."""
        if self.writer is not None:
            self.writer.close()


def run(case, folder: str) -> None:
    """Run a case, ``case(world)``, and exit with its status."""
    here = Path(folder).resolve().parent
    world = World(here)

    async def main() -> int:
        try:
            async with asyncio.timeout(110):
                return await case(world)
        except Exception as exc:
            # Whatever fails here shows nothing about the rule.
            world.record.say("case", f"could not run: {exc!r}")
            traceback.print_exc()
            return NOT_RUN
        finally:
            await world.stop()

    try:
        status = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        status = NOT_RUN
    print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[status], flush=True)
    sys.exit(status)
