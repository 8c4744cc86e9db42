"""The newest plan of an organisation that a quota coordinator has heard of.

The coordinator and the nodes that draw from it read the operators' catalog at different
moments, and a coordinator may be the last to get a version. It would then hand out
tokens by a plan that is no longer in force, or without a limit if it doesn't know the
organisation. So a node sends its plan and the version of its catalog with each draw.
"""

from dataclasses import dataclass, field

from lavenderstack.core.view import Plan


@dataclass(frozen=True, slots=True)
class VersionedPlan:
    """An organisation's plan in a catalog of ``version``, None if it has none there."""

    version: int
    plan: Plan | None


@dataclass(slots=True)
class NewestPlans:
    """Plans of catalogs that are newer than the coordinator's, by organisation."""

    _ahead: dict[str, VersionedPlan] = field(default_factory=dict)

    def newest(
        self, organisation: str, own: VersionedPlan, sent: VersionedPlan
    ) -> Plan | None:
        """Return the plan of the newest catalog, None if it has none.

        ``own`` is from the coordinator's catalog, ``sent`` from that of the node that
        draws; its version is 0 if the node didn't say.

        >>> low, high = Plan("org", 1.0, 1.0), Plan("org", 9.0, 9.0)
        >>> plans, own = NewestPlans(), VersionedPlan(3, high)
        >>> plans.newest("org", own, VersionedPlan(4, low)).rate
        1.0
        >>> plans.newest("org", own, VersionedPlan(2, high)).rate
        1.0
        """
        known = max(
            own, sent, self._ahead.get(organisation, own), key=lambda one: one.version
        )
        if known.version > own.version:
            self._ahead[organisation] = known
        else:
            self._ahead.pop(organisation, None)
        return known.plan
