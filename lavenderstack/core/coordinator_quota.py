"""How one organisation's rate is kept over all nodes without agreement between them.

One node, the allotter, hands out tokens on request. Each entry attaches to one allotter
at a time, and an allotter hands out only that part of the rate which is its attached
entries' part of all nodes. So when nodes disagree on who the allotter is, as they do
while a zone is cut off, the parts still add up to no more than the whole. An entry
that is attached to none uses its own part alone.

A bucket's level is lost with its allotter. So that callers are not refused what is
theirs after that, part of a full bucket is a reserve, recorded in the store: the
allotter does not hand it out until it has withdrawn the record, and its successor,
which withdraws it first, may. Whoever changes the record does so under the condition
that nobody else has, so the reserve is handed out once.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from lavenderstack.core.attachment import AttachedNodes
from lavenderstack.core.bucket import Bucket
from lavenderstack.core.view import Plan

# Tokens for operations that have not come are handed out only from a bucket as full as
# this: they may end unused, which an organisation at its limit would miss.
AHEAD_LEVEL = 0.5
# The part of a burst that is reserved, once the bucket is nearly full.
RESERVED = 0.6
RESERVE_FROM = 0.85
# What is left of a burst beside the reserve must cover ordinary comings and goings, or
# the record would be changed with each of them; and it is left alone once withdrawn.
LEAST_FREE_TOKENS = 6.0
RESERVE_AGAIN_S = 10.0
# What a new allotter, and all entries by themselves, may each hand out at once of a
# bucket whose state is not known: a part of what is allowed beyond the rate.
FIRST_TOKENS = 4.0
FIRST_RATE_S = 0.1
# An entry's own bucket fills while it isn't used, so it is kept small.
OWN_BURST_SHARE = 0.3
LONGEST_RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class TokenGrant:
    """Tokens handed out; ``retry_after_s`` is when there will be one, if none."""

    tokens: int
    retry_after_s: float = 0.0


def first_tokens(plan: Plan) -> float:
    """Return how many tokens a bucket of unknown state starts with."""
    return min(plan.burst, FIRST_TOKENS + plan.rate * FIRST_RATE_S)


@dataclass(slots=True)
class CoordinatorQuota:
    """The books of an allotter: who is attached, and each organisation's bucket.

    The buckets fill by the time that ``attached`` counts, so they hold exactly what the
    entries that were attached here brought along, whenever they are looked at.
    """

    attached: AttachedNodes = field(default_factory=AttachedNodes)
    buckets: dict[str, Bucket] = field(default_factory=dict)
    reserved: dict[str, float] = field(default_factory=dict)
    withdrawn_at: dict[str, float] = field(default_factory=dict)
    _prepared: Mapping[str, Plan] | None = None

    def attach(self, node: str, nodes: int, now: float) -> None:
        """Note a question of a node; ``nodes`` is how many there are in all."""
        self.attached.note(node, nodes, now)

    def detach(self, node: str, nodes: int, now: float) -> None:
        """Note that a node asks here no longer."""
        self.attached.drop(node, nodes, now)

    def create_buckets(self, plans: Mapping[str, Plan]) -> None:
        """Let the buckets of new plans fill before they are asked for."""
        if plans is self._prepared:
            return
        self._prepared = plans
        for name, plan in plans.items():
            self._bucket(name, plan)

    def _bucket(self, organisation: str, plan: Plan) -> Bucket:
        filled_s = self.attached.filled_s
        bucket = self.buckets.get(organisation)
        if bucket is None:
            bucket = self.buckets[organisation] = Bucket(at=filled_s)
            bucket.level = first_tokens(plan)
        # The capacity does not follow the part: who is attached varies from one moment
        # to the next, and what was saved would be lost each time.
        capacity = max(1.0, first_tokens(plan), plan.burst)
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
        """Hand out up to ``wanted`` tokens of an organisation, and some ahead."""
        self.attached.advance(nodes, now)
        bucket = self._bucket(organisation, plan)
        level = bucket.level - self.reserved.get(organisation, 0.0)
        tokens = max(0, min(wanted, int(level + 1e-9)))
        spare = bucket.level - tokens - bucket.capacity * AHEAD_LEVEL
        spare = min(spare, level - tokens)
        tokens += max(0, min(prefetch, int(spare)))
        if tokens > 0:
            bucket.level -= tokens
            return TokenGrant(tokens)
        rate = bucket.rate * self.attached.share(nodes)
        retry_s = (1.0 - level) / rate if rate > 0 else LONGEST_RETRY_S
        return TokenGrant(0, min(LONGEST_RETRY_S, retry_s))

    def needs_reserve(self, organisation: str, wanted: int) -> bool:
        """Tell whether only the reserve could cover the tokens wanted."""
        reserved = self.reserved.get(organisation, 0.0)
        bucket = self.buckets.get(organisation)
        return (
            bool(reserved)
            and bucket is not None
            and (bucket.level - reserved < wanted <= bucket.level)
        )

    def withdraw(self, organisation: str, now: float) -> None:
        """Free a reserve that is no longer recorded."""
        self.reserved.pop(organisation, None)
        self.withdrawn_at[organisation] = now

    def _may_reserve(self, name: str, plan: Plan, now: float) -> bool:
        if plan.burst * (1.0 - RESERVED) < LEAST_FREE_TOKENS:
            return False
        return now - self.withdrawn_at.get(name, float("-inf")) >= RESERVE_AGAIN_S

    def update_reserves(
        self, plans: Mapping[str, Plan], nodes: int, now: float
    ) -> dict[str, float]:
        """Return the reserves of all organisations whose buckets are nearly full.

        They are in force here from now on, whether or not they get recorded.
        """
        self.attached.advance(nodes, now)
        for name, plan in plans.items():
            if not self._may_reserve(name, plan, now):
                continue
            bucket = self._bucket(name, plan)
            if bucket.level >= plan.burst * RESERVE_FROM:
                self.reserved[name] = max(
                    self.reserved.get(name, 0.0), plan.burst * RESERVED
                )
        return dict(self.reserved)

    def adopt_reserve(
        self, tokens: Mapping[str, float], nodes: int, now: float
    ) -> None:
        """Add what a predecessor had reserved, once its record is withdrawn.

        What had been reserved here was another's to hand out meanwhile.
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
    """An entry's own part, used while it is attached to no allotter."""

    buckets: dict[str, Bucket] = field(default_factory=dict)

    def take(self, organisation: str, plan: Plan, nodes: int, now: float) -> TokenGrant:
        """Take one token of this node's own part of the rate."""
        bucket = self.buckets.get(organisation)
        part = 1.0 / max(1, nodes)
        if bucket is None:
            bucket = self.buckets[organisation] = Bucket(at=now)
            bucket.level = 1.0
        capacity = max(1.0, plan.burst * part * OWN_BURST_SHARE)
        bucket.resize(now, plan.rate * part, capacity)
        if bucket.take(now):
            return TokenGrant(1)
        retry_s = (1.0 - bucket.level) / bucket.rate if bucket.rate > 0 else 1.0
        return TokenGrant(0, min(LONGEST_RETRY_S, retry_s))


@dataclass(slots=True)
class PrefetchedTokens:
    """Tokens that an entry has drawn ahead; they end, so that none pile up.

    ``demand`` is the organisation's recent operations a second at this entry.
    """

    tokens: int = 0
    expires_at: float = 0.0
    demand: float = 0.0
    seen_at: float = 0.0
    refused_until: float = 0.0

    def record_operation(self, now: float, window_s: float = 2.0) -> None:
        """Count one operation."""
        gone_s = max(0.0, now - self.seen_at)
        self.demand = self.demand * max(0.0, 1.0 - gone_s / window_s) + 1.0 / window_s
        self.seen_at = now

    def take(self, now: float) -> bool:
        """Take a token that was drawn ahead."""
        if self.tokens <= 0 or now > self.expires_at:
            self.tokens = 0
            return False
        self.tokens -= 1
        return True
