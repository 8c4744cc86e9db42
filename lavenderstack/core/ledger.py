"""The allotter's books on one organisation: who may hold which part of its plan.

The plan's rate and burst are split into shares leased to nodes, a few tokens drawn
at once, and the rest, which stays in the allotter's own bucket. A share or draw
counts until its lessee says that it holds another one, or until it must have ended
on the holder's clock. While the answer to a request may still be under way, the
larger of the two sizes counts. A little of the rate is never handed out, because a
holder's clock may run fast.

A new owner of the books knows nothing of what its predecessor leased, but that its
shares took up no more than a fixed part of the plan. So it may use the rest as soon
as the draws must have ended (``reserve_at``). Until the shares must have ended too
(``settled_at``), it prolongs those that nodes say they hold and grants no others. A
share whose prolongation a node has confirmed was in force when the predecessor had
stopped, so it is a known part of the plan, and what the node then gives up of it may
go to others.
"""

import math
from dataclasses import dataclass, field

from lavenderstack.core.bucket import ROUNDING_TOKENS, Bucket
from lavenderstack.core.leaseholder import Entry, Leaseholder
from lavenderstack.core.share_messages import DrawReply, ShareGrant, ShareRequest

SHARE_VALID_S = 30.0
DRAW_VALID_S = 0.5
CLOCK_MARGIN_S = 0.1
CLOCK_SPEED_ERROR = 0.001
SOONEST_RECALL_S = 0.02
EMPTY_RECALL_S = 0.3
MOST_RECALLED = 16
LEAST_CAPACITY = 3.0
RATE_SHARED = 0.5
LEASED_BURST_SHARE = 0.3


