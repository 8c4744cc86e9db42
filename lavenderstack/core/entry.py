"""An entry of the platform's key-value service, as the rest of the node sees it."""

from typing import NamedTuple


class Change(NamedTuple):
    """The value that a key got at a revision; ``value`` is None if it was deleted.

    An entry as it stands is the change that last wrote it.
    """

    key: str
    value: bytes | None
    revision: int
