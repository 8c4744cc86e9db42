"""Requests refused though their organisation was inside its rate.

Drives the shares, gates and ledgers of a fleet of today's size by events: eight
nodes hold nine targets, eight organisations spread their requests unevenly over the
targets and shift them, one of them sends five times its rate, nodes die, stop and
come back. Messages take 1.5 ms one way. Whether a request is inside the rate is
judged by one bucket of the plan that sees all requests; a second such bucket sees
what was admitted and must never run short, which is the same as that no window has
seen more than rate * t + burst. The same demand meets static equal shares.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count

from bench.measure import Bound, Result
from lavenderstack.core.bucket import Bucket
from lavenderstack.core.gate import Gate, Verdict
from lavenderstack.core.handover import hand_out, open_ledger, take_over
from lavenderstack.core.ledger import Ledger
from lavenderstack.core.rendezvous import first
from lavenderstack.core.share import Share

RUN_S = 600.0
HOP_S = 0.0015
TICK_S = 0.25
NODES = 8
TARGETS = 9
TAKE_TARGET_S = 2.0
TAKE_DUTY_S = 6.0
RETURN_S = 20.0
DEATHS_EACH = 10
AIM_REFUSED = 0.001

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


def _tallies() -> dict[str, Tally]:
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
        self.holders = [first(f"target/{i}", self.live) for i in range(TARGETS)]

    def later(self, delay_s: float, act: Callable[[], None]) -> None:
        """Let something happen after ``delay_s``."""
        heapq.heappush(self.events, (self.now + delay_s, next(self.order), act))

    def run_to(self, t: float) -> None:
        """Let everything happen that is due by ``t``."""
        while self.events and self.events[0][0] <= t:
            self.now, _, act = heapq.heappop(self.events)
            act()
        self.now = t


class Static:
    """Every node has an equal part of each plan; the fleet's size is known to all."""

    def __init__(self, fleet: Fleet, tallies: dict[str, Tally]):
        self.fleet = fleet
        self.tallies = tallies
        self.buckets: dict[tuple[str, str], Bucket] = {}

    def node_changed(self, change: Change) -> None:
        """Nothing moves: the parts are those of a full fleet."""

    def arrive(self, request: Request, node: str, inside: bool) -> None:
        """Admit from the node's own part."""
        rate, burst, _ = PLANS[request.organisation]
        key = (node, request.organisation)
        if key not in self.buckets:
            size = (rate / NODES, burst / NODES)
            self.buckets[key] = Bucket(*size, size[1])
        admitted = self.buckets[key].take(request.at)
        tally = self.tallies[request.organisation]
        tally.note_verdict(inside, admitted, request.at)


class Leased:
    """Shares and draws from an allotter for each organisation."""

    def __init__(self, fleet: Fleet, tallies: dict[str, Tally]):
        self.fleet = fleet
        self.tallies = tallies
        self.gates: dict[tuple[str, str], Gate] = {}
        self.owner = {name: first(f"allotter/{name}", fleet.live) for name in PLANS}
        self.epoch = dict.fromkeys(PLANS, 1)
        self.ledgers: dict[str, Ledger | None] = {}
        self.messages = 0
        self.draws = 0
        for name, (rate, burst, _) in PLANS.items():
            self.ledgers[name] = open_ledger(name, (rate, burst), 1, 0.0, 0.0)
        fleet.later(0.0, self.tick)

    def process(self, node: str) -> str:
        """Return the name of the process that runs on a node now."""
        return f"{node}.{self.fleet.live.get(node, -1)}"

    def tick(self) -> None:
        """Let every node renew what is due."""
        for (node, organisation), gate in self.gates.items():
            if node in self.fleet.live and gate.share.ask_due(self.fleet.now):
                self.ask(node, organisation, gate)
        self.fleet.later(TICK_S, self.tick)

    def ask(
        self, node: str, organisation: str, gate: Gate, releasing: bool = False
    ) -> None:
        """Send a request for a share."""
        body = gate.share.ask(self.fleet.now, releasing)
        process = self.process(node)
        self.messages += 1

        def arrive() -> None:
            ledger = self.ledgers[organisation]
            grant = ledger and ledger.ask(process, body, self.fleet.now)
            if grant:
                self.fleet.later(HOP_S, lambda: adopt(grant))

        def adopt(grant) -> None:
            if self.process(node) == process:
                gate.share.adopt(grant, self.fleet.now)

        self.fleet.later(HOP_S, arrive)

    def arrive(self, request: Request, node: str, inside: bool) -> None:
        """Admit at the node's gate."""
        rate, burst, _ = PLANS[request.organisation]
        key = (node, request.organisation)
        gate = self.gates.get(key)
        if gate is None:
            share = Share(request.organisation, rate, burst)
            gate = self.gates[key] = Gate(share)
        verdict = gate.admit(inside, request.at)
        tally = self.tallies[request.organisation]
        if verdict is not Verdict.WAITING:
            admitted = verdict is Verdict.ADMITTED
            tally.note_verdict(inside, admitted, request.at)
        self.draw(node, request.organisation, gate)

    def draw(self, node: str, organisation: str, gate: Gate) -> None:
        """Ask for a draw if requests wait for one."""
        wanted = gate.start_draw(self.fleet.now)
        if wanted is None:
            return
        number, tokens = wanted
        process = self.process(node)
        per_s = gate.share.demand.per_s
        self.draws += 1

        def arrive() -> None:
            ledger = self.ledgers[organisation]
            given = None
            if ledger:
                given = ledger.draw(process, number, tokens, per_s, self.fleet.now)
            self.fleet.later(HOP_S, lambda: finish(given))

        def finish(given) -> None:
            if self.process(node) != process:
                return
            now = self.fleet.now
            admitted, refused = gate.finish_draw(number, given, now)
            tally = self.tallies[organisation]
            for inside in admitted:
                tally.note_verdict(inside, True, now)
            for inside in refused:
                tally.note_verdict(inside, False, now)
            pause_s = max(0.0, gate.share.refuse_until - now)
            self.fleet.later(pause_s, lambda: self.draw(node, organisation, gate))

        self.fleet.later(HOP_S, arrive)

    def node_changed(self, change: Change) -> None:
        """Move the duties of a node that goes; a planned stop hands them over."""
        if change.comes:
            return
        for (node, organisation), gate in list(self.gates.items()):
            if node == change.node:
                if change.planned:
                    self.ask(node, organisation, gate, releasing=True)
                del self.gates[(node, organisation)]
        delay_s = 2 * HOP_S if change.planned else 0.0
        for organisation, owner in self.owner.items():
            if owner == change.node:
                self.fleet.later(delay_s, partial(self.move, organisation, change))

    def move(self, organisation: str, change: Change) -> None:
        """Let another node take over the books of an organisation."""
        fleet = self.fleet
        old = self.ledgers[organisation]
        self.ledgers[organisation] = None
        self.owner[organisation] = first(f"allotter/{organisation}", fleet.live)
        self.epoch[organisation] += 1
        epoch = self.epoch[organisation]
        rate, burst, _ = PLANS[organisation]
        if change.planned and old and fleet.now >= old.settled_at:
            handed = hand_out(old, fleet.now)

            def take() -> None:
                books = take_over(handed, (rate, burst), epoch, fleet.now)
                self.ledgers[organisation] = books

            fleet.later(HOP_S * 2, take)
            return

        def claim() -> None:
            self.ledgers[organisation] = open_ledger(
                organisation, (rate, burst), epoch, fleet.now, fleet.now
            )

        fleet.later(TAKE_DUTY_S, claim)


