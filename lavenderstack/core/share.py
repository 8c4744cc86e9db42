"""A node's share of one organisation's rate and burst.

The share is leased from the organisation's allotter (see ``ledger``) and is counted
from the moment of asking on the node's own clock, so it ends here before the
allotter may give it to another node. A node that was paused finds on waking that
its share has ended, because the clock counts the pause and every request looks at
it.

Three rules keep the sum over all nodes within the plan whatever happens to the
messages:

- only the answer to the latest request is taken up, and only once;
- a share that grows brings no tokens but those that the allotter gave away;
- tokens that no longer fit are sent back once and are gone if that message is lost.
"""

import math
from dataclasses import dataclass, field

from lavenderstack.core.bucket import Bucket
from lavenderstack.core.demand import Demand
from lavenderstack.core.share_messages import DrawReply, ShareGrant, ShareRequest

SHORTEST_REFUSAL_S = 0.02
LONGEST_REFUSAL_S = 0.5
DRAW_AHEAD_S = 0.1
REPEAT_ASK_S = 1.0
SHORT_ASK_S = 2.0
MAX_RENEWAL_INTERVAL_S = 24.0
DRIFT_PART = 0.5
SHRUNK_PART = 0.8
CUT_OFF_DRAWS = 4
LEAST_DEMAND_PER_S = 0.05

_NEVER = -math.inf


