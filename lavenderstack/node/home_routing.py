"""Applies home regions and cold targets at an entry node, to targets and holders.

``core/evacuation/homes.py`` and ``core/targets/cold_start.py`` explain the rules.
"""

from collections.abc import Sequence

from lavenderstack.core import clock
from lavenderstack.core.catalog import Route, TargetState
from lavenderstack.core.evacuation.evacuation import Use
from lavenderstack.core.evacuation.homes import (
    OUTSIDE_RETRY_S,
    Regions,
    home_regions,
    is_inside,
    obstacle,
)
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.rendezvous import rank
from lavenderstack.core.view import Target, Vm
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.evacuation.evacuation_refusals import (
    EVACUATED_RETRY_S,
    evacuated,
)
from lavenderstack.node.peers import Peers


def homes_of(directory: Directory, route: Route, organisation: str) -> Regions | None:
    """Return the regions in which statements must stay, None if there are none."""
    return home_regions(directory.catalog, route, organisation)


def refusal_outside(
    directory: Directory,
    counters: Counters,
    route: Route,
    organisation: str,
    use: Use,
) -> Failed | None:
    """Return why no target in the home regions can run a statement, or None."""
    homes = homes_of(directory, route, organisation)
    if homes is None:
        return None
    targets = directory.group(route.group)
    primary = directory.primary(route.group)
    detail = obstacle(targets, primary, homes, directory.regions, use)
    if detail:
        counters.homes_refusals.inc()
        return outside(detail)
    inside = [one.target.zone for one in targets if _is_home(directory, one, homes)]
    if use is Use.READ and inside and all(map(directory.is_evacuated, inside)):
        counters.evacuation_refusals.labels("entry").inc()
        return evacuated("as are the home regions", EVACUATED_RETRY_S)
    return None


def outside(detail: str) -> Failed:
    """Return the refusal of a statement that would leave the home regions."""
    return Failed(
        run=False,
        reason=Reason.OUTSIDE_HOMES,
        detail=detail,
        retry_after_s=OUTSIDE_RETRY_S,
    )


def _is_home(directory: Directory, state: TargetState, homes: Regions | None) -> bool:
    return is_inside(state.target.zone, homes, directory.regions)


def in_homes(
    directory: Directory, states: Sequence[TargetState], homes: Regions | None
) -> list[TargetState]:
    """Return the targets in the home regions."""
    return [state for state in states if _is_home(directory, state, homes)]


def holders(
    directory: Directory,
    peers: Peers,
    state: TargetState,
    homes: Regions | None,
    count: int,
) -> list[Vm]:
    """Return up to ``count`` nodes through which a target may be reached, best first.

    A cold target is reached through its first choice alone, since others refuse. Nodes
    outside of the home regions are left out, but for this one.
    """
    target = state.target
    if directory.is_cold(state, clock.now()):
        first = peers.first_choice(target)
        found = [first] if first is not None else []
    else:
        found = peers.holders(target)
    if homes is not None:
        found = _at_home(directory, found, homes) or _others_at_home(
            directory, target, homes
        )
    return found[:count]


def _at_home(directory: Directory, vms: Sequence[Vm], homes: Regions) -> list[Vm]:
    return [
        vm
        for vm in vms
        if vm.name == directory.name or is_inside(vm.zone, homes, directory.regions)
    ]


def _others_at_home(directory: Directory, target: Target, homes: Regions) -> list[Vm]:
    """Return the nodes to use if all that the ring proposes are outside."""
    vms = directory.view.entry_vms()
    inside = [vm for vm in vms if is_inside(vm.zone, homes, directory.regions)]
    names = rank(f"target/{target.name}", (vm.name for vm in inside))
    own = directory.view.vms.get(directory.name)
    if not names:
        return [own] if own is not None else []
    return [directory.view.vms[name] for name in names]


def transaction_obstacle(
    directory: Directory, homes: Regions | None, node: Vm, target: str
) -> Failed | None:
    """Return why a statement may not be sent to an open transaction, or None.

    The catalog may have changed since the transaction was opened.
    """
    if homes is None:
        return None
    state = directory.targets.get(target)
    if state is not None and not _is_home(directory, state, homes):
        return outside("the transaction's target is outside of the home regions")
    if not _at_home(directory, [node], homes):
        return outside("the transaction's node is outside of the home regions")
    return None
