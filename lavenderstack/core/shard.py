"""Shards: groups of organisations whose allotment is one duty in the store."""

from collections.abc import Mapping
from hashlib import blake2b
from itertools import islice

from lavenderstack.core.hash_ring import CachedByIdentity, HashRing, hash_position
from lavenderstack.core.view import View, Vm

SHARDS = 64


def _live(vms: Mapping[str, Vm]) -> HashRing:
    return HashRing(vm.name for vm in View(vms=vms).entry_vms())


_ring = CachedByIdentity(_live)


def shard_of(organisation: str) -> int:
    """Return the shard to which an organisation belongs."""
    digest = blake2b(organisation.encode(), digest_size=4).digest()
    return int.from_bytes(digest) % SHARDS


def ownership_name(shard: int) -> str:
    """Return the name of the duty to allot the plans of a shard."""
    return f"allotter-{shard}"


def owner_candidates(
    shard: int, view: View, count: int, leaving: str = ""
) -> list[str]:
    """Return the VMs that should hold the duty, the first choice first.

    The one that leaves is not counted.
    """
    names = _ring.value_for(view.vms).nodes_after(hash_position(ownership_name(shard)))
    return list(islice((name for name in names if name != leaving), count))


def first_choice(shard: int, view: View) -> str | None:
    """Return the VM that should hold the duty."""
    return next(iter(owner_candidates(shard, view, 1)), None)


def recorded_owner(shard: int, view: View) -> str | None:
    """Return the VM that holds the duty by the view, or None."""
    duty = view.duties.get(ownership_name(shard))
    return duty.node if duty else None


def owner_of(shard: int, view: View) -> str | None:
    """Return the VM that holds the duty by the view, else the one that should."""
    return recorded_owner(shard, view) or first_choice(shard, view)
