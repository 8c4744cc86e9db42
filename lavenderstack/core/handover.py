"""How the books on an organisation are opened, and pass to the next owner of a shard.

On a planned stop the owner sends its books to the successor, so that nobody has to
wait for leases to end. The books are only good for the owner of the very next epoch:
an owner in between may have issued leases that they don't show.
"""

import math

from lavenderstack.core.leaseholder import Entry, Leaseholder
from lavenderstack.core.ledger import (
    CLOCK_MARGIN_S,
    DRAW_VALID_S,
    SHARE_VALID_S,
    Ledger,
)
from lavenderstack.core.share_messages import (
    LeaseholderSnapshot,
    LeaseSnapshot,
    LedgerSnapshot,
)

FIRST_EPOCH = 1


def open_ledger(
    organisation: str,
    plan: tuple[float, float],
    epoch: int,
    owned_at: float,
    now: float,
) -> Ledger:
    """Open books on an organisation of which this owner has none yet.

    Nobody can have spent anything in the first epoch of a shard, so its bucket is
    full. Later ones have what has certainly accrued since the last lease of the
    predecessor, who may have issued until ``owned_at``, must have ended.
    """
    rate, burst = plan
    reserve_at = owned_at + DRAW_VALID_S + CLOCK_MARGIN_S
    settled_at = owned_at + SHARE_VALID_S + CLOCK_MARGIN_S
    if epoch == FIRST_EPOCH:
        reserve_at = settled_at = -math.inf
    ledger = Ledger(organisation, rate, burst, epoch, reserve_at, settled_at)
    bucket = ledger.bucket
    bucket.at = now
    if epoch == FIRST_EPOCH:
        bucket.level = burst
    elif now > settled_at:
        bucket.level = min(burst, ledger.room(now)[0] * (now - settled_at))
    bucket.rate, bucket.capacity = ledger.room(now)
    return ledger


def export_ledger(ledger: Ledger, now: float) -> LedgerSnapshot:
    """Return the books for the successor; this owner must issue nothing afterwards."""
    ledger.refresh(now)
    lessees = [
        LeaseholderSnapshot(
            name,
            lessee.number,
            lessee.draw_number,
            lessee.drawn,
            max(0.0, lessee.drawn_ends_at - now),
            lessee.demand,
            [
                LeaseSnapshot(
                    entry.seq,
                    entry.rate,
                    entry.capacity,
                    entry.basis_rate,
                    entry.basis_burst,
                    entry.ends_at - now,
                )
                for entry in (lessee.held, lessee.offered)
                if entry is not None
            ],
        )
        for name, lessee in ledger.lessees.items()
    ]
    return LedgerSnapshot(ledger.organisation, ledger.seq, ledger.bucket.level, lessees)


def import_ledger(
    handed: LedgerSnapshot,
    plan: tuple[float, float],
    epoch: int,
    now: float,
) -> Ledger:
    """Open the books that the owner of the epoch before ``epoch`` handed over.

    What was on the way counts as in force for longer, never for shorter.
    """
    rate, burst = plan
    ledger = Ledger(handed.organisation, rate, burst, epoch, -math.inf, -math.inf)
    ledger.earlier_epoch = epoch - 1
    ledger.seq = handed.seq
    for one in handed.lessees:
        ledger.lessees[one.node] = _lessee(one, now)
    bucket = ledger.bucket
    bucket.at = now
    bucket.rate, bucket.capacity = ledger.room(now)
    bucket.add(handed.level)
    ledger.set_plan(rate, burst, now)
    return ledger


def _lessee(handed: LeaseholderSnapshot, now: float) -> Leaseholder:
    entries = [
        Entry(
            one.seq,
            one.rate,
            one.capacity,
            one.basis_rate,
            one.basis_burst,
            now + one.left_s,
        )
        for one in handed.entries
    ]
    held, offered = (entries + [None, None])[:2]
    return Leaseholder(
        number=handed.number,
        held=held,
        offered=offered,
        demand=handed.demand,
        draw_number=handed.draw_number,
        drawn=handed.drawn,
        drawn_ends_at=now + handed.drawn_left_s,
        heard_at=now,
    )
