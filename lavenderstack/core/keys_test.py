"""Tests of the digests of keys."""

from hashlib import sha256

import pytest

from lavenderstack.core import keys

# As aiohttp decodes the bytes FF and ED A0 80 of a header, and a lone surrogate.
ODD_KEYS = ["\udcff", "\udced\udca0\udc80", "\ud800", "k\udcff", "", "\0"]


class TestDigest:
    @pytest.mark.parametrize("key", ODD_KEYS)
    def test_a_key_of_any_bytes_has_one_and_no_owner(self, key):
        assert len(keys.digest_of(key)) == 64
        assert keys.owner_of(key, {"anna": keys.digest_of("anna-key")}) is None

    def test_different_keys_have_different_digests(self):
        assert len({keys.digest_of(key) for key in ODD_KEYS}) == len(ODD_KEYS)

    @pytest.mark.parametrize("key", ["k", "é", "\U0001f600"])
    def test_a_key_of_text_has_the_digest_of_its_utf_8(self, key):
        assert keys.digest_of(key) == sha256(key.encode()).hexdigest()
