"""Plays statements at targets in virtual time, with a limit of concurrency at each.

Order, refusal and the choice among replicas are the service's own. A target runs its
statements at a speed that depends on how many run, on its shape and on its slowness:

- ``flat``: each statement takes as long as alone, up to the declared slots; a slow
  target takes longer for each. More at once wait for one of its slots;
- ``cores``: up to ``slots / slowness`` statements progress at full speed; more share;
- ``thrash``: each further statement slows all others down.

3 % of the statements take seven times as long as usual. One in ten needs a connection,
which takes 12 ms of its slot but isn't part of its time. The demand of a kind is
never 0.
"""

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from lavenderstack.core.queue.load_shedding import Admission, LoadShedder
from lavenderstack.core.queue.slot_times import SlotTimes
from lavenderstack.core.queue.statement_order import Kind, Urgency
from lavenderstack.core.targets.concurrency_limit import Sample
from lavenderstack.core.targets.load_view import Expectation
from lavenderstack.core.targets.target_choice import Candidate, choose

SLOTS = 5
TAIL_SHARE, TAIL_FACTOR = 0.03, 7.0
CONNECT_SHARE, CONNECT_S = 0.1, 0.012
TICK_S = 0.05
THRASH = 0.12
# Spread of usual times: the standard deviation of their logarithm.
SPREAD = 0.3


@dataclass(frozen=True, slots=True)
class Spec:
    """A kind of statement; times are in seconds."""

    kind: Kind
    work_s: float
    deadline_s: float


WRITE = Spec(Kind(0, 0.2), 0.008, 2.0)
SESSION = Spec(Kind(1, 0.4), 0.024, 2.0)
READ = Spec(Kind(2, 1.2), 0.040, 6.0)


@dataclass(eq=False)
class Request:
    """A statement; ``left_s`` is the work that is left of it."""

    spec: Spec
    at: float
    left_s: float
    connect_s: float
    organisation: str
    started_at: float = 0.0
    began_with: int = 0
    opened_s: float = 0.0
    done_at: float = math.inf

    @property
    def urgency(self) -> Urgency:
        """Its goal and deadline, as the holder has them."""
        goal_at = self.at + self.spec.kind.goal_s
        return Urgency(self.spec.kind, goal_at, self.at + self.spec.deadline_s, 2)

    @property
    def in_goal(self) -> bool:
        """Whether it was answered within its goal."""
        return self.done_at <= self.at + self.spec.kind.goal_s


@dataclass(eq=False)
class Server:
    """A database server, which knows nothing of limits."""

    shape: str
    slowness: float = 1.0
    running: list[tuple["Holder", Request]] = field(default_factory=list)

    def speed(self) -> float:
        """Return the progress of each running statement, 1 alone on a well one."""
        number = len(self.running)
        if self.shape == "flat":
            return min(1.0, SLOTS / number) / self.slowness
        if self.shape == "cores":
            return min(1.0, SLOTS / self.slowness / number)
        return 1.0 / (1.0 + THRASH * self.slowness * (number - 1) * number)

    def advance(self, elapsed_s: float) -> None:
        """Let running statements progress; connections open at any speed."""
        work_s = elapsed_s * self.speed() if self.running else 0.0
        for _, req in self.running:
            opening_s = min(req.connect_s, elapsed_s)
            req.connect_s -= opening_s
            req.left_s -= work_s * (1.0 - opening_s / elapsed_s) if elapsed_s else 0.0

    def next_end_s(self) -> float:
        """Return the time to the next end if nothing else changes."""
        if not self.running:
            return math.inf
        speed = self.speed()
        return min(
            max(0.0, req.connect_s) + max(0.0, req.left_s) / speed
            for _, req in self.running
        )


