"""Tests of the conclusion that an evacuation keeps a group without a primary."""

import pytest

from lavenderstack.core.evacuation.evacuation_block import EvacuationBlock, is_blocked
from lavenderstack.core.failover.group_messages import PrimaryReply
from lavenderstack.core.routing import TermPrimary

BLOCKED = PrimaryReply(5, evacuated=True)


class TestIsBlocked:
    @pytest.mark.parametrize(
        ("replies", "expected"),
        [
            ([], False),
            ([PrimaryReply()], False),
            ([BLOCKED, PrimaryReply()], True),
            ([BLOCKED, PrimaryReply(4, "a")], True),
            ([BLOCKED, PrimaryReply(5, "a")], False),
            ([PrimaryReply(6, "a"), BLOCKED], False),
        ],
    )
    def test_a_primary_of_the_same_term_outweighs_the_others(self, replies, expected):
        """Guards against refusals by the view of one monitor that is cut off."""
        assert is_blocked(replies) is expected


class TestEvacuationBlock:
    def test_it_ends_with_another_primary_or_another_reason(self):
        """Guards against callers that are refused after a replica has taken over."""
        block = EvacuationBlock()
        block.record_loss(5, all_excluded=True)
        assert block.term(None) == block.term(TermPrimary(4, "a")) == 5
        assert block.term(TermPrimary(5, "b")) is None
        block.record_loss(6, all_excluded=False)
        assert block.term(None) is None
        block.record_decision(True, 6)
        assert block.term(TermPrimary(6, "a")) == 6
        block.record_decision(False, 6)
        assert block.term(None) is None
