"""Tests of the comparison: each difference is reported, with who is affected."""

from dataclasses import replace

import pytest

from lavenderstack.core.catalog import Consistency
from lavenderstack.core.config.config_check_test import (
    GROUP,
    KEY,
    LIMITS,
    LISTS,
    ORGANISATION,
    ROUTE,
    ROUTED,
    SERVICE,
    TARGET,
    grouped,
    limited,
    routed,
    targeted,
)
from lavenderstack.core.config.config_diff import compare
from lavenderstack.core.config.declared_config import Severity

ERROR, WARNING, INFO = Severity.ERROR, Severity.WARNING, Severity.INFO
FINAL = replace(LISTS, withdrawal_is_final=True)
WITHDRAWN = replace(FINAL, keys=(replace(KEY, withdrawn=True),))
SILVER = replace(LIMITS, name="silver", rate=9.0)
TWO_PLANS = replace(LISTS, limits=(LIMITS, SILVER))
ON_SILVER = replace(TWO_PLANS, organisations=(replace(ORGANISATION, plan="silver"),))
WITH_H = replace(LISTS, groups=(GROUP, replace(GROUP, name="h")))
OPEN = grouped(open_statements=frozenset({"ping"}))
THREE = targeted(*(replace(TARGET, name=name) for name in ("t2", "t3")))
PUBLIC = routed(public=True)
SERVED = replace(ROUTED, groups=(replace(SERVICE, connections=8),))
COLD = replace(ROUTED, groups=(replace(SERVICE, cold_rate=2.0, cold_s=5.0),))
LONGER = replace(ROUTED, groups=(replace(SERVICE, cold_rate=2.0, cold_s=6.0),))
UNSAFE = replace(ROUTED, groups=(replace(SERVICE, replicated=False),))
READ = replace(LISTS, revisions={"plans": 7})
PLANS_ONLY = replace(LISTS, organisations=None)
BOUGHT_ONLY = replace(ON_SILVER, limits=None)
NO_KEYS = replace(LISTS, keys=())
TWO_ROUTES = replace(ROUTED, routes=(ROUTE, replace(ROUTE, name="db2")))

# The code and severity of the change from one to the other, and then the way back.
CHANGES = [
    (LISTS, NO_KEYS, "key-stops", WARNING, "key-added", INFO),
    (FINAL, WITHDRAWN, "key-stops", WARNING, "key-granted-again", ERROR),
    (
        LISTS,
        replace(LISTS, keys=(replace(KEY, organisation="o2"),)),
        "key-moves",
        WARNING,
        "key-moves",
        WARNING,
    ),
    (
        LISTS,
        replace(LISTS, organisations=()),
        "organisation-removed",
        WARNING,
        "organisation-added",
        INFO,
    ),
    (
        TWO_PLANS,
        ON_SILVER,
        "organisation-changes-plan",
        INFO,
        "organisation-changes-plan",
        WARNING,
    ),
    (TWO_PLANS, LISTS, "plan-removed", INFO, "plan-added", INFO),
    (TWO_PLANS, replace(LISTS, limits=(SILVER,)), "plan-removed", WARNING, "", INFO),
    (LISTS, replace(PLANS_ONLY, limits=()), "plan-still-bought", ERROR, "", INFO),
    (LISTS, BOUGHT_ONLY, "plan-not-in-force", ERROR, "", INFO),
    (LISTS, limited(burst=5.0), "limit-lowered", WARNING, "limit-raised", INFO),
    (WITH_H, LISTS, "group-removed", WARNING, "group-added", INFO),
    (
        LISTS,
        grouped(organisations=frozenset()),
        "group-denied",
        WARNING,
        "group-allowed",
        INFO,
    ),
    (OPEN, LISTS, "statement-closed", WARNING, "statement-opened", WARNING),
    (
        targeted(replace(TARGET, name="t2")),
        LISTS,
        "targets-changed",
        INFO,
        "targets-changed",
        INFO,
    ),
    (LISTS, targeted(zone="y"), "target-moved", INFO, "target-moved", INFO),
    (LISTS, targeted(slots=4), "target-lowered", WARNING, "target-raised", INFO),
    (ROUTED, SERVED, "connections-lowered", WARNING, "connections-raised", INFO),
    (ROUTED, UNSAFE, "commits-not-replicated", WARNING, "commits-replicated", INFO),
    (ROUTED, COLD, "cold-limit-changed", WARNING, "cold-limit-changed", INFO),
    (COLD, LONGER, "cold-time-changed", INFO, "cold-time-changed", INFO),
    (
        ROUTED,
        routed(home_regions=("r1",)),
        "home-regions-changed",
        WARNING,
        "home-regions-changed",
        WARNING,
    ),
    (
        ROUTED,
        limited(ROUTED, home_regions=("r1",)),
        "home-regions-changed",
        WARNING,
        "home-regions-changed",
        WARNING,
    ),
    (TWO_ROUTES, ROUTED, "route-removed", WARNING, "route-added", INFO),
    (ROUTED, routed(group="h"), "route-moved", WARNING, "route-moved", WARNING),
    (
        ROUTED,
        routed(consistency=Consistency.BOUNDED),
        "consistency-changed",
        WARNING,
        "consistency-changed",
        INFO,
    ),
    (ROUTED, PUBLIC, "public-changed", WARNING, "public-changed", WARNING),
    (ROUTED, routed(timeout_s=3.0), "route-changed", WARNING, "route-changed", INFO),
    (ROUTED, routed(max_age_s=2.0), "route-changed", WARNING, "route-changed", INFO),
    (
        ROUTED,
        replace(ROUTED, tx_idle_s=1.0),
        "idle-changed",
        WARNING,
        "idle-changed",
        INFO,
    ),
]


