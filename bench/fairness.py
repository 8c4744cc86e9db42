"""How the worst-served organisation fares while another sends 5 times its rate.

Drives the fair queue of one target by events: a few slots, service times of an
exponential distribution, eight organisations that together need three quarters of
the slots. One of them then sends five times as much. Each run is compared with a
quiet fleet and with the same demand served first come, first served. What the rate
limit would refuse of the crowd's requests is left in, so the queue alone has to cope.
"""

import heapq
import random
from collections import deque
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from bench.measure import Bound, Result
from lavenderstack.core.fair_queue import FairQueue, QueueFull

RUN_S = 300.0
SLOTS = 5
SERVICE_S = 0.01
DEADLINE_S = 0.5
LONGEST_LINE = 200
LOAD = 0.75
TIMES = 5.0
CROWD = "large-1"
AIM_ANSWERED = 0.99
AIM_SLOWDOWN = 2.0

# The part of the whole demand that each organisation has; weights go with it.
PARTS = {
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
    """One request and the time that the target will take for it."""

    number: int
    at: float
    organisation: str
    service_s: float


@dataclass(slots=True)
class Tally:
    """What became of one organisation's requests; latencies in microseconds."""

    sent: int = 0
    answered: int = 0
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 10**8, 3))

    @property
    def p99_ms(self) -> float:
        """The 99th percentile of the answered requests' latency."""
        return self.latency.get_value_at_percentile(99) / 1000.0


class FirstCome:
    """One line for all, bounded like the fair queue's lines together."""

    def __init__(self) -> None:
        self._line: deque[Request] = deque()

    def push(self, request: Request) -> None:
        """Join the line; drop the request when the line is full."""
        if len(self._line) < LONGEST_LINE * len(PARTS):
            self._line.append(request)

    def pop(self, now: float) -> Request | None:
        """Return the first request that is not late."""
        while self._line:
            request = self._line.popleft()
            if request.at + DEADLINE_S > now:
                return request
        return None


class Fair:
    """The service's own queue."""

    def __init__(self) -> None:
        self._queue = FairQueue()

    def push(self, request: Request) -> None:
        """Join the organisation's line; drop the request when it is full."""
        weight = PARTS[request.organisation]
        deadline = request.at + DEADLINE_S
        try:
            self._queue.push(
                request.organisation, weight, request, deadline, LONGEST_LINE
            )
        except QueueFull:
            return

    def pop(self, now: float) -> Request | None:
        """Return the next request by fair share."""
        self._queue.expire(now)
        return self._queue.pop(now)


def demand(rng: random.Random, times: float) -> list[Request]:
    """Draw the requests; the crowd sends ``times`` as much as usual."""
    whole_per_s = LOAD * SLOTS / SERVICE_S
    drawn = []
    for organisation, part in PARTS.items():
        per_s = whole_per_s * part * (times if organisation == CROWD else 1.0)
        t = rng.expovariate(per_s)
        while t < RUN_S:
            drawn.append((t, organisation, rng.expovariate(1.0 / SERVICE_S)))
            t += rng.expovariate(per_s)
    drawn.sort()
    return [Request(number, *one) for number, one in enumerate(drawn)]


def serve(way: type, requests: list[Request]) -> dict[str, Tally]:
    """Serve the requests with the target's slots; return what became of them."""
    queue = way()
    tallies = {name: Tally() for name in PARTS}
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
    """Compare fair with first come, first served, in a quiet and a crowded fleet."""
    quiet = demand(random.Random(seed), 1.0)
    crowded = demand(random.Random(seed), TIMES)
    calm = serve(Fair, quiet)
    result = Result(
        f"{SLOTS} slots, load {LOAD}, {CROWD} at {TIMES:g} times",
        ["way", "organisation", "sent", "answered", "p99 ms", "p99 / quiet"],
    )
    for name, tally in calm.items():
        part = tally.answered / tally.sent
        result.rows.append(["quiet", name, tally.sent, part, tally.p99_ms, 1.0])
    worst = {}
    for way in (FirstCome, Fair):
        tallies = serve(way, crowded)
        others = []
        for name, tally in tallies.items():
            part = tally.answered / tally.sent
            slower = tally.p99_ms / calm[name].p99_ms
            row = [way.__name__, name, tally.sent, part, tally.p99_ms, slower]
            result.rows.append(row)
            if name != CROWD:
                others.append((part, slower))
        worst[way] = (min(one[0] for one in others), max(one[1] for one in others))
    answered, slower = worst[Fair]
    result.bounds = [
        Bound("answered, worst-served", answered, AIM_ANSWERED, least=True),
        Bound("p99 against quiet, worst-served", slower, AIM_SLOWDOWN),
        Bound("answered, above first come", answered, worst[FirstCome][0], least=True),
    ]
    return result
