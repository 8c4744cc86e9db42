"""Tests that a log line is bounded and one line, whatever its fields are."""

import json
import os

import pytest
import structlog

from lavenderstack.border import logs

MAX_LINE_B = 64 * 1024  # the buffer of the writer keeps at least four such lines
MIB = 1024 * 1024


class Unprintable:
    def __repr__(self):
        raise RuntimeError("no text")


@pytest.fixture
def written():
    """Return a function that logs one line with its fields and returns the bytes."""
    read, write = os.pipe()
    os.set_blocking(read, False)
    logs.configure_rate_limited("info", "n1", write)
    log = structlog.get_logger()

    def log_line(event="callers: request failed", **fields):
        log.info(event, **fields)
        return os.read(read, 4 * MIB)

    yield log_line
    structlog.reset_defaults()
    structlog.contextvars.clear_contextvars()
    os.close(read)
    os.close(write)


class TestBounds:
    @pytest.mark.parametrize(
        "value",
        [
            "x" * MIB,
            "\0" * MIB,
            "\U0001f600" * MIB,
            ["x" * MIB],
            {"x" * MIB: {"y": ["z" * MIB] * 3}},
            list(range(MIB // 8)),
            b"x" * MIB,
            10**10_000,
        ],
        ids=["text", "NUL", "emoji", "list", "dict", "long list", "bytes", "number"],
    )
    def test_no_field_makes_a_line_long(self, written, value):
        line = written(request=value, detail=value, error=value)
        assert len(line) < MAX_LINE_B
        assert json.loads(line)["node"] == "n1"

    def test_the_text_of_an_exception_is_bounded(self, written):
        line = written(exc_info=ValueError("x" * MIB))
        assert len(line) < MAX_LINE_B
        assert "ValueError" in json.loads(line)["exception"]

    def test_ordinary_fields_stay_as_they_are(self, written):
        fields = {
            "request": "5c0e7a21d94b36f8" * 4,
            "term": 7,
            "ok": True,
            "none": None,
        }
        fields |= {"groups": ["a", "b"], "followers": {"i-1": "(1, 7)"}, "ms": 0.5}
        found = json.loads(written(**fields))
        assert {name: found[name] for name in fields} == fields


class TestContent:
    @pytest.mark.parametrize(
        "text",
        ["a\nb", "a\rb", "\x1b[2J", "\x85", "\u2028\u2029", "\ud800", "\udcff", '"'],
    )
    def test_a_text_is_one_field_of_one_ascii_line(self, written, text):
        line = written(detail=text)
        assert line.isascii()
        assert len(line.decode().splitlines()) == 1
        assert json.loads(line)["detail"] == text

    @pytest.mark.parametrize(
        "value",
        [Unprintable(), [Unprintable()], {(1, 2): 3}, {"a": {1, 2}}],
        ids=["object", "in a list", "key", "set"],
    )
    def test_a_value_without_a_text_does_not_end_the_task(self, written, value):
        assert json.loads(written(detail=value))["event"] == "callers: request failed"

    def test_a_value_that_contains_itself_does_not_end_the_task(self, written):
        value = []
        value.append(value)
        assert json.loads(written(detail=value))["node"] == "n1"
