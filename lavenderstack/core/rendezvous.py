"""Rendezvous hashing: assigns a key, such as a target, to one of the live nodes.

Every node ranks the same candidates in the same order without communication. When a
node leaves, only its own keys are reassigned.
"""

from collections.abc import Iterable
from hashlib import blake2b


def _score(key: str, name: str) -> bytes:
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the candidates for a key in order of preference.

    >>> rank("target/a", ["n1"])
    ['n1']
    """
    return sorted(names, key=lambda name: (_score(key, name), name), reverse=True)


def top_ranked(key: str, names: Iterable[str]) -> str | None:
    """Return the preferred candidate for a key, or None if there is none."""
    return max(names, key=lambda name: (_score(key, name), name), default=None)
