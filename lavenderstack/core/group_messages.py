"""Messages that nodes send each other about the terms of a group's targets."""

from lavenderstack.core.messages import Message
from lavenderstack.core.position import Position


class Look(Message, tag="look"):
    """Ask the holder of a target for what the target says of itself now.

    Answered by ``Looked``, or by ``Failed`` when the target does not answer.
    """

    group: str
    target: str


class Looked(Message, tag="looked"):
    """What a target said after the question was received."""

    term: int
    last: Position
    role: str
    primary: str


class WhoLeads(Message, tag="who_leads"):
    """Ask a watcher of a group for its primary; answered by ``Leads``."""

    group: str


class Leads(Message, tag="leads"):
    """What the asked node knows; ``primary`` is empty if it knows none."""

    term: int
    primary: str
