"""Messages between a node that admits requests and a shard's quota coordinator.

The structs without a tag are only sent as parts of a message. All times are durations
in seconds, rates are in tokens/s, capacities in tokens.
"""

import msgspec

from lavenderstack.core.messages import Message


class ShareRequest(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What a node holds of one organisation's plan and how much it needs.

    ``number`` increases with every request of this node for the organisation; only the
    answer to the latest one is adopted. ``epoch`` and ``seq`` identify the share held
    (0 for none). ``rate`` and ``capacity`` are its size under the plan that the node
    knows, ``granted`` is its capacity under the plan of the grant. ``demand`` is the
    recent number of requests/s, and ``returned`` the tokens that the node gives back.
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

    It is valid for ``valid_s`` from the time of the request. ``fill`` tokens come with
    it. ``plan_rate`` and ``plan_burst`` are those of the plan that it is a share of.
    A grant that is ``in_place`` only extends the share that the node holds, and is
    void if that share has ended.
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
    """Request shares of several organisations; answered by ``SharesReply``.

    ``node`` is the name of the process, not of the VM: it differs after a restart.
    """

    node: str
    requests: list[ShareRequest]


class SharesReply(Message, tag="grant_shares"):
    """The shares granted; organisations that the sender can't serve are omitted."""

    grants: list[ShareGrant]


class DrawRequest(Message, tag="ask_draw"):
    """Request a few tokens for immediate use; answered by ``DrawReply``."""

    node: str
    organisation: str
    number: int
    tokens: int
    demand: float


class DrawReply(Message, tag="grant_draw"):
    """The tokens granted, valid for ``valid_s`` from the time of the request.

    If they are fewer than requested, the rest will have accrued in ``retry_after_s``.
    """

    tokens: int
    valid_s: float
    retry_after_s: float


class RecallRequest(Message, tag="recall"):
    """Ask a node to return the tokens of its share; answered by ``RecallReply``."""

    organisation: str


class RecallReply(Message, tag="recalled"):
    """The share as it is after its tokens were returned; no grant follows.

    ``requests`` is empty if the node has no share of the organisation.
    """

    node: str
    requests: list[ShareRequest]


class NotCoordinator(Message, tag="not_allotter"):
    """The receiver isn't the quota coordinator of this organisation at present."""


class LeaseSnapshot(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A share that may remain in force for ``left_s``; see ``leaseholder.Lease``."""

    seq: int
    rate: float
    capacity: float
    basis_rate: float
    basis_burst: float
    left_s: float


class LeaseholderSnapshot(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The leases of one process; see ``leaseholder.Leaseholder``."""

    node: str
    number: int
    draw_number: int
    drawn: float
    drawn_left_s: float
    demand: float
    leases: list[LeaseSnapshot]


class LedgerSnapshot(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The ledger of one organisation; ``level`` is the number of unleased tokens."""

    organisation: str
    seq: int
    level: float
    leaseholders: list[LeaseholderSnapshot]


class LedgerHandover(Message, tag="hand_over"):
    """The ledgers of a shard, whose owner at ``epoch`` issues no more leases.

    Answered by ``HandoverReply``.
    """

    shard: int
    epoch: int
    ledgers: list[LedgerSnapshot]


class HandoverReply(Message, tag="handed_over"):
    """Confirms that the ledgers of a shard have arrived."""
