"""Ownership of a shard or group by one node at a time, without a lease in the store.

The store holds the owner and an epoch that grows with each change of owner. The owner
may act while its view is usable and names it as owner, so it stops acting at most
``USABLE_S`` after another node's claim was accepted. The new owner waits longer than
that before it acts. No clocks of two nodes are compared.
"""

from dataclasses import dataclass, field

from lavenderstack.core.view import Ownership
from lavenderstack.core.view_freshness import USABLE_S

# Added to the time for which the previous owner may still act.
MARGIN_S = 1.0
TAKEOVER_S = USABLE_S + MARGIN_S


@dataclass(frozen=True, slots=True)
class Claim:
    """An ownership that this process claimed; it may act from ``act_at`` on.

    ``act_at`` is in seconds on the clock of ``core.clock``.
    """

    epoch: int
    act_at: float


@dataclass(slots=True)
class Claims:
    """The claims of one process; those of earlier processes don't count."""

    node: str
    claims: dict[str, Claim] = field(default_factory=dict)

    def next_ownership(self, current: Ownership | None) -> Ownership:
        """Return the record that transfers the ownership to this node."""
        return Ownership(self.node, current.epoch + 1 if current else 1)

    def record_accepted(
        self,
        name: str,
        claimed: Ownership,
        current: Ownership | None,
        now: float,
        stopped: int = 0,
    ) -> None:
        """Record that the store accepted the claim, at ``now`` at the latest.

        If the ownership already has a record, the new owner waits even if the record
        names this node: it may belong to an earlier process of the node, which had just
        taken over from another node. There is no wait if the previous owner has
        declared that it stopped acting; ``stopped`` is the epoch for which it did so.
        """
        vacant = current is None or current.epoch == stopped
        act_at = now if vacant else now + TAKEOVER_S
        self.claims[name] = Claim(claimed.epoch, act_at)

    def pending(self, name: str, record: Ownership | None) -> bool:
        """Return whether this process is the owner or will be without a new claim.

        It may not be able to act yet: the wait for its predecessor is not over, the
        view does not contain the record yet, or the view is not proved recent enough.
        """
        claim = self.claims.get(name)
        if claim is None:
            return False
        return record is None or record.epoch <= claim.epoch

    def epoch(self, name: str, record: Ownership | None, now: float) -> int | None:
        """Return the epoch under which the node may act, or None if it may not act.

        The caller must check that the view is usable.
        """
        claim = self.claims.get(name)
        if claim is None or record != Ownership(self.node, claim.epoch):
            return None
        return claim.epoch if now >= claim.act_at else None
