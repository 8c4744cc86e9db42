"""Tests of the shards of allotment."""

from lavenderstack.core.documents import DocumentLocation, location_of
from lavenderstack.core.shard import SHARDS, ownership_name


class TestDuties:
    def test_the_view_has_a_place_for_each_shards_duty(self):
        for shard in range(SHARDS):
            duty = ownership_name(shard)
            place = location_of(f"lavenderstack/duties/{duty}")
            assert place == DocumentLocation("duties", duty)
