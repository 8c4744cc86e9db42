"""Tests of the record of the calls that a target stand-in received."""

from standins import faults
from standins.faults import CallRecord


class TestStrings:
    def test_strings_of_all_calls_are_kept(self):
        record = CallRecord()
        record.record("run", {"statement": "insert", "args": ["a", ["b"]]})
        assert {"insert", "a", "b"} <= record.strings
        assert record.strings_complete

    def test_record_that_is_full_says_so(self, monkeypatch):
        """A check that a key is in no call would cover only the calls before that."""
        monkeypatch.setattr(faults, "MAX_RECORDED_STRINGS", 2)
        record = CallRecord()
        record.record("run", ["a", "b"])
        record.record("run", ["secret"])
        assert not record.strings_complete
