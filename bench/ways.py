"""Two ways of splitting a plan among nodes: equal parts for ever, and leases."""

from functools import partial

from bench.fleet import (
    HOP_S,
    NODES,
    PLANS,
    RUN_S,
    TAKE_DUTY_S,
    TICK_S,
    Change,
    Fleet,
    Request,
    Tally,
)
from lavenderstack.core.admission_queue import AdmissionQueue, AdmissionResult
from lavenderstack.core.bucket import Bucket
from lavenderstack.core.handover import export_ledger, import_ledger, open_ledger
from lavenderstack.core.ledger import Ledger
from lavenderstack.core.rendezvous import top_ranked
from lavenderstack.core.share import Share


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
        self.gates: dict[tuple[str, str], AdmissionQueue] = {}
        self.owner = {
            name: top_ranked(f"allotter/{name}", fleet.live) for name in PLANS
        }
        self.epoch = dict.fromkeys(PLANS, 1)
        self.ledgers: dict[str, Ledger | None] = {}
        self.messages = 0
        self.draws = 0
        self.recalls = 0
        self.recalled_at: dict[str, float] = {}
        for name, (rate, burst, _) in PLANS.items():
            self.ledgers[name] = open_ledger(name, (rate, burst), 1, 0.0, 0.0)
        fleet.later(0.0, self.tick)

    def per_s(self) -> float:
        """Return the questions that the whole fleet sent, a second."""
        return (self.messages + self.draws + self.recalls) / RUN_S

    def process(self, node: str) -> str:
        """Return the name of the process that runs on a node now."""
        return f"{node}.{self.fleet.live.get(node, -1)}"

    def tick(self) -> None:
        """Let every node renew what is due."""
        for (node, organisation), gate in self.gates.items():
            if node in self.fleet.live and gate.share.request_due(self.fleet.now):
                self.ask(node, organisation, gate)
        self.fleet.later(TICK_S, self.tick)

    def ask(
        self,
        node: str,
        organisation: str,
        gate: AdmissionQueue,
        releasing: bool = False,
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
            gate = self.gates[key] = AdmissionQueue(share)
        verdict = gate.admit(inside, request.at)
        tally = self.tallies[request.organisation]
        if verdict is not AdmissionResult.WAITING:
            admitted = verdict is AdmissionResult.ADMITTED
            tally.note_verdict(inside, admitted, request.at)
        self.draw(node, request.organisation, gate)

    def draw(self, node: str, organisation: str, gate: AdmissionQueue) -> None:
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
            if ledger is None:
                self.fleet.later(HOP_S, lambda: finish(None))
                return
            wait_s = self.recall(organisation, ledger, process, tokens)
            self.fleet.later(wait_s, give)

        def give() -> None:
            ledger = self.ledgers[organisation]
            given = None
            if ledger is not None:
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

    def recall(
        self, organisation: str, ledger: Ledger, drawing: str, tokens: int
    ) -> float:
        """Recall tokens for a draw if need be; return how long the draw waits."""
        now = self.fleet.now
        for process in ledger.recall(drawing, tokens, now):
            node = process.partition(".")[0]
            self.recalls += 1
            back = partial(self.record_return, organisation, node, process)
            self.fleet.later(HOP_S, back)
            self.recalled_at[organisation] = now
        since_s = now - self.recalled_at.get(organisation, -1.0)
        return max(0.0, 2 * HOP_S - since_s)

    def record_return(self, organisation: str, node: str, process: str) -> None:
        """Give a node's tokens back to the allotter."""
        gate = self.gates.get((node, organisation))
        if gate is None or self.process(node) != process:
            return
        ask = gate.share.recall(self.fleet.now)

        def arrive() -> None:
            ledger = self.ledgers[organisation]
            if ledger is not None:
                ledger.record_return(process, ask, self.fleet.now)

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
        self.owner[organisation] = top_ranked(f"allotter/{organisation}", fleet.live)
        self.epoch[organisation] += 1
        epoch = self.epoch[organisation]
        rate, burst, _ = PLANS[organisation]
        if change.planned and old and fleet.now >= old.settled_at:
            handed = export_ledger(old, fleet.now)

            def take() -> None:
                books = import_ledger(handed, (rate, burst), epoch, fleet.now)
                self.ledgers[organisation] = books

            fleet.later(HOP_S * 2, take)
            return

        def claim() -> None:
            self.ledgers[organisation] = open_ledger(
                organisation, (rate, burst), epoch, fleet.now, fleet.now
            )

        fleet.later(TAKE_DUTY_S, claim)
