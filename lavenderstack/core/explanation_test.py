"""Tests of telling the cause of a request from log lines."""

import pytest

from lavenderstack.core.explanation import BEFORE_S, CAUSES, LogLine, explain
from lavenderstack.core.outcome import Reason

FAILED = "callers: request failed"


def line(at, event, node="n1", **fields):
    return LogLine(at, node, event, fields)


class TestCauses:
    @pytest.mark.parametrize("reason", list(Reason))
    def test_every_reason_has_one(self, reason):
        assert CAUSES.get(str(reason))

    @pytest.mark.parametrize("reason", list(Reason))
    def test_it_is_told_from_the_entrys_line_alone(self, reason):
        story = explain("r", [line(1.0, FAILED, request="r", reason=str(reason))])
        assert story.told
        assert story.cause.startswith(str(reason))


class TestStory:
    def test_lines_of_other_nodes_about_the_request_come_in_order(self):
        found = explain(
            "r",
            [
                line(2.0, FAILED, request="r", reason="behind", target="t1"),
                line(1.0, "executor: work failed", "n2", request="r", reason="behind"),
                line(1.5, FAILED, request="other", reason="crowded"),
            ],
        )
        assert [one.node for one in found.own] == ["n2", "n1"]

    def test_what_was_believed_of_the_target_belongs_to_it(self):
        lost = line(1.0, "executor: target lost", "n2", target="t1")
        elsewhere = line(1.0, "executor: target lost", "n3", target="t9")
        told = line(2.0, FAILED, request="r", reason="unreachable", target="t1")
        assert explain("r", [lost, elsewhere, told]).state_lines == [lost]

    def test_old_beliefs_are_left_out(self):
        old = line(0.0, "executor: target lost", target="t1")
        told = line(
            BEFORE_S + 1.0, FAILED, request="r", reason="unreachable", target="t1"
        )
        assert explain("r", [old, told]).state_lines == []

    def test_a_request_without_lines_has_no_cause(self):
        assert not explain("r", [line(1.0, FAILED, request="other")]).told

    def test_the_holders_line_tells_it_when_the_entry_is_gone(self):
        found = explain(
            "r", [line(1.0, "executor: work failed", request="r", reason="timed_out")]
        )
        assert found.cause.startswith("timed_out")
