"""Enforces an organisation's rate over all nodes without consensus between them.

One node, the quota coordinator, hands out tokens on request. Each entry node is
attached to one coordinator at a time. A coordinator hands out only a fraction of the
rate: the number of entry nodes attached to it, divided by the number of all nodes. So
the fractions add up to at most the whole rate even if nodes disagree on which node is
the coordinator, for example during a network partition between zones. An entry node
that is attached to no coordinator admits operations up to one node's part of the rate.

The level of a bucket is lost when its coordinator stops. To keep callers from being
refused within their rate after that, a share of each nearly full bucket is reserved
and recorded in the store. The coordinator hands out the reserve only after it has
withdrawn the record. A successor withdraws the record first and then hands out the
reserve. Every change of the record is a compare-and-set, so a reserve is handed out
at most once.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from lavenderstack.core.queue.return_schedule import MAX_RETRY_AFTER_S
from lavenderstack.core.quota.attachment import AttachedNodes
from lavenderstack.core.quota.bucket import Bucket
from lavenderstack.core.view import Plan

# Prefetched tokens are granted only from a bucket at least this full, as a fraction of
# its capacity: they may expire unused, and an organisation at its limit needs them.
PREFETCH_MIN_FILL = 0.5
# The fraction of a burst that is reserved, and the fraction that the bucket must hold
# before a reserve is made.
RESERVE_SHARE = 0.6
RESERVE_MIN_FILL = 0.85
# The unreserved tokens of a burst must cover ordinary fluctuations, and a withdrawn
# reserve is not made again at once. Otherwise the store would be written for almost
# every operation.
MIN_UNRESERVED_TOKENS = 6.0
RESERVE_COOLDOWN_S = 10.0
# The initial level of a bucket whose earlier state is unknown: this many tokens plus
# the rate over this time. It is a small part of the overshoot that the platform allows.
INITIAL_TOKENS = 4.0
INITIAL_RATE_S = 0.1
# The fallback bucket of an entry node fills while the node uses its coordinator, so
# its capacity is only this fraction of the node's share of the burst.
FALLBACK_BURST_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class TokenGrant:
    """Tokens handed out.

    If there are fewer than wanted, ``retry_after_s`` is the time until one is expected
    and ``spacing_s`` the time between tokens after that, in seconds.
    """

    tokens: int
    retry_after_s: float = 0.0
    spacing_s: float = 0.0


def initial_tokens(plan: Plan) -> float:
    """Return the initial tokens of a bucket whose earlier state is unknown."""
    return min(plan.burst, INITIAL_TOKENS + plan.rate * INITIAL_RATE_S)


def _refusal(missing: float, rate: float) -> TokenGrant:
    """Return the grant of no tokens while ``missing`` tokens accrue at ``rate``."""
    if rate <= 0:
        return TokenGrant(0, MAX_RETRY_AFTER_S, MAX_RETRY_AFTER_S)
    return TokenGrant(0, min(MAX_RETRY_AFTER_S, missing / rate), 1.0 / rate)


@dataclass(slots=True)
class CoordinatorQuota:
    """State of a quota coordinator: attached entry nodes and a bucket per organisation.

    The clock of the buckets is ``attached.filled_s``, which advances in proportion to
    the number of attached nodes. So a bucket gains exactly the part of the rate that
    belongs to the nodes attached over time, however rarely it is updated.
    ``reserved`` holds each organisation's reserve in tokens, ``withdrawn_at`` the time
    in seconds at which a reserve was last withdrawn. ``unspent`` means that there was
    no coordinator before, so nothing of the first plans can have been spent.
    """

    attached: AttachedNodes = field(default_factory=AttachedNodes)
    buckets: dict[str, Bucket] = field(default_factory=dict)
    reserved: dict[str, float] = field(default_factory=dict)
    withdrawn_at: dict[str, float] = field(default_factory=dict)
    unspent: bool = False
    _plans_seen: Mapping[str, Plan] | None = None

    def attach(self, node: str, nodes: int, now: float) -> None:
        """Record a request of a node; ``nodes`` is the number of all nodes."""
        self.attached.record_request(node, nodes, now)

    def detach(self, node: str, nodes: int, now: float) -> None:
        """Record that a node is no longer attached here."""
        self.attached.remove(node, nodes, now)

    def create_buckets(self, plans: Mapping[str, Plan]) -> None:
        """Create the buckets of new plans, so that they fill before the first draw."""
        if plans is self._plans_seen:
            return
        before, self._plans_seen = self._plans_seen, plans
        for name, plan in plans.items():
            # The plan of an organisation that this coordinator sees added is new.
            is_added = before is not None and name not in before
            self._bucket(name, plan, is_added)

    def _bucket(self, organisation: str, plan: Plan, is_added: bool = False) -> Bucket:
        filled_s = self.attached.filled_s
        bucket = self.buckets.get(organisation)
        if bucket is None:
            bucket = self.buckets[organisation] = Bucket(at=filled_s)
            is_full = is_added or self.unspent
            bucket.level = plan.burst if is_full else initial_tokens(plan)
        # The capacity is that of the whole burst, whatever fraction of the nodes is
        # attached: that fraction varies all the time, and each decrease would discard
        # saved tokens.
        capacity = max(1.0, initial_tokens(plan), plan.burst)
        bucket.resize(filled_s, plan.rate, capacity)
        return bucket

    def draw(
        self,
        organisation: str,
        plan: Plan,
        wanted: int,
        nodes: int,
        now: float,
        prefetch: int = 0,
    ) -> TokenGrant:
        """Hand out up to ``wanted`` tokens of an organisation, plus some ``prefetch``.

        Prefetched tokens are added only while the bucket stays filled enough; see
        ``PREFETCH_MIN_FILL``.
        """
        self.attached.advance(nodes, now)
        bucket = self._bucket(organisation, plan)
        level = bucket.level - self.reserved.get(organisation, 0.0)
        tokens = max(0, min(wanted, int(level + 1e-9)))
        spare = bucket.level - tokens - bucket.capacity * PREFETCH_MIN_FILL
        spare = min(spare, level - tokens)
        tokens += max(0, min(prefetch, int(spare)))
        if tokens > 0:
            bucket.level -= tokens
            if tokens >= wanted:
                return TokenGrant(tokens)
            left = _refusal(1.0 - (level - tokens), self._rate(bucket, nodes))
            return TokenGrant(tokens, left.retry_after_s, left.spacing_s)
        return _refusal(1.0 - level, self._rate(bucket, nodes))

    def _rate(self, bucket: Bucket, nodes: int) -> float:
        """Return the tokens per second that are handed out here."""
        return bucket.rate * self.attached.rate_fraction(nodes)

    def needs_reserve(self, organisation: str, wanted: int) -> bool:
        """Return whether the wanted tokens can only be covered with the reserve."""
        reserved = self.reserved.get(organisation, 0.0)
        bucket = self.buckets.get(organisation)
        return (
            bool(reserved)
            and bucket is not None
            and (bucket.level - reserved < wanted <= bucket.level)
        )

    def withdraw(self, organisation: str, now: float) -> None:
        """Release a reserve whose record in the store has been withdrawn."""
        self.reserved.pop(organisation, None)
        self.withdrawn_at[organisation] = now

    def _may_reserve(self, name: str, plan: Plan, now: float) -> bool:
        if plan.burst * (1.0 - RESERVE_SHARE) < MIN_UNRESERVED_TOKENS:
            return False
        return now - self.withdrawn_at.get(name, float("-inf")) >= RESERVE_COOLDOWN_S

    def update_reserves(
        self, plans: Mapping[str, Plan], nodes: int, now: float
    ) -> dict[str, float]:
        """Reserve tokens in nearly full buckets; return all reserves in tokens.

        The reserves apply here at once, whether or not they can be recorded in the
        store.
        """
        self.attached.advance(nodes, now)
        for name, plan in plans.items():
            if not self._may_reserve(name, plan, now):
                continue
            bucket = self._bucket(name, plan)
            if bucket.level >= plan.burst * RESERVE_MIN_FILL:
                self.reserved[name] = max(
                    self.reserved.get(name, 0.0), plan.burst * RESERVE_SHARE
                )
        return dict(self.reserved)

    def adopt_reserve(
        self, tokens: Mapping[str, float], nodes: int, now: float
    ) -> None:
        """Add the predecessor's reserve, after its record has been withdrawn.

        This node's own reserves are deducted: the coordinator that owned the record
        in the meantime may have handed them out.
        """
        self.attached.advance(nodes, now)
        for name, reserved in self.reserved.items():
            bucket = self.buckets[name]
            bucket.refill(self.attached.filled_s)
            bucket.level = max(0.0, bucket.level - reserved)
        self.reserved.clear()
        for name, reserved in tokens.items():
            bucket = self.buckets.get(name)
            if bucket is not None:
                bucket.refill(self.attached.filled_s)
                bucket.add(reserved)


@dataclass(slots=True)
class FallbackQuota:
    """An entry node's own share of the rates, used while it has no coordinator."""

    buckets: dict[str, Bucket] = field(default_factory=dict)

    def take(self, organisation: str, plan: Plan, nodes: int, now: float) -> TokenGrant:
        """Take one token of this node's share; ``nodes`` is the number of all nodes."""
        bucket = self.buckets.get(organisation)
        fraction = 1.0 / max(1, nodes)
        if bucket is None:
            bucket = self.buckets[organisation] = Bucket(at=now)
            bucket.level = 1.0
        capacity = max(1.0, plan.burst * fraction * FALLBACK_BURST_SHARE)
        bucket.resize(now, plan.rate * fraction, capacity)
        if bucket.take(now):
            return TokenGrant(1)
        return _refusal(1.0 - bucket.level, bucket.rate)


@dataclass(slots=True)
class PrefetchedTokens:
    """Tokens that an entry node has drawn ahead of need.

    They expire at ``expires_at``, so that they don't accumulate. ``demand`` is the
    organisation's recent rate at this entry node, in operations per second.
    """

    tokens: int = 0
    expires_at: float = 0.0
    demand: float = 0.0
    demand_at: float = 0.0
    refused_until: float = 0.0

    def record_operation(self, now: float, demand_window_s: float = 2.0) -> None:
        """Count one operation towards the demand."""
        elapsed_s = max(0.0, now - self.demand_at)
        self.demand = (
            self.demand * max(0.0, 1.0 - elapsed_s / demand_window_s)
            + 1.0 / demand_window_s
        )
        self.demand_at = now

    def take(self, now: float) -> bool:
        """Take one prefetched token; return False if there is none or they expired."""
        if self.tokens <= 0 or now > self.expires_at:
            self.tokens = 0
            return False
        self.tokens -= 1
        return True
