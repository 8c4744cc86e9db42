"""Tests of the checks: each fault of a configuration is found, and only that one."""

from dataclasses import replace

import pytest

from lavenderstack.core.catalog import Consistency
from lavenderstack.core.config.config_check import check
from lavenderstack.core.config.config_check_groups import USUAL_LAG_S
from lavenderstack.core.config.declared_config import (
    DeclaredConfig,
    DeclaredGroup,
    DeclaredKey,
    DeclaredLimits,
    DeclaredOrganisation,
    DeclaredRoute,
    DeclaredTarget,
    Place,
    Severity,
)
from lavenderstack.node import primary_positions

ROOT = Place()
KEY = DeclaredKey("a" * 64, "o1", ROOT.child("keys"))
LIMITS = DeclaredLimits("gold", ROOT.child("plans").child("gold"), 5.0, 6.0)
ORGANISATION = DeclaredOrganisation("o1", ROOT.child("bought"), "gold")
TARGET = DeclaredTarget("t1", ROOT.child("t1"), "z", "10.0.0.1:1", 5, 9)
GROUP = DeclaredGroup("g", ROOT.child("g"), 9, (TARGET,), frozenset({"o1"}))
LISTS = DeclaredConfig(
    limits=(LIMITS,), organisations=(ORGANISATION,), keys=(KEY,), groups=(GROUP,)
)
SERVICE = DeclaredGroup("g", ROOT.child("services").child(0), 9, replicated=True)
ROUTE = DeclaredRoute(
    "db", ROOT.child("routes").child(0), "g", Consistency.SESSION, 4.0, 0.5, 1.5, 0
)
ROUTED = replace(
    LISTS, groups=(SERVICE,), routes=(ROUTE,), version=3, tx_idle_s=2.0, own_plans=True
)


def routed(**fields):
    return replace(ROUTED, routes=(replace(ROUTE, **fields),))


def limited(cfg=LISTS, **fields):
    return replace(cfg, limits=(replace(LIMITS, **fields),))


def grouped(**fields):
    return replace(LISTS, groups=(replace(GROUP, **fields),))


def targeted(*others, **fields):
    return grouped(targets=(replace(TARGET, **fields), *others))


PRIMARY = Consistency.PRIMARY
OTHER_KEY = replace(KEY, organisation="o2", digest="b" * 64)
FAULTS = {
    "version-not-positive": replace(ROUTED, version=0),
    "name-not-usable": replace(ROUTED, unusable_names=(ROOT,)),
    "empty-key": replace(ROUTED, empty_keys=(ROOT,)),
    "duplicate-name": replace(ROUTED, routes=(replace(ROUTE), ROUTE)),
    "rate-not-positive": limited(rate=0.0),
    "rate-too-high": limited(rate=5001.0),
    "burst-below-one": limited(burst=0.5),
    "plan-not-bought": replace(LISTS, limits=(LIMITS, replace(LIMITS, name="tin"))),
    "unknown-plan": replace(LISTS, limits=()),
    "organisation-without-key": replace(LISTS, keys=(replace(KEY, withdrawn=True),)),
    "organisation-without-route": grouped(
        organisations=frozenset(), open_statements=frozenset({"ping"})
    ),
    "same-key": replace(LISTS, keys=(replace(KEY, organisation="o2"), KEY)),
    "organisation-without-plan": replace(LISTS, keys=(KEY, OTHER_KEY)),
    "group-without-callers": replace(
        LISTS, groups=(GROUP, DeclaredGroup("h", ROOT, 9, (), frozenset()))
    ),
    "group-without-route": replace(
        ROUTED, groups=(SERVICE, replace(SERVICE, name="h"))
    ),
    "connections-not-positive": replace(
        ROUTED, groups=(replace(SERVICE, connections=0),)
    ),
    "connections-below-organisations": replace(
        LISTS,
        organisations=(ORGANISATION, replace(ORGANISATION, name="o2")),
        keys=(KEY, OTHER_KEY),
        groups=(replace(GROUP, connections=1, organisations=frozenset({"o1", "o2"})),),
    ),
    "connections-below-slots": targeted(connections=4),
    "target-twice": targeted(replace(TARGET, address="10.0.0.2:1")),
    "address-twice": targeted(replace(TARGET, name="t2")),
    "unknown-group": replace(
        ROUTED, routes=(ROUTE, replace(ROUTE, name="e", group="h"))
    ),
    "age-ignored": routed(consistency=PRIMARY),
    "age-below-lag": routed(max_age_s=0.4),
    "timeout-not-positive": routed(timeout_s=0.0),
    "timeout-below-goal": routed(timeout_s=0.4, consistency=Consistency.BOUNDED),
    "goal-negative": routed(latency_goal_s=-1.0),
    "home-regions-apart": limited(
        routed(home_regions=("r1", "r2")), home_regions=("r3",)
    ),
    "cold-rate-negative": replace(ROUTED, groups=(replace(SERVICE, cold_rate=-1.0),)),
    "cold-time-missing": replace(ROUTED, groups=(replace(SERVICE, cold_rate=2.0),)),
    "idle-not-positive": replace(ROUTED, tx_idle_s=0.0),
    "idle-below-goal": routed(latency_goal_s=2.5),
    "idle-above-timeout": routed(timeout_s=1.5),
}


