"""Two schemes that split a plan between nodes: equal shares, and leased shares."""

from functools import partial

from bench.fleet import (
    MESSAGE_DELAY_S,
    NODES,
    OWNERSHIP_TAKEOVER_S,
    PLANS,
    RENEWAL_CHECK_S,
    RUN_S,
    Change,
    Fleet,
    Request,
    Tally,
)
from lavenderstack.core.queue.admission_queue import AdmissionQueue, AdmissionResult
from lavenderstack.core.quota.bucket import Bucket
from lavenderstack.core.quota.handover import export_ledger, import_ledger, open_ledger
from lavenderstack.core.quota.ledger import Ledger
from lavenderstack.core.quota.share import Share
from lavenderstack.core.rendezvous import top_ranked


class EqualShares:
    """Gives every node the same constant share of each plan, as if all were live."""

    def __init__(self, fleet: Fleet, tallies: dict[str, Tally]):
        self.fleet = fleet
        self.tallies = tallies
        self.buckets: dict[tuple[str, str], Bucket] = {}

    def apply_change(self, change: Change) -> None:
        """Do nothing; the shares don't depend on which nodes are live."""

    def handle_request(self, request: Request, node: str, within_rate: bool) -> None:
        """Admit or refuse a request by the node's share."""
        rate, burst, _ = PLANS[request.organisation]
        key = (node, request.organisation)
        if key not in self.buckets:
            size = (rate / NODES, burst / NODES)
            self.buckets[key] = Bucket(*size, size[1])
        admitted = self.buckets[key].take(request.at)
        tally = self.tallies[request.organisation]
        tally.record_result(within_rate, admitted, request.at)


