"""Positions in the platform's store, which may be restored from an older copy.

After a restore the store's revisions go back and are given again, and its era rises by
one. A position combines both, so that everything written in a later era is later than
everything of an earlier one. Positions are plain integers: they compare as such, and
can be kept, sent to other nodes and used as epochs like a revision.

The era takes the bits above ``REVISION_BITS``. In era 0 a position equals its revision,
so positions from a build that knows no eras are positions of era 0.
"""

# Enough revisions for 10 years of 3,200 writes a second. A position of one of the
# first 8,192 eras is exact in a JSON number (53 bits); 63 bits hold 8 million eras.
REVISION_BITS = 40
MAX_REVISION = (1 << REVISION_BITS) - 1


def store_position(era: int, revision: int) -> int:
    """Return the position of a revision of an era.

    Raises ``ValueError`` if the revision does not fit.

    >>> store_position(1, 5) > store_position(0, 900)
    True
    """
    if not 0 <= revision <= MAX_REVISION or era < 0:
        raise ValueError(f"no position: era {era}, revision {revision}")
    return (era << REVISION_BITS) | revision


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> REVISION_BITS


def revision_of(position: int) -> int:
    """Return the revision that the store gave within the position's era."""
    return position & MAX_REVISION


def format_position(position: int) -> str:
    """Return a position as ``ERA.REVISION``, for log lines.

    >>> format_position(store_position(2, 31))
    '2.31'
    """
    return f"{era_of(position)}.{revision_of(position)}"
