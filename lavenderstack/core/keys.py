"""Keys of callers and operators; the service stores only their digests.

A key is long and random, so a plain SHA-256 suffices: guessing is infeasible.
"""

import hmac
import secrets
from collections.abc import Mapping
from hashlib import sha256

KEY_BYTES = 32


def digest_of(key: str) -> str:
    """Return the digest of a key: SHA-256 in hex.

    A caller may send bytes that aren't UTF-8, which a header's text holds as lone
    surrogates; no known key has this digest.
    """
    return sha256(key.encode(errors="surrogatepass")).hexdigest()


def generate() -> str:
    """Return a new random key, as text that can be used in an HTTP header."""
    return secrets.token_urlsafe(KEY_BYTES)


def owner_of(key: str, digests: Mapping[str, str]) -> str | None:
    """Return the name whose digest matches the key, or None, in constant time.

    >>> owner_of("k", {"anna": digest_of("k")})
    'anna'
    """
    digest = digest_of(key).encode()
    found = None
    for name, known in digests.items():
        if hmac.compare_digest(known.encode(), digest):
            found = name
    return found
