"""Tests of shards."""

from lavenderstack.core.documents import DocumentLocation, location_of
from lavenderstack.core.quota.shard import SHARDS, ownership_name


class TestOwnershipName:
    def test_the_view_has_a_place_for_the_ownership_of_each_shard(self):
        for shard in range(SHARDS):
            name = ownership_name(shard)
            location = location_of(f"lavenderstack/duties/{name}")
            assert location == DocumentLocation("duties", name)
