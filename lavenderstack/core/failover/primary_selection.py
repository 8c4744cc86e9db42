"""Selects the primary of a group from target reports that may be late.

A crashed target remains reported as primary until its report is removed, while its
successor reports itself too. The one that became primary at the later revision is the
right one. A target that answered that it is not the primary is ignored until its next
report. A wrong selection costs a refused statement and never a wrong write, because a
target only writes while it is the primary.
"""

from collections.abc import Iterable, Mapping

from lavenderstack.core.catalog import TargetState


def select_primary(
    states: Iterable[TargetState], denied: Mapping[str, int]
) -> TargetState | None:
    """Return the target to use as the primary, or None.

    ``denied`` maps a target that denied being the primary to the revision of the report
    that it contradicted.
    """
    claiming = [
        state
        for state in states
        if state.leads and state.revision > denied.get(state.target.name, -1)
    ]
    return max(claiming, key=lambda state: state.leads_since, default=None)


def leads_since(before: TargetState | None, leads: bool, revision: int) -> int:
    """Return the revision since which a target reports to lead, 0 if it doesn't."""
    if not leads:
        return 0
    if before is not None and before.leads:
        return before.leads_since
    return revision
