"""Tests of the bounds and of the command that runs the measures."""

import sys
from types import ModuleType

import pytest

from bench.__main__ import main
from bench.measure import Bound, Result


class TestBound:
    @pytest.mark.parametrize(
        ("figure", "least", "met"),
        [
            (1.0, False, True),
            (1.1, False, False),
            (0.9, True, False),
            (1.0, True, True),
        ],
    )
    def test_is_met_up_to_its_limit(self, figure, least, met):
        assert Bound("x", figure, 1.0, least).met is met


class TestCommand:
    @pytest.mark.parametrize(("figure", "status"), [(0.5, 0), (1.5, 1)])
    def test_fails_when_a_bound_is_missed(self, monkeypatch, tmp_path, figure, status):
        fake = ModuleType("bench.refusals")
        fake.run = lambda seed: Result("t", ["a"], [[1]], [Bound("b", figure, 1.0)])
        monkeypatch.setitem(sys.modules, "bench.refusals", fake)
        out = tmp_path / "out.json"
        assert main(["refusals", "--json", str(out)]) == status
        assert '"met"' in out.read_text()

    def test_does_not_know_other_names(self):
        assert main(["nothing"]) == 2
