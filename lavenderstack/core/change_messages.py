"""Messages by which the nodes of a zone ask each other for changes of the store."""

from lavenderstack.core.messages import Message


class Entry(Message, tag="entry"):
    """A store entry as written at ``revision``, or its deletion if ``deleted``."""

    key: str
    revision: int
    data: str
    deleted: bool = False


class ChangesRequest(Message, tag="ask_news"):
    """Ask a node for the changes after a revision; answered by ``ChangesReply``.

    The receiver may hold the request for ``wait_s`` seconds while there are none. It
    answers ``Failed`` if it has not read the store yet. ``compressed`` tells that the
    sender understands compressed values.
    """

    after: int
    wait_s: float
    compressed: bool = False


class ChangesReply(Message, tag="news"):
    """The changes up to the revision ``as_of``; all entries of the store if ``whole``.

    When it was sent, the sender had held the request for ``held_s`` seconds, and its
    state had been proved current ``age_s`` seconds before. ``listed`` tells that some
    entries were read in a listing, which has only the last change of each; a build that
    doesn't tell may have listed them. ``compressed`` has the large values by the index
    of their entries, whose ``data`` is empty (``core/entry_compression.py``).
    """

    entries: list[Entry]
    as_of: int
    whole: bool
    held_s: float
    age_s: float
    listed: bool = True
    compressed: dict[int, bytes] = {}
