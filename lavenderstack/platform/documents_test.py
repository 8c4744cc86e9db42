"""Tests of decoding what lies in the store."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderstack.core.catalog import Consistency
from lavenderstack.core.view import Vm
from lavenderstack.platform import documents
from lavenderstack.platform.callers import digest_of

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


def encoded(value):
    return json.dumps(value).encode()


class TestCatalog:
    def test_everything_gets_a_name_of_ours_and_seconds(self):
        catalog = documents.decode_catalog(encoded(CONFIG))
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

    def test_keys_are_kept_as_digests_only(self):
        catalog = documents.decode_catalog(encoded(CONFIG))
        assert catalog.keys == {digest_of("k1"): "org"}
        assert "k1" not in repr(catalog)

    @pytest.mark.parametrize("missing", ["version", "routes", "services"])
    def test_one_that_lacks_something_is_not_taken(self, missing):
        broken = {k: v for k, v in CONFIG.items() if k != missing}
        assert documents.decode_catalog(encoded(broken)) is None

    def test_a_route_of_unknown_kind_is_not_taken(self):
        broken = {**CONFIG, "routes": [{**CONFIG["routes"][0], "type": "other"}]}
        assert documents.decode_catalog(encoded(broken)) is None

    @given(st.binary(max_size=100))
    def test_any_bytes_are_survived(self, data):
        assert documents.decode_catalog(data) is None


class TestReport:
    def test_a_target_is_read(self):
        report = documents.decode_report("servers/i-1", encoded(REPORT))
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
        ],
    )
    def test_one_that_is_wrong_names_no_target(self, field, value):
        broken = {**REPORT, field: value}
        assert documents.decode_report("servers/i-1", encoded(broken)) is None

    @pytest.mark.parametrize("field", ["service", "addr", "zone", "slots", "state"])
    def test_one_that_lacks_a_field_names_no_target(self, field):
        broken = {k: v for k, v in REPORT.items() if k != field}
        assert documents.decode_report("servers/i-1", encoded(broken)) is None

    @given(st.binary(max_size=100))
    def test_any_bytes_are_survived(self, data):
        assert documents.decode_report("servers/i-1", data) is None


class TestOwnRecords:
    def test_a_node_comes_back_as_it_was_written(self):
        vm = Vm("n1", "z1", "10.0.0.1", 7560, state="leaving")
        key = documents.NODES_PREFIX + "n1"
        assert documents.decode_node(key, documents.encode_node(vm)) == vm

    def test_the_revision_of_a_duty_is_its_epoch(self):
        claim = documents.decode_duty("ls/duties/g", documents.encode_duty("n1#a"), 42)
        assert (claim.node, claim.epoch) == ("n1#a", 42)

    @given(st.binary(max_size=60))
    def test_any_bytes_are_survived(self, data):
        documents.decode_node("ls/nodes/n", data)
        documents.decode_duty("ls/duties/g", data, 1)
