"""Tests of odd values in the header that tells the store's era."""

import pytest

from lavenderstack.platform import store
from standins.metadata_store import MetadataStore, serving

ODD = ["", "x", "-1", "1.5", "1 2", "²", "9" * 5_000, str(2**23), str(10**12)]


class TestOddEra:
    @pytest.mark.parametrize("value", ODD, ids=lambda value: value[:12])
    async def test_its_answer_is_refused_and_the_next_one_is_taken(self, value):
        """The error ended the loader, or all later answers were of an older era."""
        kv = MetadataStore(era=value)
        async with serving(kv) as addr, store.open_store(addr) as client:
            with pytest.raises(store.StoreFailed):
                await client.list("")
            kv.era = 3
            await client.list("")
            assert client.era.number == 3
