"""Plays the load right after all nodes lost power, over loopback.

The first holder of a target has no power yet, the second one runs. Connecting to the
first one gets no answer at all, as in a network that drops its packets.
"""

import asyncio
from contextlib import asynccontextmanager

from lavenderstack.core import clock
from lavenderstack.core.catalog import Consistency, Route
from lavenderstack.core.members import Members
from lavenderstack.core.position import Position
from lavenderstack.core.statement import Statement, StatementKind
from lavenderstack.core.view import Target, Vm
from lavenderstack.core.view_proof import ViewProof
from lavenderstack.core.work_messages import Access, Work, WorkDone
from lavenderstack.node.call import Call
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.dispatch import Dispatcher
from lavenderstack.node.peers import Peers
from lavenderstack.node.stream_server import StreamServer
from lavenderstack.node.streams import StreamLimits, StreamPool

WRITE = Statement(StatementKind.WRITE, "WRITE a b", writes=True)
STATEMENTS = 60
CONNECT_LIMIT_S = 1.0
# The latency goal of the route, within which a caller must have the answer.
LATENCY_GOAL_S = 0.4


class Fleet:
    """An entry, a holder that has no power, and one that runs the statements."""

    def __init__(self, port, monkeypatch):
        self.powered = asyncio.Event()
        self.directory = Directory("entry", "z1", ViewProof(limit_s=5.0))
        limits = StreamLimits(connect_s=CONNECT_LIMIT_S)
        self.pool = StreamPool(limits)
        self.members = Members("entry")
        self.peers = Peers(
            "entry", lambda: self.directory.view, self.pool, self.members
        )
        self.dispatcher = Dispatcher(self.directory, self.peers, Counters())
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def connect_when_powered(protocol, host, to_port):
            if to_port != port:
                await self.powered.wait()
            return await connect(protocol, host, port)

        monkeypatch.setattr(loop, "create_connection", connect_when_powered)
        self.target = Target("t1", "z1", "127.0.0.1", 1, 2, 30)
        self.directory.put_target(self.target, "g", False, True, 1)
        for name, to_port in (("a", port), ("b", port)):
            self.directory.put_member(Vm(name, "z1", "127.0.0.1", to_port))
        first = self.peers.first_choice(self.target).name
        self.directory.put_member(Vm(first, "z1", "127.0.0.1", 1))
        self.first = first

    async def write(self, number):
        now = clock.now()
        route = Route("db", "g", Consistency.SESSION, 1.0, LATENCY_GOAL_S, 1, 2.5)
        call = Call(
            request=f"r{number}",
            route=route,
            organisation="org",
            key_digest="d",
            version=1,
            statement=WRITE,
            access=Access.WRITE,
            deadline=now + route.timeout_s,
            values={},
        )
        result = await self.dispatcher.run(call)
        return result.answer, clock.now() - now


@asynccontextmanager
async def running_fleet(monkeypatch):
    ran = []

    async def handler(work):
        ran.append(work.request)
        return WorkDone(rows=[], receipt="receipt", position=Position(1, 1))

    server = StreamServer({Work: handler})
    port = await server.start("127.0.0.1", 0)
    fleet = Fleet(port, monkeypatch)
    try:
        yield fleet, ran
    finally:
        fleet.pool.close()
        await server.stop(0.1)


class TestHolderWithoutPower:
    async def test_callers_get_their_answers_from_the_next_holder_in_time(
        self, monkeypatch
    ):
        """Guards against statements that wait for a node that can't answer."""
        async with running_fleet(monkeypatch) as (fleet, ran):
            answers = await asyncio.gather(*map(fleet.write, range(STATEMENTS)))
            assert all(isinstance(answer, WorkDone) for answer, _ in answers)
            assert max(took_s for _, took_s in answers) < LATENCY_GOAL_S
            assert sorted(ran) == sorted(f"r{n}" for n in range(STATEMENTS))

    async def test_the_first_holder_is_used_again_once_it_has_power(self, monkeypatch):
        """Guards against leaving out a node that only started a little later."""
        async with running_fleet(monkeypatch) as (fleet, _):
            await fleet.write(0)
            assert fleet.peers.holders(fleet.target)[0].name != fleet.first
            fleet.powered.set()
            await asyncio.gather(*fleet.pool._opening.values())
            assert fleet.peers.holders(fleet.target)[0].name == fleet.first
