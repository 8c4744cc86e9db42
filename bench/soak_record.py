"""What the callers, the targets and the operator of a soak saw.

The checks of ``bench.soak_checks`` read nothing else. All times are seconds on the
clock of the process that plays the callers, the targets and the platform.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum

from standins.line_group import (
    Commit,
    Lineage,
    LineGroup,
    LogPosition,
    Promotion,
    Run,
)
from standins.promotion_orders import Order


class Freshness(StrEnum):
    """How current the reads of a database are, in the words of the settings."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "read_your_writes"


# Outcomes of a request other than the code of an error.
DONE = "DONE"
CUT = "cut"
NO_ANSWER = "no answer"


@dataclass(frozen=True, slots=True)
class Database:
    """A route: the group behind it and what its callers ask for."""

    name: str
    group: str
    freshness: Freshness
    timeout_s: float
    max_age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Sent:
    """A statement as its caller sent it, and what the session had; see ``Seen``.

    ``shape`` is empty unless the statement executes what the session has prepared.
    ``line_b`` is the length of the line.
    """

    text: str
    shape: str
    values: tuple[tuple[str, str], ...]
    line_b: int


@dataclass(slots=True)
class Request:
    """One statement that a caller sent on an open session.

    ``operation`` is shared by the statements of a transaction, ``began_at`` is when
    the first of them was sent. ``node`` is the process that took it, with the number
    of its start. ``receipt`` and ``row`` are those of the answer. ``sent`` has what a
    target must find, from callers that choose their texts freely.
    """

    name: str
    operation: str
    session: int
    node: str
    key: str
    organisation: str
    database: Database
    text: str
    began_at: float
    sent_at: float
    in_transaction: bool = False
    ended_at: float | None = None
    outcome: str = ""
    receipt: str = ""
    row: str = ""
    sent: Sent | None = None

    @property
    def verb(self) -> str:
        """The first word of the statement, or of the shape that it executes."""
        if self.sent is not None and self.sent.shape:
            return self.sent.shape.split(" ", 1)[0]
        return self.text.split(" ", 1)[0]

    @property
    def commits(self) -> bool:
        """Whether an acknowledgement promises that something is kept."""
        return self.verb == "COMMIT" or (
            self.verb == "WRITE" and not self.in_transaction
        )


@dataclass(frozen=True, slots=True)
class IdleCut:
    """A session that ended inside a transaction, while no request was sent."""

    at: float
    node: str
    began_at: float


@dataclass(slots=True)
class Disturbance:
    """A fault that was injected into the parts named by ``scope``.

    A fault without ``end`` is still on. ``planned`` faults are stops by SIGTERM.
    """

    kind: str
    scope: frozenset[str]
    start: float
    end: float | None = None
    planned: bool = False

    def touches(self, start: float, end: float) -> bool:
        """Return whether the fault was on at a moment of a span of time."""
        return self.start <= end and (self.end is None or self.end >= start)


@dataclass(frozen=True, slots=True)
class KeyChange:
    """A key that a version of the configuration granted or withdrew.

    ``acked_at`` is when the store had the version.
    """

    key: str
    version: int
    acked_at: float


@dataclass(frozen=True, slots=True)
class Stop:
    """The SIGTERM of a process, and its end; ``status`` is its exit status."""

    node: str
    at: float
    ended_at: float | None = None
    status: int | None = None


@dataclass(slots=True)
class EvacuatedSpan:
    """When a zone was evacuated: from the store's acknowledgement on.

    It ends when the request is withdrawn; without ``end`` it is still in force.
    """

    zone: str
    acked_at: float
    end: float | None = None


@dataclass(frozen=True, slots=True)
class Plan:
    """What an organisation may ask for: operations a second and a burst."""

    rate: float
    burst: float


@dataclass(frozen=True)
class GroupView:
    """What a ``LineGroup`` had recorded at a moment."""

    name: str
    end: LogPosition
    lineage: Lineage
    runs: list[Run]
    commits: list[Commit]
    promotions: list[Promotion]
    too_long: list[str] = field(default_factory=list)


def view_of(group: "LineGroup | GroupView") -> GroupView:
    """Return what a group has recorded up to now."""
    return GroupView(
        group.name,
        group.end,
        Lineage(dict(group.lineage.bases)),
        list(group.runs),
        list(group.commits),
        list(group.promotions),
        list(group.too_long),
    )


@dataclass
class Record:
    """All that was seen; ``stalls`` are those of the observing process.

    ``zones`` maps targets to their zones. ``idle_closes`` are ends of sessions outside
    of a transaction, while no request was sent. ``stray`` has messages that callers got
    while no request was outstanding.
    """

    plans: dict[str, Plan] = field(default_factory=dict)
    groups: dict[str, LineGroup | GroupView] = field(default_factory=dict)
    requests: list[Request] = field(default_factory=list)
    idle_cuts: list[IdleCut] = field(default_factory=list)
    idle_closes: list[IdleCut] = field(default_factory=list)
    stray: list[str] = field(default_factory=list)
    granted: dict[str, KeyChange] = field(default_factory=dict)
    withdrawn: dict[str, KeyChange] = field(default_factory=dict)
    disturbances: list[Disturbance] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    evacuations: list[EvacuatedSpan] = field(default_factory=list)
    zones: dict[str, str] = field(default_factory=dict)
    own_ends: list[str] = field(default_factory=list)
    orders: list[Order] = field(default_factory=list)
    stalls: list[tuple[float, float]] = field(default_factory=list)

    def snapshot(self) -> "Record":
        """Return a copy for checks in another thread, while more is recorded."""
        return replace(
            self,
            groups={name: view_of(one) for name, one in self.groups.items()},
            requests=[
                replace(one) if one.ended_at is None else one for one in self.requests
            ],
            idle_cuts=list(self.idle_cuts),
            idle_closes=list(self.idle_closes),
            stray=list(self.stray),
            granted=dict(self.granted),
            withdrawn=dict(self.withdrawn),
            disturbances=[replace(one) for one in self.disturbances],
            stops=list(self.stops),
            evacuations=[replace(one) for one in self.evacuations],
            own_ends=list(self.own_ends),
            orders=list(self.orders),
        )

    def by_name(self) -> dict[str, Request]:
        """Return the requests by their names."""
        return {request.name: request for request in self.requests}

    def acknowledged(self) -> list[Request]:
        """Return the acknowledged requests that promise that something is kept."""
        return [one for one in self.requests if one.commits and one.outcome == DONE]

    def is_calm(
        self,
        start: float,
        end: float,
        scope: Iterable[str] | None = None,
        planned: bool = False,
    ) -> bool:
        """Return whether no fault was on in a span, in any part or in some.

        Stops count as faults only if ``planned`` is set.
        """
        names = None if scope is None else set(scope)
        return not any(
            one.touches(start, end)
            and (planned or not one.planned)
            and (names is None or names & one.scope)
            for one in self.disturbances
        )

    def outcomes(self) -> dict[str, int]:
        """Return how many requests ended in each way."""
        counts: dict[str, int] = defaultdict(int)
        for request in self.requests:
            counts[request.outcome or "open"] += 1
        return dict(sorted(counts.items()))
