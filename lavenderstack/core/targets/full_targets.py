"""What an entry node must know to refuse a statement without asking the holder."""

from collections.abc import Hashable
from typing import Protocol


class FullTargets(Protocol):
    """Which targets have reported that they refuse statements."""

    def full_until(self, target: str, kind: Hashable) -> float:
        """Return until when a target refuses statements of a route's kind.

        The kind is the route's priority and latency goal: of kinds with the same
        priority, one with a later deadline may be accepted while another is refused.
        The time is in seconds on the clock. It has passed if the target accepts them,
        or if nothing recent is known of it.
        """
        ...


class NoReports:
    """Stands for ``FullTargets`` where holders don't report their load."""

    def full_until(self, target: str, kind: Hashable) -> float:
        """Return a time that has passed."""
        return float("-inf")
