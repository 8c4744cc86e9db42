"""The load of a target as its connection holder reports it to entry nodes.

A report is part of an answer that is sent anyway. It carries no point in time, since
the clocks of two VMs differ; its age counts from the request that it answers.
"""

import msgspec


class TargetLoad(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The load of one target.

    ``waiting`` statements wait for a slot, ``running`` ones hold one of the ``limit``
    that may run at once. ``mean_s`` is the mean time of a statement in a slot,
    ``wait_s`` the expected wait of a statement of an organisation with none waiting.
    ``full_s`` is for how long the holder expects to refuse statements of the same
    priority, 0 if it accepts them. ``mean_s`` is for this priority, too. ``held_s`` is
    how long the holder had the request that it answers with this report: the rest of
    the round trip is the distance, and the greatest possible age of the report on
    arrival. Times are in seconds.
    """

    waiting: int
    running: int
    limit: int
    mean_s: float
    wait_s: float = 0.0
    full_s: float = 0.0
    held_s: float = 0.0
