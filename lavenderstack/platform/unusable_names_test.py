"""Tests of names in the operators' configuration that can't be sent to a target."""

import json

import pytest

from lavenderstack.core.config.config_check import check
from lavenderstack.platform import documents
from lavenderstack.platform.callers import digest_of
from lavenderstack.platform.declared import translate
from lavenderstack.platform.documents_test import CONFIG
from lavenderstack.platform.node_test import config, connect_when_known, run_node

TENANT = CONFIG["tenants"][0]
SEVERAL_FIELDS = ["", " ", "org i-9", "org\r\nQUERY f1 WRITE a 1", "a\nb", "a\rb"]
# Targets can't report services with these names either.
UNUSABLE = [*SEVERAL_FIELDS, "a\0b", "a\x7fb", "a\tb", "a\u2028b", "x" * 201]
USABLE = ["org", "š" * 200, "a/b", "a#b%20{c}", '"', "-", "Org", "a\tb", "a\u00a0b"]
REFUSED = "ERROR BUSY the organisation's name can't be sent to a database"


def catalog_of(**fields):
    return documents.decode_catalog(json.dumps(CONFIG | fields).encode())


class TestTenant:
    @pytest.mark.parametrize("name", SEVERAL_FIELDS)
    def test_a_name_of_several_fields_is_reported_and_its_keys_stay(self, name):
        """A key that is in force must not be refused as one that isn't."""
        odd = TENANT | {"name": name, "api_keys": ["k2"]}
        catalog = catalog_of(tenants=[odd, TENANT])
        assert catalog.keys == {digest_of("k1"): "org", digest_of("k2"): name}
        assert catalog.unusable == ("tenants[0].name",)

    @pytest.mark.parametrize("name", [*USABLE, "x" * 201])
    def test_any_other_name_is_taken_unchanged(self, name):
        catalog = catalog_of(tenants=[TENANT | {"name": name}])
        assert catalog.keys == {digest_of("k1"): name}
        assert catalog.unusable == ()

    async def test_targets_are_told_any_other_name(self, tmp_path):
        async with run_node(tmp_path) as node:
            names = [name for name in USABLE if name != "org"]
            tenants = [
                TENANT | {"name": name, "api_keys": [f"k{number}"]}
                for number, name in enumerate(names)
            ]
            node.store.put("op/config", config(version=8, tenants=tenants))
            for number, name in enumerate(names):
                caller = await connect_when_known(node, f"CONNECT db2 k{number}")
                assert (await caller.query("WRITE a 1"))[0].startswith("DONE")
                assert node.targets[0].executed[-1][0] == name

    async def test_a_node_sends_nothing_for_it_and_serves_the_others(self, tmp_path):
        odd = TENANT | {"name": "org\r\nQUERY f1 WRITE stolen 1", "api_keys": ["k2"]}
        blank = TENANT | {"name": "org i-1", "api_keys": ["k3"]}
        async with run_node(tmp_path) as node:
            await connect_when_known(node, "CONNECT db1 k1")
            tenants = [TENANT, odd, blank, TENANT | {"name": "t4", "api_keys": ["k4"]}]
            node.store.put("op/config", config(version=8, tenants=tenants))
            await connect_when_known(node, "CONNECT db1 k4")
            for key in ("k2", "k3"):
                caller = await node.caller(f"CONNECT db1 {key}")
                for text in ("READ a", "WRITE a 1"):
                    assert await caller.query(text) == [REFUSED, "READY I -"]
            caller = await node.caller("CONNECT db1 k1")
            assert (await caller.query("WRITE a 1"))[0].startswith("DONE i-1.")
            executed = [one for target in node.targets for one in target.executed]
            assert {one[0] for one in executed} == {"org"}
            assert not [one for one in executed if "stolen" in str(one)]
            status, log = await node.stop()
        assert status == 0
        (line,) = [one for one in log.splitlines() if "catalog not usable" in one]
        assert "tenants[1]" in line and "tenants[2]" in line

    async def test_on_a_public_route_nothing_is_run_for_it_either(self, tmp_path):
        fields = json.loads(config(version=8, tenants=[TENANT | {"name": "org i-9"}]))
        fields["routes"].append(fields["routes"][0] | {"host": "db4", "public": True})
        async with run_node(tmp_path) as node:
            node.store.put("op/config", json.dumps(fields).encode())
            caller = await connect_when_known(node, "CONNECT db4 k1")
            assert await caller.query("WRITE a 1") == [REFUSED, "READY I -"]
            caller = await connect_when_known(node, "CONNECT db4")
            assert (await caller.query("WRITE a 1"))[0].startswith("DONE")
            executed = {one[0] for target in node.targets for one in target.executed}
            assert executed == {""}

    async def test_an_open_session_runs_nothing_more_for_it(self, tmp_path):
        async with run_node(tmp_path) as node:
            caller = await connect_when_known(node, "CONNECT db1 k1")
            other = TENANT | {"name": "t4", "api_keys": ["k4"]}
            odd = TENANT | {"name": "org i-1"}
            node.store.put("op/config", config(version=8, tenants=[odd, other]))
            await connect_when_known(node, "CONNECT db1 k4")
            assert (await caller.query("WRITE a 1"))[0].startswith("ERROR")
            assert not any(target.executed for target in node.targets)