@dataclass(eq=False)
class Holder:
    """The holder of a server, with its queue and limit."""

    server: Server
    limiter: object
    shedder: LoadShedder = field(default_factory=lambda: LoadShedder(SLOTS))
    times: SlotTimes = field(default_factory=SlotTimes)
    running: int = 0
    limits: list[tuple[float, int]] = field(default_factory=list)

    @property
    def free(self) -> int:
        """The number of free slots; negative after a reduction."""
        return self.limiter.limit - self.running

    def arrive(self, req: Request, now: float) -> None:
        """Accept or refuse a statement."""
        self.shedder.slots = self.limiter.limit
        decision = self.shedder.decide(req.organisation, req.urgency, self.free, now)
        if decision.admission is not Admission.REFUSED:
            late = decision.admission is Admission.LATE
            order = self.shedder.order
            order.push(req.organisation, req.urgency, req, 400, late)

    def start_waiting(self, now: float) -> None:
        """Start statements while there are free slots."""
        while self.free > 0 and (req := self.shedder.order.pop(now)):
            self.running += 1
            req.started_at, req.began_with = now, self.running
            self.server.running.append((self, req))
        if not self.limits or self.limits[-1][1] != self.limiter.limit:
            self.limits.append((now, self.limiter.limit))

    def end(self, req: Request, now: float) -> None:
        """Record the end of a statement."""
        req.done_at = now
        number = max(req.began_with, self.running)
        self.running -= 1
        held_s = now - req.started_at
        self.shedder.order.record_cost(req.organisation, req.urgency, held_s)
        self.times.add(req.spec.kind.priority, held_s)
        began_at = req.started_at + req.opened_s
        self.limiter.add(Sample(req.spec.kind, began_at, now, number))

    def candidate(self, name: str, spec: Spec, now: float) -> Candidate:
        """Return what an entry node would know of this target."""
        urgency = Request(spec, now, 0.0, 0.0, "").urgency
        wait_s = self.shedder.expected_wait_s(urgency, self.free, now)
        mean_s = self.times.mean_s(spec.kind.priority, now)
        known = Expectation(wait_s, mean_s, self.limiter.limit, 1.0)
        full = self.shedder.full_s(urgency, self.free, now) > 0
        return Candidate(name, False, SLOTS, known, full=full)


@dataclass(eq=False)
class Play:
    """One play; ``events`` are (time, function) and may change servers or demand."""

    holders: list[Holder]
    seed: int = 7
    demand: dict[Spec, float] = field(default_factory=dict)
    events: list[tuple[float, Callable[["Play"], None]]] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    now: float = 0.0

    def run(self, duration_s: float) -> "Play":
        """Play for some seconds of virtual time."""
        rng = random.Random(self.seed)
        servers = list({id(h.server): h.server for h in self.holders}.values())
        numbers = count()
        heap = [(at, next(numbers), change) for at, change in self.events]
        for spec in self.demand:
            heap.append((0.0, next(numbers), spec))
        heap.append((TICK_S, next(numbers), None))
        heapq.heapify(heap)
        while self.now < duration_s:
            end_s = min(server.next_end_s() for server in servers)
            elapsed_s = max(0.0, min(end_s, heap[0][0] - self.now))
            for server in servers:
                server.advance(elapsed_s)
            self.now += elapsed_s
            self._end_completed(servers)
            while heap[0][0] <= self.now:
                _, _, event = heapq.heappop(heap)
                again_s = self._handle(event, rng)
                if again_s is not None:
                    heapq.heappush(heap, (self.now + again_s, next(numbers), event))
            for holder in self.holders:
                holder.start_waiting(self.now)
        return self

    def _handle(self, event: object, rng: random.Random) -> float | None:
        """Handle an arrival, a review or a change; return when it recurs, if ever."""
        if event is None:
            for holder in self.holders:
                holder.shedder.review(self.now)
            return TICK_S
        if not isinstance(event, Spec):
            event(self)
            return None
        self._arrive(event, rng)
        return rng.expovariate(self.demand[event])

    def _end_completed(self, servers: list[Server]) -> None:
        for server in servers:
            ended = [
                one
                for one in server.running
                if one[1].left_s <= 1e-9 and one[1].connect_s <= 1e-9
            ]
            for one in ended:
                holder, req = one
                holder.end(req, self.now)
                server.running.remove(one)

    def _arrive(self, spec: Spec, rng: random.Random) -> None:
        work_s = spec.work_s * math.exp(rng.gauss(0.0, SPREAD))
        if rng.random() < TAIL_SHARE:
            work_s *= TAIL_FACTOR
        connect_s = CONNECT_S if rng.random() < CONNECT_SHARE else 0.0
        organisation = f"o{rng.randrange(24)}"
        req = Request(spec, self.now, work_s, connect_s, organisation)
        req.opened_s = connect_s
        self.requests.append(req)
        chosen = self.holders[0]
        if len(self.holders) > 1:
            known = [
                holder.candidate(str(number), spec, self.now)
                for number, holder in enumerate(self.holders)
            ]
            choice = choose(known, spec.kind.goal_s, rng)
            chosen = self.holders[int(choice.selected.target)]
        chosen.arrive(req, self.now)

    def in_goal(self, since: float = 0.0, until: float = math.inf) -> float:
        """Return the share of requests of a period answered within their goal."""
        period = [req for req in self.requests if since <= req.at < until]
        return sum(req.in_goal for req in period) / max(1, len(period))