def newer(cfg):
    """Raise the version, so that only the content is reported."""
    return replace(cfg, version=None if cfg.version is None else cfg.version + 1)


def codes(old, new):
    return [(finding.code, finding.severity) for finding in compare(old, new)]


class TestDifferences:
    @pytest.mark.parametrize(("old", "new", "code", "severity", "_", "__"), CHANGES)
    def test_a_change_is_reported(self, old, new, code, severity, _, __):
        found = codes(old, newer(new))
        assert (code, severity) in found or not code

    @pytest.mark.parametrize(("new", "old", "_", "__", "code", "severity"), CHANGES)
    def test_the_way_back_is_reported(self, old, new, code, severity, _, __):
        """What one way takes away, the other gives; they must not be mixed up."""
        assert (code, severity) in codes(old, newer(new)) or not code

    @pytest.mark.parametrize("cfg", [LISTS, ROUTED, OPEN])
    def test_the_same_configuration_has_no_difference(self, cfg):
        assert compare(cfg, newer(cfg)) == []

    def test_several_targets_changed_at_once_are_a_warning(self):
        assert ("targets-changed-together", WARNING) in codes(THREE, LISTS)

    @pytest.mark.parametrize(
        ("old", "new", "message"),
        [
            (LISTS, limited(rate=2.0), "rate from 5 to 2 requests/s. Affected: o1."),
            (LISTS, limited(PLANS_ONLY, rate=2.0), "Affected: o1."),
            (WITH_H, LISTS, "The group h is removed. Affected: o1."),
            (ON_SILVER, TWO_PLANS, "silver to gold, rate from 9 to 5 requests/s."),
            (LISTS, NO_KEYS, "The key aaaaaaaaaaaa of o1 is removed"),
        ],
    )
    def test_the_message_names_who_is_affected(self, old, new, message):
        assert any(message in finding.message for finding in compare(old, new))

    def test_a_list_that_is_not_given_is_not_compared(self):
        """A file with the plans alone doesn't withdraw keys or remove groups."""
        assert compare(LISTS, replace(PLANS_ONLY, keys=None, groups=None)) == []


class TestVersions:
    @pytest.mark.parametrize(
        ("version", "code"), [(2, "version-goes-back"), (3, "version-not-raised")]
    )
    def test_a_version_that_nodes_would_ignore_is_an_error(self, version, code):
        new = replace(limited(ROUTED, rate=4.0), version=version)
        assert codes(ROUTED, new)[0] == (code, ERROR)

    def test_a_list_read_before_the_last_change_is_an_error(self):
        older = replace(LISTS, revisions={"plans": 6})
        assert codes(READ, older) == [("revision-goes-back", ERROR)]
        assert codes(older, READ) == []
