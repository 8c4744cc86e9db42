"""The fleet and the demand that the measure of refusals drives.

Eight organisations spread their requests unevenly over nine targets and shift them
all the time; nodes stop, die and come back.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from lavenderstack.core.bucket import Bucket
from lavenderstack.core.rendezvous import top_ranked

RUN_S = 600.0
HOP_S = 0.0015
TICK_S = 0.25
NODES = 8
TARGETS = 9
TAKE_TARGET_S = 2.0
TAKE_DUTY_S = 6.0
RETURN_S = 20.0
DEATHS_EACH = 10

# Organisation: rate (requests/s), burst (requests), mean demand as a part of the rate.
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
OVER = "large-3"


@dataclass(frozen=True, slots=True)
class Request:
    """One request: when, whose, and for which target."""

    at: float
    organisation: str
    target: int


@dataclass(frozen=True, slots=True)
class Change:
    """A node dies (``planned`` is False) or stops, or comes back."""

    at: float
    node: str
    comes: bool
    planned: bool


def demand(rng: random.Random) -> list[Request]:
    """Draw the requests of all organisations, in order of time."""
    requests = []
    for organisation, (rate, _, part) in PLANS.items():
        weights = [rng.random() ** 4 for _ in range(TARGETS)]
        t, shift_at, peak_at = 0.0, 0.0, rng.uniform(5.0, 30.0)
        while t < RUN_S:
            if t > shift_at:
                weights[rng.randrange(TARGETS)] = rng.random() ** 4
                shift_at = t + rng.expovariate(1 / 10.0)
            if t > peak_at + 2.0:
                peak_at = t + rng.uniform(10.0, 40.0)
            peak = 1.5 if t > peak_at else 1.0
            t += rng.expovariate(rate * part * peak)
            (target,) = rng.choices(range(TARGETS), weights)
            requests.append(Request(t, organisation, target))
    requests.sort(key=lambda request: request.at)
    return requests


def changes(rng: random.Random) -> list[Change]:
    """Draw when nodes stop and come back; every tenth dies instead."""
    out = []
    t = 20.0
    number = 0
    while t < RUN_S - RETURN_S:
        number += 1
        node = f"n{rng.randrange(NODES)}"
        out.append(Change(t, node, comes=False, planned=number % DEATHS_EACH != 0))
        out.append(Change(t + RETURN_S, node, comes=True, planned=True))
        t += RETURN_S + rng.uniform(5.0, 20.0)
    return out


@dataclass(slots=True)
class Tally:
    """What became of the requests of one organisation."""

    meter: Bucket
    judge: Bucket
    inside: int = 0
    wrongly_refused: int = 0
    admitted: int = 0
    lost: int = 0
    exceeded: float = 0.0

    def note_arrival(self, now: float) -> bool:
        """Return whether a request that comes now is inside the rate."""
        inside = self.judge.take(now)
        self.inside += inside
        return inside

    def note_verdict(self, inside: bool, admitted: bool, now: float) -> None:
        """Count a request and check the limit over every window up to now."""
        if not admitted:
            self.wrongly_refused += inside
            return
        self.admitted += 1
        self.meter.refill(now)
        self.meter.level -= 1.0
        self.exceeded = max(self.exceeded, -self.meter.level)


def tallies_of_all() -> dict[str, Tally]:
    """Return an empty tally for each organisation."""
    return {
        name: Tally(Bucket(rate, burst, burst), Bucket(rate, burst, burst))
        for name, (rate, burst, _) in PLANS.items()
    }


@dataclass(slots=True)
class Fleet:
    """The nodes, which holds which target, and the clock of events."""

    rng: random.Random
    now: float = 0.0
    live: dict[str, int] = field(default_factory=dict)
    holders: list[str] = field(default_factory=list)
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    order: count = field(default_factory=count)

    def __post_init__(self) -> None:
        self.live = {f"n{i}": 0 for i in range(NODES)}
        self.settle_targets()

    def settle_targets(self) -> None:
        """Give every target to the first choice among the live nodes."""
        self.holders = [top_ranked(f"target/{i}", self.live) for i in range(TARGETS)]

    def later(self, delay_s: float, act: Callable[[], None]) -> None:
        """Let something happen after ``delay_s``."""
        heapq.heappush(self.events, (self.now + delay_s, next(self.order), act))

    def run_to(self, t: float) -> None:
        """Let everything happen that is due by ``t``."""
        while self.events and self.events[0][0] <= t:
            self.now, _, act = heapq.heappop(self.events)
            act()
        self.now = t
