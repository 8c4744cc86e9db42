"""Tests of frames that another node sent and this build can't decode.

Such a frame must cost only its own request.
"""

import asyncio

import msgspec
import pytest

from lavenderstack.core.messages import Begun, Unsupported
from lavenderstack.node import wire
from lavenderstack.node.streams import NotSupported, StreamLost
from lavenderstack.node.streams_test import BEGIN, running_server

NOT_UTF8 = b"\xed\xa0\x80"  # a lone surrogate
LONG_TAG = "t" * 1_000_000


def frame_of(body):
    return b"\x93\x01\xc2" + body


class TestDecode:
    @pytest.mark.parametrize(
        "body",
        [
            wire.encode(Begun("abc")).replace(b"abc", NOT_UTF8),
            msgspec.msgpack.encode(["abc", 5]).replace(b"abc", NOT_UTF8),
            msgspec.msgpack.encode([LONG_TAG]),
            msgspec.msgpack.encode([[LONG_TAG, LONG_TAG]]),
            msgspec.msgpack.encode([5]),
            msgspec.msgpack.encode([]),
            msgspec.msgpack.encode({"begun": 1}),
            msgspec.msgpack.encode(None),
            msgspec.msgpack.encode("begun"),
        ],
    )
    def test_the_number_of_the_request_is_known(self, body):
        with pytest.raises(wire.UnknownMessage) as caught:
            wire.decode(frame_of(body))
        assert caught.value.number == 1
        assert len(caught.value.tag) <= 100

    @pytest.mark.parametrize(
        "data", [b"", b"\x93\x01", frame_of(b"\x91" * 100_000), b"\x05", NOT_UTF8]
    )
    def test_other_bytes_are_no_frame(self, data):
        with pytest.raises(wire.NotAFrame) as caught:
            wire.decode(data)
        assert len(str(caught.value)) <= 200


async def answer_slowly(message):
    await asyncio.sleep(0.2)
    return Begun(message.request)


class TestStreams:
    async def test_a_request_that_is_no_text_costs_no_other(self, monkeypatch):
        async with running_server(answer_slowly) as (pool, addr, _):
            other = asyncio.ensure_future(pool.call(addr, BEGIN, 2.0))
            await asyncio.sleep(0.05)
            (stream,) = pool._streams.values()
            with monkeypatch.context() as patched:
                encoded = wire.encode(wire.Frame(2, False, BEGIN))
                invalid = encoded.replace(b"\xa1r", b"\xa1\xff")
                patched.setattr(wire, "encode", lambda _: invalid)
                call = asyncio.ensure_future(pool.call(addr, BEGIN, 2.0))
                await asyncio.sleep(0)
            with pytest.raises(NotSupported):
                await call
            assert await other == Begun("r")
            assert stream.open

    async def test_a_reply_that_is_no_text_costs_no_other(self, monkeypatch):
        async with running_server(answer_slowly) as (pool, addr, server):
            other = asyncio.ensure_future(pool.call(addr, BEGIN, 2.0))
            await asyncio.sleep(0.05)
            (stream,) = pool._streams.values()
            number, fut = stream.ask(BEGIN)
            encoded = wire.encode(wire.Frame(number, True, Begun("abc")))
            stream._accept(encoded.replace(b"abc", NOT_UTF8))
            with pytest.raises(StreamLost):
                await fut
            assert await other == Begun("r")

    async def test_the_tag_in_a_reply_is_bounded(self):
        async with running_server(answer_slowly) as (pool, addr, _):
            await pool.call(addr, BEGIN, 2.0)
            (stream,) = pool._streams.values()
            number, fut = stream.ask(BEGIN)
            stream.frame_received(wire.Frame(number, True, Unsupported(LONG_TAG)))
            with pytest.raises(NotSupported) as caught:
                await fut
            assert len(str(caught.value)) <= 100
