"""A network between zones, on loopback, that tests can cut.

Every process listens behind a link. A connection is told apart by the process that
opened it: its port leads to a socket, the socket to one of the children. So one
address may pass for a neighbour and be cut for the rest, as in a partition.
"""

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from standins.link import Link, NetworkPath, open_link
from standins.sockets import holds, inode_of

OUTSIDE = "outside"


@dataclass(frozen=True)
class Direct:
    """Stands where a link would, for measurements: callers reach the process itself."""

    port: int


class Network:
    """The ways between zones; ``zones`` maps the id of a process to its zone.

    If it is not ``linked``, nothing stands between the processes and nothing can be
    cut; so the links' own work is in no measurement.
    """

    def __init__(self, linked: bool = True) -> None:
        self.linked = linked
        self.zones: dict[int, str] = {}
        self.links: dict[str, Link | Direct] = {}
        self._ways: dict[tuple[str, str], NetworkPath] = {}

    def path(self, source: str, destination: str) -> NetworkPath:
        """Return the way from one zone to another."""
        return self._ways.setdefault((source, destination), NetworkPath())

    def _zone_behind(self, port: int, far_port: int) -> str:
        inode = inode_of(port, far_port)
        if inode is None:
            return OUTSIDE
        holders = (zone for pid, zone in self.zones.items() if holds(pid, inode))
        return next(holders, OUTSIDE)

    @asynccontextmanager
    async def listen(
        self, name: str, zone: str, port: int
    ) -> AsyncIterator[Link | Direct]:
        """Put a link in front of a process in a zone."""

        def path_for(source_port: int) -> NetworkPath:
            source = self._zone_behind(source_port, self.links[name].port)
            return self.path(source, zone)

        if not self.linked:
            self.links[name] = Direct(port)
            yield self.links[name]
            return
        async with open_link("127.0.0.1", port, path_for) as link:
            self.links[name] = link
            yield link

    def isolate(self, zone: str, others: Iterable[str]) -> None:
        """Cut a zone off from others, both ways; processes outside reach it still."""
        for other in others:
            self.path(zone, other).cut()
            self.path(other, zone).cut()

    def heal(self) -> None:
        """Let everything through again."""
        for path in self._ways.values():
            path.heal()
