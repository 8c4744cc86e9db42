"""Sizes of services on loopback, small variants of the sizes that users run."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Size:
    """The size of a service; ``groups`` maps a group to the zones of its targets.

    ``slots`` and ``connections`` are limits of each target, ``open_ms`` is the time to
    open a connection. ``node_zones`` has the zone of each node; if it is empty, each
    zone has one node. ``rate`` (operations per second) and ``burst`` (operations) are
    the plan of every organisation.
    """

    zones: tuple[str, ...]
    groups: dict[str, tuple[str, ...]]
    slots: int
    connections: int
    open_ms: float
    node_zones: tuple[str, ...] = ()
    organisations: tuple[str, ...] = ("north", "south")
    rate: float = 2000.0
    burst: float = 500.0

    def nodes(self) -> list[tuple[str, str]]:
        """Return the names of the nodes with their zones."""
        zones = self.node_zones or self.zones
        return [(f"n{i + 1}", zone) for i, zone in enumerate(zones)]

    def targets(self) -> list[tuple[str, str, str]]:
        """Return the names of the targets with their groups and zones."""
        return [
            (f"{group}-{i + 1}", group, zone)
            for group, zones in self.groups.items()
            for i, zone in enumerate(zones)
        ]


STUDIO_SIZE = Size(
    zones=("lj-1", "lj-2", "lj-3", "lj-4"),
    groups={"studio": ("lj-1", "lj-2", "lj-3")},
    slots=5,
    connections=30,
    open_ms=10.0,
)
FLEET_SIZE = Size(
    zones=("ko-1", "ko-2", "ko-3"),
    groups={"fleet": ("ko-1", "ko-2", "ko-3")},
    slots=3,
    connections=40,
    open_ms=30.0,
)
DEMO_SIZE = Size(
    zones=("east", "middle", "west"),
    groups={
        "studio": ("east", "middle", "west"),
        "fleet": ("middle", "west", "east"),
    },
    slots=5,
    connections=30,
    open_ms=10.0,
    node_zones=("east", "middle", "west", "east"),
)