@dataclass(slots=True)
class Ledger:
    """The books on one organisation, kept by the owner of its shard at ``epoch``.

    ``bucket`` holds the tokens that nobody has been given. ``earlier_epoch`` is that
    of the predecessor who handed these books over, 0 if there was none. Times are in
    seconds of the allotter's clock.
    """

    organisation: str
    rate: float
    burst: float
    epoch: int
    reserve_at: float
    settled_at: float
    bucket: Bucket = field(default_factory=Bucket)
    lessees: dict[str, Leaseholder] = field(default_factory=dict)
    seq: int = 0
    earlier_epoch: int = 0
    recall_at: float = -math.inf

    def _counted(self) -> tuple[float, float]:
        rate = capacity = 0.0
        for lessee in self.lessees.values():
            lessee_rate, lessee_capacity = lessee.counted()
            rate += lessee_rate
            capacity += lessee_capacity
        return rate, capacity

    def _shared_limit(self, now: float) -> tuple[float, float]:
        """Return how much of the plan may be leased as shares."""
        rate = self.rate * (1.0 - CLOCK_SPEED_ERROR) * RATE_SHARED
        burst = self.burst * LEASED_BURST_SHARE
        if now >= self.settled_at:
            return rate, burst
        learned = [lessee.learned for lessee in self.lessees.values()]
        learned_rate = sum(size[0] for size in learned)
        learned_burst = sum(size[1] for size in learned)
        return min(rate, learned_rate), min(burst, learned_burst)

    def _reserve(self, now: float) -> tuple[float, float]:
        """Return how much of the plan is never leased as shares."""
        if now < self.reserve_at:
            return 0.0, 0.0
        rate = self.rate * (1.0 - CLOCK_SPEED_ERROR) * (1.0 - RATE_SHARED)
        return rate, self.burst * (1.0 - LEASED_BURST_SHARE)

    def _room_to_share(self, now: float) -> tuple[float, float]:
        limit_rate, limit_burst = self._shared_limit(now)
        rate, capacity = self._counted()
        drawn = sum(lessee.drawn for lessee in self.lessees.values())
        room_rate, room_burst = self.room(now)
        return (
            min(room_rate, max(0.0, limit_rate - rate)),
            min(room_burst, max(0.0, limit_burst - (capacity - drawn))),
        )

    def room(self, now: float) -> tuple[float, float]:
        """Return the rate and capacity that are certainly in nobody's hands."""
        shared_rate, shared_burst = self._shared_limit(now)
        reserve_rate, reserve_burst = self._reserve(now)
        rate, capacity = self._counted()
        return (
            max(0.0, shared_rate + reserve_rate - rate),
            max(0.0, shared_burst + reserve_burst - capacity),
        )

    def _balance(self, now: float) -> None:
        self.bucket.resize(now, *self.room(now))

    def refresh(self, now: float) -> None:
        """Forget what has ended and give the allotter's own bucket the rest."""
        for name, lessee in list(self.lessees.items()):
            lessee.expire(now)
            silent = now - lessee.heard_at > SHARE_VALID_S + CLOCK_MARGIN_S
            if silent and lessee.counted() == (0.0, 0.0):
                del self.lessees[name]
        self._balance(now)

    def idle(self, now: float) -> bool:
        """Whether forgetting these books would lose nothing."""
        self.refresh(now)
        return not self.lessees and self.bucket.level >= self.burst

    def set_plan(self, rate: float, burst: float, now: float) -> None:
        """Follow a change of the plan."""
        self.rate, self.burst = rate, burst
        for lessee in self.lessees.values():
            for entry in (lessee.held, lessee.offered):
                if entry is not None:
                    entry.basis_rate = max(entry.basis_rate, rate)
                    entry.basis_burst = max(entry.basis_burst, burst)
        self.refresh(now)

    def ask(self, node: str, ask: ShareRequest, now: float) -> ShareGrant | None:
        """Answer a node's request for a share; None if it is an old one.

        What the node no longer holds is free from here on.
        """
        lessee = self._hear(node, ask, now)
        if lessee is None:
            return None
        if not self._known(ask) and ask.seq and now < self.settled_at:
            return self._prolong(lessee, ask, now)
        return self._grant(lessee, ask, now)

    def give_back(self, node: str, ask: ShareRequest, now: float) -> None:
        """Take the tokens that a node gave back when they were recalled."""
        before = self.bucket.level
        self._hear(node, ask, now)
        brought = self.bucket.level - before
        if brought >= 1.0:
            self.recall_at = min(self.recall_at, now + SOONEST_RECALL_S)

    def _known(self, ask: ShareRequest) -> bool:
        return ask.epoch in (self.epoch, self.earlier_epoch)

    def _hear(self, node: str, ask: ShareRequest, now: float) -> Leaseholder | None:
        """Note what a node says it holds; return None if the message is an old one."""
        self.refresh(now)
        lessee = self.lessees.setdefault(node, Leaseholder())
        if ask.number <= lessee.number:
            return None
        lessee.number = ask.number
        lessee.demand = ask.demand
        lessee.heard_at = now
        _, before = lessee.counted()
        known = self._known(ask)
        lessee.confirm(ask.seq if known else 0, ask.granted)
        if not known:
            lessee.learned = (0.0, 0.0)
        _, after = lessee.counted()
        self._balance(now)
        self.bucket.add(min(ask.returned, max(0.0, before - after)))
        return lessee

    def recall(self, node: str, tokens: int, now: float) -> list[str]:
        """Return the nodes whose tokens to recall before ``node`` draws that many.

        There are none if the draw can be met without, or if a recall was tried just
        now. The largest shares come first.
        """
        self.refresh(now)
        if self.bucket.level >= tokens or now < self.recall_at:
            return []
        self.recall_at = now + EMPTY_RECALL_S
        sizes = {
            name: lessee.counted()[1] - lessee.drawn
            for name, lessee in self.lessees.items()
            if name != node
        }
        names = [name for name, size in sizes.items() if size > 0.0]
        names.sort(key=sizes.__getitem__, reverse=True)
        return names[:MOST_RECALLED]

    def _offer(
        self, lessee: Leaseholder, size: tuple[float, float], now: float
    ) -> Entry:
        self.seq += 1
        ends_at = now + SHARE_VALID_S + CLOCK_MARGIN_S
        lessee.offered = Entry(self.seq, *size, self.rate, self.burst, ends_at)
        return lessee.offered

    def _prolong(
        self, lessee: Leaseholder, ask: ShareRequest, now: float
    ) -> ShareGrant:
        lessee.learned = (ask.rate, ask.capacity)
        entry = self._offer(lessee, lessee.learned, now)
        self._balance(now)
        return self._answer(ask, entry, 0.0, in_place=True)

    def _grant(self, lessee: Leaseholder, ask: ShareRequest, now: float) -> ShareGrant:
        room_rate, room_burst = self._room_to_share(now)
        held = (0.0, 0.0)
        if lessee.held is not None:
            held = lessee.held.in_force(self.rate, self.burst)
        wanted_rate, wanted_capacity = self._wanted(lessee)
        rate = min(wanted_rate, held[0] + room_rate)
        capacity = min(wanted_capacity, held[1] + room_burst)
        before = self.bucket.capacity
        entry = self._offer(lessee, (rate, capacity), now)
        fill = 0.0
        counted = lessee.held.capacity if lessee.held is not None else 0.0
        grown = max(0.0, capacity - counted)
        if grown and before and now >= self.recall_at:
            fill = self.bucket.level * min(1.0, grown / before)
            self.bucket.level -= fill
        self._balance(now)
        return self._answer(ask, entry, fill, in_place=False)

    def _wanted(self, lessee: Leaseholder) -> tuple[float, float]:
        total = sum(other.demand for other in self.lessees.values())
        if lessee.demand <= 0.0 or total <= 0.0:
            return 0.0, 0.0
        part = lessee.demand / total
        capacity = self.burst * LEASED_BURST_SHARE * part
        if capacity < LEAST_CAPACITY:
            return 0.0, 0.0
        return self.rate * RATE_SHARED * part, capacity

    def _answer(
        self, ask: ShareRequest, entry: Entry, fill: float, *, in_place: bool
    ) -> ShareGrant:
        return ShareGrant(
            self.organisation,
            ask.number,
            self.epoch,
            entry.seq,
            entry.rate,
            entry.capacity,
            fill,
            SHARE_VALID_S,
            self.rate,
            self.burst,
            in_place,
        )

    def draw(
        self, node: str, number: int, tokens: int, demand: float, now: float
    ) -> DrawReply | None:
        """Give a node tokens at once, as many as there are; None to an old request."""
        self.refresh(now)
        lessee = self.lessees.setdefault(node, Leaseholder())
        if number <= lessee.draw_number:
            return None
        lessee.draw_number = number
        lessee.drawn = 0.0
        lessee.demand = demand
        lessee.heard_at = now
        self._balance(now)
        given = min(tokens, math.floor(self.bucket.level + ROUNDING_TOKENS))
        self.bucket.level = max(0.0, self.bucket.level - given)
        lessee.drawn = float(given)
        lessee.drawn_ends_at = now + DRAW_VALID_S + CLOCK_MARGIN_S
        self._balance(now)
        wait_s = (tokens - given) / self.rate if self.rate > 0 else SHARE_VALID_S
        return DrawReply(given, DRAW_VALID_S, wait_s)
