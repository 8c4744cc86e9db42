"""The frames that travel between nodes, and the list of messages they may carry.

A message type that is not on the list can neither be sent nor be received.
"""

from typing import Union

import msgspec

from lavenderstack.core import allowance_messages, messages

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
    allowance_messages.AskShares,
    allowance_messages.GrantShares,
    allowance_messages.AskDraw,
    allowance_messages.GrantDraw,
    allowance_messages.Recall,
    allowance_messages.Recalled,
    allowance_messages.NotAllotter,
    allowance_messages.HandOver,
    allowance_messages.HandedOver,
)


class Frame(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One message; ``number`` ties a reply to its request."""

    number: int
    reply: bool
    body: Union[MESSAGES]  # noqa: UP007


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)

encode = _encoder.encode
decode = _decoder.decode
