"""Messages between a node that admits requests and the allotter of a shard.

The parts of a batch carry no tag of their own; they only travel inside one. All
times are durations in seconds.
"""

import msgspec

from lavenderstack.core.messages import Message


class ShareRequest(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What a node holds of one organisation's plan and how much it needs.

    ``number`` grows with every request of this node for the organisation; only the
    answer to the latest one is ever taken up. ``epoch`` and ``seq`` name the share
    held (0 for none), ``rate`` and ``capacity`` its size under the plan that the node
    knows, ``granted`` its capacity under the plan of the grant, ``demand`` the
    requests/s seen lately, and ``returned`` tokens that the node gives back.
    """

    organisation: str
    number: int
    epoch: int
    seq: int
    rate: float
    capacity: float
    granted: float
    demand: float
    returned: float


class ShareGrant(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The share that replaces the one named in the request with this ``number``.

    It is valid for ``valid_s`` counted from the moment of asking. ``fill`` tokens
    come with it. ``plan_rate`` and ``plan_burst`` tell of which plan it is a share.
    A grant ``in_place`` only prolongs what the node holds, and is void if that has
    ended.
    """

    organisation: str
    number: int
    epoch: int
    seq: int
    rate: float
    capacity: float
    fill: float
    valid_s: float
    plan_rate: float
    plan_burst: float
    in_place: bool


class SharesRequest(Message, tag="ask_shares"):
    """Renew the shares of organisations; answered by ``SharesReply``.

    ``node`` names the process, not the VM: a restarted one has another name.
    """

    node: str
    requests: list[ShareRequest]


class SharesReply(Message, tag="grant_shares"):
    """Shares granted; an organisation that the sender can't serve is left out."""

    grants: list[ShareGrant]


class DrawRequest(Message, tag="ask_draw"):
    """Ask for a few tokens at once; answered by ``DrawReply``."""

    node: str
    organisation: str
    number: int
    tokens: int
    demand: float


class DrawReply(Message, tag="grant_draw"):
    """``tokens`` that may be used for ``valid_s`` counted from the asking.

    If there are fewer than asked, the rest will have accrued in ``retry_after_s``.
    """

    tokens: int
    valid_s: float
    retry_after_s: float


class RecallRequest(Message, tag="recall"):
    """Ask a node for the tokens of its share; answered by ``RecallReply``."""

    organisation: str


class RecallReply(Message, tag="recalled"):
    """The share as it is after giving its tokens back; no grant follows.

    ``requests`` is empty if the node has no share of the organisation.
    """

    node: str
    requests: list[ShareRequest]


class NotCoordinator(Message, tag="not_allotter"):
    """The receiver isn't the allotter of this organisation now."""


class LeaseSnapshot(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A share that may be in force for ``left_s`` yet; see ``leaseholder.Entry``."""

    seq: int
    rate: float
    capacity: float
    basis_rate: float
    basis_burst: float
    left_s: float


class LeaseholderSnapshot(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What is known of one process; see ``leaseholder.Leaseholder``."""

    node: str
    number: int
    draw_number: int
    drawn: float
    drawn_left_s: float
    demand: float
    entries: list[LeaseSnapshot]


class LedgerSnapshot(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The books on one organisation, and the tokens that nobody was given."""

    organisation: str
    seq: int
    level: float
    lessees: list[LeaseholderSnapshot]


class LedgerHandover(Message, tag="hand_over"):
    """The owner of a shard at ``epoch`` issues nothing more; here are its books."""

    shard: int
    epoch: int
    ledgers: list[LedgerSnapshot]


class HandoverReply(Message, tag="handed_over"):
    """The books have arrived."""
