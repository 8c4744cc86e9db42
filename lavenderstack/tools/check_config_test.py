"""Tests of the command: what nodes refuse is an error, and no file makes it raise."""

import ast
import asyncio
import json
import re
from pathlib import Path

import pytest
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st
from structlog.testing import capture_logs

from lavenderstack.__main__ import main
from lavenderstack.border import declared
from lavenderstack.border.admin_test import running_api
from lavenderstack.border.declared_test import DIGEST, LISTS, SECRET, VALUES
from lavenderstack.tools import admin, check_config, config_file

PACKAGE = Path(__file__).parents[1]
PAGE = PACKAGE.parent / "docs" / "CHECK-CONFIG.md"
SOURCES = [
    *(PACKAGE / "core" / "config").glob("config_*.py"),
    PACKAGE / "border" / "declared.py",
    PACKAGE / "platform" / "declared.py",
    PACKAGE / "tools" / "config_file.py",
]


def write(folder, document, name="lists.yaml"):
    path = folder / name
    text = document if isinstance(document, str) else yaml.safe_dump(document)
    path.write_text(text)
    return str(path)


def run(capsys, *argv):
    status = main(["check-config", *argv])
    return status, *capsys.readouterr()


class TestCommand:
    def test_a_sound_file_has_exit_status_0(self, capsys, tmp_path):
        path = write(tmp_path, LISTS)
        assert run(capsys, path) == (0, f"{path}: nothing found\n", "")
        assert run(capsys, path, "--against", path)[0] == 0

    def test_a_finding_has_its_line_and_exit_status_1(self, capsys, tmp_path):
        text = "plans:\n  gold:\n    rate: 5\n    burst: 0.5\n"
        status, out, _ = run(capsys, write(tmp_path, text))
        assert status == 1
        assert "lists.yaml:4: error: plans.gold.burst: Input" in out

    def test_differences_that_take_nothing_away_have_exit_status_0(
        self, capsys, tmp_path
    ):
        old = write(tmp_path, LISTS, "old.yaml")
        raised = LISTS | {"plans": {"gold": {"rate": 7, "burst": 6}}}
        new = write(tmp_path, json.dumps(raised))
        status, out, _ = run(capsys, new, "--against", old, "--json")
        (finding,) = json.loads(out)["findings"]
        assert (status, finding["code"], finding["line"]) == (0, "limit-raised", 1)
        assert finding["where"] == "plans.gold.rate"
        assert run(capsys, old, "--against", new)[0] == 1

    @pytest.mark.parametrize(
        "content",
        [
            "",
            "{",
            "[1]",
            "other: 1",
            "plans: {gold: {rate: 2026-01-01}}",
            "plans: {<<: {a: 1}}",
            "plans: &a [*a]",
            "plans: !!python/name:os.system {}",
            "[" * 5000,
            '{"plans": ' + "[" * 900 + "]" * 900 + ", }",
            "plans: 1" + "0" * 5000,
            "\x00",
        ],
    )
    def test_a_file_that_cant_be_read_has_exit_status_2(
        self, capsys, tmp_path, content
    ):
        path = write(tmp_path, content)
        status, out, err = run(capsys, path)
        assert (status, out) == (2, "")
        assert err.startswith(f"{path}: ")
        assert "error" in json.loads(run(capsys, path, "--json")[1])

    def test_aliases_that_stand_for_billions_of_values_are_refused(
        self, capsys, tmp_path
    ):
        rows = ["a0: &a0 [x]"]
        rows += [f"a{n}: &a{n} [{', '.join([f'*a{n - 1}'] * 9)}]" for n in range(1, 12)]
        status, _, err = run(capsys, write(tmp_path, "\n".join(rows)))
        assert (status, "too many values" in err) == (2, True)

    @pytest.mark.parametrize("argv", [[], ["none.yaml"], ["a", "b"], ["\x00"]])
    def test_wrong_usage_and_missing_files_have_exit_status_2(self, capsys, argv):
        """Status 1 would pass for a finding."""
        assert run(capsys, *argv)[0] == 2

    @pytest.mark.parametrize("old", ["plans: {gold: 1}", '{"routes": []}', "{"])
    def test_an_unusable_version_in_force_has_exit_status_2(
        self, capsys, tmp_path, old
    ):
        new = write(tmp_path, LISTS)
        assert run(capsys, new, "--against", write(tmp_path, old, "old"))[0] == 2


