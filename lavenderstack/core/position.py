"""Log positions of a database group.

A position identifies one entry of a group's log by the term in which it was written and
its sequence number. The term is compared first: an entry of a later term is ahead of
any entry of an earlier one, because a primary of the later term could only start to
lead after it held every acknowledged entry of the earlier ones. Comparing sequence
numbers alone would rank a replica on an abandoned branch above its group.
"""

from typing import NamedTuple


class Position(NamedTuple):
    """A place in a group's log: ``term`` first, then ``seq``; both count from 1.

    ``Position(0, 0)`` is the empty log.

    >>> Position(2, 7) > Position(1, 900)
    True
    """

    term: int
    seq: int


START = Position(0, 0)
