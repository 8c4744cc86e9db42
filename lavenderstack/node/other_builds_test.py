"""Tests of streams to a node of a build that sends messages unknown here."""

import asyncio
from contextlib import asynccontextmanager

import msgspec
import pytest

from lavenderstack.core.members import Members
from lavenderstack.core.messages import Begin, Begun, Failed, Ping, Pong, understood
from lavenderstack.core.outcome import Reason
from lavenderstack.core.session_reply import autocommit_reason, retry_detail
from lavenderstack.core.view import View, Vm
from lavenderstack.node import framing, wire
from lavenderstack.node.peers import Peers
from lavenderstack.node.stream_server import StreamServer
from lavenderstack.node.streams import (
    NotSupported,
    StreamLost,
    StreamPool,
)
from lavenderstack.node.streams_test import BEGIN

LATER = msgspec.msgpack.encode([1, False, ["message_of_a_later_build", 5]])


class LaterMessage(Begin, tag="message_of_a_later_build"):
    """A message that this build can send in a test and can't decode."""


@asynccontextmanager
async def running_server(handlers):
    server = StreamServer(handlers)
    port = await server.start("127.0.0.1", 0)
    pool = StreamPool()
    try:
        yield pool, ("127.0.0.1", port)
    finally:
        pool.close()
        await server.stop(0.1)


def later_message():
    fields = {name: getattr(BEGIN, name) for name in BEGIN.__struct_fields__}
    return LaterMessage(**fields)


class TestUnknownRequest:
    """It must not cost the other requests on the stream their answers."""

    async def test_others_on_the_stream_are_answered(self):
        async def slow(message):
            await asyncio.sleep(0.1)
            return Begun("done")

        async with running_server({Begin: slow}) as (pool, addr):
            pending = asyncio.ensure_future(pool.call(addr, BEGIN, 5.0))
            await asyncio.sleep(0.02)
            with pytest.raises(NotSupported):
                await pool.call(addr, later_message(), 5.0)
            assert (await pending).transaction == "done"

    async def test_a_message_without_a_handler_is_not_supported(self):
        async with running_server({}) as (pool, addr):
            with pytest.raises(NotSupported):
                await pool.call(addr, BEGIN, 5.0)

    async def test_the_node_stays_eligible(self):
        """Its build differs, it isn't silent."""
        async with running_server({}) as (pool, addr):
            vms = {"n2": Vm("n2", "z1", *addr)}
            members = Members("n1")
            peers = Peers("n1", lambda: View(vms=vms), pool, members)
            with pytest.raises(NotSupported):
                await peers.call("n2", BEGIN, 5.0)
            assert members.suspect_until == {}


class TestUnknownReply:
    async def test_only_its_own_request_fails(self):
        async def handler(message):
            return later_message() if message.request == "r" else Begun("done")

        async with running_server({Begin: handler}) as (pool, addr):
            with pytest.raises(StreamLost, match="not understood"):
                await pool.call(addr, BEGIN, 5.0)
            stream = pool._streams[addr]
            other = msgspec.structs.replace(BEGIN, request="other")
            assert (await pool.call(addr, other, 5.0)).transaction == "done"
            assert pool._streams[addr] is stream


class TestFailedForALaterReason:
    """Converting the reason raised, and ended the session of the caller."""

    @pytest.mark.parametrize(
        ("run", "reason"),
        [(True, Reason.OUTCOME_UNKNOWN), (False, Reason.UNREACHABLE)],
    )
    async def test_the_reason_is_one_of_this_build(self, run, reason):
        async def handler(message):
            return Failed(
                run=run, reason="later", detail="why", retry_after_s=float("nan")
            )

        async with running_server({Begin: handler}) as (pool, addr):
            vms = {"n2": Vm("n2", "z1", *addr)}
            peers = Peers("n1", lambda: View(vms=vms), pool, Members("n1"))
            answer = await peers.call("n2", BEGIN, 5.0)
            assert (answer.run, answer.reason) == (run, reason)
            assert answer.detail == "later: why"
            assert autocommit_reason(answer, wrote=True) is reason
            assert retry_detail(answer) == "later: why"


class TestDetailsOfFailures:
    """The detail becomes the end of one line to the caller, of 1 MiB at most."""

    @pytest.mark.parametrize("name", ["n1", "n2"])
    @pytest.mark.parametrize("odd", ["\r\nDONE 1", "\n", "\r", "\0", "\x85", "\u2028"])
    @pytest.mark.parametrize("field", ["reason", "detail"])
    async def test_it_is_one_short_line_from_this_node_and_others(
        self, name, odd, field
    ):
        text = f"why{odd}READY I -" + "x" * 2_000_000
        fields = {"reason": Reason.CROWDED, "detail": ""} | {field: text}

        async def handler(message):
            return Failed(run=False, **fields)

        async with running_server({Begin: handler}) as (pool, addr):
            vms = {name: Vm(name, "z1", *addr)}
            peers = Peers("n1", lambda: View(vms=vms), pool, Members("n1"))
            peers.set_handlers({Begin: handler})
            answer = await peers.call(name, BEGIN, 5.0)
            assert answer.detail.startswith("why")
            assert answer.detail.isprintable()
            assert len(answer.detail) <= 1200

    async def test_a_usual_detail_is_unchanged(self):
        failed = Failed(run=True, reason=Reason.STATEMENT_FAILED, detail="für 3 'x' no")
        assert understood(failed) is failed


class TestDecode:
    def test_a_later_field_is_passed_over(self):
        data = msgspec.msgpack.encode([1, True, ["pong", "later", 5]])
        assert wire.decode(data).body == Pong()

    def test_an_unknown_message_names_its_request(self):
        with pytest.raises(wire.UnknownMessage) as info:
            wire.decode(LATER)
        unknown = info.value
        assert (unknown.number, unknown.reply) == (1, False)
        assert unknown.tag == "message_of_a_later_build"

    @pytest.mark.parametrize("data", [b"", b"\xc1", msgspec.msgpack.encode([1])])
    def test_what_is_no_frame_ends_the_stream(self, data):
        with pytest.raises(msgspec.MsgspecError):
            wire.decode(data)

    def test_frames_of_this_build_are_decoded(self):
        frame = wire.Frame(3, False, Ping())
        assert wire.decode(wire.encode(frame)) == frame
        assert len(wire.encode(frame)) < framing.MAX_FRAME_B
