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


class UnknownMessage(Exception):
    """A frame whose message this build doesn't know; ``tag`` is the message's."""

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
_body_decoder = msgspec.msgpack.Decoder(list)


def decode(data: bytes) -> Frame:
    """Decode a frame.

    Raises ``UnknownMessage`` if its message is not understood, ``MsgspecError`` if it
    isn't a frame at all.
    """
    try:
        return _decoder.decode(data)
    except msgspec.ValidationError as exc:
        envelope = _envelope_decoder.decode(data)
        body = _body_decoder.decode(envelope.body)
        tag = str(body[0]) if body else ""
        raise UnknownMessage(envelope.number, envelope.reply, tag) from exc
