"""How many statements overloaded targets answer in time, under four policies.

Arrivals, service times, deadlines and the callers' retries are simulated in virtual
time with the service's own queue and refusal. Three targets of five slots serve eight
organisations, whose statements take 33 ms on average. Their latency goal is 0.4 s and
their deadline 1 s; an answer after the goal is of less use, and after the deadline of
none. One organisation sends several times its share.

The policies, by the names in the table:

- ``first come``: one FIFO queue without refusal;
- ``fair``: the service's fair queue without refusal;
- ``refuse late``: the fair queue, refusing what would miss its deadline;
- ``kept``: the policy of the service, which refuses what would miss its latency goal,
  after trying the other targets.
"""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.measure import Bound, Result
from lavenderstack.core.queue.fair_queue import FairQueue
from lavenderstack.core.queue.queue_load import QueueLoad, refusal_retry_after_s

SLOTS = 5
TARGETS = 3
ORGANISATIONS = [f"org-{number}" for number in range(8)]
MEAN_SERVICE_S = 0.033
LATENCY_GOAL_S = 0.4
DEADLINE_S = 1.0
MAX_RETRIES = 2
MIN_RETRY_DELAY_S = 0.15
RUN_S = 60.0
POLICIES = ("first come", "fair", "refuse late", "kept")


@dataclass(eq=False)
class Job:
    """One statement; ``started`` is the time of the caller's first attempt."""

    organisation: str
    service_s: float
    started: float
    retries: int = 0


@dataclass
class Target:
    """The free slots and the queue of one target; ``fifo`` is used unless ``fair``."""

    fair: bool
    free: int = SLOTS
    queue: FairQueue = field(default_factory=FairQueue)
    fifo: deque[Job] = field(default_factory=deque)

    def queue_load(self, organisation: str) -> QueueLoad:
        """Return the load at the arrival of a new job of ``organisation``."""
        own = self.queue.length_of(organisation)
        organisation_count = self.queue.organisation_count + (0 if own else 1)
        return QueueLoad(
            len(self.queue), own, organisation_count, self.free, SLOTS, MEAN_SERVICE_S
        )

    def push(self, job: Job) -> None:
        """Add a job to the queue."""
        if self.fair:
            deadline = job.started + DEADLINE_S
            self.queue.push(
                job.organisation, 1.0, job, deadline, 10_000, MEAN_SERVICE_S
            )
        else:
            self.fifo.append(job)

    def pop(self, now: float) -> Job | None:
        """Remove and return the next job to serve, or None if none waits."""
        if self.fair:
            return self.queue.pop(now)
        return self.fifo.popleft() if self.fifo else None


@dataclass
class Outcomes:
    """Counts of operations by organisation, and the number of refusals."""

    operations: Counter = field(default_factory=Counter)
    within_goal: Counter = field(default_factory=Counter)
    served: Counter = field(default_factory=Counter)
    refusals: int = 0

    def share(self, counted: Counter, organisations: list[str]) -> float:
        """Return ``counted`` as a fraction of the operations of these organisations."""
        operations = sum(self.operations[name] for name in organisations)
        return (
            sum(counted[name] for name in organisations) / operations
            if operations
            else 1.0
        )

    @property
    def worst_within_goal(self) -> float:
        """The lowest fraction within the goal among all but the first organisation."""
        return min(self.share(self.within_goal, [name]) for name in ORGANISATIONS[1:])