def drive(way: type, requests: list[Request], moves: list[Change]) -> tuple:
    """Run one way of allotting over the demand; return the tallies and the way."""
    fleet = Fleet(random.Random(0))
    tallies = _tallies()
    allot = way(fleet, tallies)

    def apply(change: Change) -> None:
        if change.comes:
            fleet.live[change.node] = int(change.at * 1000)
        else:
            fleet.live.pop(change.node, None)
        allot.node_changed(change)
        delay_s = 0.0 if change.planned else TAKE_TARGET_S
        fleet.later(delay_s, fleet.settle_targets)

    for change in moves:
        fleet.later(change.at, lambda change=change: apply(change))
    for request in requests:
        fleet.run_to(request.at)
        tally = tallies[request.organisation]
        node = fleet.holders[request.target]
        if node not in fleet.live:
            tally.lost += 1
            continue
        inside = tally.note_arrival(request.at)
        allot.arrive(request, node, inside)
    fleet.run_to(RUN_S + 1.0)
    return tallies, allot


def _row(name: str, tallies: dict[str, Tally], organisation: str) -> list:
    tally = tallies[organisation]
    refused = tally.wrongly_refused / tally.inside
    used = tally.admitted / tally.inside
    return [name, organisation, tally.inside, refused, used, tally.exceeded]


def run(seed: int) -> Result:
    """Compare the ways on one draw of demand and of changes."""
    rng = random.Random(seed)
    requests, moves = demand(rng), changes(rng)
    result = Result(
        f"{NODES} nodes, {len(PLANS)} organisations, {RUN_S:.0f} s, {OVER} at 5 times",
        ["way", "organisation", "inside", "refused inside", "admitted/inside", "over"],
    )
    shares = {}
    for name, way in (("static", Static), ("leased", Leased)):
        tallies, allot = drive(way, requests, moves)
        result.rows += [_row(name, tallies, organisation) for organisation in PLANS]
        within = [tally for key, tally in tallies.items() if key != OVER]
        inside = sum(tally.inside for tally in within)
        wrong = sum(tally.wrongly_refused for tally in within)
        shares[name] = wrong / inside
        result.rows.append([name, "all within", inside, shares[name], "", ""])
        if way is Leased:
            over = max(tally.exceeded for tally in tallies.values())
            result.bounds.append(Bound("tokens over the plan", over, 1e-6))
            count_s = f"{allot.messages / RUN_S:.1f} renewals/s"
            draws_s = f"{allot.draws / RUN_S:.1f} draws/s"
            result.rows.append([name, count_s, draws_s, "", "", ""])
    result.bounds += [
        Bound("refused inside the rate", shares["leased"], AIM_REFUSED),
        Bound("leased less than static", shares["leased"], shares["static"]),
    ]
    return result
