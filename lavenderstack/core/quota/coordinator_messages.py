"""Messages between entry nodes and the quota coordinator."""

from lavenderstack.core.messages import Message


class Attach(Message, tag="attach"):
    """Attach this node to the receiver; answered by ``TokensReply``."""

    node: str


class Detach(Message, tag="detach"):
    """Detach this node, which uses another coordinator; answered by ``TokensReply``."""

    node: str


class DrawTokens(Message, tag="draw_tokens"):
    """Request tokens of an organisation, and attach; answered by ``TokensReply``.

    ``wanted`` operations wait for tokens; ``prefetch`` more are expected soon.
    ``version`` is that of the sender's catalog, in which the organisation has ``rate``
    and ``burst``; 0 if the sender doesn't say. Answered by ``Failed`` if neither knows
    a plan.
    """

    node: str
    organisation: str
    wanted: int
    prefetch: int = 0
    version: int = 0
    rate: float = 0.0
    burst: float = 0.0


class TokensReply(Message, tag="drawn"):
    """The tokens handed out.

    If there are fewer than wanted, ``retry_after_s`` is the time in seconds until one
    is expected, and ``spacing_s`` the time between tokens after that.
    ``attached_fraction`` is the fraction of all nodes that are attached to this
    coordinator, and so about the fraction of the rate that it hands out.
    """

    tokens: int
    retry_after_s: float = 0.0
    attached_fraction: float = 0.0
    spacing_s: float = 0.0
