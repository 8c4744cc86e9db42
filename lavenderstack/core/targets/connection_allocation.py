"""Decides which organisations keep a connection to a target that allows few of them.

A connection serves one organisation, and opening one takes a slot of the target from
everybody. So the connection that is closed for another organisation is the one that is
expected to be needed last: by the organisation's recent rate of statements, by how many
of its connections are usually in use at once, and by its statements that wait already.

A statement whose organisation's connections are all in use waits for one of them if
that is expected to take no longer than opening another one costs, and for no longer
than that. An open transaction keeps its connection. It counts in the share of its
organisation, and transactions together leave one connection for each slot.

Times are in seconds on the clock; the caller passes the current time.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

# Rates are averages over about this long.
RATE_TIME_CONSTANT_S = 10.0
# Weight of the latest value in a moving average.
SMOOTHING = 0.1
# Assumed before the first measurement.
INITIAL_HANDSHAKE_S = 0.012
INITIAL_STATEMENT_S = 0.02
INITIAL_TRANSACTION_S = 1.0
# The part of the connections that one organisation may have open once they are scarce.
MAX_ORGANISATION_SHARE = 0.25
# Organisations without a statement for this many time constants are forgotten.
FORGET_TIME_CONSTANTS = 6
MAX_TRACKED_ORGANISATIONS = 4096


@dataclass(slots=True)
class Holding:
    """The connections of one organisation by state.

    ``busy`` ones run a statement, ``pinned`` ones belong to an open transaction.
    """

    idle: int = 0
    busy: int = 0
    pinned: int = 0

    @property
    def total(self) -> int:
        """The number of open connections."""
        return self.idle + self.busy + self.pinned


@dataclass(slots=True)
class Average:
    """A moving average of durations; the mean remainder needs their squares."""

    mean_s: float
    mean_square: float = 0.0

    def __post_init__(self) -> None:
        self.mean_square = self.mean_s**2

    def add(self, value_s: float) -> None:
        """Add one duration."""
        self.mean_s += SMOOTHING * (value_s - self.mean_s)
        self.mean_square += SMOOTHING * (value_s**2 - self.mean_square)

    @property
    def remaining_s(self) -> float:
        """The mean time left of a duration that is met at a random moment."""
        return self.mean_square / (2 * self.mean_s) if self.mean_s > 0 else 0.0


@dataclass(slots=True)
class _Demand:
    """The recent statements of one organisation.

    ``count`` decays with ``RATE_TIME_CONSTANT_S``. ``present`` statements wait or run.
    """

    count: float = 0.0
    updated_at: float = 0.0
    present: int = 0

    def decayed(self, now: float) -> float:
        return self.count * math.exp((self.updated_at - now) / RATE_TIME_CONSTANT_S)

    def add(self, now: float) -> None:
        self.count = self.decayed(now) + 1.0
        self.updated_at = now


@dataclass(slots=True)
class ConnectionAllocation:
    """What is known of the organisations' use of one target's connections.

    >>> allocation = ConnectionAllocation(slots=4)
    >>> for organisation in ["often", "often", "rarely"]:
    ...     allocation.record_use(organisation, now=0.0)
    >>> allocation.victim({"often": Holding(1), "rarely": Holding(1)}, 8, now=1.0)
    'rarely'
    """

    slots: int
    handshake: Average = field(default_factory=lambda: Average(INITIAL_HANDSHAKE_S))
    statement: Average = field(default_factory=lambda: Average(INITIAL_STATEMENT_S))
    transaction: Average = field(default_factory=lambda: Average(INITIAL_TRANSACTION_S))
    _demands: dict[str, _Demand] = field(default_factory=dict)

    def arrive(self, organisation: str, now: float) -> None:
        """Record that a statement arrived, before it waits for a slot."""
        if len(self._demands) >= MAX_TRACKED_ORGANISATIONS:
            self._forget(now)
        self._demands.setdefault(organisation, _Demand(0.0, now)).present += 1

    def leave(self, organisation: str) -> None:
        """Record that a statement has ended, or that it waits no longer."""
        demand = self._demands.get(organisation)
        if demand is not None:
            demand.present = max(0, demand.present - 1)

    def record_use(self, organisation: str, now: float) -> None:
        """Record that a statement has a slot and needs a connection now."""
        self._demands.setdefault(organisation, _Demand()).add(now)

    def _forget(self, now: float) -> None:
        oldest = now - FORGET_TIME_CONSTANTS * RATE_TIME_CONSTANT_S
        self._demands = {
            name: demand
            for name, demand in self._demands.items()
            if demand.present or demand.updated_at > oldest
        }

    def share(self, limit: int) -> int:
        """Return how many of ``limit`` connections one organisation may have.

        A burst may use every slot: what it runs is decided by the queue.
        """
        return max(1, min(limit, max(self.slots, int(limit * MAX_ORGANISATION_SHARE))))

    def may_pin(self, pinned: Mapping[str, int], organisation: str, limit: int) -> bool:
        """Return whether the organisation may open another transaction.

        ``pinned`` maps organisations to the connections that their transactions keep.
        Together they leave one for each slot, but no more than half. An organisation
        may have no more than are still free, so the fewer are, the less one can take of
        what others need. It also leaves one of its own share, where its other
        statements run.
        """
        left = min(self.slots, limit // 2)
        free = limit - left - sum(pinned.values())
        part = min(free, max(1, self.share(limit) - 1))
        return pinned.get(organisation, 0) < part

    def transaction_retry_s(self, pinned_count: int) -> float:
        """Return when one of ``pinned_count`` transactions is expected to end."""
        return self.transaction.remaining_s / max(1, pinned_count)

    def own_wait_s(self, holding: Holding, seeking: int) -> float:
        """Return how long a statement waits for a connection of its organisation.

        ``seeking`` statements of the organisation wait for one, this one included. The
        statement has a slot already, and keeps others from it whether it waits or
        opens a connection. So it waits no longer than a handshake takes.
        """
        if not holding.busy:
            return 0.0
        cost_s = self.handshake.mean_s
        expected_s = self.statement.remaining_s * seeking / holding.busy
        return cost_s if expected_s <= cost_s else 0.0

    def victim(
        self, holdings: Mapping[str, Holding], limit: int, now: float
    ) -> str | None:
        """Return the organisation whose idle connection is closed for another one.

        That is one with more than its share, else the one that is expected to need the
        connection last; None if no connection is idle.
        """
        share = self.share(limit)

        def order(organisation: str) -> tuple[bool, float, float]:
            holding = holdings[organisation]
            over_share = holding.total > share
            need_s = self.next_need_s(organisation, holding, now)
            return over_share, need_s, -self._demand(organisation).updated_at

        idle = [name for name, holding in holdings.items() if holding.idle]
        return max(idle, key=order, default=None)

    def next_need_s(self, organisation: str, holding: Holding, now: float) -> float:
        """Return when an idle connection of the organisation is expected to be used.

        It is used at once if enough statements wait, else when as many run at the same
        time as would take all of the organisation's connections.
        """
        demand = self._demand(organisation)
        queued = demand.present - holding.busy
        if queued >= holding.idle:
            return 0.0
        per_s = demand.decayed(now) / RATE_TIME_CONSTANT_S
        others = holding.idle + holding.busy - 1
        needed_per_s = per_s * _at_least(others, per_s * self.statement.mean_s)
        return 1.0 / needed_per_s if needed_per_s > 0.0 else math.inf

    def _demand(self, organisation: str) -> _Demand:
        return self._demands.get(organisation) or _Demand()


def _at_least(count: int, mean: float) -> float:
    """Return how likely a Poisson variable with this mean is ``count`` or more."""
    if count <= 0:
        return 1.0
    term, below = math.exp(-mean), 0.0
    for number in range(count):
        below += term
        term *= mean / (number + 1)
    return max(0.0, 1.0 - below)
