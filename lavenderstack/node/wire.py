"""The encoding of frames between nodes and the list of messages they may carry.

A message type that is not in ``MESSAGES`` can be neither sent nor received. Another
build may send one: ``decode`` then raises ``UnknownMessage``, which tells what a reply
needs. Fields at the end of a message that this build doesn't know are passed over.
"""

from typing import Union

import msgspec

from lavenderstack.core import change_messages, messages, relay_messages, work_messages
from lavenderstack.core.failover import group_messages
from lavenderstack.core.quota import coordinator_messages, share_messages

MESSAGES: tuple[type, ...] = (
    messages.Execute,
    messages.Executed,
    messages.Failed,
    messages.Begin,
    messages.Begun,
    messages.End,
    messages.Cancel,
    messages.Ping,
    messages.Pong,
    messages.Goodbye,
    messages.Unsupported,
    group_messages.ProbeRequest,
    group_messages.ProbeReply,
    group_messages.PrimaryRequest,
    group_messages.PrimaryReply,
    relay_messages.PollRequest,
    relay_messages.RefreshRequest,
    relay_messages.ChangesReport,
    relay_messages.PageRequest,
    relay_messages.EntriesPage,
    relay_messages.ForwardChange,
    relay_messages.ChangeForwarded,
    relay_messages.WhichRevision,
    relay_messages.InForce,
    share_messages.SharesRequest,
    share_messages.SharesReply,
    share_messages.DrawRequest,
    share_messages.DrawReply,
    share_messages.RecallRequest,
    share_messages.RecallReply,
    share_messages.NotCoordinator,
    share_messages.LedgerHandover,
    share_messages.HandoverReply,
    work_messages.Work,
    work_messages.WorkDone,
    work_messages.EndWork,
    work_messages.WorkEnded,
    work_messages.PrimaryPositionRequest,
    work_messages.PrimaryPosition,
    work_messages.GroupPositionRequest,
    work_messages.GroupPosition,
    work_messages.LeadTaken,
    work_messages.LeadAcknowledged,
    coordinator_messages.Attach,
    coordinator_messages.Detach,
    coordinator_messages.DrawTokens,
    coordinator_messages.TokensReply,
    change_messages.ChangesRequest,
    change_messages.ChangesReply,
)


class Frame(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One message; a reply carries the ``number`` of its request."""

    number: int
    reply: bool
    body: Union[MESSAGES]  # noqa: UP007


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)

encode = _encoder.encode


# The start of an unknown tag that is logged and sent back.
MAX_TAG_CHARS = 100
MAX_ERROR_CHARS = 200
# What decoding raises; a text that is not UTF-8 and a body that is nested too deeply
# have errors of their own.
_INVALID = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class NotAFrame(msgspec.DecodeError):
    """The bytes are no frame, so that it isn't known to which request they belong."""


class UnknownMessage(Exception):
    """A frame whose message this build doesn't know or can't decode.

    ``tag`` is the start of the message's tag, empty if that isn't a text.
    """

    def __init__(self, number: int, reply: bool, tag: str) -> None:
        super().__init__(f"unknown message {tag!r}")
        self.number = number
        self.reply = reply
        self.tag = tag


class _Envelope(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A frame whose message is not decoded."""

    number: int
    reply: bool
    body: msgspec.Raw


_envelope_decoder = msgspec.msgpack.Decoder(_Envelope)
_parts_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])
_tag_decoder = msgspec.msgpack.Decoder(str)


def _tag(body: msgspec.Raw) -> str:
    """Return the start of a message's tag; nothing else of the message is decoded."""
    try:
        parts = _parts_decoder.decode(body)
        return _tag_decoder.decode(parts[0])[:MAX_TAG_CHARS] if parts else ""
    except _INVALID:
        return ""


def decode(data: bytes) -> Frame:
    """Decode a frame.

    Raises ``UnknownMessage`` if its message is not understood, ``NotAFrame`` if it
    isn't a frame at all.
    """
    try:
        return _decoder.decode(data)
    except _INVALID as exc:
        raise _explained(data, exc) from exc


def _explained(data: bytes, cause: Exception) -> UnknownMessage | NotAFrame:
    try:
        envelope = _envelope_decoder.decode(data)
    except _INVALID:
        return NotAFrame(str(cause)[:MAX_ERROR_CHARS])
    return UnknownMessage(envelope.number, envelope.reply, _tag(envelope.body))
