"""A node's share of one organisation's rate and burst.

The share is leased from the organisation's quota coordinator (see ``ledger``). Its
time is counted from the request on the node's own clock, so it ends here before the
coordinator may lease it to another node. If a node was paused, its share has ended
when it resumes: the clock includes the pause, and every request checks it.

Three rules keep the sum over all nodes within the plan, even if messages are lost,
repeated or delayed:

- only the answer to the latest request is adopted, and only once;
- a share that grows adds no tokens except those that the coordinator handed out;
- tokens that no longer fit are returned once, and are lost if that message is lost.
"""

import math
from dataclasses import dataclass, field

from lavenderstack.core.quota.bucket import Bucket
from lavenderstack.core.quota.demand import Demand
from lavenderstack.core.quota.share_messages import DrawReply, ShareGrant, ShareRequest

# Bounds of the time for which requests are refused after a draw without tokens.
MIN_REFUSAL_S = 0.02
MAX_REFUSAL_S = 0.5
# A draw also asks for the tokens of the requests expected in this time.
PREFETCH_S = 0.1
# The time after which an unanswered request for a share is repeated.
REPEAT_REQUEST_S = 1.0
MIN_RENEWAL_INTERVAL_S = 2.0
MAX_RENEWAL_INTERVAL_S = 24.0
# A share is renewed early if the demand differs from the reported one by this fraction.
DEMAND_DRIFT_FRACTION = 0.5
# A grant below this fraction of the previous share counts as shrunk.
SHRUNK_FRACTION = 0.8
# After this many unanswered draws in a row the coordinator counts as unreachable.
MAX_UNANSWERED_DRAWS = 4
# A smaller demand is reported as none.
MIN_DEMAND_PER_S = 0.05

_NEVER = -math.inf


