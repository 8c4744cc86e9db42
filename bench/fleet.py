"""The simulated fleet and demand of the ``refusals`` benchmark.

Eight organisations distribute their requests unevenly over nine targets, and these
distributions change all the time. Nodes stop, crash and restart.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from lavenderstack.core.quota.bucket import Bucket
from lavenderstack.core.rendezvous import top_ranked

RUN_S = 600.0
# The time that a message takes one way.
MESSAGE_DELAY_S = 0.0015
# The interval at which each node looks for shares to renew.
RENEWAL_CHECK_S = 0.25
NODES = 8
TARGETS = 9
# The time until other nodes take over the targets of a node that crashed.
TARGET_TAKEOVER_S = 2.0
# The time until another node opens a new ledger in place of one not handed over.
OWNERSHIP_TAKEOVER_S = 6.0
# The time from a node's stop or crash to its restart.
RESTART_AFTER_S = 20.0
# One in this many stops is a crash.
STOPS_PER_CRASH = 10

# By organisation: rate (requests/s), burst (requests), mean demand / rate.
PLANS = {
    "large-1": (300.0, 300.0, 0.8),
    "large-2": (200.0, 200.0, 0.6),
    "large-3": (150.0, 150.0, 5.0),
    "small-1": (30.0, 30.0, 0.7),
    "small-2": (20.0, 20.0, 0.7),
    "small-3": (20.0, 40.0, 0.5),
    "small-4": (10.0, 20.0, 0.6),
    "small-5": (5.0, 10.0, 0.5),
}
OVERLOADING_ORGANISATION = "large-3"


@dataclass(frozen=True, slots=True)
class Request:
    """One request: its time ``at``, its organisation and its target."""

    at: float
    organisation: str
    target: int


@dataclass(frozen=True, slots=True)
class Change:
    """A node starts or stops at the time ``at``; an unplanned stop is a crash."""

    at: float
    node: str
    starts: bool
    planned: bool


def draw_requests(rng: random.Random) -> list[Request]:
    """Draw the requests of all organisations, in order of time."""
    requests = []
    for organisation, (rate, _, demand_ratio) in PLANS.items():
        # The fourth power makes the weights of the targets very unequal. One of them
        # changes every 10 s on average. Demand peaks last 2 s and are 10 to 40 s apart.
        weights = [rng.random() ** 4 for _ in range(TARGETS)]
        t, shift_at, peak_at = 0.0, 0.0, rng.uniform(5.0, 30.0)
        while t < RUN_S:
            if t > shift_at:
                weights[rng.randrange(TARGETS)] = rng.random() ** 4
                shift_at = t + rng.expovariate(1 / 10.0)
            if t > peak_at + 2.0:
                peak_at = t + rng.uniform(10.0, 40.0)
            peak = 1.5 if t > peak_at else 1.0
            t += rng.expovariate(rate * demand_ratio * peak)
            (target,) = rng.choices(range(TARGETS), weights)
            requests.append(Request(t, organisation, target))
    requests.sort(key=lambda request: request.at)
    return requests


def draw_changes(rng: random.Random) -> list[Change]:
    """Draw when nodes stop and restart; one in ``STOPS_PER_CRASH`` stops is a crash."""
    drawn = []
    t = 20.0
    number = 0
    while t < RUN_S - RESTART_AFTER_S:
        number += 1
        node = f"n{rng.randrange(NODES)}"
        drawn.append(
            Change(t, node, starts=False, planned=number % STOPS_PER_CRASH != 0)
        )
        drawn.append(Change(t + RESTART_AFTER_S, node, starts=True, planned=True))
        t += RESTART_AFTER_S + rng.uniform(5.0, 20.0)
    return drawn


@dataclass(slots=True)
class Tally:
    """Counts of the requests of one organisation, by result.

    ``reference`` is a bucket of the whole plan that all requests take from; a request
    that gets a token there is within the rate, and refusing it is wrong. ``meter`` is
    another bucket of the plan that only admitted requests take from. ``exceeded`` is
    the most tokens by which its level fell below zero. ``lost`` requests came while
    the holder of their target was down; they are in no other count.
    """

    meter: Bucket
    reference: Bucket
    within_rate: int = 0
    wrongly_refused: int = 0
    admitted: int = 0
    lost: int = 0
    exceeded: float = 0.0

    def record_arrival(self, now: float) -> bool:
        """Count a request; return whether it is within the rate."""
        within_rate = self.reference.take(now)
        self.within_rate += within_rate
        return within_rate

    def record_result(self, within_rate: bool, admitted: bool, now: float) -> None:
        """Count a request that was admitted, or refused although within the rate.

        An admitted request takes a token from ``meter``. Its level falls below zero if
        some window that ends now has more admitted requests than the plan allows.
        """
        if not admitted:
            self.wrongly_refused += within_rate
            return
        self.admitted += 1
        self.meter.refill(now)
        self.meter.level -= 1.0
        self.exceeded = max(self.exceeded, -self.meter.level)


def create_tallies() -> dict[str, Tally]:
    """Return an empty tally by organisation."""
    return {
        name: Tally(Bucket(rate, burst, burst), Bucket(rate, burst, burst))
        for name, (rate, burst, _) in PLANS.items()
    }


@dataclass(slots=True)
class Fleet:
    """The live nodes, the holder of each target, and the queue of events.

    ``live`` maps a node to a number that changes each time the node starts.
    """

    rng: random.Random
    now: float = 0.0
    live: dict[str, int] = field(default_factory=dict)
    holders: list[str] = field(default_factory=list)
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    sequence: count = field(default_factory=count)

    def __post_init__(self) -> None:
        self.live = {f"n{i}": 0 for i in range(NODES)}
        self.assign_targets()

    def assign_targets(self) -> None:
        """Assign each target to the live node that ranks first for it."""
        self.holders = [top_ranked(f"target/{i}", self.live) for i in range(TARGETS)]

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule a call of ``action`` after ``delay_s``."""
        heapq.heappush(self.events, (self.now + delay_s, next(self.sequence), action))

    def run_until(self, t: float) -> None:
        """Run all events that are due by ``t``, then set the clock to it."""
        while self.events and self.events[0][0] <= t:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = t
