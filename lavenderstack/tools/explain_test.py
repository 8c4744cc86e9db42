"""Tests of the command that explains the outcome of a request."""

import json

import pytest

from lavenderstack.core.log.bounded_fields import bounded
from lavenderstack.tools import explain

LINE = (
    '{"request": "r1", "reason": "over_rate", "detail": "part 1.00", '
    '"event": "callers: request failed", "node": "n1", "level": "info", '
    '"timestamp": "2026-12-03T10:00:00.5Z"}'
)


class TestExplain:
    def test_the_cause_is_printed(self, tmp_path, capsys):
        path = tmp_path / "n1.log"
        path.write_text(f"   1.5 n1 {LINE}\nnot a line\n{{broken\n")
        assert explain.run(["r1", str(path)]) == 0
        output = capsys.readouterr().out
        assert "cause: over_rate" in output
        assert "part 1.00" in output

    def test_an_unknown_request_id(self, tmp_path, capsys):
        path = tmp_path / "n1.log"
        path.write_text(LINE)
        assert explain.run(["r2", str(path)]) == explain.EXIT_NO_CAUSE
        assert "no log line mentions it" in capsys.readouterr().out

    def test_a_missing_file(self, tmp_path, capsys):
        assert explain.run(["r1", str(tmp_path / "none")]) == explain.EXIT_UNREADABLE
        assert "can't be read" in capsys.readouterr().err

    def test_a_request_whose_id_was_cut_is_found_by_either_form(self, tmp_path, capsys):
        request = "q" * 1024 * 1024
        other = request + "q"
        path = tmp_path / "n1.log"
        fields = json.loads(LINE) | {"request": bounded(request)}
        path.write_text(json.dumps(fields))
        for form in (request, bounded(request)):
            assert explain.run([form, str(path)]) == 0
            assert len(capsys.readouterr().out) < 10_000
        assert explain.run([other, str(path)]) == explain.EXIT_NO_CAUSE


class TestOutput:
    """A text of a caller changes neither the terminal nor the lines around it."""

    @staticmethod
    def printed(tmp_path, capsys, **fields):
        path = tmp_path / "n1.log"
        path.write_text(json.dumps(json.loads(LINE) | fields) + "\n")
        explain.run([fields.get("request", "r1"), str(path)])
        return capsys.readouterr().out

    @pytest.mark.parametrize("name", ["request", "detail", "node", "event", "target"])
    @pytest.mark.parametrize(
        "text",
        [
            "a\n* forged",
            "a\rb",
            "\x1b[2J",
            "\x9b2J",
            "\u2028x",
            "\x85",
            "\u202e",
            "\ud800",
        ],
        ids=ascii,
    )
    def test_control_characters_are_escaped(self, tmp_path, capsys, name, text):
        out = self.printed(tmp_path, capsys, **{name: text})
        plain = self.printed(tmp_path, capsys, **{name: "text"})
        assert out.count("\n") == plain.count("\n")
        assert all(line.isprintable() for line in out.split("\n"))

    def test_a_text_does_not_look_like_another_field(self, tmp_path, capsys):
        out = self.printed(tmp_path, capsys, detail="x target=t9")
        assert ' detail="x target=t9"' in out

    def test_a_line_ends_only_at_a_line_feed(self, tmp_path, capsys):
        path = tmp_path / "n1.log"
        line = json.dumps(json.loads(LINE) | {"detail": "a\u2028b"}, ensure_ascii=False)
        path.write_text(f"collector\x85 {line}\n", "utf-8")
        assert explain.run(["r1", str(path)]) == 0

    @pytest.mark.parametrize("value", [["x"], {"x": 1}, None, 7, 0.5])
    @pytest.mark.parametrize("name", ["request", "reason", "target", "event", "node"])
    def test_a_field_of_another_type_does_not_make_it_fail(
        self, tmp_path, capsys, name, value
    ):
        path = tmp_path / "n1.log"
        odd = json.dumps(json.loads(LINE) | {name: value})
        path.write_text(f"{odd}\n{'[' * 100_000}\n{{{'[' * 100_000}\n{LINE}\n")
        assert explain.run(["r1", str(path)]) == 0
