"""Tests of the command that explains the outcome of a request."""

import json

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
