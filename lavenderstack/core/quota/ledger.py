"""The quota coordinator's ledger: how one organisation's plan is leased to nodes.

The plan's rate and burst are split into shares leased to nodes, tokens drawn by nodes
for immediate use, and the rest, which stays in the coordinator's own bucket. A share
or draw counts until its leaseholder reports that it holds another one, or until it
must have ended on the leaseholder's clock. While the answer to a request may still be
in transit, the larger of the old and the new size counts. A small part of the rate is
never handed out, because a leaseholder's clock may run fast.

A new owner doesn't know what its predecessor leased, except that the shares together
were no more than a fixed part of the plan. So it may use the rest as soon as all draws
must have ended (``reserve_at``). Until all shares must have ended too
(``settled_at``), it extends the shares that nodes report and grants no others. A share
whose extension the node has confirmed was in force when the predecessor had stopped.
So it is a known part of the plan, and what the node returns of it may be leased to
others.
"""

import math
from dataclasses import dataclass, field

from lavenderstack.core.quota.bucket import ROUNDING_TOKENS, Bucket
from lavenderstack.core.quota.leaseholder import Lease, Leaseholder
from lavenderstack.core.quota.share_messages import DrawReply, ShareGrant, ShareRequest

# How long shares and drawn tokens are valid on the leaseholder's clock, counted from
# its request.
SHARE_VALID_S = 30.0
DRAW_VALID_S = 0.5
# A lease counts for this much longer here than on the leaseholder's clock.
CLOCK_MARGIN_S = 0.1
# The fraction of the rate that is never handed out: leaseholders' clocks may be fast.
CLOCK_SPEED_ERROR = 0.001
# The time to the next recall after one that brought a token, and after any other.
RECALL_INTERVAL_S = 0.02
FAILED_RECALL_INTERVAL_S = 0.3
MAX_RECALLED_NODES = 16
# A node whose share would have less capacity than this gets none, and draws tokens.
MIN_SHARE_CAPACITY_TOKENS = 3.0
# The fractions of the plan that may be leased as shares. The rest is for draws.
LEASED_RATE_SHARE = 0.5
LEASED_BURST_SHARE = 0.3