class TestSecrets:
    @pytest.mark.parametrize(
        "document",
        [
            {"keys": {SECRET: {"organisation": "o1"}}},
            {"keys": {SECRET: 1, DIGEST: 2}},
            {"keys": [{"digest": SECRET, "organisation": "o1"}]},
            {"keys": {DIGEST: {"organisation": "o 1"}}},
            {"routes": [], "tenants": [{"api_keys": [SECRET]}]},
            {"routes": [], "tenants": [{"name": "o", "api_keys": [SECRET, 1]}]},
            f"keys: {{{SECRET}: 1, {SECRET}: 2}}",
            f"keys: [{SECRET}",
            f"keys: {{{SECRET}: !x 1}}",
        ],
    )
    def test_neither_a_key_nor_a_whole_digest_is_printed(
        self, capsys, tmp_path, document
    ):
        with capture_logs() as logs:
            status, out, err = run(capsys, write(tmp_path, document))
        shown = f"{out}{err}{logs}"
        assert status in (1, 2)
        assert SECRET not in shown
        assert DIGEST not in shown

    def test_control_characters_dont_reach_the_terminal(self, capsys, tmp_path):
        name = "o1\x1b[2J"
        _, out, _ = run(capsys, write(tmp_path, LISTS | {"bought": {name: "none"}}))
        assert "\x1b" not in out


class TestAgainstNode:
    async def test_the_version_in_force_is_asked_of_a_node(
        self, capsys, monkeypatch, tmp_path
    ):
        async with running_api() as (client, store, relay):
            url = str(client.make_url(""))
            monkeypatch.setenv(admin.URL_VARIABLE, url)
            monkeypatch.setenv(admin.KEY_VARIABLE, "anna-key")

            async def command(*argv):
                with capture_logs():
                    status = await asyncio.to_thread(main, list(argv))
                return status, *capsys.readouterr()

            shown = {"revision": 0, "entries": LISTS["plans"]}
            plans = write(tmp_path, shown, "plans.yaml")
            assert (await command("admin", "plans", "apply", plans))[0] == 0
            await command("admin", "keys", "grant", "o1")
            new = write(tmp_path, {"plans": {}, "keys": {}})
            status, out, _ = await command("check-config", new, "--against", url)
            assert status == 1
            assert "[plan-removed]" in out
            assert "of o1 is removed: it stops working. [key-stops]" in out
            monkeypatch.setenv(admin.KEY_VARIABLE, "other-key")
            status, _, err = await command("check-config", new, "--against", url)
            assert (status, "not an operator's key" in err) == (2, True)

    @pytest.mark.parametrize("url", ["http://127.0.0.1:1", "http://[", "http://a b"])
    def test_a_node_that_cant_be_asked_has_exit_status_2(
        self, capsys, monkeypatch, tmp_path, url
    ):
        monkeypatch.setenv(admin.KEY_VARIABLE, "k")
        path = write(tmp_path, LISTS)
        assert run(capsys, path, "--against", url)[0] == 2
        monkeypatch.delenv(admin.KEY_VARIABLE)
        assert "set LAVENDERSTACK_KEY" in run(capsys, path, "--against", url)[2]


class TestFile:
    def test_a_name_given_twice_is_an_error_with_its_line(self, capsys, tmp_path):
        text = "plans:\n  gold: {rate: 1, burst: 1}\n  gold: {rate: 2, burst: 1}\n"
        status, out, _ = run(capsys, write(tmp_path, text))
        assert (status, "lists.yaml:2: error:" in out) == (1, True)
        assert "[duplicate-name]" in out

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.binary(max_size=60) | VALUES.map(lambda v: json.dumps({"plans": v}).encode())
    )
    def test_no_content_raises_but_as_unreadable(self, raw):
        try:
            file = config_file.parse(raw)
        except config_file.Unreadable:
            return
        file.line_of(("plans", 0, "x"))
        list(file.duplicates())


class TestCodes:
    def test_every_code_is_on_the_page_and_no_other(self):
        """An operator who looks up a code must find it."""
        calls = (
            node.args[0].value
            for path in SOURCES
            if "_test" not in path.name
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, ast.Call)
            and len(node.args) == 3
            and isinstance(node.args[0], ast.Constant)
        )
        codes = {code for code in calls if re.fullmatch(r"[a-z]+(-[a-z]+)+", str(code))}
        listed = re.findall(r"^\| `([a-z-]+)` \|", PAGE.read_text(), re.MULTILINE)
        assert set(listed) == codes
        assert len(listed) == len(codes)

    def test_the_lists_are_those_of_the_operators_api(self):
        assert check_config._LISTS == declared.LISTS
