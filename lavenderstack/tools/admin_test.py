"""Tests of the operators' commands against the API, with faults in a table."""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest
import yaml
from structlog.testing import capture_logs

from lavenderstack.border.admin_test import GOLD, served
from lavenderstack.core import keys
from lavenderstack.tools import admin as command


class TestCommand:
    @asynccontextmanager
    async def line(self, capsys, monkeypatch):
        async with served() as (client, store, control):
            monkeypatch.setenv(command.URL_VARIABLE, str(client.make_url("")))
            monkeypatch.setenv(command.KEY_VARIABLE, "anna-key")

            async def run(*argv):
                with capture_logs():
                    status = await asyncio.to_thread(command.run, list(argv))
                return status, *capsys.readouterr()

            yield run, store, control

    async def test_show_edit_apply_and_a_conflict(self, capsys, monkeypatch, tmp_path):
        async with self.line(capsys, monkeypatch) as (run, store, control):
            file = tmp_path / "plans.yaml"
            _, out, _ = await run("plans", "show")
            shown = yaml.safe_load(out)
            file.write_text(yaml.safe_dump(shown | {"entries": GOLD}))
            assert (await run("plans", "apply", str(file)))[0] == command.Exit.DONE
            assert control.view.plans["gold"].burst == 6.0
            status, out, err = await run("plans", "apply", str(file), "--json")
            assert (status, out) == (command.Exit.CONFLICT, "")
            assert "another operator was faster" in err

    async def test_a_granted_key_is_printed_once_and_works(self, capsys, monkeypatch):
        async with self.line(capsys, monkeypatch) as (run, store, control):
            status, out, _ = await run("keys", "grant", "o1", "--json")
            key = json.loads(out)["key"]
            digest = keys.digest_of(key)
            assert control.view.keys[digest].organisation == "o1"
            assert key not in str(store.memory.entries)
            assert (await run("keys", "withdraw", digest))[0] == 0
            assert control.view.keys[digest].withdrawn

    @pytest.mark.parametrize(
        ("fault", "argv", "status"),
        [
            ({"cut": True}, ["keys", "grant", "o1"], command.Exit.STORED),
            ({"down": True}, ["keys", "grant", "o1"], command.Exit.NOT_CHANGED),
            ({"script": ["lost before"] * 9}, ["keys", "grant", "o1"], 5),
            ({"script": ["lost after"]}, ["keys", "grant", "o1"], 0),
            ({}, ["keys", "withdraw", "0" * 64], command.Exit.INVALID),
            ({}, ["plans", "apply", "/no/such/file"], command.Exit.INVALID),
            ({"key": "eve"}, ["status"], command.Exit.NO_OPERATOR),
            ({"url": "http://127.0.0.1:1"}, ["status"], command.Exit.NOT_CHANGED),
            ({}, ["status"], 0),
            ({}, ["revision"], 0),
            ({}, ["groups", "list"], 0),
            ({}, ["keys", "list"], 0),
            ({}, ["bought", "show"], 0),
        ],
    )
    async def test_exit_status(self, capsys, monkeypatch, fault, argv, status):
        async with self.line(capsys, monkeypatch) as (run, store, control):
            store.script = fault.get("script", ())
            store.down = fault.get("down", False)
            control.cut = fault.get("cut", False)
            if "url" in fault:
                monkeypatch.setenv(command.URL_VARIABLE, fault["url"])
            if "key" in fault:
                monkeypatch.setenv(command.KEY_VARIABLE, fault["key"])
            found, out, err = await run(*argv)
            assert found == status
            assert bool(out) is (status in (0, command.Exit.STORED))
            assert bool(err) is (status != 0)