@dataclass(slots=True)
class Ledger:
    """The ledger of one organisation, kept by the owner of its shard at ``epoch``.

    ``bucket`` holds the tokens that were not given to any node. ``predecessor_epoch``
    is the epoch of the owner that handed this ledger over, 0 if none did. ``seq`` is
    the number of the latest lease. Tokens may be recalled again from ``recall_at`` on.
    Rates are in tokens/s, sizes in tokens, times in seconds of the coordinator's clock.
    """

    organisation: str
    rate: float
    burst: float
    epoch: int
    reserve_at: float
    settled_at: float
    bucket: Bucket = field(default_factory=Bucket)
    leaseholders: dict[str, Leaseholder] = field(default_factory=dict)
    seq: int = 0
    predecessor_epoch: int = 0
    recall_at: float = -math.inf

    def _leased_size(self) -> tuple[float, float]:
        rate = capacity = 0.0
        for leaseholder in self.leaseholders.values():
            leaseholder_rate, leaseholder_capacity = leaseholder.max_in_force()
            rate += leaseholder_rate
            capacity += leaseholder_capacity
        return rate, capacity

    def _share_limit(self, now: float) -> tuple[float, float]:
        """Return how much of the plan may be leased as shares."""
        rate = self.rate * (1.0 - CLOCK_SPEED_ERROR) * LEASED_RATE_SHARE
        burst = self.burst * LEASED_BURST_SHARE
        if now >= self.settled_at:
            return rate, burst
        inherited = [
            leaseholder.inherited for leaseholder in self.leaseholders.values()
        ]
        inherited_rate = sum(size[0] for size in inherited)
        inherited_burst = sum(size[1] for size in inherited)
        return min(rate, inherited_rate), min(burst, inherited_burst)

    def _reserve(self, now: float) -> tuple[float, float]:
        """Return how much of the plan is never leased as shares."""
        if now < self.reserve_at:
            return 0.0, 0.0
        rate = self.rate * (1.0 - CLOCK_SPEED_ERROR) * (1.0 - LEASED_RATE_SHARE)
        return rate, self.burst * (1.0 - LEASED_BURST_SHARE)

    def _leasable(self, now: float) -> tuple[float, float]:
        limit_rate, limit_burst = self._share_limit(now)
        rate, capacity = self._leased_size()
        drawn = sum(leaseholder.drawn for leaseholder in self.leaseholders.values())
        unleased_rate, unleased_burst = self.unleased(now)
        return (
            min(unleased_rate, max(0.0, limit_rate - rate)),
            min(unleased_burst, max(0.0, limit_burst - (capacity - drawn))),
        )

    def unleased(self, now: float) -> tuple[float, float]:
        """Return the rate and capacity that certainly no node holds."""
        shared_rate, shared_burst = self._share_limit(now)
        reserve_rate, reserve_burst = self._reserve(now)
        rate, capacity = self._leased_size()
        return (
            max(0.0, shared_rate + reserve_rate - rate),
            max(0.0, shared_burst + reserve_burst - capacity),
        )

    def _balance(self, now: float) -> None:
        self.bucket.resize(now, *self.unleased(now))

    def refresh(self, now: float) -> None:
        """Remove ended leases and draws, and resize the bucket to what is left."""
        for name, leaseholder in list(self.leaseholders.items()):
            leaseholder.expire(now)
            silent = now - leaseholder.last_seen_at > SHARE_VALID_S + CLOCK_MARGIN_S
            if silent and leaseholder.max_in_force() == (0.0, 0.0):
                del self.leaseholders[name]
        self._balance(now)

    def idle(self, now: float) -> bool:
        """Return whether this ledger can be deleted without losing information."""
        self.refresh(now)
        return not self.leaseholders and self.bucket.level >= self.burst

    def set_plan(self, rate: float, burst: float, now: float) -> None:
        """Apply a change of the plan."""
        self.rate, self.burst = rate, burst
        for leaseholder in self.leaseholders.values():
            for lease in (leaseholder.held, leaseholder.offered):
                if lease is not None:
                    lease.basis_rate = max(lease.basis_rate, rate)
                    lease.basis_burst = max(lease.basis_burst, burst)
        self.refresh(now)

    def ask(self, node: str, request: ShareRequest, now: float) -> ShareGrant | None:
        """Answer a node's request for a share; return None if the request is outdated.

        What the node no longer holds becomes available to others.
        """
        leaseholder = self._record_report(node, request, now)
        if leaseholder is None:
            return None
        if not self._covers_epoch(request) and request.seq and now < self.settled_at:
            return self._extend(leaseholder, request, now)
        return self._grant(leaseholder, request, now)

    def record_return(self, node: str, request: ShareRequest, now: float) -> None:
        """Add the tokens that a node has returned after a recall."""
        before = self.bucket.level
        self._record_report(node, request, now)
        returned = self.bucket.level - before
        if returned >= 1.0:
            self.recall_at = min(self.recall_at, now + RECALL_INTERVAL_S)

    def _covers_epoch(self, request: ShareRequest) -> bool:
        """Return whether this ledger contains the leases of the request's epoch."""
        return request.epoch in (self.epoch, self.predecessor_epoch)

    def _record_report(
        self, node: str, request: ShareRequest, now: float
    ) -> Leaseholder | None:
        """Record what a node reports to hold; return None if the report is outdated."""
        self.refresh(now)
        leaseholder = self.leaseholders.setdefault(node, Leaseholder())
        if request.number <= leaseholder.number:
            return None
        leaseholder.number = request.number
        leaseholder.demand = request.demand
        leaseholder.last_seen_at = now
        _, before = leaseholder.max_in_force()
        covered = self._covers_epoch(request)
        leaseholder.confirm(request.seq if covered else 0, request.granted)
        if not covered:
            leaseholder.inherited = (0.0, 0.0)
        _, after = leaseholder.max_in_force()
        self._balance(now)
        self.bucket.add(min(request.returned, max(0.0, before - after)))
        return leaseholder

    def recall(self, node: str, tokens: int, now: float) -> list[str]:
        """Return the nodes whose tokens to recall before ``node`` draws ``tokens``.

        The nodes with the largest shares come first. The list is empty if the bucket
        has enough tokens, or before ``recall_at``.
        """
        self.refresh(now)
        if self.bucket.level >= tokens or now < self.recall_at:
            return []
        self.recall_at = now + FAILED_RECALL_INTERVAL_S
        sizes = {
            name: leaseholder.max_in_force()[1] - leaseholder.drawn
            for name, leaseholder in self.leaseholders.items()
            if name != node
        }
        names = [name for name, size in sizes.items() if size > 0.0]
        names.sort(key=sizes.__getitem__, reverse=True)
        return names[:MAX_RECALLED_NODES]

    def _offer(
        self, leaseholder: Leaseholder, size: tuple[float, float], now: float
    ) -> Lease:
        self.seq += 1
        ends_at = now + SHARE_VALID_S + CLOCK_MARGIN_S
        leaseholder.offered = Lease(self.seq, *size, self.rate, self.burst, ends_at)
        return leaseholder.offered

    def _extend(
        self, leaseholder: Leaseholder, request: ShareRequest, now: float
    ) -> ShareGrant:
        leaseholder.inherited = (request.rate, request.capacity)
        lease = self._offer(leaseholder, leaseholder.inherited, now)
        self._balance(now)
        return self._answer(request, lease, 0.0, in_place=True)

    def _grant(
        self, leaseholder: Leaseholder, request: ShareRequest, now: float
    ) -> ShareGrant:
        unleased_rate, unleased_burst = self._leasable(now)
        held = (0.0, 0.0)
        if leaseholder.held is not None:
            held = leaseholder.held.size_under_plan(self.rate, self.burst)
        wanted_rate, wanted_capacity = self._wanted(leaseholder)
        rate = min(wanted_rate, held[0] + unleased_rate)
        capacity = min(wanted_capacity, held[1] + unleased_burst)
        before = self.bucket.capacity
        lease = self._offer(leaseholder, (rate, capacity), now)
        fill = 0.0
        held_capacity = (
            leaseholder.held.capacity if leaseholder.held is not None else 0.0
        )
        grown = max(0.0, capacity - held_capacity)
        if grown and before and now >= self.recall_at:
            fill = self.bucket.level * min(1.0, grown / before)
            self.bucket.level -= fill
        self._balance(now)
        return self._answer(request, lease, fill, in_place=False)

    def _wanted(self, leaseholder: Leaseholder) -> tuple[float, float]:
        total = sum(other.demand for other in self.leaseholders.values())
        if leaseholder.demand <= 0.0 or total <= 0.0:
            return 0.0, 0.0
        fraction = leaseholder.demand / total
        capacity = self.burst * LEASED_BURST_SHARE * fraction
        if capacity < MIN_SHARE_CAPACITY_TOKENS:
            return 0.0, 0.0
        return self.rate * LEASED_RATE_SHARE * fraction, capacity

    def _answer(
        self, request: ShareRequest, lease: Lease, fill: float, *, in_place: bool
    ) -> ShareGrant:
        return ShareGrant(
            self.organisation,
            request.number,
            self.epoch,
            lease.seq,
            lease.rate,
            lease.capacity,
            fill,
            SHARE_VALID_S,
            self.rate,
            self.burst,
            in_place,
        )

    def draw(
        self, node: str, number: int, tokens: int, demand: float, now: float
    ) -> DrawReply | None:
        """Give a node up to ``tokens`` tokens for immediate use.

        ``demand`` is the node's demand in requests/s. Returns None if the request is
        outdated.
        """
        self.refresh(now)
        leaseholder = self.leaseholders.setdefault(node, Leaseholder())
        if number <= leaseholder.draw_number:
            return None
        leaseholder.draw_number = number
        leaseholder.drawn = 0.0
        leaseholder.demand = demand
        leaseholder.last_seen_at = now
        self._balance(now)
        given = min(tokens, math.floor(self.bucket.level + ROUNDING_TOKENS))
        self.bucket.level = max(0.0, self.bucket.level - given)
        leaseholder.drawn = float(given)
        leaseholder.drawn_ends_at = now + DRAW_VALID_S + CLOCK_MARGIN_S
        self._balance(now)
        wait_s = (tokens - given) / self.rate if self.rate > 0 else SHARE_VALID_S
        return DrawReply(given, DRAW_VALID_S, wait_s)
