"""Tests of entries that another writer leaves among those of the targets.

Such an entry names no target to use and the others hold, whatever stands in it,
whichever role it claims, and whenever it is written.
"""

import asyncio
import json

import pytest

from lavenderstack.core import clock
from lavenderstack.core.view import Target
from lavenderstack.node.backend import ConnectFailed
from lavenderstack.platform import targets
from lavenderstack.platform.documents_test import REPORT
from lavenderstack.platform.loader_test import (
    report,
    run_loader,
    run_loader_object,
    wait_until,
)
from lavenderstack.platform.node_test import config, connect_when_known, run_node
from lavenderstack.platform.target_reports import decode_report
from standins.metadata_store import MetadataStore

MISSING = object()
NESTED = b"[" * 100_000
HUGE = 10**40
WORDS = ["", "a b", "a\r\nb", "a\0b", "\u2028", "x" * 1_000]
NOT_A_NUMBER = [None, True, "5", [], {}, 1.5]

# The values that each field may not have.
ODD_VALUES = {
    "service": [None, 5, [], *WORDS],
    "addr": [
        *(None, 5, "", "nowhere", "10.0.0.9", ":8080", "10.0.0.9:", "10.0.0.9:http"),
        *(f"10.0.0.9:{port}" for port in (0, -5, 65_536, 99_999, HUGE, "9" * 5_000)),
        *("10.0.0.9: 80", "10.0.0.9:8_0", "10.0.0.9:+80", "10.0.0.9:\uff18\uff10"),
        *("x" * 64 + ".example:80", "a\0b:80", "a b:80", "[::1:80", "[fe80::1%a b]:80"),
    ],
    "zone": [None, 5, {}, *WORDS],
    "version": [None, 5, []],
    "slots": [*NOT_A_NUMBER, 0, -1, HUGE],
    "state": [None, 5, "tired", "READY"],
    "cold_left_ms": [None, True, "5", [], HUGE, 10**400],
    "db_role": [None, 5, "judge", "PRIMARY"],
    "seq": NOT_A_NUMBER,
    "born": [*NOT_A_NUMBER, -1, HUGE],
}
REQUIRED = [field for field in ODD_VALUES if field != "born"]
ODD_FIELDS = [
    *((field, value) for field, values in ODD_VALUES.items() for value in values),
    *((field, MISSING) for field in REQUIRED),
]
ODD_BYTES = [
    *(b"", b"\xff\x00", b"null", b"[]", b'"i-1"', b"9" * 5_000),
    *(NESTED, b'{"a":' * 100_000),
    json.dumps(REPORT).encode()[:-1] + b',"later":' + NESTED + b"}",
    json.dumps(REPORT).encode()[:-1] + b',"cold_left_ms":1e999}',
    json.dumps(REPORT).encode().replace(b"z1", b"z\xff"),
    json.dumps(REPORT).encode().replace(b"z1", rb"\ud800"),
]


def odd_entries(role):
    """Return the values of all odd entries that claim a role."""
    entries = list(ODD_BYTES)
    for field, value in ODD_FIELDS:
        entry = {**REPORT, "db_role": role, "born": 1_700_000_000_000, field: value}
        entry = {key: one for key, one in entry.items() if one is not MISSING}
        entries.append(json.dumps(entry).encode())
    return entries


class TestOddReport:
    @pytest.mark.parametrize("role", ["primary", "replica"])
    def test_it_names_no_target(self, role):
        taken = [
            data[:200]
            for data in odd_entries(role)
            if decode_report("servers/i-9", data) is not None
        ]
        assert taken == []

    @pytest.mark.parametrize("name", ["", "a b", "a\r\nQUERY x", "a\0", "a\x7f"])
    def test_a_name_that_cannot_be_sent_names_no_target(self, name):
        """It would end the greeting of a connection, and begin a statement."""
        data = json.dumps(REPORT).encode()
        assert decode_report(f"servers/{name}", data) is None

    def test_fields_that_are_not_known_are_passed_over(self):
        data = json.dumps({**REPORT, "later": [{}], "born": 7}).encode()
        assert decode_report("servers/i-1", data) is not None


