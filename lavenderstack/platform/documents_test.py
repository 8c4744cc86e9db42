"""Tests of decoding the documents in the platform's store."""

import copy
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderstack.core.catalog import Consistency, GroupLimits
from lavenderstack.core.failover.replica_set import ReplicaSet, TargetRun
from lavenderstack.core.view import Vm
from lavenderstack.platform import documents, records
from lavenderstack.platform.callers import digest_of
from lavenderstack.platform.target_reports import decode_report

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "db1",
            "type": "bounded",
            "timeout_ms": 3000,
            "target_latency_ms": 800,
            "prio": 2,
            "service": "g1",
            "max_stale_ms": 1500,
            "public": False,
            "something_new": [1],
        }
    ],
    "services": [{"name": "g1", "max_conns": 33, "sync_replicas": 1}],
    "limits": {"tx_idle_ms": 2000},
    "tenants": [{"name": "org", "api_keys": ["k1"], "per_s": 68, "burst": 60}],
}
REPORT = {
    "service": "g1",
    "addr": "10.0.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 5,
    "state": "ready",
    "cold_left_ms": 0,
    "db_role": "replica",
    "seq": 4,
}


def encode_json(value):
    return json.dumps(value).encode()


class TestCatalog:
    def test_the_priority_of_a_tenant_is_that_of_its_plan(self):
        tenant = {"name": "org", "api_keys": [], "per_s": 1, "burst": 1}
        for extra, priority in (({"prio": 0}, 0), ({}, 2)):
            cfg = CONFIG | {"tenants": [tenant | extra]}
            catalog = documents.decode_catalog(encode_json(cfg))
            assert catalog.plans["org"].priority == priority

    def test_fields_are_translated_and_times_converted_to_seconds(self):
        catalog = documents.decode_catalog(encode_json(CONFIG))
        route = catalog.routes["db1"]
        assert catalog.version == 7
        assert (route.group, route.freshness) == ("g1", Consistency.BOUNDED)
        assert (route.timeout_s, route.latency_goal_s, route.max_age_s) == (
            3.0,
            0.8,
            1.5,
        )
        assert catalog.groups["g1"].replicated
        assert catalog.plans["org"].rate == 68
        assert catalog.tx_idle_s == 2.0

    def test_only_digests_of_keys_are_kept(self):
        catalog = documents.decode_catalog(encode_json(CONFIG))
        assert catalog.keys == {digest_of("k1"): "org"}
        assert "k1" not in repr(catalog)

    @pytest.mark.parametrize("missing", ["version", "routes", "services"])
    def test_catalog_without_a_required_field_is_rejected(self, missing):
        invalid = {key: value for key, value in CONFIG.items() if key != missing}
        assert documents.decode_catalog(encode_json(invalid)) is None

    def test_catalog_with_an_unknown_route_type_is_rejected(self):
        invalid = {**CONFIG, "routes": [{**CONFIG["routes"][0], "type": "other"}]}
        assert documents.decode_catalog(encode_json(invalid)) is None

    @pytest.mark.parametrize(
        "data",
        [
            encode_json({**CONFIG, "limits": {"tx_idle_ms": 10**400}}),
            b"[" * 100_000,
        ],
    )
    def test_extreme_documents_give_no_catalog(self, data):
        """An error that isn't caught here leaves the loader's loop."""
        assert documents.decode_catalog(data) is None

    def test_cold_limits_and_home_regions_are_optional(self):
        """A catalog without them must be served as before."""
        plain = documents.decode_catalog(encode_json(CONFIG))
        assert plain.groups["g1"] == GroupLimits(33, True, 0.0, 0.0)
        assert plain.routes["db1"].home_regions == ()
        changed = copy.deepcopy(CONFIG)
        changed["services"][0] |= {"cold_per_s": 12, "cold_start_s": 8.5}
        changed["routes"][0]["home_regions"] = ["r1", "r2"]
        changed["tenants"][0]["home_regions"] = ["r2"]
        catalog = documents.decode_catalog(encode_json(changed))
        assert catalog.groups["g1"] == GroupLimits(33, True, 12.0, 8.5)
        assert catalog.routes["db1"].home_regions == ("r1", "r2")
        assert catalog.plans["org"].home_regions == ("r2",)

    @pytest.mark.parametrize("field", ["cold_per_s", "cold_start_s", "home_regions"])
    def test_catalog_with_a_field_of_the_wrong_type_is_rejected(self, field):
        invalid = copy.deepcopy(CONFIG)
        for part in ("services", "routes", "tenants"):
            invalid[part][0][field] = "many"
        assert documents.decode_catalog(encode_json(invalid)) is None

    @given(st.binary(max_size=100))
    def test_invalid_bytes_give_no_catalog(self, data):
        assert documents.decode_catalog(data) is None


