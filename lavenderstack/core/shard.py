"""Shards: groups of organisations whose allotment is one duty in the store."""

from hashlib import blake2b

from lavenderstack.core import rendezvous
from lavenderstack.core.view import View

SHARDS = 64


def shard_of(organisation: str) -> int:
    """Return the shard to which an organisation belongs."""
    digest = blake2b(organisation.encode(), digest_size=4).digest()
    return int.from_bytes(digest) % SHARDS


def duty_of(shard: int) -> str:
    """Return the name of the duty to allot the plans of a shard."""
    return f"allotter/{shard}"


def first_choice(shard: int, view: View, leaving: str = "") -> str | None:
    """Return the VM that should hold the duty, not counting the one that leaves."""
    names = [vm.name for vm in view.entry_vms() if vm.name != leaving]
    return rendezvous.first(duty_of(shard), names)


def holder_of(shard: int, view: View) -> str | None:
    """Return the VM that holds the duty by the view, or None."""
    duty = view.duties.get(duty_of(shard))
    return duty.node if duty else None


def owner_of(shard: int, view: View) -> str | None:
    """Return the VM that holds the duty by the view, else the one that should."""
    return holder_of(shard, view) or first_choice(shard, view)
