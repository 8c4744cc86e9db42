"""Tests of what callers get from processes of nodes that stop as planned."""

import asyncio
import socket
from contextlib import asynccontextmanager
from itertools import count

from bench.soak_fleet import run_fleet
from bench.soak_time_checks import LOSS_SLACK_S
from lavenderstack.core import clock
from standins.sockets import HOST

READY, REFUSED = "READY", "ERROR BUSY"
# After connections without a statement were closed, before the node's time is over.
DRAINED_S = 2.6
VALUE_B = 900_000
# More than the network buffers of a connection hold.
ANSWERS = 24
TIMEOUT_S = 20.0


class Client:
    """A caller's connection to a node."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    async def send(self, line):
        self.writer.write(f"{line}\r\n".encode())
        return await self.answer()

    async def answer(self):
        """Return the lines up to READY, or up to the end of the connection."""
        lines = []
        try:
            while data := await asyncio.wait_for(self.reader.readline(), TIMEOUT_S):
                lines.append(data.decode().rstrip("\r\n"))
                if lines[-1].startswith(READY):
                    break
        except ConnectionError:
            pass
        return lines


def is_whole(lines):
    """Return whether an answer is complete."""
    return bool(lines) and lines[-1].startswith(READY)


@asynccontextmanager
async def running(folder, work_s):
    """Run three nodes and one group whose statements take ``work_s`` seconds."""
    async with run_fleet(folder, 1, 3, 1) as fleet:
        fleet.groups["g1"].work_s = (work_s, work_s)
        yield fleet


async def connected(fleet, node, database="g1own"):
    """Return a client whose session is open."""
    client = Client(*await asyncio.open_connection(HOST, node.own_port))
    key = fleet.operator.keys["wide"][0]
    assert is_whole(await client.send(f"CONNECT {database} {key}"))
    return client


def ran(fleet):
    """Return the ids of the statements that targets ran."""
    return {run.request for run in fleet.groups["g1"].runs}


class TestPlannedStop:
    async def test_statements_of_callers_that_never_pause_are_not_cut(self, tmp_path):
        answers = {}

        async def call(client, prefix):
            for number in count():
                request = f"{prefix}.{number}"
                answers[request] = []
                lines = answers[request] = await client.send(f"QUERY {request} READ a")
                if not is_whole(lines):
                    return

        async with running(tmp_path, work_s=0.3) as fleet:
            node = fleet.nodes["n1"]
            clients = [await connected(fleet, node) for _ in range(4)]
            calls = [call(one, number) for number, one in enumerate(clients)]
            calling = asyncio.gather(*calls)
            await asyncio.sleep(0.5)
            await fleet.stop(node)
            await calling
            cut = [one for one in ran(fleet) if not is_whole(answers[one])]
            assert cut == []
            refused = {one for one in answers if REFUSED in "".join(answers[one])}
            assert not refused & ran(fleet)
            assert len(answers) > len(clients) * 7

    async def test_a_statement_read_while_the_lease_ends_is_answered(self, tmp_path):
        async with running(tmp_path, work_s=1.5) as fleet:
            node = fleet.nodes["n1"]
            client = Client(*await asyncio.open_connection(HOST, node.own_port))
            stopping = asyncio.ensure_future(fleet.stop(node))
            await asyncio.sleep(2.0)
            fleet.store.slow_s = 1.0
            await asyncio.sleep(DRAINED_S - 2.0)
            key = fleet.operator.keys["wide"][0]
            lines = await client.send(f"CONNECT g1own {key}")
            sent_at = clock.now()
            if is_whole(lines):
                lines = await client.send("QUERY q1 READ a")
                is_closed = clock.now() - sent_at <= LOSS_SLACK_S
                assert is_whole(lines) or (is_closed and "q1" not in ran(fleet))
            else:
                assert lines == [] or lines[0].startswith(REFUSED)
            await stopping
            assert fleet.record.stops[-1].status == 0

    async def test_it_ends_in_time_though_the_store_does_not_answer(self, tmp_path):
        async with running(tmp_path, work_s=0.3) as fleet:
            node = fleet.nodes["n1"]
            client = await connected(fleet, node)
            assert is_whole(await client.send("QUERY q1 BEGIN"))
            assert is_whole(await client.send("QUERY q2 READ a"))
            fleet.store.slow_s = 30.0
            await fleet.stop(node)
            assert fleet.record.stops[-1].status == 0

    async def test_a_caller_that_reads_late_gets_all_answers(self, tmp_path):
        async with running(tmp_path, work_s=0.001) as fleet:
            node = fleet.nodes["n1"]
            for target in fleet.groups["g1"].targets.values():
                target.items["a"] = "x" * VALUE_B
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (HOST, node.own_port))
            streams = await asyncio.open_connection(sock=sock, limit=2 * VALUE_B)
            client = Client(*streams)
            key = fleet.operator.keys["wide"][0]
            assert is_whole(await client.send(f"CONNECT g1now {key}"))
            client.writer.transport.pause_reading()
            requests = [f"q{number}" for number in range(ANSWERS)]
            for request in requests:
                client.writer.write(f"QUERY {request} READ a\r\n".encode())
            until = clock.now() + TIMEOUT_S
            while not ran(fleet) >= set(requests):
                assert clock.now() < until
                await asyncio.sleep(0.05)
            stopping = asyncio.ensure_future(fleet.stop(node))
            await asyncio.sleep(DRAINED_S)
            client.writer.transport.resume_reading()
            for _ in requests:
                assert [len(one) for one in await client.answer()][:1] == [4 + VALUE_B]
            await stopping
            assert fleet.record.stops[-1].status == 0
