"""Tests of the command that shows what callers got."""

import json

from lavenderstack.tools import measures


def write(path, *events):
    rows = [
        {"timestamp": f"2026-01-01T00:00:0{second}Z", "node": "n1", **fields}
        for second, fields in enumerate(events)
    ]
    path.write_text("\n".join(f"prefix {json.dumps(row)}" for row in rows))
    return str(path)


class TestMeasuresCommand:
    def test_it_prints_what_follows_from_the_lines(self, tmp_path, capsys):
        served = {
            "event": "callers: request done",
            "organisation": "org",
            "access": "read",
            "freshness": "bounded",
            "role": "replica",
            "target": "t1",
        }
        path = write(tmp_path / "n1.log", served, {**served, "role": "primary"})
        assert measures.run([path]) == 0
        out = capsys.readouterr().out
        assert "reads at replicas, bounded: 50.0%" in out
        assert "refused over the rate: 0 of 2 requests" in out

    def test_a_file_without_requests_is_an_error(self, tmp_path, capsys):
        path = write(tmp_path / "n1.log", {"event": "node: ready"})
        assert measures.run([path]) == measures.EXIT_UNREADABLE
        assert "no line of a request" in capsys.readouterr().err

    def test_a_missing_file_is_an_error(self, tmp_path, capsys):
        assert measures.run([str(tmp_path / "none")]) == measures.EXIT_UNREADABLE
        assert "can't be read" in capsys.readouterr().err

    def test_control_characters_of_names_are_escaped(self, tmp_path, capsys):
        served = {"event": "callers: request done", "organisation": "a\x1b[2J\nb"}
        served |= {"access": "read", "freshness": "\u2028", "role": "replica"}
        path = write(tmp_path / "n1.log", *[served] * 9)
        path = write(tmp_path / "n2.log", *[served] * 9), path
        paths = [*path, path[0]]
        assert measures.run(paths) == 0
        out = capsys.readouterr().out
        assert all(line.isprintable() for line in out.split("\n"))
        assert "a\\x1b[2J\\nb" in out
