"""Tests that the obstacle to a takeover is the actual one."""

import pytest

from lavenderstack.core.failover.acknowledged_end import (
    AcknowledgedEnd,
    takeover_blocker,
)
from lavenderstack.core.failover.replacement import Obstacle, ReplicaState
from lavenderstack.core.position import Position

BEST = ReplicaState("b", False, Position(1, 5))
KNOWN = AcknowledgedEnd(Position(1, 5))


@pytest.mark.parametrize(
    ("end", "best", "missing", "grown", "expected"),
    [
        (KNOWN, BEST, True, False, None),
        (KNOWN, None, True, False, Obstacle.NO_REPLICA),
        (KNOWN, BEST, False, True, Obstacle.PRIMARY_RUNS),
        (AcknowledgedEnd(Position(1, 6)), BEST, True, False, Obstacle.BEHIND),
        (AcknowledgedEnd(), BEST, False, False, Obstacle.UNKNOWN_HISTORY),
        (AcknowledgedEnd(None, ("n",)), BEST, False, False, Obstacle.SILENT_NODE),
        (AcknowledgedEnd(None, ("n",)), BEST, True, False, Obstacle.MISSING_REPLICA),
    ],
)
def test_the_obstacle_is_named(end, best, missing, grown, expected):
    """Guards against ``MISSING_REPLICA`` with none missing, which tells nothing."""
    assert takeover_blocker(end, best, missing, grown) is expected
