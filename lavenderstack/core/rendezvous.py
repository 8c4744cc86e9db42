"""Rendezvous hashing: which of the live nodes holds a duty.

Every node ranks the same candidates the same way without talking to the others.
When a node leaves, only the duties that it held move.
"""

from collections.abc import Iterable
from hashlib import blake2b


def _score(duty: str, name: str) -> bytes:
    return blake2b(f"{duty}\0{name}".encode(), digest_size=8).digest()


def rank(duty: str, names: Iterable[str]) -> list[str]:
    """Return the candidates for a duty, the first choice first.

    >>> rank("target/a", ["n1"])
    ['n1']
    """
    return sorted(names, key=lambda name: (_score(duty, name), name), reverse=True)


def top_ranked(duty: str, names: Iterable[str]) -> str | None:
    """Return the first choice for a duty, or None when there is no candidate."""
    return max(names, key=lambda name: (_score(duty, name), name), default=None)
