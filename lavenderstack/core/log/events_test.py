"""Tests that log calls match the catalogue, and the catalogue the operators' page."""

import ast
from pathlib import Path

import pytest

from lavenderstack.core.log.events import EVENTS
from lavenderstack.core.log.log_rate_limit import (
    MAX_LINES_PER_S,
    LineKind,
    LogRateLimiter,
)

PACKAGE = Path(__file__).parents[2]
PAGE = PACKAGE.parent / "docs" / "OPERATIONS.md"
LEVELS = {"debug", "info", "warning", "error", "critical"}
# The log lines of the modules that serve callers over HTTP aren't in the catalogue.
NODE = (
    "admitter",
    "directory",
    "evacuated_zones",
    "evacuation_log",
    "evacuation_guard",
    "cold_target",
    "slow_start",
    "planned_failover",
    "attempts",
    "dispatch",
    "executor",
    "load_control",
    "target_concurrency",
    "attempt_limits",
    "hold_requests",
    "active_connections",
    "connection_setup",
    "allocated_connections",
    "open_transactions",
    "primary_positions",
    "promoter",
    "replacer",
    "order_settlement",
    "receipt_reports",
    "replica_sets",
    "group_positions",
    "group_claims",
    "session",
    "framing",
    "stream_server",
    "streams",
    "supervisor",
    "target_connections",
    "target_health",
    "token_coordinator",
    "followers",
    "successor_choice",
    "zone_evacuations",
    "holder_evacuation_guard",
    "group_monitor",
    "holder_placement",
    "read_choices",
)
MODULES = [
    *(p for p in (PACKAGE / "platform").glob("*.py") if "_test" not in p.name),
    *(next((PACKAGE / "node").rglob(f"{name}.py")) for name in NODE),
    PACKAGE / "border" / "logs.py",
]


def calls(path):
    """Yield the texts and fields of a module's log calls."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        owner = node.func.value
        if not isinstance(owner, ast.Name) or owner.id != "log":
            continue
        if node.func.attr in LEVELS:
            first = node.args[0]
            texts = [first.body, first.orelse] if isinstance(first, ast.IfExp) else None
            for text in texts or [first]:
                yield text.value, [one.arg for one in node.keywords if one.arg]


class TestCatalogue:
    @pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
    def test_it_contains_every_line_with_its_fields(self, path):
        for text, fields in calls(path):
            assert text in EVENTS, f"{path.name}: {text}"
            assert set(fields) <= set(EVENTS[text].fields), f"{path.name}: {text}"

    def test_it_lists_nothing_that_is_never_written(self):
        written = {text for path in MODULES for text, _ in calls(path)}
        assert set(EVENTS) - written == set()

    def test_the_operators_page_lists_every_line(self):
        page = PAGE.read_text()
        assert [text for text in EVENTS if f"`{text}`" not in page] == []

    def test_no_line_has_a_field_for_a_key(self):
        fields = {name for event in EVENTS.values() for name in event.fields}
        assert not fields & {"api_key", "secret", "digest", "key_digest"}


class TestLogRateLimiter:
    def test_a_flood_is_bounded_and_counted(self):
        limiter = LogRateLimiter()
        admitted = sum(
            limiter.admits("callers: request failed", number * 0.001)
            for number in range(10_000)
        )
        rate = MAX_LINES_PER_S[LineKind.FAILURE]
        assert admitted <= rate * 12 + 1
        assert limiter.take_dropped()[LineKind.FAILURE] == 10_000 - admitted

    def test_a_flood_of_failures_does_not_drop_state_changes(self):
        limiter = LogRateLimiter()
        for _ in range(10_000):
            limiter.admits("callers: request failed", 0.0)
        assert limiter.admits("replacer: primary lost", 0.0)

    def test_life_cycle_lines_are_always_written(self):
        limiter = LogRateLimiter()
        assert all(limiter.admits("loader: store lost", 0.0) for _ in range(1000))
