"""Messages by which nodes pass on changes of the store.

A change is encoded as ``(key, value, revision)``. Ages and holding times are in
seconds; no message contains a point in time, since the clocks of two VMs differ.
"""

from lavenderstack.core.entry import Change
from lavenderstack.core.messages import Message


class PollRequest(Message, tag="b", kw_only=True):
    """Asks for changes; answered by ``ChangesReport`` when there are any, or in 1 s.

    The asker is complete up to ``revision``, its latest change is ``newest``. ``age_s``
    is how many seconds ago its view was proved current, 0 if it needs no proof.
    """

    revision: int
    newest: int
    age_s: float


class RefreshRequest(Message, tag="ask", kw_only=True):
    """Asks a store reader to query the store now; answered by ``ChangesReport``."""

    revision: int


class ChangesReport(Message, tag="r", kw_only=True):
    """The changes that the asker lacks, and how current they make it.

    ``changes`` is None if the asker is so far behind that it must fetch all entries.
    ``age_s`` is the age of the sender's view when it answered, ``held_s`` how long it
    held the request, both in seconds. ``unreachable`` means that the sender is a store
    reader that can't reach the store; ``reader`` whether it is a store reader.
    """

    store_id: str
    revision: int
    age_s: float
    held_s: float
    unreachable: bool
    reader: bool
    changes: list[Change] | None


class PageRequest(Message, tag="fetch", kw_only=True):
    """Asks for the entries after a key, in key order; answered by ``EntriesPage``."""

    after: str


class EntriesPage(Message, tag="page", kw_only=True):
    """A part of all entries, complete up to ``revision``; ``more`` if others follow."""

    store_id: str
    revision: int
    entries: list[Change]
    more: bool


class ForwardChange(Message, tag="hand", kw_only=True):
    """Passes on a change just accepted; answered by ``ChangeForwarded``."""

    store_id: str
    change: Change


class ChangeForwarded(Message, tag="handed", kw_only=True):
    """Whether the sender has the change in force and whether it is a store reader."""

    known: bool
    reader: bool


class WhichRevision(Message, tag="which", kw_only=True):
    """Asks which revision is in force at a node; answered by ``InForce``."""


class InForce(Message, tag="in_force", kw_only=True):
    """The newest revision in force, the age of the view, and whether it is usable."""

    revision: int
    age_s: float
    usable: bool
