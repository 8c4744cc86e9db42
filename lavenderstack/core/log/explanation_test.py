"""Tests of explaining the outcome of a request from log lines."""

import pytest

from lavenderstack.core.log.explanation import (
    CAUSES,
    CONTEXT_BEFORE_S,
    LogLine,
    explain,
)
from lavenderstack.core.outcome import Reason

FAILED = "callers: request failed"


def line(at, event, node="n1", **fields):
    return LogLine(at, node, event, fields)


class TestCauses:
    @pytest.mark.parametrize("reason", list(Reason))
    def test_every_reason_has_one(self, reason):
        assert CAUSES.get(str(reason))

    @pytest.mark.parametrize("reason", list(Reason))
    def test_the_line_of_the_entry_node_alone_shows_it(self, reason):
        found = explain("r", [line(1.0, FAILED, request="r", reason=str(reason))])
        assert found.has_cause
        assert found.cause.startswith(str(reason))


class TestExplanation:
    def test_lines_of_other_nodes_about_the_request_come_in_order(self):
        found = explain(
            "r",
            [
                line(2.0, FAILED, request="r", reason="behind", target="t1"),
                line(1.0, "executor: work failed", "n2", request="r", reason="behind"),
                line(1.5, FAILED, request="other", reason="crowded"),
            ],
        )
        assert [one.node for one in found.request_lines] == ["n2", "n1"]

    def test_state_changes_of_the_target_are_included(self):
        lost = line(1.0, "executor: target lost", "n2", target="t1")
        elsewhere = line(1.0, "executor: target lost", "n3", target="t9")
        failed = line(2.0, FAILED, request="r", reason="unreachable", target="t1")
        assert explain("r", [lost, elsewhere, failed]).state_lines == [lost]

    def test_restore_of_the_store_is_included(self):
        restored = line(1.0, "loader: store restored from a copy", before="1.9", era=2)
        failed = line(2.0, FAILED, request="r", reason="stale_view")
        assert explain("r", [restored, failed]).state_lines == [restored]

    def test_old_state_changes_are_left_out(self):
        old = line(0.0, "executor: target lost", target="t1")
        failed = line(
            CONTEXT_BEFORE_S + 1.0,
            FAILED,
            request="r",
            reason="unreachable",
            target="t1",
        )
        assert explain("r", [old, failed]).state_lines == []

    def test_a_request_without_lines_has_no_cause(self):
        assert not explain("r", [line(1.0, FAILED, request="other")]).has_cause

    def test_the_line_of_the_holder_shows_it_if_the_entry_node_is_gone(self):
        found = explain(
            "r", [line(1.0, "executor: work failed", request="r", reason="timed_out")]
        )
        assert found.cause.startswith("timed_out")
