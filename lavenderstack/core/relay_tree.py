"""Who asks whom for changes.

In each availability zone the nodes are ranked by rendezvous hashing. The first two
are its readers: they follow the store, and talk to the readers of the other zones.
Every other node asks one parent, so that the store's load doesn't grow with the
fleet and no node answers more than a few. A node whose parent fails it goes on to
the next on its list; the last resort is the readers of other zones.
"""

from dataclasses import dataclass

from lavenderstack.core.rendezvous import rank
from lavenderstack.core.view import View, Vm

READERS = 2
CHILDREN = 4
UNCLES = 3
SPREAD = (5**0.5 - 1) / 2


@dataclass(frozen=True, slots=True)
class Link:
    """One upward link: the nodes to ask, the best first.

    ``zone`` is set if the answers count as the statement of that zone's reader.
    """

    label: str
    candidates: tuple[Vm, ...]
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Tree:
    """A node's place: its links, the readers of its own zone, and all zones."""

    links: tuple[Link, ...]
    readers: tuple[Vm, ...]
    zones: tuple[str, ...]


def tree(view: View, name: str, zone: str) -> Tree:
    """Return the place of a node among the VMs on the platform's list."""
    found = links(view, name, zone)
    return Tree(found, tuple(readers(view, zone)), tuple(zones(view)))


def ranked(view: View, zone: str) -> list[Vm]:
    """Return the live entry VMs of a zone by rank."""
    vms = {vm.name: vm for vm in view.entry_vms() if vm.zone == zone}
    return [vms[name] for name in rank(f"relay/{zone}", vms)]


def zones(view: View) -> list[str]:
    """Return the zones that have live entry VMs."""
    return sorted({vm.zone for vm in view.entry_vms()})


def readers(view: View, zone: str) -> list[Vm]:
    """Return the readers of a zone."""
    return ranked(view, zone)[:READERS]


def _parent(place: int) -> int:
    return (place - READERS) // CHILDREN


def _spread(vms: list[Vm], place: int) -> list[Vm]:
    """Return a few of the nodes, others for each place.

    Nodes that lose their parents at the same time must not all ask the same one.
    """
    start = int(place * SPREAD % 1 * len(vms))
    return [vms[(start + turn) % len(vms)] for turn in range(min(UNCLES, len(vms)))]


def _far_readers(view: View, zone: str, turn: int) -> list[Vm]:
    far = [vm for z in zones(view) if z != zone for vm in readers(view, z)]
    turn = turn % len(far) if far else 0
    return far[turn:] + far[:turn]


def links(view: View, name: str, zone: str) -> tuple[Link, ...]:
    """Return the links that a node keeps; empty if it knows no other node.

    A reader keeps one to the other reader and one to each other zone. A node that
    isn't on the list yet takes a place after the last.
    """
    order = ranked(view, zone)
    names = [vm.name for vm in order]
    place = names.index(name) if name in names else len(names)
    if place < READERS and name in names:
        return _reader_links(view, zone, order, place)
    first = order[_parent(place)] if order and place >= READERS else None
    near = [vm for vm in order[:READERS] if vm != first]
    uncles = [vm for vm in _spread(order[READERS:place], place) if vm != first]
    far = _far_readers(view, zone, place)
    candidates = [*([first] if first else []), *uncles, *near, *far]
    return (Link("parent", tuple(candidates)),) if candidates else ()


def _reader_links(
    view: View, zone: str, order: list[Vm], place: int
) -> tuple[Link, ...]:
    twin = tuple(vm for vm in order[:READERS] if vm != order[place])
    found = [Link("twin", twin)] if twin else []
    for other in zones(view):
        if other == zone:
            continue
        there = readers(view, other)
        turn = place % len(there)
        candidates = tuple(there[turn:] + there[:turn])
        found.append(Link(f"zone/{other}", candidates, other))
    return tuple(found)
