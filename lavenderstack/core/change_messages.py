"""Messages by which a few readers of a zone pass on what they learn from the store."""

from lavenderstack.core.messages import Message


class Entry(Message, tag="entry"):
    """An entry of the store as it was written at a revision, or its removal."""

    key: str
    revision: int
    data: str
    deleted: bool = False


class ChangesRequest(Message, tag="ask_news"):
    """Ask a reader for what changed after a revision; answered by ``ChangesReply``.

    The reader may keep the question for ``wait_s`` if nothing has. It answers
    ``Failed`` if it knows nothing yet.
    """

    after: int
    wait_s: float


class ChangesReply(Message, tag="news"):
    """What changed up to ``as_of``; with ``whole`` the entries are all there are.

    When it was sent, the reader had kept the question for ``held_s`` seconds, and what
    it knew had been proved current ``age_s`` seconds before.
    """

    entries: list[Entry]
    as_of: int
    whole: bool
    held_s: float
    age_s: float
