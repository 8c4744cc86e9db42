"""The tree along which nodes ask each other for changes.

In each availability zone the nodes are ranked by rendezvous hashing. The first two are
the zone's store readers: they follow the store and exchange changes with the store
readers of the other zones. Every other node asks one parent, so that the store's load
doesn't grow with the fleet and no node answers more than a few others. If the parent
fails, the node tries the next candidate on its list; the last resort is the store
readers of other zones.
"""

from dataclasses import dataclass

from lavenderstack.core.rendezvous import rank
from lavenderstack.core.view import View, Vm

# Store readers of each zone.
READERS = 2
# Nodes that ask one parent.
CHILDREN = 4
FALLBACK_PARENTS = 3
# Multiples of the golden ratio, modulo 1, are spread evenly over the candidates.
SPREAD_FACTOR = (5**0.5 - 1) / 2


@dataclass(frozen=True, slots=True)
class Link:
    """One upward link: the nodes to ask, the best first.

    ``label`` identifies it among the node's links. ``zone`` is set if the answers count
    as reports of that zone's store reader.
    """

    label: str
    candidates: tuple[Vm, ...]
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Tree:
    """A node's links, the store readers of its own zone, and all zones."""

    links: tuple[Link, ...]
    readers: tuple[Vm, ...]
    zones: tuple[str, ...]


def tree(view: View, name: str, zone: str) -> Tree:
    """Return a node's links and its zone's store readers, from the platform's list."""
    found_links = links(view, name, zone)
    return Tree(found_links, tuple(readers(view, zone)), tuple(zones(view)))


def ranked(view: View, zone: str) -> list[Vm]:
    """Return the live entry VMs of a zone by rank."""
    vms = {vm.name: vm for vm in view.entry_vms() if vm.zone == zone}
    return [vms[name] for name in rank(f"relay/{zone}", vms)]


def zones(view: View) -> list[str]:
    """Return the zones that have live entry VMs."""
    return sorted({vm.zone for vm in view.entry_vms()})


def readers(view: View, zone: str) -> list[Vm]:
    """Return the store readers of a zone."""
    return ranked(view, zone)[:READERS]


def _parent_index(rank_of_node: int) -> int:
    return (rank_of_node - READERS) // CHILDREN


def _spread(vms: list[Vm], rank_of_node: int) -> list[Vm]:
    """Return a few of the nodes, different ones for each rank.

    Nodes that lose their parents at the same time must not all ask the same one.
    """
    start = int(rank_of_node * SPREAD_FACTOR % 1 * len(vms))
    return [
        vms[(start + offset) % len(vms)]
        for offset in range(min(FALLBACK_PARENTS, len(vms)))
    ]


def _other_zones_readers(view: View, zone: str, offset: int) -> list[Vm]:
    other_readers = [vm for z in zones(view) if z != zone for vm in readers(view, z)]
    offset = offset % len(other_readers) if other_readers else 0
    return other_readers[offset:] + other_readers[:offset]


def links(view: View, name: str, zone: str) -> tuple[Link, ...]:
    """Return the links that a node keeps; empty if it knows no other node.

    A store reader keeps one to the other store reader of its zone and one to each other
    zone. A node that isn't listed yet is ranked after the last.
    """
    order = ranked(view, zone)
    names = [vm.name for vm in order]
    rank_of_node = names.index(name) if name in names else len(names)
    if rank_of_node < READERS and name in names:
        return _reader_links(view, zone, order, rank_of_node)
    parent = (
        order[_parent_index(rank_of_node)]
        if order and rank_of_node >= READERS
        else None
    )
    own_readers = [vm for vm in order[:READERS] if vm != parent]
    fallbacks = [
        vm for vm in _spread(order[READERS:rank_of_node], rank_of_node) if vm != parent
    ]
    other_readers = _other_zones_readers(view, zone, rank_of_node)
    candidates = [
        *([parent] if parent else []),
        *fallbacks,
        *own_readers,
        *other_readers,
    ]
    return (Link("parent", tuple(candidates)),) if candidates else ()


def _reader_links(
    view: View, zone: str, order: list[Vm], rank_of_node: int
) -> tuple[Link, ...]:
    other_reader = tuple(vm for vm in order[:READERS] if vm != order[rank_of_node])
    found_links = [Link("other_reader", other_reader)] if other_reader else []
    for other in zones(view):
        if other == zone:
            continue
        zone_readers = readers(view, other)
        offset = rank_of_node % len(zone_readers)
        candidates = tuple(zone_readers[offset:] + zone_readers[:offset])
        found_links.append(Link(f"zone/{other}", candidates, other))
    return tuple(found_links)