class Simulation:
    """A simulation of one policy at one load.

    ``load`` is the demand as a fraction of what the slots can serve, and
    ``hot_weight`` the weight of the first organisation in it; the others have 1.
    """

    def __init__(self, policy: str, load: float, hot_weight: float, seed: int) -> None:
        self.policy = policy
        self.result = Outcomes()
        self._random = random.Random(seed)
        self._targets = [Target(policy != "first come") for _ in range(TARGETS)]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = 0
        rate = load * SLOTS * TARGETS / MEAN_SERVICE_S
        weights = [hot_weight] + [1.0] * (len(ORGANISATIONS) - 1)
        for name, weight in zip(ORGANISATIONS, weights, strict=True):
            self._schedule_arrival(name, rate * weight / sum(weights), 0.0)

    def _schedule(self, when: float, action: Callable[[float], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (when, self._sequence, action))

    def _schedule_arrival(self, name: str, rate: float, now: float) -> None:
        def arrive(now: float) -> None:
            service_s = min(
                4 * MEAN_SERVICE_S, self._random.expovariate(1 / MEAN_SERVICE_S)
            )
            self.result.operations[name] += 1
            self._try_targets(Job(name, service_s, now), now)
            self._schedule_arrival(name, rate, now)

        when = now + self._random.expovariate(rate)
        if when < RUN_S:
            self._schedule(when, arrive)

    def _try_targets(self, job: Job, now: float) -> None:
        if now > job.started + DEADLINE_S:
            return
        first = self._random.randrange(TARGETS)
        order = [self._targets[(first + n) % TARGETS] for n in range(TARGETS)]
        for target in order if self.policy == "kept" else order[:1]:
            retry_delay_s = self._retry_delay_s(target, job, now)
            if retry_delay_s is None:
                self._enqueue(target, job, now)
                return
        self.result.refusals += 1
        if job.retries < MAX_RETRIES:
            job.retries += 1
            delay_s = max(MIN_RETRY_DELAY_S, retry_delay_s)
            self._schedule(now + delay_s, lambda later: self._try_targets(job, later))

    def _retry_delay_s(self, target: Target, job: Job, now: float) -> float | None:
        left_s = job.started + DEADLINE_S - now
        queue_load = target.queue_load(job.organisation)
        if self.policy == "refuse late":
            return refusal_retry_after_s(queue_load, left_s, left_s, left_s)
        if self.policy == "kept":
            return refusal_retry_after_s(
                queue_load, job.started + LATENCY_GOAL_S - now, LATENCY_GOAL_S, left_s
            )
        return None

    def _enqueue(self, target: Target, job: Job, now: float) -> None:
        target.push(job)
        self._start_jobs(target, now)

    def _start_jobs(self, target: Target, now: float) -> None:
        while target.free > 0:
            job = target.pop(now)
            if job is None:
                return
            target.free -= 1

            def finish(later: float, job: Job = job) -> None:
                target.free += 1
                self._record_answer(job, later)
                self._start_jobs(target, later)

            self._schedule(now + job.service_s, finish)

    def _record_answer(self, job: Job, now: float) -> None:
        took_s = now - job.started
        if took_s <= DEADLINE_S:
            self.result.served[job.organisation] += 1
        if took_s <= LATENCY_GOAL_S:
            self.result.within_goal[job.organisation] += 1

    def run(self) -> Outcomes:
        """Run until no events are left."""
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self.result


# Pairs of a load and the first organisation's weight in it.
LOADS = ((0.7, 1.0), (0.95, 5.0), (1.3, 5.0), (2.5, 30.0))


def run(seed: int) -> Result:
    """Simulate every policy at every load; the bounds apply to ``kept`` only."""
    result = Result(
        "overloaded targets: operations answered in time, by policy",
        ["load", "hot", "way", "in aim", "served", "worst other", "refusals"],
    )
    outcomes = {}
    for load, hot_weight in LOADS:
        for policy in POLICIES:
            result_counts = outcomes[load, policy] = Simulation(
                policy, load, hot_weight, seed
            ).run()
            within_goal = result_counts.share(result_counts.within_goal, ORGANISATIONS)
            served = result_counts.share(result_counts.served, ORGANISATIONS)
            row = [
                load,
                hot_weight,
                policy,
                within_goal,
                served,
                result_counts.worst_within_goal,
                result_counts.refusals,
            ]
            result.rows.append(row)
    normal, overloaded = outcomes[0.7, "kept"], outcomes[2.5, "kept"]
    result.bounds += [
        Bound(
            "in aim at 0.7 of the slots",
            normal.share(normal.within_goal, ORGANISATIONS),
            0.99,
            is_minimum=True,
        ),
        Bound(
            "worst other in aim at 2.5 times",
            overloaded.worst_within_goal,
            0.9,
            is_minimum=True,
        ),
        Bound(
            "served at 2.5 times, of what first come serves",
            overloaded.share(overloaded.served, ORGANISATIONS)
            / max(0.001, _served(outcomes[2.5, "first come"])),
            1.0,
            is_minimum=True,
        ),
    ]
    return result


def _served(result_counts: Outcomes) -> float:
    return result_counts.share(result_counts.served, ORGANISATIONS)