class TestFaults:
    @pytest.mark.parametrize("cfg", [LISTS, ROUTED, DeclaredConfig()])
    def test_nothing_is_found_in_a_sound_configuration(self, cfg):
        assert check(cfg) == []

    @pytest.mark.parametrize("code", FAULTS)
    def test_a_fault_is_found_alone(self, code):
        assert [finding.code for finding in check(FAULTS[code])] == [code]

    def test_home_regions_in_common_are_no_fault(self):
        cfg = limited(routed(home_regions=("r1",)), home_regions=("r1", "r2"))
        assert check(cfg) == []

    def test_a_finding_says_where_and_how_serious_it_is(self):
        place = replace(LIMITS.place, aliases={"burst": "most"})
        (finding,) = check(limited(burst=0.5, place=place))
        assert finding.place.path == ("plans", "gold", "most")
        assert finding.place.text == "plans.gold.most"
        assert finding.severity is Severity.ERROR

    def test_a_group_that_lists_an_organisation_without_a_plan_is_found(self):
        cfg = grouped(organisations=frozenset({"o1", "o7"}))
        (finding,) = check(cfg)
        assert finding.code == "organisation-without-plan"
        assert "o7" in finding.message

    def test_a_key_is_never_shown_whole(self):
        messages = [finding.message for finding in check(FAULTS["same-key"])]
        assert "aaaaaaaaaaaa " in messages[0]
        assert "a" * 13 not in messages[0]


class TestBounds:
    def test_the_rate_is_not_judged_where_replicas_are_not_counted(self):
        assert check(limited(ROUTED, rate=1e6)) == []
        cfg = limited(routed(consistency=PRIMARY, max_age_s=0.0), rate=9001.0)
        assert [finding.code for finding in check(cfg)] == ["rate-too-high"]

    def test_huge_numbers_raise_no_error(self):
        """Integers beyond the range of floats can't be divided or formatted."""
        huge = 10**400
        target = replace(TARGET, slots=huge, connections=huge)
        cfg = replace(
            ROUTED, version=-huge, groups=(replace(GROUP, targets=(target,)),)
        )
        assert "a huge number" in check(cfg)[0].message

    def test_the_usual_lag_follows_from_how_positions_are_polled(self):
        """A faster poll must lower the bound, or the check warns without a reason."""
        polled = 2 * primary_positions.POLL_INTERVAL_S
        assert polled + primary_positions.AGE_MARGIN_S == pytest.approx(USUAL_LAG_S)
