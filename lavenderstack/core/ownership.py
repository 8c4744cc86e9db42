"""Ownership of a duty by one node at a time, without a lease in the store.

The store holds who has a duty and an epoch that grows with each change of hands.
The holder may act while its view is usable and names it; so it stops by itself at
most ``USABLE_S`` after another node's claim was accepted. The successor waits for
longer than that, and no clock is compared.
"""

from dataclasses import dataclass, field

from lavenderstack.core.view import Ownership
from lavenderstack.core.view_freshness import USABLE_S

MARGIN_S = 1.0
TAKEOVER_S = USABLE_S + MARGIN_S


@dataclass(frozen=True, slots=True)
class Claim:
    """A duty that this process has claimed; it may act from ``act_at`` on."""

    epoch: int
    act_at: float


@dataclass(slots=True)
class Claims:
    """The claims of one process. A claim of an earlier process doesn't count."""

    node: str
    claims: dict[str, Claim] = field(default_factory=dict)

    def wanted(self, held: Ownership | None) -> Ownership:
        """Return the record that would take the duty over from its holder."""
        return Ownership(self.node, held.epoch + 1 if held else 1)

    def accepted(
        self,
        duty: str,
        wanted: Ownership,
        held: Ownership | None,
        now: float,
        stopped: int = 0,
    ) -> None:
        """Note that the claim was accepted, at the latest at ``now``.

        A duty that has a record is waited for also if it names this node: the record
        may be an earlier process's, which had just taken the duty from another node.
        Nobody is waited for if the holder has said that it acts no more; ``stopped``
        is the epoch under which it said so.
        """
        vacant = held is None or held.epoch == stopped
        act_at = now if vacant else now + TAKEOVER_S
        self.claims[duty] = Claim(wanted.epoch, act_at)

    def pending(self, duty: str, record: Ownership | None) -> bool:
        """Tell whether this process has the duty, or will have it without a new claim.

        It may not be able to act on it yet: its predecessor is still waited for, the
        view has not brought the record yet, or it is not proved recent.
        """
        claim = self.claims.get(duty)
        if claim is None:
            return False
        return record is None or record.epoch <= claim.epoch

    def epoch(self, duty: str, record: Ownership | None, now: float) -> int | None:
        """Return the epoch under which the node may act, given a usable view."""
        claim = self.claims.get(duty)
        if claim is None or record != Ownership(self.node, claim.epoch):
            return None
        return claim.epoch if now >= claim.act_at else None