class TestOddEntriesAtANode:
    """A node that reads the list must run on and serve from the other targets."""

    async def serve(self, node):
        for database in ("db1", "db2"):
            caller = await connect_when_known(node, f"CONNECT {database} k1")
            written = await caller.query("WRITE a 1")
            assert written[0].startswith("DONE i-1."), written
            read = await caller.query("READ a")
            assert read[0] == "ROW 1", read

    async def end(self, node):
        status, log = await node.stop()
        assert status == 0
        for line in ("part failed", "check failed", "exception", "Traceback"):
            assert line not in log

    @pytest.mark.parametrize("role", ["primary", "replica"])
    async def test_it_serves_with_those_that_come_later(self, tmp_path, role):
        async with run_node(tmp_path) as node:
            await self.serve(node)
            for number, data in enumerate(odd_entries(role)):
                node.store.put(f"servers/i-odd-{number}", data)
            await asyncio.sleep(1.0)
            await self.serve(node)
            await self.end(node)

    @pytest.mark.parametrize("role", ["primary", "replica"])
    async def test_it_starts_with_those_that_stand_already(self, tmp_path, role):
        def prepare(store):
            for number, data in enumerate(odd_entries(role)):
                store.put(f"servers/i-{number:03}-odd", data)

        async with run_node(tmp_path, prepare) as node:
            await self.serve(node)
            await self.end(node)

    async def test_a_target_is_used_again_after_its_entry_was_odd(self, tmp_path):
        async with run_node(tmp_path) as node:
            entries = {name: node.store.items[f"servers/{name}"] for name in ("i-2",)}
            assert entries
            for data in odd_entries("primary"):
                node.store.put("servers/i-2", data)
            await asyncio.sleep(1.0)
            await self.serve(node)
            fields = {"addr": "127.0.0.1:1", "db_role": "replica"}
            node.store.put("servers/i-2", json.dumps({**REPORT, **fields}).encode())
            await self.serve(node)
            await self.end(node)


class TestOddKeys:
    """Each page begins after a key of others, which stands in a URL."""

    NAMES = [
        *(
            "a%2Fb",
            "a+b",
            "a&after=z",
            "a#b",
            "a=b",
            "a/b",
            "?",
            "%",
            "\u00e9",
            "e\u0301",
        ),
        *("x" * 192, "\u0161" * 96),
    ]

    async def test_pages_and_watches_go_on_after_them(self):
        kv = MetadataStore(page_size=1)
        kv.put("op/config", config())
        for name in ["", "a b", "a\u2028", "a\r\n", "\0", *self.NAMES]:
            kv.put(f"servers/{name}", report())
            kv.put(f"op/evacuate/{name}"[:200], b"{}")
        async with run_loader(kv) as directory:
            await wait_until(lambda: directory.proof.holds(clock.now()))
            assert set(directory.targets) == set(self.NAMES)
            assert set(directory.evacuations) >= {"a%2Fb", "a+b", "a\r\n"}
            kv.delete("servers/a%2Fb")
            kv.put("servers/a/c", report())
            await wait_until(lambda: "a/c" in directory.targets)
            assert "a%2Fb" not in directory.targets
            assert "a/b" in directory.targets


class TestUnreadableItem:
    """An item of the store's answer that can't be read must not hold back others."""

    KEY = "servers/\ud800"

    async def test_it_is_passed_over_in_a_listing_and_in_a_watch(self):
        kv = MetadataStore(page_size=2)
        kv.put("op/config", config())
        kv.put("servers/i-1", report())
        kv.put(self.KEY, report())
        kv.put("servers/\ue000", report())
        async with run_loader(kv) as directory:
            await wait_until(lambda: directory.proof.holds(clock.now()))
            assert set(directory.targets) == {"i-1", "\ue000"}
            kv.put(self.KEY, report())
            kv.put("servers/i-3", report())
            await wait_until(lambda: "i-3" in directory.targets)

    async def test_an_evacuation_of_a_zone_that_cannot_be_is_passed_over(self):
        """No node took any change any more, and those that started never served."""
        kv = MetadataStore(page_size=2)
        kv.put("op/config", config())
        kv.put("op/evacuate/\ud800", b"{}")
        kv.put("op/evacuate/z2", b"{}")
        kv.put("servers/i-1", report())
        async with run_loader(kv) as directory:
            await wait_until(lambda: directory.proof.holds(clock.now()))
            assert set(directory.targets) == {"i-1"}
            assert set(directory.evacuations) == {"z2"}
            kv.put("op/evacuate/a\udfff", b"{}")
            kv.put("servers/i-2", report())
            await wait_until(lambda: "i-2" in directory.targets)

    async def test_one_that_may_be_the_catalog_proves_nothing(self):
        kv = MetadataStore()
        kv.put("op/config", config())
        kv.put("op/config\ud800", b"")
        async with run_loader(kv) as directory:
            await asyncio.sleep(0.5)
            assert not directory.proof.holds(clock.now())

    async def test_an_entry_that_raises_ends_neither_the_loader_nor_the_others(self):
        kv = MetadataStore()
        kv.put("op/config", config())
        for name in ("i-1", "i-2"):
            kv.put(f"servers/{name}", report())
        async with run_loader_object(kv) as (loader, directory):
            put = loader._writer._put

            def put_or_raise(item, data):
                if item.key == "servers/i-1":
                    raise RuntimeError("unexpected")
                put(item, data)

            loader._writer._put = put_or_raise
            await wait_until(lambda: set(directory.targets) == {"i-2"})


class TestImpossibleAddress:
    @pytest.mark.parametrize(
        ("host", "port"),
        [("x" * 64, 80), ("a\0b", 80), ("127.0.0.1", 99_999), ("127.0.0.1", -1)],
    )
    async def test_it_is_a_failed_connection(self, host, port):
        """The error ended the checks of the target's group and callers' sessions."""
        target = Target("i-1", "z1", host, port, 5, 33)
        with pytest.raises(ConnectFailed):
            await targets.connect(target, "g1", "org", 0.5)
