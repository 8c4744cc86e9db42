"""Tests of the operators' commands against the API, with injected faults."""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest
import yaml
from structlog.testing import capture_logs

from lavenderstack.border.admin_test import GOLD, running_api
from lavenderstack.core import keys
from lavenderstack.tools import admin


class TestCommand:
    @asynccontextmanager
    async def running_command(self, capsys, monkeypatch):
        async with running_api() as (client, store, relay):
            monkeypatch.setenv(admin.URL_VARIABLE, str(client.make_url("")))
            monkeypatch.setenv(admin.KEY_VARIABLE, "anna-key")

            async def run(*argv):
                with capture_logs():
                    status = await asyncio.to_thread(admin.run, list(argv))
                return status, *capsys.readouterr()

            yield run, store, relay

    async def test_applying_an_outdated_list_is_a_conflict(
        self, capsys, monkeypatch, tmp_path
    ):
        async with self.running_command(capsys, monkeypatch) as (run, store, relay):
            file = tmp_path / "plans.yaml"
            _, out, _ = await run("plans", "show")
            shown = yaml.safe_load(out)
            file.write_text(yaml.safe_dump(shown | {"entries": GOLD}))
            assert (await run("plans", "apply", str(file)))[0] == admin.Exit.DONE
            assert relay.view.plans["gold"].burst == 6.0
            status, out, err = await run("plans", "apply", str(file), "--json")
            assert (status, out) == (admin.Exit.CONFLICT, "")
            assert "changed by another operator" in err

    async def test_a_granted_key_is_printed_and_can_be_withdrawn(
        self, capsys, monkeypatch
    ):
        async with self.running_command(capsys, monkeypatch) as (run, store, relay):
            status, out, _ = await run("keys", "grant", "o1", "--json")
            key = json.loads(out)["key"]
            digest = keys.digest_of(key)
            assert relay.view.keys[digest].organisation == "o1"
            assert key not in str(store.memory.entries)
            assert (await run("keys", "withdraw", digest))[0] == 0
            assert relay.view.keys[digest].withdrawn

    async def test_a_return_is_repeated_for_the_request_that_it_was_meant_for(
        self, capsys, monkeypatch
    ):
        """Guards against a repetition that withdraws another operator's request."""
        async with self.running_command(capsys, monkeypatch) as (run, store, relay):
            assert (await run("evacuate", "a"))[0] == admin.Exit.DONE
            store.script = ["lost after"] * 3 + ["refused"] * 9
            status, _, err = await run("return", "a", "--change-id", "c1", "--json")
            assert status == admin.Exit.MAYBE_CHANGED
            revision = str(json.loads(err.splitlines()[0])["revision"])
            store.script = ()
            assert (await run("evacuate", "a"))[0] == admin.Exit.DONE
            repeated = ("return", "a", "--change-id", "c1", "--revision", revision)
            assert (await run(*repeated))[0] == admin.Exit.CONFLICT
            assert "a" in relay.view.evacuations
            assert (await run("return", "a"))[0] == admin.Exit.DONE
            assert not relay.view.evacuations

    @pytest.mark.parametrize(
        ("fault", "argv", "status"),
        [
            ({"is_cut_off": True}, ["keys", "grant", "o1"], admin.Exit.STORED),
            ({"down": True}, ["keys", "grant", "o1"], admin.Exit.NOT_CHANGED),
            ({"script": ["lost before"] * 9}, ["keys", "grant", "o1"], 5),
            ({"script": ["lost after"]}, ["keys", "grant", "o1"], 0),
            ({}, ["keys", "withdraw", "0" * 64], admin.Exit.INVALID),
            ({}, ["plans", "apply", "/no/such/file"], admin.Exit.INVALID),
            ({"key": "eve"}, ["status"], admin.Exit.NO_OPERATOR),
            ({"url": "http://127.0.0.1:1"}, ["status"], admin.Exit.NOT_CHANGED),
            ({}, ["evacuate", "a"], 0),
            ({"is_cut_off": True}, ["evacuate", "a"], admin.Exit.STORED),
            ({"down": True}, ["evacuate", "a"], admin.Exit.NOT_CHANGED),
            ({}, ["evacuate", "a", "--revision", "7"], admin.Exit.CONFLICT),
            ({"script": ["lost before"] * 9}, ["evacuate", "a"], 5),
            ({}, ["return", "a"], admin.Exit.INVALID),
            ({}, ["return", "a", "--revision", "x"], admin.Exit.INVALID),
            ({"down": True}, ["return", "a"], admin.Exit.NOT_CHANGED),
            ({}, ["evacuations"], 0),
            ({}, ["status"], 0),
            ({}, ["revision"], 0),
            ({}, ["groups", "list"], 0),
            ({}, ["keys", "list"], 0),
            ({}, ["bought", "show"], 0),
        ],
    )
    async def test_exit_status(self, capsys, monkeypatch, fault, argv, status):
        async with self.running_command(capsys, monkeypatch) as (run, store, relay):
            store.script = fault.get("script", ())
            store.down = fault.get("down", False)
            relay.is_cut_off = fault.get("is_cut_off", False)
            if "url" in fault:
                monkeypatch.setenv(admin.URL_VARIABLE, fault["url"])
            if "key" in fault:
                monkeypatch.setenv(admin.KEY_VARIABLE, fault["key"])
            exit_status, out, err = await run(*argv)
            assert exit_status == status
            assert bool(out) is (status in (0, admin.Exit.STORED))
            assert bool(err) is (status != 0)
