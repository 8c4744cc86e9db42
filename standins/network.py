"""Simulates a network between zones, on loopback, that tests can partition.

Every process listens behind a link. The link finds the zone of a connection by its
source port: the kernel names the socket's inode, and the child process that has it
open is in a known zone. So the same address can be reachable from one zone and cut
off from another.
"""

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from standins.link import Link, NetworkPath, open_link
from standins.sockets import has_socket_open, socket_inode

OUTSIDE_ZONE = "outside"


@dataclass(frozen=True)
class DirectAddress:
    """The address of a process without a link in front, for measurements."""

    port: int


class Network:
    """The paths between zones; ``zones`` maps the id of a process to its zone.

    With ``linked=False`` there are no links: nothing can be cut, and measurements
    don't include the cost of forwarding.
    """

    def __init__(self, linked: bool = True) -> None:
        self.linked = linked
        self.zones: dict[int, str] = {}
        self.links: dict[str, Link | DirectAddress] = {}
        self._paths: dict[tuple[str, str], NetworkPath] = {}

    def path(self, source: str, destination: str) -> NetworkPath:
        """Return the path from one zone to another."""
        return self._paths.setdefault((source, destination), NetworkPath())

    def _source_zone(self, port: int, remote_port: int) -> str:
        inode = socket_inode(port, remote_port)
        if inode is None:
            return OUTSIDE_ZONE
        zones = (
            zone for pid, zone in self.zones.items() if has_socket_open(pid, inode)
        )
        return next(zones, OUTSIDE_ZONE)

    @asynccontextmanager
    async def listen(
        self, name: str, zone: str, port: int
    ) -> AsyncIterator[Link | DirectAddress]:
        """Put a link in front of a process in a zone."""

        def path_for(source_port: int) -> NetworkPath:
            source = self._source_zone(source_port, self.links[name].port)
            return self.path(source, zone)

        if not self.linked:
            self.links[name] = DirectAddress(port)
            yield self.links[name]
            return
        async with open_link("127.0.0.1", port, path_for) as link:
            self.links[name] = link
            yield link

    def isolate(self, zone: str, others: Iterable[str]) -> None:
        """Cut a zone off from others in both directions.

        Processes without a zone, such as the test itself, still reach it.
        """
        for other in others:
            self.path(zone, other).cut()
            self.path(other, zone).cut()

    def heal(self) -> None:
        """Restore all paths."""
        for path in self._paths.values():
            path.heal()
