"""What operators and targets have declared, as this node knows it.

A catalog is one accepted version of the operators' lists. It is replaced whole by a
later version and never by an earlier one. Where targets are, and which of them leads,
changes far more often and is kept apart from it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from lavenderstack.core.view import Plan, Target

DEFAULT_TX_IDLE_S = 3.0


class Consistency(StrEnum):
    """What a route promises of its reads.

    ``PRIMARY``: everything acknowledged before the read. ``BOUNDED``: everything
    acknowledged more than a stated time before. ``SESSION``: that, and what the
    session itself has written.
    """

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


@dataclass(frozen=True, slots=True)
class Route:
    """How statements for one database name are served; times are in seconds."""

    database: str
    group: str
    freshness: Consistency
    timeout_s: float
    latency_goal_s: float
    priority: int
    max_age_s: float = 0.0
    public: bool = False


@dataclass(frozen=True, slots=True)
class GroupLimits:
    """What a target of a group allows, and whether its commits are kept twice."""

    connections: int
    replicated: bool


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the operators' lists; ``keys`` maps a digest to its owner."""

    version: int = 0
    routes: Mapping[str, Route] = field(default_factory=dict)
    groups: Mapping[str, GroupLimits] = field(default_factory=dict)
    plans: Mapping[str, Plan] = field(default_factory=dict)
    keys: Mapping[str, str] = field(default_factory=dict)
    tx_idle_s: float = DEFAULT_TX_IDLE_S


@dataclass(frozen=True, slots=True)
class TargetState:
    """One target as it last reported; ``revision`` is that of the report.

    ``leads`` is how the target sees itself, ``leads_since`` the revision at which it
    was first seen to say so without a break.
    """

    target: Target
    group: str
    leaving: bool
    leads: bool
    revision: int
    leads_since: int = 0


@dataclass(frozen=True, slots=True)
class Reserve:
    """Tokens that the allotter ``owner`` does not hand out, by organisation.

    They are there for its successor, which knows nothing else of the buckets.
    """

    owner: str = ""
    tokens: Mapping[str, float] = field(default_factory=dict)
    revision: int = 0

    @property
    def node(self) -> str:
        """The name of the node; the owner is one process of it, as ``name#process``."""
        return self.owner.partition("#")[0]


@dataclass(frozen=True, slots=True)
class RecordedOwnership:
    """A duty in force: who holds it, under which epoch, recorded at ``revision``."""

    node: str
    epoch: int
