"""Until when a target that leaves may be given new work.

The platform lets a target serve for some time after its store has accepted the report
that it leaves, and wants nothing new to reach it after that. A node learns of the
report later than it was accepted. It knows that it was not accepted before the moment
at which its view was last proved current, so it counts from then.
"""

import math

# Covers the delay between the check at a node and the first byte at the target.
MARGIN_S = 0.25
# The part of the time that a node allows which doesn't know how much has passed.
UNKNOWN_SHARE = 0.5


def usable_until(now: float, current_at: float, limit_s: float | None) -> float:
    """Return until when new work may be sent to a target that leaves, on the clock.

    Its report arrives ``now``, ``current_at`` is when the view was last proved current
    before, minus infinity if it never was. ``limit_s`` is the platform's limit in
    seconds, None if there is none.

    >>> usable_until(20.0, 19.0, 7.0)
    25.75
    >>> usable_until(20.0, -math.inf, 7.0)
    23.25
    """
    if limit_s is None:
        return math.inf
    if math.isinf(current_at):
        return now + limit_s * UNKNOWN_SHARE - MARGIN_S
    return current_at + limit_s - MARGIN_S
