"""Tests of translating the platform's document, as nodes take it."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from structlog.testing import capture_logs

from lavenderstack.__main__ import main
from lavenderstack.border.declared_test import altered
from lavenderstack.core.config.config_check import check
from lavenderstack.core.config.config_diff import compare
from lavenderstack.platform.declared import translate
from lavenderstack.platform.documents import decode_catalog
from lavenderstack.platform.documents_test import CONFIG

ROUTE, TENANT = CONFIG["routes"][0], CONFIG["tenants"][0]


def read(document):
    raw = document if isinstance(document, bytes) else json.dumps(document).encode()
    value = json.loads(raw) if raw.startswith(b"{") else {"routes": []}
    return translate(value, raw)


def found_in(document):
    return {(f.code, f.place.text) for f in check(read(document)[0])}


class TestTranslation:
    def test_a_sound_document_has_no_finding(self):
        assert found_in(CONFIG) == set()
        cfg = read(CONFIG)[0]
        assert compare(cfg, cfg) == []

    @pytest.mark.parametrize(
        ("fields", "code", "where"),
        [
            ({"version": 0}, "version-not-positive", "version"),
            ({"limits": {"tx_idle_ms": 0}}, "idle-not-positive", "limits.tx_idle_ms"),
            (
                {"routes": [ROUTE | {"timeout_ms": 0}]},
                "timeout-not-positive",
                "routes[0].timeout_ms",
            ),
            (
                {"routes": [ROUTE | {"max_stale_ms": 100}]},
                "age-below-lag",
                "routes[0].max_stale_ms",
            ),
            (
                {"services": [CONFIG["services"][0] | {"max_conns": 0}]},
                "connections-not-positive",
                "services[0].max_conns",
            ),
            (
                {"tenants": [TENANT | {"burst": 0.5}]},
                "burst-below-one",
                "tenants[0].burst",
            ),
            (
                {"tenants": [TENANT, TENANT | {"name": "other"}]},
                "same-key",
                "tenants[0].api_keys[0]",
            ),
            ({"routes": [ROUTE, ROUTE]}, "duplicate-name", "routes[0]"),
            (
                {
                    "routes": [ROUTE | {"home_regions": ["r1"]}],
                    "tenants": [TENANT | {"home_regions": ["r2"]}],
                },
                "home-regions-apart",
                "routes[0].home_regions",
            ),
            (
                {"services": [CONFIG["services"][0] | {"cold_per_s": 2}]},
                "cold-time-missing",
                "services[0].cold_start_s",
            ),
        ],
    )
    def test_a_finding_names_the_field_of_the_document(self, fields, code, where):
        assert (code, where) in found_in(CONFIG | fields)

    def test_a_withdrawn_key_is_a_difference_without_the_key(self):
        old = read(CONFIG)[0]
        new = read(CONFIG | {"version": 8, "tenants": [TENANT | {"api_keys": []}]})[0]
        (finding,) = compare(old, new)
        assert (finding.code, finding.place.path) == ("key-stops", ("tenants",))
        assert "'k1'" not in repr(new)


class TestErrors:
    def test_each_entry_that_nodes_refuse_is_found_with_its_field(self):
        routes = [ROUTE, ROUTE | {"type": "other"}, {**ROUTE, "host": None}]
        tenants = [TENANT | {"api_keys": ["k", 5]}]
        document = CONFIG | {"version": "x", "routes": routes, "tenants": tenants}
        findings = read(document)[1]
        assert [finding.place.text for finding in findings] == [
            "version",
            "routes[1].type",
            "routes[2].host",
            "tenants[0].api_keys[1]",
        ]
        assert findings[0].message == "Expected a whole number, got text."

    def test_a_number_beyond_all_ranges_is_an_error(self):
        """The decoder raises an error of another kind for it."""
        document = CONFIG | {"limits": {"tx_idle_ms": 10**400}}
        assert [f.code for f in read(document)[1]] == ["invalid-value"]

    @pytest.mark.parametrize("raw", [b"routes: []", b"\xff", b'{"version": 1e999}'])
    def test_a_document_that_isnt_json_is_an_error(self, raw):
        """Nodes read the document as JSON only, so YAML must not pass."""
        assert [f.code for f in translate({"routes": []}, raw)[1]] == ["invalid-value"]

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(altered(CONFIG), altered(CONFIG))
    def test_a_document_has_errors_if_and_only_if_nodes_refuse_it(self, first, second):
        cfg, errors = read(first)
        check(cfg)
        compare(cfg, read(second)[0])
        with capture_logs():
            catalog = decode_catalog(json.dumps(first).encode())
        assert (catalog is None) is bool(errors)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.binary(max_size=60))
    def test_no_bytes_raise(self, raw):
        assert translate({"routes": [], "services": 5}, raw)[1] or decode_catalog(raw)


class TestCommand:
    def test_the_document_is_recognised_and_compared(self, capsys, tmp_path):
        old, new = tmp_path / "old.json", tmp_path / "new.json"
        old.write_text(json.dumps(CONFIG))
        new.write_text(json.dumps(CONFIG | {"version": 6}, indent="\t"))
        assert main(["check-config", str(old)]) == 0
        assert main(["check-config", str(new), "--against", str(old)]) == 1
        assert (
            f"{new}:2: error: version: The version goes back" in capsys.readouterr().out
        )
        url = "http://127.0.0.1:1"
        assert main(["check-config", str(new), "--against", url]) == 2
