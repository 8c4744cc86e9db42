"""Changes of the store as they arrive at a node, from the store or another node."""

import structlog

from lavenderstack.core import clock
from lavenderstack.core.change_messages import ChangesReply
from lavenderstack.core.entry_compression import expanded
from lavenderstack.platform import documents
from lavenderstack.platform.store import Item

log = structlog.get_logger()

# Changes of at least this size are logged with the time that their transfer took.
LARGE_CHANGES_B = 100_000


def items_of(reply: ChangesReply) -> list[Item]:
    """Return the changes of a reply; raises ``BadValue`` if one can't be expanded."""
    return [
        Item(entry.key, entry.revision, entry.data, deleted=entry.deleted)
        for entry in expanded(reply)
    ]


def evacuations_last(items: list[Item]) -> list[Item]:
    """Return changes with the evacuations after the targets and nodes of their zones.

    A zone of which nothing is known yet would be reported as unknown.
    """
    return sorted(
        items, key=lambda item: documents.evacuated_zone(item.key) is not None
    )


def log_if_large(source: str, size_b: int, sent_at: float) -> None:
    """Log the size of large changes and the seconds since their transfer could begin.

    The wait of a watch of the store is part of these.
    """
    if size_b >= LARGE_CHANGES_B:
        log.info(
            "loader: large changes received",
            source=source,
            size_b=size_b,
            transfer_s=round(clock.now() - sent_at, 3),
        )
