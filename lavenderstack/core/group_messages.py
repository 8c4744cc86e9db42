"""Messages between nodes about the state of a database group."""

from lavenderstack.core.messages import Message
from lavenderstack.core.position import START, Position


class ProbeRequest(Message, tag="look"):
    """Ask a target's holder for the target's state; answered by ``ProbeReply``.

    The holder must put a question to the target after this message has arrived; an
    answer that it knew before proves nothing to the asker.
    """

    group: str
    target: str


class ProbeReply(Message, tag="looked"):
    """A target's answer. ``answered`` is False when it gave none."""

    answered: bool
    term: int = 0
    last: Position = START
    role: str = ""
    primary: str = ""


class PrimaryRequest(Message, tag="who_leads"):
    """Ask a watcher of a group for its primary; answered by ``PrimaryReply``.

    With ``check`` the watcher probes all targets first and fills in ``healthy``.
    """

    group: str
    check: bool = False


class PrimaryReply(Message, tag="leads"):
    """The primary that a watcher knows, empty if it knows none.

    ``healthy`` tells that the watcher has just heard the primary and a majority of
    the group's targets under its term.
    """

    term: int = 0
    primary: str = ""
    healthy: bool = False
