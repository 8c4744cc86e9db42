"""What a directory knows of targets that have started recently.

``core/targets/cold_start.py`` explains the rules.
"""

import math

from lavenderstack.core import clock
from lavenderstack.core.catalog import Catalog, TargetState
from lavenderstack.core.targets.cold_start import ColdLimits


class ColdStarts:
    """The part of a directory that concerns cold targets.

    ``cold_limits`` are the deployment's, None if nothing limits what a target gets.
    ``members_changed_at`` is when the known nodes last changed, ``registered_at`` when
    this node was registered last, both in seconds on the clock. ``registered`` tells
    whether the store has its registration.
    """

    name: str
    catalog: Catalog
    targets: dict[str, TargetState]

    def __init__(self) -> None:
        self.cold_limits: ColdLimits | None = None
        self.members_changed_at = -math.inf
        self.registered = True
        self.registered_at = -math.inf

    def record_registration(self, node: str, registered: bool) -> None:
        """Record that a node's registration was written to the store, or has ended.

        This node's own counts at once, even while it keeps acting as a member.
        """
        if node != self.name:
            return
        if registered and not self.registered:
            self.registered_at = clock.now()
        self.registered = registered

    def cold_limit(self, group: str) -> int | None:
        """Return what one node may send to a cold target of a group in any one second.

        Returns None if there is no limit.
        """
        limits = self.catalog.groups.get(group)
        if self.cold_limits is None or limits is None:
            return None
        return self.cold_limits.for_node(limits.cold_rate)

    def is_cold(self, state: TargetState, now: float) -> bool:
        """Return whether a target is cold and its group limits what it gets then."""
        return now < state.cold_until and self.cold_limit(state.group) is not None

    def cold_targets(self) -> int:
        """Return how many targets are cold and limited."""
        now = clock.now()
        return sum(self.is_cold(state, now) for state in self.targets.values())
