"""Serves the targets of a ``standins.line_group`` over TCP on loopback."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from lavenderstack.core import clock
from standins.line_group import (
    MAX_CONNECTIONS,
    GroupTarget,
    LineGroup,
    LogPosition,
    Run,
)
from standins.long_text import condensed
from standins.target_session import (
    MAX_MESSAGE_B,
    READ_LIMIT_B,
    REFUSED,
    Seen,
    TargetSession,
    read_line,
)

_receipts = itertools.count(1)
_NO_ANSWER = "closed"


class _Conn:
    """One connection to a target; ``writes`` are those of the open transaction."""

    def __init__(self, group: LineGroup, target: GroupTarget):
        self.group, self.target = group, target
        self.organisation = ""
        self.state = "I"
        self.plain = False
        self.term = 0
        self.writes: list[tuple[str, str]] = []
        self.session = TargetSession()

    def connect(self, rest: str) -> list[str]:
        fields = rest.split(" ")
        self.organisation = fields[1]
        wrong_name = len(fields) > 2 and fields[2] != self.target.name
        if wrong_name or fields[0] != self.group.name:
            return [f"ERROR WRONGNODE {self.target.name}"]
        if self.target.connections > MAX_CONNECTIONS:
            return ["ERROR MAXCONN full"]
        return [f"READY I {self.target.end}"]

    async def query(self, request: str, text: str) -> list[str]:
        lines = await self._answer(request, text)
        if lines[0].startswith("ERROR") and self.state == "T":
            self.state, self.writes = "E", []
        return [*lines, f"READY {self.state} {self.target.end}"]

    async def _answer(self, request: str, text: str) -> list[str]:
        target = self.target
        if text.startswith("SINCE "):
            _, wanted, text = text.split(" ", 2)
            position = LogPosition(*(int(part) for part in wanted.split(".")))
            if position > target.end:
                return ["ERROR LAGGING behind"]
        verb, _, rest = text.partition(" ")
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self._replication(verb, rest)
        if verb == "ROLLBACK":
            self.state, self.writes = "I", []
            return ["DONE -"]
        if self.state == "E":
            return ["ERROR MALFORMED transaction failed"]
        match verb:
            case "BEGIN":
                if self.state != "I" or rest not in ("", "READ"):
                    return REFUSED
                if not rest and not target.leads:
                    return [f"ERROR READONLY {target.name}"]
                self.state, self.writes = "T", []
                self.session.transactions += 1
                self.plain, self.term = not rest, target.term
                return ["DONE -"]
            case "SET" | "RESET" | "PREPARE":
                return self.session.apply(verb, rest) or REFUSED
            case "READ" | "WRITE" | "EXEC" if rest:
                return await self._run(request, verb, rest, text)
            case "COMMIT" if not rest and self.state == "T":
                return await self._run(request, verb, rest, text)
        return REFUSED

    def _replication(self, verb: str, rest: str) -> list[str]:
        target = self.target
        if verb == "PAUSE" and not target.leads and int(rest) > target.term:
            target.held_term = int(rest)
        elif verb == "RESUME":
            target.held_term = 0
            self.group.notify()
        elif verb == "STEPDOWN" and target.leads and int(rest) > target.term:
            target.leads = False
            self.group.changed(target)
        return [target.status_row(), "DONE -"]

    async def _run(self, request: str, verb: str, rest: str, text: str) -> list[str]:
        target, shape = self.target, ""
        if verb == "EXEC":
            name, _, rest = rest.partition(" ")
            if name not in self.session.prepared:
                return ["ERROR NOSTMT unknown"]
            shape = self.session.prepared[name]
            verb = shape.split(" ")[0]
        await asyncio.sleep(self.group.rng.uniform(*self.group.work_s))
        if not target.up:
            return [_NO_ANSWER]
        in_tx = self.state == "T"
        lost_lead = not target.leads or (in_tx and target.term != self.term)
        wrote = bool(self.writes) or verb == "WRITE"
        must_lead = verb == "WRITE" or (in_tx and self.plain)
        if must_lead and lost_lead and not (verb == "COMMIT" and not wrote):
            return [f"ERROR READONLY {target.name}"]
        receipt = f"{target.name}.{next(_receipts)}"
        row = f"{target.items.get(rest, 'nothing')}" if verb == "READ" else ""
        seen = self.session.seen(text, shape, in_tx)
        self._record(request, verb, receipt, row, seen)
        if verb == "READ":
            return [f"ROW {row}", f"DONE {receipt}"]
        if verb == "WRITE":
            item, _, value = rest.partition(" ")
            self.writes.append((item, value))
            if in_tx:
                return [f"DONE {receipt}"]
        writes, self.writes, self.state = tuple(self.writes), [], "I"
        if not writes or await self.group.commit(target, request, writes):
            return [f"DONE {receipt}"]
        return ["ERROR TIMEOUT not replicated"] if target.up else [_NO_ANSWER]

    def _record(
        self, request: str, verb: str, receipt: str, row: str, seen: Seen
    ) -> None:
        target, group = self.target, self.group
        led = target.name == group.leader
        run = Run(
            clock.now(),
            target.name,
            self.organisation,
            request,
            verb,
            target.end,
            led,
            receipt,
            condensed(row),
            seen,
        )
        group.runs.append(run)


async def _serve(group: LineGroup, target: GroupTarget, reader, writer) -> None:
    conn = _Conn(group, target)
    target.connections += 1
    try:
        while target.up and (line := await read_line(reader)):
            if len(line) > MAX_MESSAGE_B:
                start = line[:100].decode(errors="replace")
                group.too_long.append(f"{len(line)} bytes to {target.name}: {start}")
                return
            command, _, rest = line.decode().partition(" ")
            if command == "CONNECT":
                lines = conn.connect(rest)
            elif command == "QUERY":
                lines = await conn.query(*rest.split(" ", 1))
            else:
                return
            if not target.up or lines[0] == _NO_ANSWER:
                return
            writer.write("".join(f"{one}\r\n" for one in lines).encode())
            if lines[0].startswith("ERROR") and command == "CONNECT":
                return
    except (ConnectionError, asyncio.CancelledError):
        pass
    except asyncio.LimitOverrunError:
        group.too_long.append(f"over {READ_LIMIT_B} bytes to {target.name}")
    finally:
        target.connections -= 1
        writer.close()


@asynccontextmanager
async def serving(group: LineGroup, target: GroupTarget) -> AsyncIterator[int]:
    """Serve a target on a free port of loopback and replicate to it; yield the port."""
    tasks: set[asyncio.Task] = set()

    async def accept(reader, writer):
        task = asyncio.current_task()
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await _serve(group, target, reader, writer)

    def break_connections() -> None:
        for task in tasks:
            task.cancel()

    def open_now() -> Callable[[], None]:
        opened = set(tasks)

        def break_opened() -> None:
            for task in opened & tasks:
                task.cancel()

        return break_opened

    target.on_down, target.on_dark = break_connections, open_now
    follower = asyncio.ensure_future(group.follow(target))
    server = await asyncio.start_server(accept, "127.0.0.1", 0, limit=READ_LIMIT_B)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        follower.cancel()
        break_connections()
