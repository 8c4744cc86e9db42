"""What callers get from crowded targets, under four ways to queue and refuse.

Arrivals, service times, deadlines and callers' retries are played in virtual time
against the product's own queue and refusal. Three targets of five slots serve eight
organisations, whose statements take 33 ms on average and must be answered in 0.4 s to
be of full use and in 1 s to be of any. One organisation sends several times its share.

Ways: ``first come`` is one line without refusal; ``fair`` the product's queue without
refusal; ``refuse late`` refuses what would miss its deadline; ``kept`` refuses what
would miss its aim, and tries another target before, as the product does.
"""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.measure import Bound, Result
from lavenderstack.core.fair_queue import FairQueue
from lavenderstack.core.queue_load import QueueLoad, refusal_retry_after_s

SLOTS = 5
TARGETS = 3
ORGANISATIONS = [f"org-{number}" for number in range(8)]
MEAN_S = 0.033
AIM_S = 0.4
DEADLINE_S = 1.0
RETRIES = 2
RETRY_PAUSE_S = 0.15
LENGTH_S = 60.0
WAYS = ("first come", "fair", "refuse late", "kept")


@dataclass(eq=False)
class Job:
    """One operation of a caller; ``started`` is when its caller first asked."""

    organisation: str
    service_s: float
    started: float
    tries: int = 0


@dataclass
class Target:
    """The slots and the queue of one target."""

    fair: bool
    free: int = SLOTS
    queue: FairQueue = field(default_factory=FairQueue)
    line: deque[Job] = field(default_factory=deque)

    def crowding(self, organisation: str) -> QueueLoad:
        """Return the queue as a new job of an organisation finds it."""
        own = self.queue.length_of(organisation)
        organisation_count = self.queue.organisation_count + (0 if own else 1)
        return QueueLoad(
            len(self.queue), own, organisation_count, self.free, SLOTS, MEAN_S
        )

    def push(self, job: Job) -> None:
        """Let a job wait."""
        if self.fair:
            until = job.started + DEADLINE_S
            self.queue.push(job.organisation, 1.0, job, until, 10_000, MEAN_S)
        else:
            self.line.append(job)

    def pop(self, now: float) -> Job | None:
        """Return the next job to serve."""
        if self.fair:
            return self.queue.pop(now)
        return self.line.popleft() if self.line else None


@dataclass
class Gains:
    """What callers got, counted by organisation."""

    asked: Counter = field(default_factory=Counter)
    in_aim: Counter = field(default_factory=Counter)
    served: Counter = field(default_factory=Counter)
    refusals: int = 0

    def share(self, counted: Counter, names: list[str]) -> float:
        """Return what part of the asked operations of these was counted."""
        asked = sum(self.asked[name] for name in names)
        return sum(counted[name] for name in names) / asked if asked else 1.0

    @property
    def worst(self) -> float:
        """The share in aim of the worst-served of those that keep to their share."""
        return min(self.share(self.in_aim, [name]) for name in ORGANISATIONS[1:])


class Play:
    """One run of one way at one load."""

    def __init__(self, way: str, load: float, hot: float, seed: int) -> None:
        self.way = way
        self.result = Gains()
        self._random = random.Random(seed)
        self._targets = [Target(way != "first come") for _ in range(TARGETS)]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = 0
        rate = load * SLOTS * TARGETS / MEAN_S
        weights = [hot] + [1.0] * (len(ORGANISATIONS) - 1)
        for name, weight in zip(ORGANISATIONS, weights, strict=True):
            self._arrive(name, rate * weight / sum(weights), 0.0)

    def _at(self, when: float, act: Callable[[float], None]) -> None:
        self._order += 1
        heapq.heappush(self._events, (when, self._order, act))

    def _arrive(self, name: str, rate: float, now: float) -> None:
        def arrived(now: float) -> None:
            service_s = min(4 * MEAN_S, self._random.expovariate(1 / MEAN_S))
            self.result.asked[name] += 1
            self._offer(Job(name, service_s, now), now)
            self._arrive(name, rate, now)

        when = now + self._random.expovariate(rate)
        if when < LENGTH_S:
            self._at(when, arrived)

    def _offer(self, job: Job, now: float) -> None:
        if now > job.started + DEADLINE_S:
            return
        first = self._random.randrange(TARGETS)
        order = [self._targets[(first + n) % TARGETS] for n in range(TARGETS)]
        for target in order if self.way == "kept" else order[:1]:
            refused = self._refused(target, job, now)
            if refused is None:
                self._take(target, job, now)
                return
        self.result.refusals += 1
        if job.tries < RETRIES:
            job.tries += 1
            pause_s = max(RETRY_PAUSE_S, refused)
            self._at(now + pause_s, lambda later: self._offer(job, later))

    def _refused(self, target: Target, job: Job, now: float) -> float | None:
        left_s = job.started + DEADLINE_S - now
        crowding = target.crowding(job.organisation)
        if self.way == "refuse late":
            return refusal_retry_after_s(crowding, left_s, left_s, left_s)
        if self.way == "kept":
            return refusal_retry_after_s(
                crowding, job.started + AIM_S - now, AIM_S, left_s
            )
        return None

    def _take(self, target: Target, job: Job, now: float) -> None:
        target.push(job)
        self._serve(target, now)

    def _serve(self, target: Target, now: float) -> None:
        while target.free > 0:
            job = target.pop(now)
            if job is None:
                return
            target.free -= 1

            def done(later: float, job: Job = job) -> None:
                target.free += 1
                self._answered(job, later)
                self._serve(target, later)

            self._at(now + job.service_s, done)

    def _answered(self, job: Job, now: float) -> None:
        took_s = now - job.started
        if took_s <= DEADLINE_S:
            self.result.served[job.organisation] += 1
        if took_s <= AIM_S:
            self.result.in_aim[job.organisation] += 1

    def run(self) -> Gains:
        """Play to the end."""
        while self._events:
            now, _, act = heapq.heappop(self._events)
            act(now)
        return self.result


LOADS = ((0.7, 1.0), (0.95, 5.0), (1.3, 5.0), (2.5, 30.0))


def run(seed: int) -> Result:
    """Play every way at every load; the bounds are those of the way that is kept."""
    result = Result(
        "crowded targets: what callers get, by way of queueing and refusing",
        ["load", "hot", "way", "in aim", "served", "worst other", "refusals"],
    )
    played = {}
    for load, hot in LOADS:
        for way in WAYS:
            got = played[load, way] = Play(way, load, hot, seed).run()
            in_aim = got.share(got.in_aim, ORGANISATIONS)
            served = got.share(got.served, ORGANISATIONS)
            row = [load, hot, way, in_aim, served, got.worst, got.refusals]
            result.rows.append(row)
    calm, heavy = played[0.7, "kept"], played[2.5, "kept"]
    result.bounds += [
        Bound(
            "in aim at 0.7 of the slots",
            calm.share(calm.in_aim, ORGANISATIONS),
            0.99,
            least=True,
        ),
        Bound("worst other in aim at 2.5 times", heavy.worst, 0.9, least=True),
        Bound(
            "served at 2.5 times, of what first come serves",
            heavy.share(heavy.served, ORGANISATIONS)
            / max(0.001, _served(played[2.5, "first come"])),
            1.0,
            least=True,
        ),
    ]
    return result


def _served(got: Gains) -> float:
    return got.share(got.served, ORGANISATIONS)
