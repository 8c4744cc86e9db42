"""The changes of the store that a node passes on to nodes that ask it."""

from collections import deque
from collections.abc import Collection, Mapping

from lavenderstack.core.change_messages import Entry
from lavenderstack.platform.store import Item

# Kept changes and bytes of their values. Versions of a large catalog may come in quick
# succession, and five hundred of 1 MiB would not fit into a node's memory. A node that
# lacks older changes is sent all entries.
MAX_RECENT_CHANGES = 500
MAX_RECENT_B = 16 * 1024 * 1024


class RecentChanges:
    """The latest changes in their order; ``entries`` are all known entries by key."""

    def __init__(self, entries: Mapping[str, Item]) -> None:
        self._entries = entries
        self._recent: deque[Item] = deque()
        self._size_b = 0
        # ``_recent`` has all changes after this position.
        self._complete_after = 0
        # The changes up to this position come from a listing of several pages.
        self._listed_to = 0

    def record(self, item: Item) -> None:
        """Add a change."""
        self._recent.append(item)
        self._size_b += len(item.value)
        while len(self._recent) > MAX_RECENT_CHANGES or (
            self._size_b > MAX_RECENT_B and len(self._recent) > 1
        ):
            dropped = self._recent.popleft()
            self._size_b -= len(dropped.value)
            self._complete_after = max(self._complete_after, dropped.rev)

    def begin_after_listing(self, as_of: int) -> None:
        """Start anew after a listing whose first page was of the position ``as_of``.

        Changes before that page can only be passed on as a whole listing. Those made
        while the pages were read may be in the pages, and the next watch then skips
        them as known, so they are added here.
        """
        self._recent.clear()
        self._size_b = 0
        self._complete_after = as_of
        later = [item for item in self._entries.values() if item.rev > as_of]
        for item in sorted(later, key=lambda item: item.rev):
            self.record(item)
        self._listed_to = max((item.rev for item in later), default=as_of)

    def received_listed(self, as_of: int) -> None:
        """Record that changes up to ``as_of`` came from another node's listing."""
        self._listed_to = max(self._listed_to, as_of)

    def since(self, after: int) -> tuple[Collection[Item], bool]:
        """Return the changes after a position, or all entries if some are gone.

        The second value tells that these are all entries.
        """
        if after < self._complete_after:
            return self._entries.values(), True
        return [item for item in self._recent if item.rev > after], False

    def entries_since(self, after: int) -> tuple[list[Entry], bool]:
        """Return the same as ``since``, as entries of a message."""
        items, whole = self.since(after)
        entries = [
            Entry(item.key, item.rev, item.value, item.deleted) for item in items
        ]
        return entries, whole

    def is_listed(self, after: int) -> bool:
        """Return whether changes after a position were read in a listing.

        A listing has only the last change of each entry.
        """
        return after < max(self._listed_to, self._complete_after)
