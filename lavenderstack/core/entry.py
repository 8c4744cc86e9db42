"""An entry of the platform's key-value store, independent of the store's protocol."""

from typing import NamedTuple


class Change(NamedTuple):
    """The value that a key got at a revision; ``value`` is None if the key was deleted.

    An entry in force is represented by the change that last wrote it.
    """

    key: str
    value: bytes | None
    revision: int
