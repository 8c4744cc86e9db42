"""Home regions: outside of them, no statement of a route or an organisation may go.

A route and an organisation may each name regions. Then its statements go only to
targets there, and on their way only through nodes there, apart from the entry node that
the caller is connected to. Where both name some, a region must be in both. A zone whose
region isn't known is outside.
"""

from collections.abc import Collection, Mapping

from lavenderstack.core.catalog import Catalog, Route, TargetState
from lavenderstack.core.evacuation.evacuation import Use

# Told to callers: the refusal ends when a primary moves or the catalog changes.
OUTSIDE_RETRY_S = 1.0

Regions = frozenset[str]


def home_regions(catalog: Catalog, route: Route, organisation: str) -> Regions | None:
    """Return the regions in which statements must stay, None if they may go anywhere.

    ``organisation`` is empty for a caller without a key.
    """
    plan = catalog.plans.get(organisation)
    of_plan = plan.home_regions if plan is not None else ()
    if not route.home_regions and not of_plan:
        return None
    if not route.home_regions or not of_plan:
        return frozenset(route.home_regions or of_plan)
    return frozenset(route.home_regions) & frozenset(of_plan)


def is_inside(zone: str, homes: Regions | None, regions: Mapping[str, str]) -> bool:
    """Return whether a zone is in the home regions; ``regions`` maps zones to regions.

    >>> is_inside("z1", frozenset({"r1"}), {"z1": "r1", "z2": "r2"})
    True
    """
    return homes is None or regions.get(zone) in homes


def obstacle(
    targets: Collection[TargetState],
    primary: TargetState | None,
    homes: Regions | None,
    regions: Mapping[str, str],
    use: Use,
) -> str:
    """Return why no target of a group may run a statement, empty if one may.

    ``primary`` is the group's primary, None if it is unknown. A group of which nothing
    is known is not refused for its regions.
    """
    if homes is None or not targets:
        return ""
    if not any(is_inside(one.target.zone, homes, regions) for one in targets):
        return "no target in the home regions"
    if use is Use.READ or primary is None:
        return ""
    if is_inside(primary.target.zone, homes, regions):
        return ""
    return "the primary is outside of the home regions"
