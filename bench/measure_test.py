"""Tests of the bounds and of the command that runs the benchmarks."""

import sys
from types import ModuleType

import pytest

from bench.__main__ import main
from bench.measure import Bound, Result


class TestBound:
    @pytest.mark.parametrize(
        ("figure", "is_minimum", "met"),
        [
            (1.0, False, True),
            (1.1, False, False),
            (0.9, True, False),
            (1.0, True, True),
        ],
    )
    def test_is_met_up_to_its_limit(self, figure, is_minimum, met):
        assert Bound("x", figure, 1.0, is_minimum).met is met


class TestCommand:
    @pytest.mark.parametrize(("figure", "status"), [(0.5, 0), (1.5, 1)])
    def test_fails_when_a_bound_is_missed(self, monkeypatch, tmp_path, figure, status):
        fake_module = ModuleType("bench.refusals")
        fake_module.run = lambda seed: Result(
            "t", ["a"], [[1]], [Bound("b", figure, 1.0)]
        )
        monkeypatch.setitem(sys.modules, "bench.refusals", fake_module)
        json_path = tmp_path / "out.json"
        assert main(["refusals", "--json", str(json_path)]) == status
        assert '"met"' in json_path.read_text()

    def test_unknown_names_are_refused(self):
        assert main(["nothing"]) == 2
