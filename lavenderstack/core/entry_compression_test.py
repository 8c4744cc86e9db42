"""Tests of values that are compressed between nodes."""

import base64
import zlib

import msgspec
import pytest

from lavenderstack.core.change_messages import ChangesReply, Entry
from lavenderstack.core.entry_compression import (
    MAX_VALUE_B,
    BadValue,
    compress,
    expand,
    expanded,
)


def entry(value):
    return Entry("op/config", 9, base64.b64encode(value).decode())


class TestCompression:
    def test_small_values_and_deletions_stay_as_they_are(self):
        entries = [Entry("servers/i-1", 9, "", deleted=True), entry(b"{}")]
        assert compress(entries) == (entries, {})

    @pytest.mark.parametrize(
        "text", ["%" * 20_000, "bGFi\n" * 4_000, "YWFh" * 5_000 + "YR=="]
    )
    def test_a_text_that_is_not_standard_base64_is_sent_as_it_is(self, text):
        """It would come out as another text, which the operators didn't write."""
        entries = [Entry("op/config", 9, text)]
        assert compress(entries) == (entries, {})

    def test_each_of_two_changes_of_a_key_keeps_its_own_value(self):
        """A smaller catalog that follows a large one must not be replaced by it."""
        entries = [entry(b"x" * 20_000), entry(b"{}"), entry(b"y" * 20_000)]
        remaining, compressed = compress(entries)
        reply = ChangesReply(remaining, 9, False, 0.0, 0.0, compressed=compressed)
        assert set(compressed) == {0, 2}
        assert expanded(reply) == entries

    @pytest.mark.parametrize("index", [-1, 1])
    def test_a_value_without_an_entry_is_refused(self, index):
        reply = ChangesReply([entry(b"{}")], 9, False, 0.0, 0.0)
        reply = msgspec.structs.replace(reply, compressed={index: b""})
        with pytest.raises(BadValue):
            expanded(reply)

    def test_data_that_expands_without_end_or_stops_midway_is_refused(self):
        _, compressed = compress([entry(b"x" * MAX_VALUE_B)])
        value = compressed[0]
        assert len(expand(value)) > MAX_VALUE_B
        for data in (zlib.compress(b"x" * (MAX_VALUE_B + 1)), value[:-9], b"none"):
            with pytest.raises(BadValue):
                expand(data)
