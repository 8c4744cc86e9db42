"""A stand-in of one target that speaks the line protocol, over TCP on loopback.

It keeps a table of items, prepared names, values and transactions, and answers with
receipts. It is small on purpose: faults of replication are played in memory by
``node/backend_fake.py``.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field


@dataclass
class LineTarget:
    """One target; ``executed`` lists ``(who, id, text)`` of what it ran."""

    name: str
    leads: bool = True
    term: int = 1
    seq: int = 0
    items: dict[str, str] = field(default_factory=dict)
    executed: list = field(default_factory=list)
    most: int = 30
    open: int = 0
    drop_after: int | None = None

    @property
    def position(self) -> str:
        """The end of its log."""
        return f"{self.term}.{self.seq}"


class _Conn:
    def __init__(self, target: LineTarget):
        self.target = target
        self.who = ""
        self.state = "I"
        self.pending: list[tuple[str, str]] = []
        self.prepared: dict[str, str] = {}

    def greet(self, rest: str) -> list[str]:
        fields = rest.split(" ")
        self.who = fields[1]
        if len(fields) > 2 and fields[2] != self.target.name:
            return [f"ERROR WRONGNODE {self.target.name}"]
        if self.target.open > self.target.most:
            return ["ERROR MAXCONN full"]
        return [f"READY I {self.target.position}"]

    def query(self, number: str, text: str) -> list[str]:
        lines = self._answer(number, text)
        return [*lines, f"READY {self.state} {self.target.position}"]

    def _answer(self, number: str, text: str) -> list[str]:
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
                self.state, self.pending = "T", []
                return ["DONE -"]
            case "ROLLBACK":
                self.state, self.pending = "I", []
                return ["DONE -"]
            case "SET" | "RESET":
                return ["DONE -"]
            case "PREPARE":
                name, what = rest.split(" ", 1)
                self.prepared[name] = what
                return ["DONE -"]
            case "STATUS" | "PAUSE" | "RESUME":
                role = "primary" if target.leads else "replica"
                row = f"ROW {role} {target.term} {target.position} 0 0 0 1"
                return [row, "DONE -"]
        return self._run(number, verb, rest, text)

    def _run(self, number: str, verb: str, rest: str, text: str) -> list[str]:
        target = self.target
        if verb == "EXEC":
            name, body = rest.split(" ", 1)
            if name not in self.prepared:
                return ["ERROR NOSTMT unknown"]
            verb, rest = self.prepared[name].split(" ")[0], body
        target.executed.append((self.who, number, text))
        receipt = f"DONE {target.name}.{len(target.executed)}"
        if verb == "READ":
            return [f"ROW {target.items.get(rest, 'nothing')}", receipt]
        if not target.leads:
            return [f"ERROR READONLY {target.name}"]
        if verb == "WRITE":
            self.pending.append(tuple(rest.split(" ", 1)))
            if self.state == "T":
                return [receipt]
        if self.pending:
            target.items.update(self.pending)
            target.seq += 1
        self.state, self.pending = "I", []
        return [receipt]


async def _serve(target: LineTarget, reader, writer) -> None:
    conn = _Conn(target)
    target.open += 1
    try:
        while line := await reader.readline():
            word, _, rest = line.decode().rstrip("\r\n").partition(" ")
            if word == "CONNECT":
                lines = conn.greet(rest)
            elif word == "QUERY":
                if target.drop_after is not None and target.drop_after <= 0:
                    return
                number, text = rest.split(" ", 1)
                lines = conn.query(number, text)
                if target.drop_after is not None and number != "-":
                    target.drop_after -= 1
                    if target.drop_after <= 0:
                        return
            else:
                return
            writer.write("".join(f"{one}\r\n" for one in lines).encode())
            if lines[0].startswith("ERROR") and word == "CONNECT":
                return
    finally:
        target.open -= 1
        writer.close()


@asynccontextmanager
async def serving(target: LineTarget) -> AsyncIterator[int]:
    """Serve a target on a free port of loopback; yield the port."""
    tasks: set[asyncio.Task] = set()

    async def accept(reader, writer):
        tasks.add(asyncio.current_task())
        await _serve(target, reader, writer)

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for task in tasks:
            task.cancel()
