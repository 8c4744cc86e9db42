"""One short seeded soak, with one verdict."""

import json

from bench import soak

SEED = 5
SECONDS = 18


class TestShortSoak:
    def test_no_check_is_violated(self, tmp_path, capsys):
        status = soak.main(
            ["soak", "--seed", str(SEED), "--seconds", str(SECONDS)]
            + ["--nodes", "3", "--groups", "1", "--callers", "12"]
            + ["--folder", str(tmp_path)]
        )
        report = json.loads((tmp_path / "report.json").read_text())
        assert report["violations"] == []
        assert (report["verdict"], status) == ("passed", soak.EXIT_PASSED)
        assert report["stops"], "no planned stop was played"
        assert len(report["faults"]) > 3
        assert "verdict: passed" in capsys.readouterr().out
