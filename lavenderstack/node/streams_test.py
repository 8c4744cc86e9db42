"""Tests of the streams between nodes, over loopback."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from lavenderstack.core import clock
from lavenderstack.core.messages import Begin, Begun, Ping, Pong
from lavenderstack.node import streams
from lavenderstack.node.stream_server import StreamServer
from lavenderstack.node.streams import (
    NotSent,
    StillConnecting,
    StreamLimits,
    StreamLost,
    StreamPool,
)

BEGIN = Begin(
    request="r", organisation="o", key_digest="", group="g", target="t", left_s=1.0
)


@asynccontextmanager
async def running_server(handler, limits=streams.DEFAULT_LIMITS):
    server = StreamServer({Begin: handler})
    port = await server.start("127.0.0.1", 0)
    pool = StreamPool(limits)
    maintenance = asyncio.ensure_future(pool.run())
    try:
        yield pool, ("127.0.0.1", port), server
    finally:
        maintenance.cancel()
        pool.close()
        await server.stop(0.1)


class TestCalls:
    async def test_replies_out_of_order_reach_their_requests(self):
        async def handler(message):
            await asyncio.sleep(0.05 if message.request == "slow" else 0)
            return Begun(message.request)

        async with running_server(handler) as (pool, addr, _):
            names = ["slow", "a", "b"]
            requests = [
                Begin(
                    request=n,
                    organisation="o",
                    key_digest="",
                    group="g",
                    target="t",
                    left_s=1,
                )
                for n in names
            ]
            answers = await asyncio.gather(*(pool.call(addr, a, 1.0) for a in requests))
            assert [answer.transaction for answer in answers] == names

    async def test_connecting_and_the_answer_share_one_timeout(self, monkeypatch):
        """A caller that waits for half a second must not be kept for a whole one."""

        async def handler(message):
            await asyncio.sleep(5.0)
            return Begun(message.request)

        async with running_server(handler) as (pool, addr, _):
            loop = asyncio.get_running_loop()
            connect = loop.create_connection

            async def slow_connect(*args):
                await asyncio.sleep(0.3)
                return await connect(*args)

            monkeypatch.setattr(loop, "create_connection", slow_connect)
            pool._connect_timeout.record(0.3)
            began = clock.now()
            with pytest.raises(TimeoutError):
                await pool.call(addr, BEGIN, 0.5)
            assert clock.now() - began < 0.7

    async def test_refused_connection_is_not_sent(self):
        pool = StreamPool()
        with pytest.raises(NotSent):
            await pool.call(("127.0.0.1", 1), BEGIN, 1.0)

    async def test_timed_out_call_cancels_its_handler(self):
        ended = asyncio.Event()

        async def handler(_):
            try:
                await asyncio.sleep(10)
            finally:
                ended.set()

        async with running_server(handler) as (pool, addr, _):
            with pytest.raises(TimeoutError):
                await pool.call(addr, BEGIN, 0.05)
            await asyncio.wait_for(ended.wait(), 2)


class TestConnecting:
    async def test_requests_waiting_for_one_connection_share_its_failure(
        self, monkeypatch
    ):
        """Guards against each request connecting in turn (3 s in incident inc-60c6)."""
        attempts = []

        async def unanswered(*_):
            attempts.append(1)
            await asyncio.sleep(3600)

        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "create_connection", unanswered)
        pool = StreamPool(StreamLimits(connect_s=0.05))
        addr = ("127.0.0.1", 1)
        calls = [pool.call(addr, BEGIN, 1.0) for _ in range(20)]
        answers = await asyncio.gather(*calls, return_exceptions=True)
        assert all(isinstance(answer, NotSent) for answer in answers)
        assert len(attempts) == 1

    async def test_request_does_not_wait_for_a_node_that_is_down(self, monkeypatch):
        """Guards against statements that wait for a node without power (0.3 s each)."""
        loop = asyncio.get_running_loop()
        connect = loop.create_connection
        powered = asyncio.Event()

        async def connect_when_powered(*args):
            await powered.wait()
            return await connect(*args)

        async def handler(message):
            return Begun(message.request)

        async with running_server(handler) as (pool, addr, _):
            monkeypatch.setattr(loop, "create_connection", connect_when_powered)
            began = clock.now()
            with pytest.raises(StillConnecting) as caught:
                await pool.call(addr, BEGIN, 1.0)
            assert clock.now() - began < 0.5
            powered.set()
            await caught.value.opening
            assert await pool.call(addr, BEGIN, 1.0) == Begun(BEGIN.request)

    async def test_cancellation_as_the_answer_arrives_is_not_lost(self, monkeypatch):
        """A part that goes on after its cancellation keeps a stop from ending."""
        answer = asyncio.get_running_loop().create_future()
        asked = asyncio.Event()

        def ask(stream, body):
            asked.set()
            return 1, answer

        async def handler(message):
            return Begun("t")

        async with running_server(handler) as (pool, addr, _):
            monkeypatch.setattr(streams._ClientStream, "ask", ask)
            call = asyncio.ensure_future(pool.call(addr, BEGIN, 1.0))
            await asked.wait()
            await asyncio.sleep(0)
            answer.set_result(Begun("t"))
            call.cancel()
            with pytest.raises(asyncio.CancelledError):
                await call

    async def test_cancelled_request_leaves_the_connection_to_others(self):
        async def handler(message):
            return Begun(message.request)

        async with running_server(handler) as (pool, addr, _):
            first = asyncio.ensure_future(pool.call(addr, BEGIN, 1.0))
            second = asyncio.ensure_future(pool.call(addr, BEGIN, 1.0))
            await asyncio.sleep(0)
            first.cancel()
            assert await second == Begun(BEGIN.request)

    async def test_next_request_reconnects_after_a_failure(self):
        pool = StreamPool(StreamLimits(connect_s=0.05))
        server = StreamServer({Begin: None})
        port = await server.start("127.0.0.1", 0)
        await server.stop(0.0)
        addr = ("127.0.0.1", port)
        with pytest.raises(NotSent):
            await pool.call(addr, BEGIN, 1.0)

        async def handler(message):
            return Begun(message.request)

        server = StreamServer({Begin: handler})
        await server.start(*addr)
        try:
            assert await pool.call(addr, BEGIN, 1.0) == Begun(BEGIN.request)
        finally:
            pool.close()
            await server.stop(0.1)


class TestSilence:
    LIMITS = StreamLimits(ping_after_s=0.1, silent_after_s=0.2, tick_s=0.05)

    async def test_silent_stream_is_closed_and_the_next_call_reconnects(self):
        async def handler(_):
            return Begun("x")

        async with running_server(handler, self.LIMITS) as (pool, addr, server):
            await pool.call(addr, BEGIN, 1.0)
            (stale,) = server.connections
            stale.frame_received = lambda frame: None
            began = clock.now()
            with pytest.raises(StreamLost):
                await pool.call(addr, BEGIN, 2.0)
            assert clock.now() - began < streams.SILENT_AFTER_S
            assert await pool.call(addr, BEGIN, 1.0) == Begun("x")


class TestPing:
    async def test_ping_is_answered_without_a_handler(self):
        async with running_server(None) as (pool, addr, _):
            assert await pool.call(addr, Ping(), 1.0) == Pong()


class TestStop:
    async def test_stopping_server_finishes_requests_and_takes_no_new_ones(self):
        async def handler(message):
            await asyncio.sleep(0.1)
            return Begun(message.request)

        async with running_server(handler) as (pool, addr, server):
            running = asyncio.ensure_future(pool.call(addr, BEGIN, 2.0))
            await asyncio.sleep(0.05)
            stopping = asyncio.ensure_future(server.stop(5.0))
            await asyncio.sleep(0.02)
            with pytest.raises(NotSent):
                await pool.call(addr, BEGIN, 1.0)
            assert await running == Begun("r")
            await asyncio.wait_for(stopping, 2)
