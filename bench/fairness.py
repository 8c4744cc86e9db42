"""Latency of the worst-served organisation while another sends 5 times its rate.

An event simulation of the fair queue of one target: a few slots, exponentially
distributed service times, and eight organisations that together need three quarters
of the slots. One of them then sends five times as much. The result is compared with
that of the usual demand, and with the same demand served first come, first served. The
rate limit isn't applied, so only the queue protects the other organisations.
"""

import heapq
import random
from collections import deque
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from bench.measure import Bound, Result
from lavenderstack.core.queue.fair_queue import FairQueue, QueueFull

RUN_S = 300.0
SLOTS = 5
SERVICE_S = 0.01
DEADLINE_S = 0.5
MAX_QUEUE_LENGTH = 200
LOAD = 0.75
OVERLOAD_FACTOR = 5.0
OVERLOADING_ORGANISATION = "large-1"
MIN_ANSWERED_SHARE = 0.99
MAX_P99_RATIO = 2.0

# Each organisation's share of the usual demand, which is also its weight in the queue.
DEMAND_SHARES = {
    "large-1": 0.3,
    "large-2": 0.25,
    "large-3": 0.2,
    "small-1": 0.08,
    "small-2": 0.07,
    "small-3": 0.05,
    "small-4": 0.03,
    "small-5": 0.02,
}


@dataclass(frozen=True, slots=True)
class Request:
    """One request: its arrival time ``at``, and the time it occupies a slot."""

    number: int
    at: float
    organisation: str
    service_s: float


@dataclass(slots=True)
class Tally:
    """The requests of one organisation, and their latencies in microseconds."""

    sent: int = 0
    answered: int = 0
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 10**8, 3))

    @property
    def p99_ms(self) -> float:
        """The 99th percentile of the answered requests' latencies, in milliseconds."""
        return self.latency.get_value_at_percentile(99) / 1000.0


class FirstCome:
    """One FIFO queue; its limit is the sum of those of the queues in ``Fair``."""

    def __init__(self) -> None:
        self._requests: deque[Request] = deque()

    def push(self, request: Request) -> None:
        """Append the request; drop it if the queue is full."""
        if len(self._requests) < MAX_QUEUE_LENGTH * len(DEMAND_SHARES):
            self._requests.append(request)

    def pop(self, now: float) -> Request | None:
        """Return the first request whose deadline has not passed, or None."""
        while self._requests:
            request = self._requests.popleft()
            if request.at + DEADLINE_S > now:
                return request
        return None


class Fair:
    """The fair queue that the service uses."""

    def __init__(self) -> None:
        self._queue = FairQueue()

    def push(self, request: Request) -> None:
        """Append the request to its organisation's queue; drop it if that is full."""
        weight = DEMAND_SHARES[request.organisation]
        deadline = request.at + DEADLINE_S
        try:
            self._queue.push(
                request.organisation, weight, request, deadline, MAX_QUEUE_LENGTH
            )
        except QueueFull:
            return

    def pop(self, now: float) -> Request | None:
        """Return the next request in fair order, or None."""
        self._queue.expire(now)
        return self._queue.pop(now)


def draw_requests(rng: random.Random, factor: float) -> list[Request]:
    """Draw the requests in order of time.

    The overloading organisation sends ``factor`` times its usual demand.
    """
    total_per_s = LOAD * SLOTS / SERVICE_S
    drawn = []
    for organisation, share in DEMAND_SHARES.items():
        per_s = (
            total_per_s
            * share
            * (factor if organisation == OVERLOADING_ORGANISATION else 1.0)
        )
        t = rng.expovariate(per_s)
        while t < RUN_S:
            drawn.append((t, organisation, rng.expovariate(1.0 / SERVICE_S)))
            t += rng.expovariate(per_s)
    drawn.sort()
    return [Request(number, *values) for number, values in enumerate(drawn)]


def serve(queue_type: type, requests: list[Request]) -> dict[str, Tally]:
    """Serve the requests with the target's slots; return a tally by organisation."""
    queue = queue_type()
    tallies = {name: Tally() for name in DEMAND_SHARES}
    running: list[tuple[float, int, Request]] = []

    def start(now: float) -> None:
        while len(running) < SLOTS and (request := queue.pop(now)) is not None:
            end = now + request.service_s
            heapq.heappush(running, (end, request.number, request))

    def finish_until(t: float) -> None:
        while running and running[0][0] <= t:
            end, _, request = heapq.heappop(running)
            tally = tallies[request.organisation]
            tally.answered += 1
            tally.latency.record_value(max(1, round((end - request.at) * 1e6)))
            start(end)

    for request in requests:
        finish_until(request.at)
        tallies[request.organisation].sent += 1
        queue.push(request)
        start(request.at)
    finish_until(RUN_S + 60.0)
    return tallies


def run(seed: int) -> Result:
    """Compare both queues under overload with the fair queue at the usual demand."""
    quiet = draw_requests(random.Random(seed), 1.0)
    overloaded = draw_requests(random.Random(seed), OVERLOAD_FACTOR)
    quiet_tallies = serve(Fair, quiet)
    result = Result(
        f"{SLOTS} slots, load {LOAD},"
        f" {OVERLOADING_ORGANISATION} at {OVERLOAD_FACTOR:g} times",
        ["way", "organisation", "sent", "answered", "p99 ms", "p99 / quiet"],
    )
    for name, tally in quiet_tallies.items():
        answered_share = tally.answered / tally.sent
        result.rows.append(
            ["quiet", name, tally.sent, answered_share, tally.p99_ms, 1.0]
        )
    worst = {}
    for queue_type in (FirstCome, Fair):
        tallies = serve(queue_type, overloaded)
        others = []
        for name, tally in tallies.items():
            answered_share = tally.answered / tally.sent
            p99_ratio = tally.p99_ms / quiet_tallies[name].p99_ms
            row = [
                queue_type.__name__,
                name,
                tally.sent,
                answered_share,
                tally.p99_ms,
                p99_ratio,
            ]
            result.rows.append(row)
            if name != OVERLOADING_ORGANISATION:
                others.append((answered_share, p99_ratio))
        worst[queue_type] = (
            min(values[0] for values in others),
            max(values[1] for values in others),
        )
    answered, p99_ratio = worst[Fair]
    result.bounds = [
        Bound("answered, worst-served", answered, MIN_ANSWERED_SHARE, is_minimum=True),
        Bound("p99 against quiet, worst-served", p99_ratio, MAX_P99_RATIO),
        Bound(
            "answered, above first come", answered, worst[FirstCome][0], is_minimum=True
        ),
    ]
    return result