@dataclass(slots=True)
class Share:
    """What this process holds of one organisation's plan.

    ``rate`` (tokens/s) and ``capacity`` (tokens) are as granted under a plan of
    ``basis_rate`` and ``basis_burst``. ``bucket`` has the size in force, which is
    smaller if the plan has shrunk since. ``drawn`` tokens may be used until
    ``drawn_until``. Times are in seconds of the node's clock.
    """

    organisation: str
    plan_rate: float
    plan_burst: float
    epoch: int = 0
    seq: int = 0
    rate: float = 0.0
    capacity: float = 0.0
    basis_rate: float = 0.0
    basis_burst: float = 0.0
    ends_at: float = _NEVER
    bucket: Bucket = field(default_factory=Bucket)
    demand: Demand = field(default_factory=Demand)
    returned: float = 0.0
    number: int = 0
    answered: bool = True
    asked_at: float = _NEVER
    asked_plan: tuple[float, float] = (0.0, 0.0)
    draw_number: int = 0
    drawing: bool = False
    drawn: float = 0.0
    drawn_until: float = _NEVER
    draw_asked_at: float = _NEVER
    refuse_until: float = _NEVER
    reported: float = 0.0
    ran_short: bool = False
    shrunk: bool = False
    unanswered: int = 0

    def admit(self, now: float) -> bool:
        """Count a request and take a token for it; return False if there is none."""
        self.demand.count_arrival(now)
        return self.spend(now)

    def spend(self, now: float) -> bool:
        """Take a token without counting a request; return False if there is none."""
        if now < self.ends_at and self.bucket.take(now):
            return True
        if self.drawn >= 1.0 and now < self.drawn_until:
            self.drawn -= 1.0
            return True
        self.ran_short = True
        return False

    def try_admit(self, now: float) -> bool:
        """Take a token and count the request; if there is none, don't count it."""
        if not self.spend(now):
            return False
        self.demand.count_arrival(now)
        return True

    def ask(self, now: float, releasing: bool = False) -> ShareRequest:
        """Return the next request for a share, which invalidates all earlier ones.

        With ``releasing`` the node first drops the share that it holds. This is how
        it returns its shares on a planned stop.
        """
        if now >= self.ends_at:
            self._drop()
        elif releasing:
            self.bucket.refill(now)
            self.returned += self.bucket.level
            self._drop()
        self.number += 1
        self.answered = releasing
        self.asked_at = now
        self.asked_plan = (self.plan_rate, self.plan_burst)
        self.reported = 0.0 if releasing else self._demand_to_report(now)
        self.ran_short = self.shrunk = False
        returned, self.returned = self.returned, 0.0
        return ShareRequest(
            self.organisation,
            self.number,
            self.epoch,
            self.seq,
            self.bucket.rate,
            self.bucket.capacity,
            self.capacity,
            self.reported,
            returned,
        )

    def recall(self, now: float) -> ShareRequest:
        """Give up the tokens and their capacity; return the request that reports it.

        The next grant, which is due soon, restores the capacity.
        """
        if now < self.ends_at:
            self.bucket.refill(now)
            tokens = self.bucket.level
            plan_ratio = _ratio(self.plan_burst, self.basis_burst)
            if plan_ratio > 0.0:
                self.capacity = max(0.0, self.capacity - tokens / plan_ratio)
                self.bucket.level = 0.0
                self.returned += tokens
            self._fit_bucket(now)
        request = self.ask(now)
        self.answered = True
        self.asked_at = _NEVER
        return request

    def _demand_to_report(self, now: float) -> float:
        demand = self.demand.update_average(now)
        return demand if demand >= MIN_DEMAND_PER_S else 0.0

    def _drop(self) -> None:
        self.seq = 0
        self.rate = self.capacity = 0.0
        self.ends_at = _NEVER
        self.bucket = Bucket()

    def adopt(self, grant: ShareGrant, now: float) -> bool:
        """Adopt a grant; return False if it is late, repeated or superseded."""
        if grant.number != self.number or self.answered or grant.epoch < self.epoch:
            return False
        in_force = now < self.ends_at
        ends_at = self.asked_at + grant.valid_s
        if now >= ends_at or (grant.in_place and not in_force):
            return False
        self.answered = True
        if not in_force:
            self._drop()
            self.bucket.at = now
        smaller = grant.rate < SHRUNK_FRACTION * self.rate
        self.shrunk = smaller or grant.capacity < SHRUNK_FRACTION * self.capacity
        self.epoch, self.seq, self.ends_at = grant.epoch, grant.seq, ends_at
        self.rate, self.capacity = grant.rate, grant.capacity
        basis = (grant.plan_rate, grant.plan_burst)
        self.basis_rate, self.basis_burst = self.asked_plan if grant.in_place else basis
        self.returned += self._fit_bucket(now)
        self.bucket.add(grant.fill)
        return True

    def idle(self, now: float) -> bool:
        """Return whether there is no demand and nothing is held."""
        quiet = self.demand.update_average(now) < MIN_DEMAND_PER_S
        empty = now >= self.ends_at or self.bucket.capacity == 0.0
        return quiet and empty and self.returned == 0.0 and not self.drawing

    def request_due(self, now: float) -> bool:
        """Return whether it is time to request a share again.

        With a steady demand, or no share, renewal is rare; without a share, draws
        report the demand. A share that is too small, much too large or was just shrunk
        is renewed soon, and an unanswered request is repeated.
        """
        since_s = now - self.asked_at
        if since_s >= MAX_RENEWAL_INTERVAL_S:
            return True
        if not self.answered or self.shrunk:
            return since_s >= REPEAT_REQUEST_S
        if self.capacity == 0.0 or since_s < MIN_RENEWAL_INTERVAL_S:
            return False
        if self.ran_short:
            return True
        demand = self.demand.update_average(now)
        drift = abs(demand - self.reported)
        return drift > max(MIN_DEMAND_PER_S, DEMAND_DRIFT_FRACTION * self.reported)

    def set_plan(self, rate: float, burst: float, now: float) -> None:
        """Apply a change of the plan at once, without waiting for the coordinator.

        A smaller plan shrinks the share in proportion and invalidates tokens drawn
        under the larger one. A larger plan has no effect until the next grant.
        """
        if burst < self.plan_burst:
            self.drawing = False
            self.drawn = 0.0
        self.plan_rate, self.plan_burst = rate, burst
        self.basis_rate = max(self.basis_rate, rate)
        self.basis_burst = max(self.basis_burst, burst)
        self._fit_bucket(now)

    def _fit_bucket(self, now: float) -> float:
        rate = self.rate * _ratio(self.plan_rate, self.basis_rate)
        capacity = self.capacity * _ratio(self.plan_burst, self.basis_burst)
        return self.bucket.resize(now, rate, capacity)

    @property
    def coordinator_unreachable(self) -> bool:
        """Whether the coordinator has left several draws in a row unanswered."""
        return self.unanswered >= MAX_UNANSWERED_DRAWS

    def may_draw(self, now: float) -> bool:
        """Return whether the coordinator may be asked for tokens now."""
        return not self.drawing and now >= self.refuse_until

    def next_draw(self, now: float, waiting: int) -> tuple[int, int]:
        """Return the number and tokens of a new draw; it invalidates earlier ones.

        ``waiting`` requests need a token now; some more are drawn for those expected.
        """
        self.draw_number += 1
        self.drawing = True
        self.drawn = 0.0
        self.draw_asked_at = now
        prefetch = self.demand.update_average(now) * PREFETCH_S
        return self.draw_number, waiting + int(prefetch)

    def adopt_draw(self, number: int, grant: DrawReply | None, now: float) -> None:
        """Process the answer to a draw; ``grant`` is None if there was no answer."""
        if number != self.draw_number or not self.drawing:
            return
        self.drawing = False
        if grant is None:
            self.unanswered += 1
            wait_s = MAX_REFUSAL_S if self.coordinator_unreachable else MIN_REFUSAL_S
            self.refuse_until = now + wait_s
            return
        self.unanswered = 0
        self.drawn = float(grant.tokens)
        self.drawn_until = self.draw_asked_at + grant.valid_s
        if grant.retry_after_s > 0.0 and grant.tokens == 0:
            wait_s = max(MIN_REFUSAL_S, grant.retry_after_s)
            self.refuse_until = now + min(MAX_REFUSAL_S, wait_s)

    def retry_after_s(self, now: float) -> float:
        """Return the seconds until a token is likely to be there, without jitter."""
        bucket = self.bucket
        waits = [self.refuse_until - now]
        if now < self.ends_at and bucket.rate > 0.0:
            waits.append((1.0 - bucket.level) / bucket.rate)
        else:
            waits.append(1.0 / max(self.plan_rate, 1.0))
        return max(MIN_REFUSAL_S, *waits)


def _ratio(current: float, basis: float) -> float:
    return min(1.0, current / basis) if basis > 0.0 else 0.0