class TestReport:
    def test_valid_report_names_its_target(self):
        report = decode_report("servers/i-1", encode_json(REPORT))
        target = report.target
        assert (target.name, target.host, target.port) == ("i-1", "10.0.0.9", 8080)
        assert (report.group, report.leads, report.leaving) == ("g1", False, False)

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("service", None),
            ("addr", "nowhere"),
            ("addr", 5),
            ("slots", "many"),
            ("slots", 0),
            ("state", "tired"),
            ("db_role", "judge"),
            ("zone", None),
            ("cold_left_ms", "long"),
            ("cold_left_ms", None),
        ],
    )
    def test_report_with_an_invalid_field_names_no_target(self, field, value):
        invalid = {**REPORT, field: value}
        assert decode_report("servers/i-1", encode_json(invalid)) is None

    @pytest.mark.parametrize("field", list(REPORT))
    def test_report_without_a_required_field_names_no_target(self, field):
        invalid = {key: value for key, value in REPORT.items() if key != field}
        assert decode_report("servers/i-1", encode_json(invalid)) is None

    @pytest.mark.parametrize(("left_ms", "cold_s"), [(0, 0), (2500, 2.5), (-5, 0)])
    def test_report_tells_how_long_the_target_is_cold(self, left_ms, cold_s):
        data = encode_json({**REPORT, "cold_left_ms": left_ms})
        assert decode_report("servers/i-1", data).cold_s == cold_s

    @given(st.binary(max_size=100))
    def test_invalid_bytes_give_no_report(self, data):
        assert decode_report("servers/i-1", data) is None


class TestServiceRecords:
    def test_node_is_decoded_as_it_was_encoded(self):
        vm = Vm("n1", "z1", "10.0.0.1", 7560, state="leaving")
        key = records.NODES_PREFIX + "n1"
        assert records.decode_node(key, records.encode_node(vm, 0)) == vm

    @pytest.mark.parametrize(("fields", "started_ms"), [({}, 0), ({"born": 17}, 17)])
    def test_report_tells_when_the_run_of_the_target_began(self, fields, started_ms):
        data = encode_json({**REPORT, **fields})
        assert decode_report("servers/i-1", data).started_ms == started_ms

    def test_report_with_a_start_that_is_no_number_names_no_target(self):
        data = encode_json({**REPORT, "born": "yesterday"})
        assert decode_report("servers/i-1", data) is None

    def test_replica_set_is_the_same_after_encoding(self):
        runs = frozenset({TargetRun("i-1", 5), TargetRun("i-1", 6), TargetRun("i-2")})
        data = records.encode_replica_set(ReplicaSet("i-3", runs, as_of=40), 0)
        decoded = records.decode_replica_set("ls/replicas/g", data)
        assert decoded == ReplicaSet("i-3", runs)
        assert decoded.as_of == 40

    @pytest.mark.parametrize("data", [b"", b"[]", b'{"primary": 1}', b"\xff"])
    def test_invalid_replica_set_counts_as_none(self, data):
        assert records.decode_replica_set("ls/replicas/g", data) is None

    def test_epoch_of_an_ownership_is_its_revision(self):
        ownership = records.decode_ownership(
            "ls/duties/g", records.encode_ownership("n1#a", 0), 42
        )
        assert (ownership.node, ownership.epoch) == ("n1#a", 42)

    @given(st.binary(max_size=60))
    def test_invalid_bytes_raise_no_error(self, data):
        records.decode_node("ls/nodes/n", data)
        records.decode_ownership("ls/duties/g", data, 1)
