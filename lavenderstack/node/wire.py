"""The encoding of frames between nodes and the list of messages they may carry.

A message type that is not in ``MESSAGES`` can be neither sent nor received.
"""

from typing import Union

import msgspec

from lavenderstack.core import (
    change_messages,
    coordinator_messages,
    group_messages,
    messages,
    relay_messages,
    share_messages,
    work_messages,
)

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
decode = _decoder.decode