class TestEmptyKey:
    """It would make a tenant of all callers that send no key."""

    FIELDS = {"tenants": [TENANT | {"api_keys": ["", "k1"]}]}

    def test_it_is_not_in_force_and_the_others_of_its_tenant_are(self):
        catalog = catalog_of(**self.FIELDS)
        assert catalog.keys == {digest_of("k1"): "org"}
        assert catalog.unusable == ("tenants[0].api_keys[0]",)

    async def test_a_caller_without_a_key_is_refused(self, tmp_path):
        async with run_node(tmp_path) as node:
            tenants = [*self.FIELDS["tenants"], TENANT | {"api_keys": ["k4"]}]
            node.store.put("op/config", config(version=8, tenants=tenants))
            await connect_when_known(node, "CONNECT db1 k4")
            for line in ("CONNECT db1", "CONNECT db1 "):
                caller = await node.caller(line)
                assert caller.greeting == ["ERROR NOAUTH the key is not in force"]

    def test_check_config_names_it(self):
        document = CONFIG | self.FIELDS
        cfg, _ = translate(document, json.dumps(document).encode())
        (finding,) = check(cfg)
        assert finding.code == "empty-key"
        assert finding.place.text == "tenants[0].api_keys[0]"


class TestService:
    @pytest.mark.parametrize("name", UNUSABLE)
    def test_it_is_reported_and_the_version_is_in_force(self, name):
        """No target can report such a service, so its name is never sent."""
        odd = CONFIG["routes"][0] | {"host": "db9", "service": name}
        services = [*CONFIG["services"], {"name": name, "max_conns": 1}]
        catalog = catalog_of(routes=[odd, *CONFIG["routes"]], services=services)
        assert set(catalog.routes) == {"db1", "db9"}
        assert catalog.unusable == ("services[1].name",)

    async def test_its_callers_are_told_that_nothing_was_run(self, tmp_path):
        odd = CONFIG["routes"][0] | {"host": "db9", "service": "g 1"}
        fields = json.loads(config(version=8))
        fields["routes"].append(odd)
        async with run_node(tmp_path) as node:
            node.store.put("op/config", json.dumps(fields).encode())
            caller = await connect_when_known(node, "CONNECT db9 k1")
            for text in ("READ a", "WRITE a 1"):
                assert (await caller.query(text))[0] == "ERROR READONLY no_primary"
            assert not any(target.executed for target in node.targets)


class TestCheckConfig:
    @pytest.mark.parametrize("name", SEVERAL_FIELDS)
    def test_it_names_the_entries(self, name):
        tenants = [TENANT, TENANT | {"name": name, "api_keys": ["k2"]}]
        services = [{"name": name, "max_conns": 1}, *CONFIG["services"]]
        document = CONFIG | {"tenants": tenants, "services": services}
        cfg, errors = translate(document, json.dumps(document).encode())
        # With errors it could not be compared with a version that corrects it.
        assert errors == []
        places = [f.place.text for f in check(cfg) if f.code == "name-not-usable"]
        assert places == ["tenants[1].name", "services[0].name"]

    @pytest.mark.parametrize("name", UNUSABLE)
    def test_it_names_services_that_no_target_can_report(self, name):
        document = CONFIG | {"services": [{"name": name, "max_conns": 1}]}
        cfg, errors = translate(document, json.dumps(document).encode())
        assert errors == []
        places = [f.place.text for f in check(cfg) if f.code == "name-not-usable"]
        assert places == ["services[0].name"]
