"""Callers' keys, known to the service only by their digest."""

from hashlib import sha256


def digest_of(key: str) -> str:
    """Return the digest of a key: SHA-256 in hex."""
    return sha256(key.encode()).hexdigest()
