"""The configuration that operators declare, as this node knows it.

A catalog is one accepted version of the operators' lists. A later version replaces it
as a whole; an earlier one never does. Target addresses and the current primary change
far more often, so they are kept separately.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from lavenderstack.core.failover.replica_set import TargetRun
from lavenderstack.core.unique_id import node_of
from lavenderstack.core.view import Plan, Target

DEFAULT_TX_IDLE_S = 3.0


class Consistency(StrEnum):
    """What a route guarantees for its reads.

    ``PRIMARY``: a read sees everything acknowledged before it started. ``BOUNDED``: it
    sees everything acknowledged more than a configured time before. ``SESSION``: as
    ``BOUNDED``, and also the session's own writes.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


@dataclass(frozen=True, slots=True)
class Route:
    """How statements for one database name are served; times are in seconds.

    ``home_regions`` are the regions that its statements may not leave, if any.
    """

    database: str
    group: str
    freshness: Consistency
    timeout_s: float
    latency_goal_s: float
    priority: int
    max_age_s: float = 0.0
    public: bool = False
    home_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class GroupLimits:
    """Connection limit of a group's targets, and whether commits are replicated.

    ``cold_rate`` is what a cold target can take in statements/s, 0 if it isn't limited.
    ``cold_s`` is how many seconds a target is cold after its start, 0 if unknown.
    """

    connections: int
    replicated: bool
    cold_rate: float = 0.0
    cold_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the operators' lists; ``keys`` maps a key digest to its owner.

    ``unusable`` are the places of names and keys for which nothing is run.
    """

    version: int = 0
    routes: Mapping[str, Route] = field(default_factory=dict)
    groups: Mapping[str, GroupLimits] = field(default_factory=dict)
    plans: Mapping[str, Plan] = field(default_factory=dict)
    keys: Mapping[str, str] = field(default_factory=dict)
    tx_idle_s: float = DEFAULT_TX_IDLE_S
    unusable: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class TargetState:
    """A target's last report; ``revision`` is the store revision of that report.

    ``leads`` is the target's own claim to be the primary. ``leads_since`` is the
    revision of the first report in the current unbroken run of such claims. ``run``
    identifies the target's present run. ``cold_until`` is until when it is cold after
    its start, in seconds on the clock, 0 if it isn't; ``usable_until`` is until when it
    may get new work, which ends if it leaves.
    """

    target: Target
    group: str
    leaving: bool
    leads: bool
    revision: int
    leads_since: int = 0
    started_ms: int = 0
    cold_until: float = 0.0
    usable_until: float = math.inf

    def takes_new_work(self, now: float) -> bool:
        """Return whether new work may be sent to the target at a time on the clock."""
        return now <= self.usable_until

    @property
    def run(self) -> TargetRun:
        """The present run of the target."""
        return TargetRun(self.target.name, self.started_ms)


@dataclass(frozen=True, slots=True)
class Reserve:
    """Tokens by organisation that the quota coordinator ``owner`` does not hand out.

    They are kept for the next coordinator, which knows nothing else about the buckets.
    """

    owner: str = ""
    tokens: Mapping[str, float] = field(default_factory=dict)
    revision: int = 0

    @property
    def node(self) -> str:
        """The node's name; ``owner`` is one of its processes, ``name#process``."""
        return node_of(self.owner)


@dataclass(frozen=True, slots=True)
class RecordedOwnership:
    """An ownership in force: the owning node and its epoch, stored at ``revision``."""

    node: str
    epoch: int
