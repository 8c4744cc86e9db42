"""Tests of positions in the store."""

import pytest

from lavenderstack.core.store_position import (
    MAX_REVISION,
    era_of,
    format_position,
    revision_of,
    store_position,
)


class TestStorePosition:
    @pytest.mark.parametrize(
        ("earlier", "later"),
        [((0, 5), (0, 6)), ((0, MAX_REVISION), (1, 0)), ((3, 900), (4, 7))],
    )
    def test_later_eras_come_after_every_revision_of_earlier_ones(self, earlier, later):
        assert store_position(*earlier) < store_position(*later)

    @pytest.mark.parametrize("era", [0, 1, 8191, 1 << 22])
    @pytest.mark.parametrize("revision", [0, 1, 123_456, MAX_REVISION])
    def test_both_parts_are_kept_within_63_bits(self, era, revision):
        position = store_position(era, revision)
        assert (era_of(position), revision_of(position)) == (era, revision)
        assert position < 1 << 63

    def test_positions_of_the_first_8192_eras_are_exact_json_numbers(self):
        position = store_position(8191, MAX_REVISION)
        assert int(float(position)) == position

    def test_without_an_era_a_position_is_the_revision(self):
        assert store_position(0, 77) == 77

    @pytest.mark.parametrize(
        ("era", "revision"), [(0, MAX_REVISION + 1), (0, -1), (-1, 5)]
    )
    def test_what_does_not_fit_is_an_error(self, era, revision):
        with pytest.raises(ValueError, match="no position"):
            store_position(era, revision)

    def test_log_lines_show_both_parts(self):
        assert format_position(store_position(2, 31)) == "2.31"
