"""A small deployment for the cases 7 to 10, on loopback and the real clock.

The nodes are processes of the deploy file's command, with settings from its template.
The store, the targets and the promotions are the project's stand-ins, in this process.
Callers speak the line protocol. Everything that is started here is ended here.
"""

import asyncio
import itertools
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).parents[1]
HOST = "127.0.0.1"
HEARTBEAT_S = 1.2
REPORT_LIFETIME_S = 3 * HEARTBEAT_S
GRACE_S = 6
START_LIMIT_S = 20.0
STORE_ANSWER_S = 0.004
ZONES = {"north": "land", "south": "land", "west": "land"}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up; nothing is said about the rule."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._begun = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._begun

    def write(self, what: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():9.4f} {what} {text}".rstrip() + "\n")
        self._file.flush()


@dataclass
class Answer:
    """The answer to a statement; ``code`` is empty if it succeeded.

    ``lost`` tells that the connection ended without a complete answer.
    """

    rows: list[str] = field(default_factory=list)
    receipt: str = ""
    code: str = ""
    detail: str = ""
    state: str = ""
    position: str = ""
    lost: bool = False

    @property
    def done(self) -> bool:
        """Whether the statement succeeded."""
        return not self.code and not self.lost


class Caller:
    """A session of a caller; its request ids are unique."""

    _numbers = itertools.count(1)

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self, port: int, database: str, key: str) -> str:
        """Open the session; return ``READY`` or the error."""
        self.close()
        limit = 4 * 1024 * 1024
        self.reader, self.writer = await asyncio.open_connection(
            HOST, port, limit=limit
        )
        self.writer.write(f"CONNECT {database} {key}\r\n".encode())
        line = (await self.reader.readline()).decode().rstrip("\r\n")
        self.record.write("session", caller=self.name, port=port, answer=repr(line))
        return line or "closed"

    async def query(self, text: str, limit_s: float = 5.0) -> tuple[str, Answer]:
        """Send a statement; return its request id and the answer."""
        request = f"{self.name}-{next(self._numbers)}"
        self.record.write("sent", request=request, text=repr(text))
        answer = Answer()
        try:
            async with asyncio.timeout(limit_s):
                self.writer.write(f"QUERY {request} {text}\r\n".encode())
                await self._read(answer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            answer.lost, answer.detail = True, repr(exc)
        self.record.write(
            "answered",
            request=request,
            rows=answer.rows,
            receipt=answer.receipt or "-",
            code=answer.code or "-",
            detail=repr(answer.detail),
            state=answer.state,
            lost=answer.lost,
        )
        return request, answer

    async def _read(self, answer: Answer) -> None:
        while True:
            line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
            kind, _, rest = line.partition(" ")
            if kind == "ROW":
                answer.rows.append(rest)
            elif kind == "DONE":
                answer.receipt = rest
            elif kind == "ERROR":
                answer.code, _, answer.detail = rest.partition(" ")
            elif kind == "READY":
                answer.state, _, answer.position = rest.partition(" ")
                return

    def close(self) -> None:
        """End the session."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


@dataclass
class Node:
    """A node of the system and its present process."""

    name: str
    zone: str
    ports: dict[str, int]
    settings: Path
    process: asyncio.subprocess.Process | None = None
    starts: int = 0

    @property
    def running(self) -> bool:
        """Whether there is a process."""
        return self.process is not None and self.process.returncode is None


def _filled(template: str, values: dict[str, object]) -> str:
    """Return the template with its placeholders filled in, as the platform does."""
    lines = []
    for line in template.splitlines():
        head, brace, rest = line.partition("{{")
        if not brace:
            lines.append(line)
            continue
        name, _, form = rest.removesuffix("}}").partition("|")
        value = values.get(name)
        text = "" if value is None else str(value)
        lines.append(head + (json.dumps(value) if form == "json" else text))
    return "\n".join(lines) + "\n"


class World:
    """The deployment; ``store`` and ``groups`` are the project's stand-ins."""

    def __init__(self, record: Record, folder: Path, stack: AsyncExitStack) -> None:
        from standins.faulty_store import FaultyStore

        self.record, self.folder, self.stack = record, folder, stack
        self.store = FaultyStore(rng=random.Random(1))
        self.groups: dict = {}
        self.nodes: dict[str, Node] = {}
        self.target_ports: dict[str, int] = {}
        self.tasks: list[asyncio.Future] = []
        self._reported_at: dict[str, float] = {}
        self._orders_port = 0

    # The platform.

    async def add_group(self, name: str, zones: list[str]) -> None:
        """Start the targets of a group; the first one is its primary."""
        from standins import line_server
        from standins.line_group import GroupTarget, LineGroup

        targets = [GroupTarget(f"i-{name}-{n}", z) for n, z in enumerate(zones, 1)]
        by_name = {one.name: one for one in targets}
        group = LineGroup(name, by_name, random.Random(2))
        self.groups[name] = group
        for target in targets:
            serving = line_server.serving(group, target)
            self.target_ports[target.name] = await self.stack.enter_async_context(
                serving
            )
        group.changed = lambda target: self.report(group, target)
        for target in targets:
            self.report(group, target)

    async def add_target(self, group, name: str, zone: str) -> None:
        """Start one more target of a group, with the log of the primary."""
        from standins import line_server
        from standins.line_group import GroupTarget

        leader = group.targets[group.leader]
        target = GroupTarget(name, zone, term=group.term, log=list(leader.log))
        target.apply_all()
        group.targets[name] = target
        serving = line_server.serving(group, target)
        self.target_ports[name] = await self.stack.enter_async_context(serving)
        self.report(group, target)
        self.record.write("new target", target=name, zone=zone)

    def report(self, group, target) -> None:
        """Write what a target says of itself."""
        if not target.up:
            return
        now = time.monotonic()
        self._reported_at[target.name] = now
        fields = {
            "service": group.name,
            "addr": f"{HOST}:{self.target_ports[target.name]}",
            "zone": target.zone,
            "version": "v1",
            "slots": 5,
            "state": "draining" if target.draining else "ready",
            "cold_left_ms": 0,
            "db_role": "primary" if target.leads else "replica",
            "seq": int(now * 1000),
            "born": 1_790_000_000_000,
        }
        self.store.put(f"servers/{target.name}", json.dumps(fields).encode())

    async def _report_targets(self) -> None:
        while True:
            for group in self.groups.values():
                for target in group.targets.values():
                    self.report(group, target)
                    silent_s = time.monotonic() - self._reported_at[target.name]
                    key = f"servers/{target.name}"
                    if silent_s > REPORT_LIFETIME_S and key in self.store.items:
                        self.store.delete(key)
            await asyncio.sleep(HEARTBEAT_S)

    def configure(self, config: dict) -> None:
        """Write a configuration, as the operator does."""
        self.store.put("op/config", json.dumps(config).encode())
        self.record.write("config", version=config["version"])

    async def begin(self) -> None:
        """Start the call for promotions and what the platform does regularly."""
        from standins import promotion_orders
        from standins.promotion_orders import PromotionOrders

        orders = PromotionOrders(self.groups, random.Random(3))
        self._orders_port = await self.stack.enter_async_context(
            promotion_orders.serving(orders)
        )
        for work in (self.store.end_leases(), self._report_targets()):
            self.tasks.append(asyncio.ensure_future(work))

    # The nodes.

    async def add_node(self, name: str, zone: str) -> None:
        """Write a node's settings and give it the store; ``start`` starts it."""
        from standins import faulty_store
        from standins.sockets import free_port

        store_port = await self.stack.enter_async_context(
            faulty_store.serving_node(self.store, name)
        )
        ports = {one: free_port() for one in ("front", "ready", "peers", "metrics")}
        values = {
            "node": name,
            "zone": zone,
            "ip": HOST,
            "listen.front": f"{HOST}:{ports['front']}",
            "listen.ready": f"{HOST}:{ports['ready']}",
            "internal_ports.0": ports["peers"],
            "internal_ports.1": ports["metrics"],
            "platform.addr": f"{HOST}:{store_port}",
            "cloud.addr": f"{HOST}:{self._orders_port}",
            "limits.max_fds": 4300,
            "bounds.revoke_ms": 5000,
            "bounds.config_ms": 3000,
            "bounds.grace_s": GRACE_S,
            "zones": ZONES,
            "cloud.duty_per_s": 50.0,
            "bounds.drain_ms": 7000,
            "limits.cores": 2,
            "limits.cpu_share": 0.537,
            "limits.link_mbps": 1000.0,
        }
        template = (ROOT / "deploy" / "node.yaml").read_text()
        path = self.folder / f"{name}.yaml"
        path.write_text(_filled(template, values))
        self.nodes[name] = Node(name, zone, ports, path)

    async def start(self, name: str) -> None:
        """Start a process of a node with the command of the deploy file."""
        node = self.nodes[name]
        node.starts += 1
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["LAVENDERSTACK_CONFIG"] = str(node.settings)
        output = (self.folder / f"{name}.{node.starts}.log").open("wb")
        node.process = await asyncio.create_subprocess_exec(
            "python3",
            *("-m", "lavenderstack", "serve"),
            cwd=ROOT,
            env=env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
        output.close()
        self.record.write("start", node=name)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a node's process."""
        self.record.write("signal", node=name, number=number.name)
        if self.nodes[name].running:
            self.nodes[name].process.send_signal(number)

    async def stop(self, name: str) -> None:
        """Stop a node as planned, as the platform does."""
        self.signal(name, signal.SIGTERM)
        process = self.nodes[name].process
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            self.signal(name, signal.SIGKILL)
            await process.wait()
        self.record.write("ended", node=name, status=process.returncode)

    async def is_ready(self, name: str) -> bool:
        """Ask a node whether it is ready, as the platform's balancer does."""
        writer = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    HOST, self.nodes[name].ports["ready"]
                )
                writer.write(b"GET /api/ready HTTP/1.0\r\n\r\n")
                return b" 200 " in (await reader.readline())
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()

    async def wait_until_ready(self) -> None:
        """Wait until all nodes that run are ready."""
        until = time.monotonic() + START_LIMIT_S
        for name, node in self.nodes.items():
            while node.running and not await self.is_ready(name):
                if time.monotonic() > until:
                    raise CannotRun(f"{name} did not become ready")
                await asyncio.sleep(0.1)

    def log_lines(self, name: str, event: str) -> list[str]:
        """Return the lines of a node's output that have a text, for the record."""
        node, found = self.nodes[name], []
        for number in range(1, node.starts + 1):
            text = (self.folder / f"{name}.{number}.log").read_text(errors="replace")
            found += [line for line in text.splitlines() if event in line]
        return found

    async def end(self) -> None:
        """End all processes that were started."""
        for node in self.nodes.values():
            if node.running:
                node.process.kill()
                await node.process.wait()
        for task in self.tasks:
            task.cancel()


@asynccontextmanager
async def running(record: Record) -> AsyncIterator[World]:
    """Run a world; everything is ended after the block."""
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        async with AsyncExitStack() as stack:
            world = World(record, folder, stack)
            try:
                yield world
            finally:
                await world.end()
    finally:
        if os.environ.get("KEEP"):
            print(folder, file=sys.stderr)
        else:
            shutil.rmtree(folder, ignore_errors=True)


def main(case: Callable[[World], object], folder: Path, limit_s: float = 110.0) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if it didn't run."""
    record = Record(folder / "record.txt")

    async def play() -> int:
        async with asyncio.timeout(limit_s), running(record) as world:
            return BROKEN if await case(world) else HELD

    try:
        status = asyncio.run(play())
    except (CannotRun, OSError, TimeoutError) as exc:
        record.write("not run", error=repr(exc))
        status = NOT_RUN
    except Exception as exc:
        record.write("not run", error=repr(exc))
        import traceback

        traceback.print_exc()
        status = NOT_RUN
    record.write("exit", status=status, trouble=TROUBLE)
    return status
