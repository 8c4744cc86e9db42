"""Messages by which nodes bring each other up to date.

A change travels as ``(key, value, revision)``. Ages and holding times are in
seconds; no message carries a point in time, since the clocks of two VMs differ.
"""

from lavenderstack.core.entry import Change
from lavenderstack.core.messages import Message


class PollRequest(Message, tag="b", kw_only=True):
    """Ask for news; answered by ``ChangesReport`` as soon as there are some, or in a second.

    ``revision`` is that up to which the asker is complete, ``newest`` its latest
    change and ``age_s`` how long ago its view was proved current; 0 if it needs no
    proof.
    """

    revision: int
    newest: int
    age_s: float


class RefreshRequest(Message, tag="ask", kw_only=True):
    """Ask a reader to look in the store now; answered by ``ChangesReport``."""

    revision: int


class ChangesReport(Message, tag="r", kw_only=True):
    """What the asker lacks, and how current it is with it.

    ``changes`` is None if the asker is so far behind that it must fetch all.
    ``age_s`` is the age of the sender's view when it answered, ``held_s`` how long
    it kept the question. ``unreachable`` is said by a reader that can't reach the
    store; ``reader`` tells whether it is one.
    """

    store_id: str
    revision: int
    age_s: float
    held_s: float
    unreachable: bool
    reader: bool
    changes: list[Change] | None


class PageRequest(Message, tag="fetch", kw_only=True):
    """Ask for the entries after a key in the order of keys; answered by ``EntriesPage``."""

    after: str


class EntriesPage(Message, tag="page", kw_only=True):
    """A part of all entries, complete up to ``revision``; ``more`` if others follow."""

    store_id: str
    revision: int
    entries: list[Change]
    more: bool


class ForwardChange(Message, tag="hand", kw_only=True):
    """Take over a change that the store has just accepted; answered by ``ChangeForwarded``."""

    store_id: str
    change: Change


class ChangeForwarded(Message, tag="handed", kw_only=True):
    """Whether the change is in force at the sender, and whether it is a reader."""

    known: bool
    reader: bool


class WhichRevision(Message, tag="which", kw_only=True):
    """Ask which revision is in force at a node; answered by ``InForce``."""


class InForce(Message, tag="in_force", kw_only=True):
    """The newest revision in force, the age of the view, and whether it is usable."""

    revision: int
    age_s: float
    usable: bool
