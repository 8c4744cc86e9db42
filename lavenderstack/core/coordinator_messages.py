"""Messages between entries and the allotter of the organisations' rates."""

from lavenderstack.core.messages import Message


class Attach(Message, tag="attach"):
    """Count this node among those that draw here; answered by ``TokensReply``."""

    node: str


class Detach(Message, tag="detach"):
    """Count this node no longer, as it asks elsewhere now; answered by ``TokensReply``."""

    node: str


class DrawTokens(Message, tag="draw_tokens"):
    """Ask for tokens of an organisation; also attaches. Answered by ``TokensReply``.

    ``wanted`` operations wait for them; ``prefetch`` more are expected soon.
    """

    node: str
    organisation: str
    wanted: int
    prefetch: int = 0


class TokensReply(Message, tag="drawn"):
    """The tokens handed out; ``retry_after_s`` counts if there are none.

    ``attached_fraction`` is the part of the rate that this allotter hands out.
    """

    tokens: int
    retry_after_s: float = 0.0
    attached_fraction: float = 0.0