@dataclass(slots=True)
class Share:
    """What this process holds of one organisation's plan.

    ``rate`` and ``capacity`` are as granted under a plan of ``basis_rate`` and
    ``basis_burst``; ``bucket`` is what is in force, less if the plan has shrunk since.
    ``drawn`` tokens may be used until ``drawn_until``. Times are in seconds of the
    node's clock.
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
    missed: bool = False
    shrunk: bool = False
    unanswered: int = 0

    def admit(self, now: float) -> bool:
        """Take a token for one request if the node has one at hand."""
        self.demand.count_arrival(now)
        return self.spend(now)

    def spend(self, now: float) -> bool:
        """Take a token without counting the request as new demand."""
        if now < self.ends_at and self.bucket.take(now):
            return True
        if self.drawn >= 1.0 and now < self.drawn_until:
            self.drawn -= 1.0
            return True
        self.missed = True
        return False

    def try_admit(self, now: float) -> bool:
        """Take a token if there is one; a request that finds none isn't counted."""
        if not self.spend(now):
            return False
        self.demand.count_arrival(now)
        return True

    def ask(self, now: float, releasing: bool = False) -> ShareRequest:
        """Return the next request for a share, which voids all earlier ones.

        With ``releasing`` the node drops what it has first, which is how a share is
        given back on a planned stop.
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
        self.missed = self.shrunk = False
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
        """Give the tokens back, with the room for them, and return how to say so.

        The room comes back with the next grant, which is asked for soon.
        """
        if now < self.ends_at:
            self.bucket.refill(now)
            given = self.bucket.level
            part = _part(self.plan_burst, self.basis_burst)
            if part > 0.0:
                self.capacity = max(0.0, self.capacity - given / part)
                self.bucket.level = 0.0
                self.returned += given
            self._fit(now)
        ask = self.ask(now)
        self.answered = True
        self.asked_at = _NEVER
        return ask

    def _demand_to_report(self, now: float) -> float:
        demand = self.demand.fold(now)
        return demand if demand >= LEAST_DEMAND_PER_S else 0.0

    def _drop(self) -> None:
        self.seq = 0
        self.rate = self.capacity = 0.0
        self.ends_at = _NEVER
        self.bucket = Bucket()

    def adopt(self, grant: ShareGrant, now: float) -> bool:
        """Take up a grant; return False if it is late, repeated or superseded."""
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
        smaller = grant.rate < SHRUNK_PART * self.rate
        self.shrunk = smaller or grant.capacity < SHRUNK_PART * self.capacity
        self.epoch, self.seq, self.ends_at = grant.epoch, grant.seq, ends_at
        self.rate, self.capacity = grant.rate, grant.capacity
        basis = (grant.plan_rate, grant.plan_burst)
        self.basis_rate, self.basis_burst = self.asked_plan if grant.in_place else basis
        self.returned += self._fit(now)
        self.bucket.add(grant.fill)
        return True

    def idle(self, now: float) -> bool:
        """Whether there is nothing here that is worth keeping."""
        quiet = self.demand.fold(now) < LEAST_DEMAND_PER_S
        empty = now >= self.ends_at or self.bucket.capacity == 0.0
        return quiet and empty and self.returned == 0.0 and not self.drawing

    def ask_due(self, now: float) -> bool:
        """Whether it is time to ask for a share again.

        A steady share is renewed seldom, and so is none: draws tell the demand then.
        A share that is short, much too large or just shrunk is renewed soon, and an
        unanswered request is repeated.
        """
        since_s = now - self.asked_at
        if since_s >= MAX_RENEWAL_INTERVAL_S:
            return True
        if not self.answered or self.shrunk:
            return since_s >= REPEAT_ASK_S
        if self.capacity == 0.0 or since_s < SHORT_ASK_S:
            return False
        if self.missed:
            return True
        demand = self.demand.fold(now)
        drift = abs(demand - self.reported)
        return drift > max(LEAST_DEMAND_PER_S, DRIFT_PART * self.reported)

    def set_plan(self, rate: float, burst: float, now: float) -> None:
        """Follow a change of the plan at once, without waiting for the allotter.

        A smaller plan shrinks the share in proportion and voids tokens drawn under
        the larger one; a larger plan changes nothing until the next grant.
        """
        if burst < self.plan_burst:
            self.drawing = False
            self.drawn = 0.0
        self.plan_rate, self.plan_burst = rate, burst
        self.basis_rate = max(self.basis_rate, rate)
        self.basis_burst = max(self.basis_burst, burst)
        self._fit(now)

    def _fit(self, now: float) -> float:
        rate = self.rate * _part(self.plan_rate, self.basis_rate)
        capacity = self.capacity * _part(self.plan_burst, self.basis_burst)
        return self.bucket.resize(now, rate, capacity)

    @property
    def cut_off(self) -> bool:
        """Whether the allotter has left several draws in a row unanswered."""
        return self.unanswered >= CUT_OFF_DRAWS

    def may_draw(self, now: float) -> bool:
        """Whether asking the allotter for tokens at once makes sense now."""
        return not self.drawing and now >= self.refuse_until

    def ask_draw(self, now: float, waiting: int) -> tuple[int, int]:
        """Return number and tokens of a new draw, which voids all earlier ones."""
        self.draw_number += 1
        self.drawing = True
        self.drawn = 0.0
        self.draw_asked_at = now
        ahead = self.demand.fold(now) * DRAW_AHEAD_S
        return self.draw_number, waiting + int(ahead)

    def adopt_draw(self, number: int, grant: DrawReply | None, now: float) -> None:
        """Take up the answer to a draw, or None if there was none."""
        if number != self.draw_number or not self.drawing:
            return
        self.drawing = False
        if grant is None:
            self.unanswered += 1
            wait_s = LONGEST_REFUSAL_S if self.cut_off else SHORTEST_REFUSAL_S
            self.refuse_until = now + wait_s
            return
        self.unanswered = 0
        self.drawn = float(grant.tokens)
        self.drawn_until = self.draw_asked_at + grant.valid_s
        if grant.retry_after_s > 0.0 and grant.tokens == 0:
            wait_s = max(SHORTEST_REFUSAL_S, grant.retry_after_s)
            self.refuse_until = now + min(LONGEST_REFUSAL_S, wait_s)

    def retry_after_s(self, now: float) -> float:
        """Seconds until a token is likely to be there, without jitter."""
        bucket = self.bucket
        waits = [self.refuse_until - now]
        if now < self.ends_at and bucket.rate > 0.0:
            waits.append((1.0 - bucket.level) / bucket.rate)
        else:
            waits.append(1.0 / max(self.plan_rate, 1.0))
        return max(SHORTEST_REFUSAL_S, *waits)


def _part(now: float, then: float) -> float:
    return min(1.0, now / then) if then > 0.0 else 0.0
