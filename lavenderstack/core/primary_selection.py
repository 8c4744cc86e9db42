"""Which target of a group is taken for its primary, from reports that may be late.

A target that crashed goes on being reported as primary until its report is removed,
while its successor reports itself too. The one whose lead began at the later revision
is right; a target that answered that it doesn't lead is not believed until it reports
anew. Being wrong costs a refused statement, never a wrong one: a target only writes
while it leads.
"""

from collections.abc import Iterable, Mapping

from lavenderstack.core.catalog import TargetState


def select_primary(
    states: Iterable[TargetState], denied: Mapping[str, int]
) -> TargetState | None:
    """Return the target to take for the primary, or None.

    ``denied`` maps a target that said it doesn't lead to the revision of the report
    which it contradicted.
    """
    claiming = [
        state
        for state in states
        if state.leads and state.revision > denied.get(state.target.name, -1)
    ]
    return max(claiming, key=lambda state: state.leads_since, default=None)


def leads_since(before: TargetState | None, leads: bool, revision: int) -> int:
    """Return since which revision a target says that it leads, 0 if it doesn't."""
    if not leads:
        return 0
    if before is not None and before.leads:
        return before.leads_since
    return revision
