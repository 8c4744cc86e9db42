"""Messages between nodes about the state of a database group."""

from lavenderstack.core.messages import Message
from lavenderstack.core.position import START, Position


class ProbeRequest(Message, tag="look"):
    """Asks a target's connection holder for the target's state.

    Answered by ``ProbeReply``. The holder must query the target after this message has
    arrived; an earlier answer proves nothing to the asker.
    """

    group: str
    target: str


class ProbeReply(Message, tag="looked"):
    """A target's answer; ``answered`` is False if it gave none."""

    answered: bool
    term: int = 0
    last: Position = START
    role: str = ""
    primary: str = ""


class PrimaryRequest(Message, tag="who_leads"):
    """Asks a monitor of a group for its primary; answered by ``PrimaryReply``.

    With ``check`` the monitor first probes all targets, then fills in ``healthy``.
    """

    group: str
    check: bool = False


class PrimaryReply(Message, tag="leads"):
    """The primary known to a monitor, empty if it knows none.

    ``healthy`` is True if the primary and a majority of the group's targets under its
    term have just answered the monitor. ``evacuated`` is True if the primary is lost
    and none is promoted since only targets in evacuated zones could lead; ``term`` is
    then the term concerned (``core/evacuation/evacuation_block.py``).
    """

    term: int = 0
    primary: str = ""
    healthy: bool = False
    evacuated: bool = False
