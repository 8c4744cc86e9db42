"""Keys of callers and operators, known to the service only by their digest.

A key is random and long, so a plain SHA-256 is enough: there is nothing to guess.
"""

import hmac
import secrets
from collections.abc import Mapping
from hashlib import sha256

KEY_BYTES = 32


def digest_of(key: str) -> str:
    """Return the digest of a key: SHA-256 in hex."""
    return sha256(key.encode()).hexdigest()


def generate() -> str:
    """Return a new random key, as text that fits into a header."""
    return secrets.token_urlsafe(KEY_BYTES)


def owner_of(key: str, digests: Mapping[str, str]) -> str | None:
    """Return the name whose digest is that of the key, in constant time.

    >>> owner_of("k", {"anna": digest_of("k")})
    'anna'
    """
    digest = digest_of(key).encode()
    found = None
    for name, known in digests.items():
        if hmac.compare_digest(known.encode(), digest):
            found = name
    return found
