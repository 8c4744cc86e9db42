"""Tests of the stand-in of a replicated group."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from standins import line_server
from standins.line_group import FIRST, GroupTarget, LineGroup, LogPosition

NAMES = ("a", "b", "c")


@asynccontextmanager
async def run_group():
    targets = {name: GroupTarget(name, "z1") for name in NAMES}
    group = LineGroup("g", targets)
    ports = {}
    async with (
        line_server.serving(group, targets["a"]) as ports["a"],
        line_server.serving(group, targets["b"]) as ports["b"],
        line_server.serving(group, targets["c"]) as ports["c"],
    ):
        yield group, ports


class Conn:
    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    async def send(self, line):
        self.writer.write(f"{line}\r\n".encode())
        lines = []
        while data := await asyncio.wait_for(self.reader.readline(), 5):
            lines.append(data.decode().strip())
            if lines[-1].startswith("READY"):
                break
        return lines


async def connect(ports, name):
    conn = Conn(*await asyncio.open_connection("127.0.0.1", ports[name]))
    assert (await conn.send(f"CONNECT g org {name}"))[0].startswith("READY I")
    return conn


async def received_by(group, *names):
    async with asyncio.timeout(5):
        while any(group.targets[n].end != group.end for n in names):  # noqa: ASYNC110
            await asyncio.sleep(0.01)


class TestReplication:
    async def test_an_acknowledged_write_is_at_a_replica(self):
        async with run_group() as (group, ports):
            conn = await connect(ports, "a")
            answer = await conn.send("QUERY q1 WRITE x 1")
            assert answer[0].startswith("DONE a.")
            assert answer[1] == "READY I 1.2"
            assert any(group.targets[n].received == (1, 2) for n in ("b", "c"))
            await received_by(group, "b", "c")
            other = await connect(ports, "b")
            assert (await other.send("QUERY q2 SINCE 1.2 READ x"))[0] == "ROW 1"

    async def test_nothing_is_acknowledged_while_no_replica_receives(self):
        async with run_group() as (group, ports):
            group.targets["b"].deaf = True
            paused = await connect(ports, "c")
            row = (await paused.send("QUERY - PAUSE 2"))[0]
            assert row.startswith("ROW replica 1 1.1 2 ")
            conn = await connect(ports, "a")
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.3):
                    await conn.send("QUERY q1 WRITE x 1")
            await paused.send("QUERY - RESUME")
            await received_by(group, "c")

    async def test_replica_refuses_writes_and_positions_that_it_lacks(self):
        async with run_group() as (_, ports):
            conn = await connect(ports, "b")
            refused = await conn.send("QUERY q1 WRITE x 1")
            assert refused[0].startswith("ERROR READONLY")
            behind = await conn.send("QUERY q1 SINCE 1.7 READ x")
            assert behind[0].startswith("ERROR LAGGING")


class TestPromotion:
    async def test_the_chosen_one_leads_with_what_it_received(self):
        async with run_group() as (group, ports):
            group.targets["c"].deaf = True
            conn = await connect(ports, "a")
            await conn.send("QUERY - BEGIN")
            await conn.send("QUERY q1 WRITE x 1")
            group.promote("c")
            assert (await conn.send("QUERY q2 COMMIT"))[0].startswith("ERROR READONLY")
            await conn.send("QUERY - ROLLBACK")
            assert (await conn.send("QUERY q3 WRITE x 1"))[0].startswith("ERROR READ")
            leader = await connect(ports, "c")
            assert (await leader.send("QUERY q4 WRITE x 2"))[1] == "READY I 2.2"
            assert [p.base for p in group.promotions] == [FIRST]

    async def test_what_the_chosen_one_lacks_is_rolled_back_everywhere(self):
        async with run_group() as (group, ports):
            group.targets["c"].deaf = True
            conn = await connect(ports, "a")
            await conn.send("QUERY q1 WRITE x 1")
            await received_by(group, "b")
            group.promote("c")
            assert [t.received for t in group.targets.values()] == [FIRST] * 3
            assert group.targets["b"].items == {}
            assert not group.lineage.holds(group.end, LogPosition(1, 2))

    async def test_a_crashed_primary_comes_back_as_a_replica_with_its_log(self):
        async with run_group() as (group, ports):
            conn = await connect(ports, "a")
            await conn.send("QUERY q1 WRITE x 1")
            await received_by(group, "b", "c")
            group.crash(group.targets["a"])
            assert await conn.reader.read() == b""
            group.promote("b")
            group.restart(group.targets["a"])
            assert not group.targets["a"].leads
            assert group.targets["a"].received == (1, 2)
            leader = await connect(ports, "b")
            assert (await leader.send("QUERY q2 WRITE x 2"))[0].startswith("DONE")
            await received_by(group, "a", "c")


class TestLineage:
    async def test_a_branch_that_was_left_is_not_held(self):
        async with run_group() as (group, _):
            group.lineage.bases |= {2: LogPosition(1, 5), 3: LogPosition(2, 8)}
            holds = group.lineage.holds
            assert holds(LogPosition(3, 9), LogPosition(1, 5))
            assert not holds(LogPosition(3, 9), LogPosition(1, 6))
            assert holds(LogPosition(3, 9), LogPosition(2, 8))
            assert not holds(LogPosition(3, 9), LogPosition(2, 9))
            assert not holds(LogPosition(2, 7), LogPosition(2, 8))
