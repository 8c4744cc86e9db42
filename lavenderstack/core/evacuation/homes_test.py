"""Tests of which home regions apply to a statement."""

import pytest

from lavenderstack.core.catalog import Catalog, Consistency, Route
from lavenderstack.core.evacuation import homes
from lavenderstack.core.view import Plan


class TestHomeRegions:
    # Regions that exclude each other leave none, which isn't "no limit".
    @pytest.mark.parametrize(
        ("of_route", "of_plan", "expected"),
        [("", "", None), ("ab", "", {*"ab"}), ("", "a", {"a"}), ("a", "b", set())],
    )
    def test_those_of_the_route_and_the_organisation_both_apply(
        self, of_route, of_plan, expected
    ):
        regions = tuple(of_route)
        route = Route("d", "g", Consistency.BOUNDED, 1, 1, 1, home_regions=regions)
        plan = Plan("org", 1, 1, home_regions=tuple(of_plan))
        found = homes.home_regions(Catalog(plans={"org": plan}), route, "org")
        assert found == expected
