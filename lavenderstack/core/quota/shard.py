"""Shards: groups of organisations whose plans have one coordinator.

The ownership of a shard is recorded in the store.
"""

from collections.abc import Mapping
from hashlib import blake2b
from itertools import islice

from lavenderstack.core.hash_ring import CachedByIdentity, HashRing, hash_position
from lavenderstack.core.view import View, Vm

# Part of the mapping of organisations to shards, so it must be the same on all nodes.
SHARDS = 64


def _entry_ring(vms: Mapping[str, Vm]) -> HashRing:
    return HashRing(vm.name for vm in View(vms=vms).entry_vms())


_rings = CachedByIdentity(_entry_ring)


def shard_of(organisation: str) -> int:
    """Return the shard to which an organisation belongs."""
    digest = blake2b(organisation.encode(), digest_size=4).digest()
    return int.from_bytes(digest) % SHARDS


def ownership_name(shard: int) -> str:
    """Return the name under which the store records the ownership of a shard.

    It is stored, and hashed to choose the owner, so the prefix must not change.
    """
    return f"allotter-{shard}"


def owner_candidates(
    shard: int, view: View, count: int, leaving: str = ""
) -> list[str]:
    """Return up to ``count`` VMs that may own a shard, in order of preference.

    The VM named ``leaving`` is left out.
    """
    names = _rings.value_for(view.vms).nodes_after(hash_position(ownership_name(shard)))
    return list(islice((name for name in names if name != leaving), count))


def preferred_owner(shard: int, view: View) -> str | None:
    """Return the VM that should own a shard, or None if there is no live VM."""
    return next(iter(owner_candidates(shard, view, 1)), None)


def recorded_owner(shard: int, view: View) -> str | None:
    """Return the VM that owns a shard according to the view, or None."""
    ownership = view.duties.get(ownership_name(shard))
    return ownership.node if ownership else None


def owner_of(shard: int, view: View) -> str | None:
    """Return the VM recorded as the owner, else the VM that should own the shard."""
    return recorded_owner(shard, view) or preferred_owner(shard, view)
