"""Tests of the command line."""

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from lavenderstack import __version__
from lavenderstack.__main__ import main

ROOT = Path(__file__).parents[1]
EXAMPLE = ROOT / "docs" / "settings.example.yaml"


class TestCommands:
    def test_the_example_is_valid(self, capsys):
        assert main(["check", str(EXAMPLE)]) == 0
        assert capsys.readouterr().out == f"{EXAMPLE}: valid\n"

    @pytest.mark.parametrize("command", [["check"], ["node", "--settings"]])
    def test_mistakes_are_printed_and_the_command_fails(
        self, tmp_path, capsys, command
    ):
        path = tmp_path / "node.yaml"
        path.write_text("name: n1\n")
        assert main([*command, str(path)]) == 2
        lines = capsys.readouterr().err.splitlines()
        assert len(lines) == 5
        assert all(line.startswith(f"{path}: ") for line in lines)

    @pytest.mark.parametrize("argv", [[], ["nodes"], ["check"], ["node"]])
    def test_wrong_usage_prints_the_usage(self, argv):
        with pytest.raises(SystemExit, match="Usage:"):
            main(argv)

    def test_version(self, capsys):
        with pytest.raises(SystemExit) as raised:
            main(["--version"])
        assert not raised.value.code
        assert capsys.readouterr().out == f"lavenderstack {__version__}\n"

    def test_package_and_project_file_have_the_same_version(self):
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
        assert project["version"] == __version__


class TestImports:
    def test_a_command_loads_only_what_it_needs(self):
        code = "import sys, lavenderstack.__main__; print(*sorted(sys.modules))"
        process = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True
        )
        loaded = set(process.stdout.decode().split())
        assert not loaded & {"aiohttp", "pydantic", "yaml", "asyncio", "msgpack"}
