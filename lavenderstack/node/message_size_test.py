"""Tests of messages between nodes that the receiver would refuse for their length.

A node aborts a stream on a frame longer than ``MAX_FRAME_B``, which ends every other
request on it with an unknown outcome.
"""

import asyncio

import pytest

from lavenderstack.core import clock
from lavenderstack.core.members import Members
from lavenderstack.core.messages import Begin, Begun
from lavenderstack.core.outcome import Reason
from lavenderstack.core.view import View, Vm
from lavenderstack.node.framing import MAX_FRAME_B
from lavenderstack.node.peers import Peers
from lavenderstack.node.streams import InvalidRequest, NotSent
from lavenderstack.node.streams_test import BEGIN, running_server


def begin(request):
    return Begin(
        request=request,
        organisation="o",
        key_digest="",
        group="g",
        target="t",
        left_s=1.0,
    )


async def answer_slowly(message):
    """Answer the request ``slow`` after the others."""
    await asyncio.sleep(0.2 if message.request == "slow" else 0)
    return Begun(message.request[:10])


class TestRequestsTooLong:
    async def test_it_is_not_sent_and_others_on_the_stream_are_answered(self):
        async with running_server(answer_slowly) as (pool, addr, _):
            other = asyncio.ensure_future(pool.call(addr, begin("slow"), 2.0))
            await asyncio.sleep(0.05)
            with pytest.raises(NotSent):
                await pool.call(addr, begin("x" * MAX_FRAME_B), 2.0)
            assert await other == Begun("slow")

    async def test_the_longest_frame_is_answered(self):
        async with running_server(answer_slowly) as (pool, addr, _):
            request = "x" * (MAX_FRAME_B - 100)
            assert await pool.call(addr, begin(request), 2.0) == Begun("x" * 10)

    async def test_a_text_that_cannot_be_encoded_is_not_sent(self):
        """A lone surrogate has no UTF-8; the call must not end the caller's task."""
        async with running_server(answer_slowly) as (pool, addr, _):
            with pytest.raises(NotSent):
                await pool.call(addr, begin("\ud800"), 2.0)
            assert await pool.call(addr, BEGIN, 2.0) == Begun("r")
            assert [stream.waiting for stream in pool._streams.values()] == [{}]

    async def test_the_node_is_not_suspected(self):
        """It would lose its targets for a time because of one caller's statement."""
        async with running_server(answer_slowly) as (pool, (host, port), _):
            vm = Vm("n2", "z1", host, port)
            members = Members("n1")
            peers = Peers("n1", lambda: View(vms={"n2": vm}), pool, members)
            with pytest.raises(InvalidRequest):
                await peers.ask(vm, begin("x" * MAX_FRAME_B), 2.0)
            assert vm in members.live(View(vms={"n2": vm}), clock.now())


class TestRepliesTooLong:
    async def test_others_on_the_stream_are_answered(self):
        async def handler(message):
            await asyncio.sleep(0.2 if message.request == "slow" else 0)
            return Begun("x" * MAX_FRAME_B if message.request == "r" else "t")

        async with running_server(handler) as (pool, addr, _):
            other = asyncio.ensure_future(pool.call(addr, begin("slow"), 2.0))
            await asyncio.sleep(0.05)
            answer = await pool.call(addr, BEGIN, 2.0)
            assert (answer.run, answer.reason) == (True, Reason.OUTCOME_UNKNOWN)
            assert await other == Begun("t")

    async def test_reply_that_cannot_be_encoded_is_answered(self):
        async def handler(message):
            return Begun("\ud800")

        async with running_server(handler) as (pool, addr, _):
            answer = await pool.call(addr, BEGIN, 1.0)
            assert (answer.run, answer.reason) == (True, Reason.OUTCOME_UNKNOWN)
