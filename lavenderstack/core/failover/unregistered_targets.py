"""Which targets may live on without a registration, and go on receiving log entries.

The platform removes the report of a target that is silent for some heartbeats. It may
be behind a partition and come back before it has reported again: the primary reaches it
at once, and commits through it. Such a replica isn't paused when another one takes
over. A run of a target has ended for certain once its name is registered with another
run, or its address with another target; one that announced its end counts as ended too,
so that a planned replacement of targets costs no later failover anything.
"""

from collections import defaultdict

from lavenderstack.core.catalog import TargetState
from lavenderstack.core.failover.replica_set import TargetRun

# Runs remembered of a group; the one that left first is forgotten first.
MAX_UNREGISTERED = 20


class UnregisteredTargets:
    """The targets of each group whose registration ended, as one node knows them."""

    def __init__(self) -> None:
        self._by_group: dict[str, dict[TargetRun, TargetState]] = defaultdict(dict)

    def left(self, state: TargetState) -> None:
        """Record that the registration of a target's run ended.

        One that had announced its end has left as planned.
        """
        if state.leaving:
            return
        runs = self._by_group[state.group]
        runs[state.run] = state
        if len(runs) > MAX_UNREGISTERED:
            del runs[next(iter(runs))]

    def registered(self, state: TargetState) -> None:
        """Record a registration: it ends earlier runs of its name and its address."""
        for runs in self._by_group.values():
            ended = [run for run, one in runs.items() if _is_replaced(one, state)]
            for run in ended:
                del runs[run]

    def of(self, group: str, primary: str) -> frozenset[TargetRun]:
        """Return the runs of a group that may live on, without those of the primary."""
        runs = self._by_group.get(group, {})
        return frozenset(run for run in runs if run.name != primary)


def _is_replaced(earlier: TargetState, later: TargetState) -> bool:
    before, after = earlier.target, later.target
    same_address = (before.host, before.port) == (after.host, after.port)
    return before.name == after.name or same_address
