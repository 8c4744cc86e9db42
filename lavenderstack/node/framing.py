"""The frames of the streams between nodes: msgpack over TCP.

A frame is a four-byte big-endian length and a msgpack array ``(number, reply, body)``.
A reply carries the number of its request.
"""

import asyncio
import struct

import structlog

from lavenderstack.border.traffic import TRAFFIC
from lavenderstack.core import clock
from lavenderstack.core.message_size import MAX_FRAME_B
from lavenderstack.node import wire

log = structlog.get_logger()
_LENGTH = struct.Struct(">I")


class UnsendableFrame(Exception):
    """The frame is too long or can't be encoded; nothing was written."""


def encode(frame: wire.Frame) -> bytes:
    """Return a frame with its length; raises ``UnsendableFrame``."""
    try:
        body = wire.encode(frame)
    except (UnicodeEncodeError, OverflowError, RecursionError) as exc:
        raise UnsendableFrame(f"can't be encoded: {str(exc)[:100]}") from exc
    if len(body) > MAX_FRAME_B:
        raise UnsendableFrame(f"{len(body)} bytes, at most {MAX_FRAME_B} can be sent")
    return _LENGTH.pack(len(body)) + body


class FramedProtocol(asyncio.Protocol):
    """Splits the byte stream into frames; subclasses handle each frame."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self.received_at = clock.now()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for replies."""
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Handle the frames that are complete; close the stream at an invalid one."""
        self.received_at = clock.now()
        TRAFFIC.nodes_received_b += len(data)
        buffer = self._buffer
        buffer += data
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, start)
            if length > MAX_FRAME_B:
                log.warning("streams: frame too long", length=length)
                self.transport.abort()
                return
            end = start + _LENGTH.size + length
            if len(buffer) < end:
                break
            body = bytes(buffer[start + _LENGTH.size : end])
            start = end
            self._accept(body)
        del buffer[:start]

    def _accept(self, body: bytes) -> None:
        try:
            frame = wire.decode(body)
        except wire.UnknownMessage as exc:
            log.info("streams: message not supported", message=exc.tag, reply=exc.reply)
            self.unknown_received(exc)
            return
        except wire.NotAFrame as exc:
            log.warning("streams: frame not understood", error=str(exc))
            self.transport.abort()
            return
        self.frame_received(frame)

    def frame_received(self, frame: wire.Frame) -> None:
        """Handle one frame."""
        raise NotImplementedError

    def unknown_received(self, unknown: wire.UnknownMessage) -> None:
        """Handle a frame whose message only another build knows."""
        raise NotImplementedError

    def send(self, frame: wire.Frame) -> None:
        """Write a frame; a closing transport discards it.

        Raises ``UnsendableFrame`` for one that the other node would not accept.
        """
        data = encode(frame)
        TRAFFIC.nodes_sent_b += len(data)
        self.transport.write(data)
