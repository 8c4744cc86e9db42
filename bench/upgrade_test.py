"""A short upgrade from the build in production, taken back halfway, with a verdict."""

import pytest

from bench import upgrade
from tests.production import has_history, production

SEED = 3


class TestShortUpgrade:
    """Guards against builds that harm each other's callers while both run."""

    def test_no_check_is_violated(self, tmp_path, capsys):
        if not has_history(production()):
            print(f"no history of {production()}: its build isn't run")
            pytest.skip(f"no history of {production()}")
        words = ["upgrade", "--seed", str(SEED), "--nodes", "3", "--way", "back"]
        status = upgrade.main([*words, "--folder", str(tmp_path)])
        out = capsys.readouterr().out
        assert status == 0, out
        assert "VIOLATED" not in out
