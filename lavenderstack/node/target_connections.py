"""The connections that this node holds to one target.

A connection speaks for one organisation and carries what statements left on it: values
and prepared names. It is lent to one statement or transaction at a time, to the one
whose needs it meets best, so that few have to be opened or reset.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

import structlog

from lavenderstack.core import clock, connection_share
from lavenderstack.core.outcome import Reason
from lavenderstack.core.view import Target
from lavenderstack.node.backend import Backend, ConnectFailed, Connection

log = structlog.get_logger()

# A new connection waits for a slot of the target, so this is more than a handshake.
CONNECT_TIMEOUT_S = 0.4
RELEASE_WAIT_S = 0.3


@dataclass(slots=True, eq=False)
class Held:
    """An open connection and what it carries."""

    conn: Connection
    organisation: str
    used_at: float
    values: dict[str, str] = field(default_factory=dict)
    prepared: set[str] = field(default_factory=set)


class TargetConnections:
    """The open connections to one target, lent one at a time."""

    def __init__(
        self, backend: Backend, target: Target, group: str, allowed: int
    ) -> None:
        self.target = target
        self.group = group
        self.most = 1
        self.allow(allowed)
        self.opened = 0
        self._backend = backend
        self._idle: list[Held] = []
        self._open: set[Held] = set()
        self._opening = 0
        self._freed = asyncio.Event()

    def allow(self, allowed: int) -> None:
        """Set how many connections the target allows to all nodes together."""
        self.most = connection_share.max_connections(allowed)

    def __len__(self) -> int:
        return len(self._open) + self._opening

    async def lend(
        self, organisation: str, values: Mapping[str, str], fresh: bool = False
    ) -> Held:
        """Return a connection of the organisation; ``fresh`` asks for a new one.

        Raises ``ConnectFailed`` if there is none to be had.
        """
        if not fresh:
            held = self._best(organisation, values)
            if held is not None:
                return held
        if len(self) >= self.most and not self._evict():
            return await self._freed_one(organisation, values)
        return await self._open_one(organisation, values)

    def _best(self, organisation: str, values: Mapping[str, str]) -> Held | None:
        self._drop_closed()
        best = None
        for held in reversed(self._idle):
            if held.organisation != organisation:
                continue
            if held.values == values:
                best = held
                break
            best = best or held
        if best is not None:
            self._idle.remove(best)
        return best

    def _drop_closed(self) -> None:
        for held in [one for one in self._idle if one.conn.closed]:
            self._idle.remove(held)
            self.discard(held)

    def _evict(self) -> bool:
        """Close the connection that has been idle longest; False if none is."""
        if not self._idle:
            return False
        self.discard(self._idle.pop(0))
        return True

    async def _freed_one(self, organisation: str, values: Mapping[str, str]) -> Held:
        """Wait a little for a connection that another statement has in use."""
        until = clock.now() + RELEASE_WAIT_S
        while (left_s := until - clock.now()) > 0:
            self._freed.clear()
            try:
                async with asyncio.timeout(left_s):
                    await self._freed.wait()
            except TimeoutError:
                break
            held = self._best(organisation, values)
            if held is not None:
                return held
            if len(self) < self.most or self._evict():
                return await self._open_one(organisation, values)
        raise ConnectFailed(Reason.NO_CONNECTION, "all connections are in use")

    async def _open_one(self, organisation: str, values: Mapping[str, str]) -> Held:
        self._opening += 1
        try:
            conn = await self._backend.connect(
                self.target, self.group, organisation, CONNECT_TIMEOUT_S
            )
        except ConnectFailed as exc:
            if exc.reason is Reason.NO_CONNECTION and self._evict():
                return await self._open_one(organisation, values)
            raise
        finally:
            self._opening -= 1
        self.opened += 1
        held = Held(conn, organisation, clock.now())
        self._open.add(held)
        return held

    def give_back(self, held: Held) -> None:
        """Take back a connection on which nothing is under way."""
        if held.conn.closed:
            self.discard(held)
            return
        held.used_at = clock.now()
        self._idle.append(held)
        self._freed.set()

    def discard(self, held: Held) -> None:
        """Close a connection that nobody may use any more."""
        held.conn.close()
        self._open.discard(held)
        self._freed.set()

    def borrow_any(self) -> Held | None:
        """Return an idle connection of any organisation, or None."""
        while self._idle:
            held = self._idle.pop()
            if not held.conn.closed:
                return held
            self.discard(held)
        return None

    def let_go(self, first_choice: bool) -> None:
        """Close unused connections where this node is not the first choice."""
        now = clock.now()
        for held in list(self._idle):
            if connection_share.should_close_idle(first_choice, now - held.used_at):
                self._idle.remove(held)
                self.discard(held)

    def close(self) -> None:
        """Close every connection."""
        for held in list(self._open):
            self.discard(held)
        self._idle.clear()