class LeasedShares:
    """Leases shares and draws tokens; each organisation has one quota coordinator."""

    def __init__(self, fleet: Fleet, tallies: dict[str, Tally]):
        self.fleet = fleet
        self.tallies = tallies
        self.queues: dict[tuple[str, str], AdmissionQueue] = {}
        self.owners = {
            name: top_ranked(f"allotter/{name}", fleet.live) for name in PLANS
        }
        self.epochs = dict.fromkeys(PLANS, 1)
        self.ledgers: dict[str, Ledger | None] = {}
        self.share_requests = 0
        self.draws = 0
        self.recalls = 0
        self.recalled_at: dict[str, float] = {}
        for name, (rate, burst, _) in PLANS.items():
            self.ledgers[name] = open_ledger(name, (rate, burst), 1, 0.0, 0.0)
        fleet.schedule(0.0, self.renew_due_shares)

    def requests_per_s(self) -> float:
        """Return the mean rate of requests between nodes and coordinators."""
        return (self.share_requests + self.draws + self.recalls) / RUN_S

    def process_name(self, node: str) -> str:
        """Return the name of the process that currently runs on a node."""
        return f"{node}.{self.fleet.live.get(node, -1)}"

    def renew_due_shares(self) -> None:
        """Renew all shares that are due, and schedule the next call."""
        for (node, organisation), queue in self.queues.items():
            if node in self.fleet.live and queue.share.request_due(self.fleet.now):
                self.request_share(node, organisation, queue)
        self.fleet.schedule(RENEWAL_CHECK_S, self.renew_due_shares)

    def request_share(
        self,
        node: str,
        organisation: str,
        queue: AdmissionQueue,
        releasing: bool = False,
    ) -> None:
        """Send a request for a share to the coordinator."""
        body = queue.share.ask(self.fleet.now, releasing)
        process_name = self.process_name(node)
        self.share_requests += 1

        def arrive() -> None:
            ledger = self.ledgers[organisation]
            grant = ledger and ledger.ask(process_name, body, self.fleet.now)
            if grant:
                self.fleet.schedule(MESSAGE_DELAY_S, lambda: adopt(grant))

        def adopt(grant) -> None:
            if self.process_name(node) == process_name:
                queue.share.adopt(grant, self.fleet.now)

        self.fleet.schedule(MESSAGE_DELAY_S, arrive)

    def handle_request(self, request: Request, node: str, within_rate: bool) -> None:
        """Admit, queue or refuse a request at the node that holds its target."""
        rate, burst, _ = PLANS[request.organisation]
        key = (node, request.organisation)
        queue = self.queues.get(key)
        if queue is None:
            share = Share(request.organisation, rate, burst)
            queue = self.queues[key] = AdmissionQueue(share)
        result = queue.admit(within_rate, request.at)
        tally = self.tallies[request.organisation]
        if result is not AdmissionResult.WAITING:
            admitted = result is AdmissionResult.ADMITTED
            tally.record_result(within_rate, admitted, request.at)
        self.draw(node, request.organisation, queue)

    def draw(self, node: str, organisation: str, queue: AdmissionQueue) -> None:
        """Draw tokens if requests wait for them."""
        requested = queue.start_draw(self.fleet.now)
        if requested is None:
            return
        number, tokens = requested
        process_name = self.process_name(node)
        per_s = queue.share.demand.per_s
        self.draws += 1

        def arrive() -> None:
            ledger = self.ledgers[organisation]
            if ledger is None:
                self.fleet.schedule(MESSAGE_DELAY_S, lambda: finish(None))
                return
            wait_s = self.recall(organisation, ledger, process_name, tokens)
            self.fleet.schedule(wait_s, draw_from_ledger)

        def draw_from_ledger() -> None:
            ledger = self.ledgers[organisation]
            reply = None
            if ledger is not None:
                reply = ledger.draw(process_name, number, tokens, per_s, self.fleet.now)
            self.fleet.schedule(MESSAGE_DELAY_S, lambda: finish(reply))

        def finish(reply) -> None:
            if self.process_name(node) != process_name:
                return
            now = self.fleet.now
            admitted, refused = queue.finish_draw(number, reply, now)
            tally = self.tallies[organisation]
            for within_rate in admitted:
                tally.record_result(within_rate, True, now)
            for within_rate in refused:
                tally.record_result(within_rate, False, now)
            pause_s = max(0.0, queue.share.refuse_until - now)
            self.fleet.schedule(pause_s, lambda: self.draw(node, organisation, queue))

        self.fleet.schedule(MESSAGE_DELAY_S, arrive)

    def recall(
        self, organisation: str, ledger: Ledger, drawing_process: str, tokens: int
    ) -> float:
        """Recall tokens for a draw if necessary; return the seconds the draw waits."""
        now = self.fleet.now
        for process_name in ledger.recall(drawing_process, tokens, now):
            node = process_name.partition(".")[0]
            self.recalls += 1
            event = partial(self.return_tokens, organisation, node, process_name)
            self.fleet.schedule(MESSAGE_DELAY_S, event)
            self.recalled_at[organisation] = now
        since_recall_s = now - self.recalled_at.get(organisation, -1.0)
        return max(0.0, 2 * MESSAGE_DELAY_S - since_recall_s)

    def return_tokens(self, organisation: str, node: str, process_name: str) -> None:
        """Return a node's tokens to the coordinator."""
        queue = self.queues.get((node, organisation))
        if queue is None or self.process_name(node) != process_name:
            return
        request = queue.share.recall(self.fleet.now)

        def arrive() -> None:
            ledger = self.ledgers[organisation]
            if ledger is not None:
                ledger.record_return(process_name, request, self.fleet.now)

        self.fleet.schedule(MESSAGE_DELAY_S, arrive)

    def apply_change(self, change: Change) -> None:
        """Drop the shares of a node that stops or crashes, and move its ledgers.

        On a planned stop the node first returns its shares and hands over its ledgers.
        """
        if change.starts:
            return
        for (node, organisation), queue in list(self.queues.items()):
            if node == change.node:
                if change.planned:
                    self.request_share(node, organisation, queue, releasing=True)
                del self.queues[(node, organisation)]
        delay_s = 2 * MESSAGE_DELAY_S if change.planned else 0.0
        for organisation, owner in self.owners.items():
            if owner == change.node:
                self.fleet.schedule(
                    delay_s, partial(self.move_ledger, organisation, change)
                )

    def move_ledger(self, organisation: str, change: Change) -> None:
        """Let another node take over the ledger of an organisation."""
        fleet = self.fleet
        old_ledger = self.ledgers[organisation]
        self.ledgers[organisation] = None
        self.owners[organisation] = top_ranked(f"allotter/{organisation}", fleet.live)
        self.epochs[organisation] += 1
        epoch = self.epochs[organisation]
        rate, burst, _ = PLANS[organisation]
        if change.planned and old_ledger and fleet.now >= old_ledger.settled_at:
            snapshot = export_ledger(old_ledger, fleet.now)

            def import_snapshot() -> None:
                ledger = import_ledger(snapshot, (rate, burst), epoch, fleet.now)
                self.ledgers[organisation] = ledger

            fleet.schedule(MESSAGE_DELAY_S * 2, import_snapshot)
            return

        def open_new_ledger() -> None:
            self.ledgers[organisation] = open_ledger(
                organisation, (rate, burst), epoch, fleet.now, fleet.now
            )

        fleet.schedule(OWNERSHIP_TAKEOVER_S, open_new_ledger)
