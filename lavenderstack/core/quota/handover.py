"""Opens an organisation's ledger, and transfers it to the next owner of its shard.

On a planned stop the owner sends its ledgers to the successor, which then need not
wait for leases to end. A ledger is valid only for the owner of the next epoch: an
owner in between may have issued leases that the ledger doesn't contain.
"""

import math

from lavenderstack.core.quota.leaseholder import Lease, Leaseholder
from lavenderstack.core.quota.ledger import (
    CLOCK_MARGIN_S,
    DRAW_VALID_S,
    SHARE_VALID_S,
    Ledger,
)
from lavenderstack.core.quota.share_messages import (
    LeaseholderSnapshot,
    LeaseSnapshot,
    LedgerSnapshot,
)

INITIAL_EPOCH = 1


def open_ledger(
    organisation: str,
    plan: tuple[float, float],
    epoch: int,
    owned_at: float,
    now: float,
) -> Ledger:
    """Open the ledger of an organisation for which this owner has none yet.

    ``plan`` is the rate in tokens/s and the burst in tokens. In the first epoch of a
    shard no token has been spent, so the bucket is full. In a later epoch the
    predecessor may have issued leases until ``owned_at``. The bucket then contains
    only what has accrued since the last of these leases must have ended.
    """
    rate, burst = plan
    reserve_at = owned_at + DRAW_VALID_S + CLOCK_MARGIN_S
    settled_at = owned_at + SHARE_VALID_S + CLOCK_MARGIN_S
    if epoch == INITIAL_EPOCH:
        reserve_at = settled_at = -math.inf
    ledger = Ledger(organisation, rate, burst, epoch, reserve_at, settled_at)
    bucket = ledger.bucket
    bucket.at = now
    if epoch == INITIAL_EPOCH:
        bucket.level = burst
    elif now > settled_at:
        bucket.level = min(burst, ledger.unleased(now)[0] * (now - settled_at))
    bucket.rate, bucket.capacity = ledger.unleased(now)
    return ledger


def export_ledger(ledger: Ledger, now: float) -> LedgerSnapshot:
    """Return the ledger for the successor.

    This owner must not issue leases or tokens from it afterwards.
    """
    ledger.refresh(now)
    leaseholders = [
        LeaseholderSnapshot(
            name,
            leaseholder.number,
            leaseholder.draw_number,
            leaseholder.drawn,
            max(0.0, leaseholder.drawn_ends_at - now),
            leaseholder.demand,
            [
                LeaseSnapshot(
                    lease.seq,
                    lease.rate,
                    lease.capacity,
                    lease.basis_rate,
                    lease.basis_burst,
                    lease.ends_at - now,
                )
                for lease in (leaseholder.held, leaseholder.offered)
                if lease is not None
            ],
        )
        for name, leaseholder in ledger.leaseholders.items()
    ]
    return LedgerSnapshot(
        ledger.organisation, ledger.seq, ledger.bucket.level, leaseholders
    )


def import_ledger(
    snapshot: LedgerSnapshot,
    plan: tuple[float, float],
    epoch: int,
    now: float,
) -> Ledger:
    """Open a ledger that the owner of the epoch before ``epoch`` has exported.

    Times left are counted from ``now``, the arrival. So the transfer can only extend
    the time for which a lease counts, never shorten it.
    """
    rate, burst = plan
    ledger = Ledger(snapshot.organisation, rate, burst, epoch, -math.inf, -math.inf)
    ledger.predecessor_epoch = epoch - 1
    ledger.seq = snapshot.seq
    for leaseholder in snapshot.leaseholders:
        ledger.leaseholders[leaseholder.node] = _leaseholder(leaseholder, now)
    bucket = ledger.bucket
    bucket.at = now
    bucket.rate, bucket.capacity = ledger.unleased(now)
    bucket.add(snapshot.level)
    ledger.set_plan(rate, burst, now)
    return ledger


def _leaseholder(snapshot: LeaseholderSnapshot, now: float) -> Leaseholder:
    leases = [
        Lease(
            lease.seq,
            lease.rate,
            lease.capacity,
            lease.basis_rate,
            lease.basis_burst,
            now + lease.left_s,
        )
        for lease in snapshot.leases
    ]
    held, offered = (leases + [None, None])[:2]
    return Leaseholder(
        number=snapshot.number,
        held=held,
        offered=offered,
        demand=snapshot.demand,
        draw_number=snapshot.draw_number,
        drawn=snapshot.drawn,
        drawn_ends_at=now + snapshot.drawn_left_s,
        last_seen_at=now,
    )
