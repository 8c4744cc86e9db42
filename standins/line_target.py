"""A stand-in of one target that speaks the line protocol, over TCP on loopback.

The protocol is described in ``lavenderstack.platform.line_protocol``.

It supports a table of items, prepared statements and transactions, and answers each
statement with a receipt. Its replicas receive each commit at once, unless they are
paused; ``line_group.py`` has replication with delays and faults.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

# Of a line with its end; a target may count the end or not.
MAX_LINE_B = 1024 * 1024
LINE_END = b"\r\n"


@dataclass
class LineTarget:
    """One target; ``executed`` lists ``(organisation, id, text)`` of each statement.

    It includes those that were refused; ``effects`` lists the id of each single write
    or commit that changed the items. ``shapes`` has the id, the shape with its verb,
    the item and the data of each execution of a prepared statement. ``values`` has the
    id and the session values of each statement that isn't the service's own.
    ``too_long`` counts the connections closed because of a line above ``MAX_LINE_B``.

    ``drop_after`` counts down with each statement that has an id. The one that brings
    it to 0 runs, but its connection is closed without an answer; later statements
    don't run.
    """

    name: str
    leads: bool = True
    term: int = 1
    seq: int = 0
    items: dict[str, str] = field(default_factory=dict)
    executed: list = field(default_factory=list)
    effects: list[str] = field(default_factory=list)
    shapes: list[tuple[str, str, str, str]] = field(default_factory=list)
    values: list[tuple[str, dict[str, str]]] = field(default_factory=list)
    too_long: int = 0
    max_connections: int = 30
    open_connections: int = 0
    drop_after: int | None = None
    replicas: list["LineTarget"] = field(default_factory=list)
    paused_term: int = 0

    @property
    def position(self) -> str:
        """The position of the last log entry, as ``term.seq``."""
        return f"{self.term}.{self.seq}"

    def commit(self, changes: list[tuple[str, str]]) -> None:
        """Append a log entry, here and at each replica that isn't paused."""
        self.items.update(changes)
        self.seq += 1
        for replica in self.replicas:
            if not replica.paused_term:
                replica.items.update(changes)
                replica.term, replica.seq = self.term, self.seq


class _Conn:
    def __init__(self, target: LineTarget):
        self.target = target
        self.organisation = ""
        self.transaction_state = "I"
        self.pending_writes: list[tuple[str, str]] = []
        self.prepared: dict[str, str] = {}
        self.values: dict[str, str] = {}

    def connect(self, rest: str) -> list[str]:
        fields = rest.split(" ")
        self.organisation = fields[1]
        if len(fields) > 2 and fields[2] != self.target.name:
            return [f"ERROR WRONGNODE {self.target.name}"]
        if self.target.open_connections > self.target.max_connections:
            return ["ERROR MAXCONN full"]
        return [f"READY I {self.target.position}"]

    def query(self, statement_id: str, text: str) -> list[str]:
        lines = self._answer(statement_id, text)
        return [*lines, f"READY {self.transaction_state} {self.target.position}"]

    def _answer(self, statement_id: str, text: str) -> list[str]:
        target = self.target
        if text.startswith("SINCE "):
            _, wanted, text = text.split(" ", 2)
            term, seq = (int(part) for part in wanted.split("."))
            if (term, seq) > (target.term, target.seq):
                return ["ERROR LAGGING behind"]
        verb, _, rest = text.partition(" ")
        match verb:
            case "BEGIN":
                if not rest and not target.leads:
                    return [f"ERROR READONLY {target.name}"]
                self.transaction_state, self.pending_writes = "T", []
                return ["DONE -"]
            case "ROLLBACK":
                self.transaction_state, self.pending_writes = "I", []
                return ["DONE -"]
            case "SET":
                name, value = rest.split(" ", 1)
                self.values[name] = value
                return ["DONE -"]
            case "RESET":
                self.values, self.prepared = {}, {}
                return ["DONE -"]
            case "PREPARE":
                name, statement = rest.split(" ", 1)
                self.prepared[name] = statement
                return ["DONE -"]
            case "STATUS" | "PAUSE" | "RESUME":
                self._order(verb, rest)
                role = "primary" if target.leads else "replica"
                paused_term = target.paused_term
                row = f"ROW {role} {target.term} {target.position} {paused_term} 0 0 1"
                return [row, "DONE -"]
        return self._run(statement_id, verb, rest, text)

    def _order(self, verb: str, term: str) -> None:
        """Pause above the target's own term, or resume."""
        if verb == "PAUSE" and int(term) > self.target.term:
            self.target.paused_term = int(term)
        elif verb == "RESUME":
            self.target.paused_term = 0

    def _run(self, statement_id: str, verb: str, rest: str, text: str) -> list[str]:
        target = self.target
        target.values.append((statement_id, dict(self.values)))
        if verb == "EXEC":
            name, body = rest.split(" ", 1)
            if name not in self.prepared:
                return ["ERROR NOSTMT unknown"]
            item, _, data = body.partition(" ")
            shape = self.prepared[name]
            target.shapes.append((statement_id, shape, item, data))
            verb, rest = shape.split(" ")[0], body
        target.executed.append((self.organisation, statement_id, text))
        receipt = f"DONE {target.name}.{len(target.executed)}"
        if verb == "READ":
            return [f"ROW {target.items.get(rest, 'nothing')}", receipt]
        if not target.leads:
            return [f"ERROR READONLY {target.name}"]
        if verb == "WRITE":
            self.pending_writes.append(tuple(rest.split(" ", 1)))
            if self.transaction_state == "T":
                return [receipt]
        if self.pending_writes:
            target.effects.append(statement_id)
            target.commit(self.pending_writes)
        self.transaction_state, self.pending_writes = "I", []
        return [receipt]


async def _read_line(target: LineTarget, reader) -> str:
    """Return the next line without its end; empty if there is none, or a longer one."""
    try:
        data = await reader.readuntil(LINE_END)
    except asyncio.IncompleteReadError:
        return ""
    except asyncio.LimitOverrunError:
        data = b""
    if not data or len(data) > MAX_LINE_B:
        target.too_long += 1
        return ""
    return data.decode().removesuffix(LINE_END.decode())


async def _serve(target: LineTarget, reader, writer) -> None:
    conn = _Conn(target)
    target.open_connections += 1
    try:
        while line := await _read_line(target, reader):
            command, _, rest = line.partition(" ")
            if command == "CONNECT":
                lines = conn.connect(rest)
            elif command == "QUERY":
                if target.drop_after is not None and target.drop_after <= 0:
                    return
                statement_id, text = rest.split(" ", 1)
                lines = conn.query(statement_id, text)
                if target.drop_after is not None and statement_id != "-":
                    target.drop_after -= 1
                    if target.drop_after <= 0:
                        return
            else:
                return
            writer.write("".join(f"{reply_line}\r\n" for reply_line in lines).encode())
            if lines[0].startswith("ERROR") and command == "CONNECT":
                return
    finally:
        target.open_connections -= 1
        writer.close()


@asynccontextmanager
async def serving(target: LineTarget) -> AsyncIterator[int]:
    """Serve a target on a free port of loopback; yield the port."""
    tasks: set[asyncio.Task] = set()

    async def accept(reader, writer):
        tasks.add(asyncio.current_task())
        await _serve(target, reader, writer)

    server = await asyncio.start_server(accept, "127.0.0.1", 0, limit=MAX_LINE_B)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for task in tasks:
            task.cancel()
