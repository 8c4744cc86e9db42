"""One short seeded run of overlapping planned stops, with one verdict."""

import json

from bench import stops

SEED = 5
SECONDS = 8


class TestShortStops:
    def test_no_request_is_cut_and_no_answer_lost(self, tmp_path, capsys):
        status = stops.main(
            ["stops", "--seed", str(SEED), "--seconds", str(SECONDS)]
            + ["--nodes", "3", "--groups", "1", "--callers", "9", "--busy", "2"]
            + ["--folder", str(tmp_path)]
        )
        report = json.loads((tmp_path / "report.json").read_text())
        assert report["violations"] == []
        assert status == 0
        assert len(report["stops"]) > 1
        assert report["outcomes"]["DONE"] > 100
        assert "violations: 0" in capsys.readouterr().out
