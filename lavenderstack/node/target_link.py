"""A group monitor's control connection to one target.

A link is a task that owns the connection. It executes one command at a time, a probe
or an action of the proposer, and reports the result. A probe that gets no answer on an
open connection is tried once more on a new one, because a device in between may have
dropped the old connection while the target is healthy.
"""

import asyncio
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from functools import singledispatchmethod

from lavenderstack.border.target import (
    TargetConn,
    TargetLost,
    TargetRefused,
    TargetStatus,
    TargetUnreachable,
    connect,
)
from lavenderstack.core import clock
from lavenderstack.core.failover.evidence import Observation
from lavenderstack.core.failover.promotion import SendAdopt, SendFollow, SendLead
from lavenderstack.core.view import Target

PROBE_TIMEOUT_S = 0.3
MAX_CONNECT_TIMEOUT_S = 2.4
COMMAND_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class ProbeCommand:
    """A request for a target's state."""


Command = ProbeCommand | SendAdopt | SendLead | SendFollow


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The result of a command.

    ``seen`` is the state that the target answered with, if it did. ``refused`` is set
    if the target refused the command, ``connection_refused`` if no process listens at
    its address.
    """

    target: str
    command: Command
    seen: Observation | None = None
    refused: bool = False
    connection_refused: bool = False


class TargetLink:
    """The control connection of one monitor to one target of a group.

    ``targets`` has all targets of the group by name, for the address of the primary
    to follow. ``on_result`` is called with the result of each command.
    """

    def __init__(
        self,
        group: str,
        target: Target,
        targets: Mapping[str, Target],
        on_result: Callable[[CommandResult], None],
    ) -> None:
        self.busy = False
        self._group = group
        self._target = target
        self._targets = targets
        self._on_result = on_result
        self._commands: asyncio.Queue[Command] = asyncio.Queue()
        self._conn: TargetConn | None = None
        self._connect_timeout_s = PROBE_TIMEOUT_S

    @property
    def broken(self) -> bool:
        """Whether the connection was closed from the other end while it was idle."""
        return not self.busy and self._conn is not None and self._conn.broken

    def send(self, command: Command) -> None:
        """Queue a command; commands are executed one after the other."""
        self.busy = True
        self._commands.put_nowait(command)

    async def run(self) -> None:
        """Execute commands until cancelled; then close the connection."""
        try:
            while True:
                command = await self._commands.get()
                result = await self._execute(command)
                self.busy = not self._commands.empty()
                self._on_result(result)
        finally:
            self._close()

    async def _execute(self, command: Command) -> CommandResult:
        name = self._target.name
        asked_at = clock.now()
        try:
            state = await self._run_command(command)
        except TargetRefused:
            return CommandResult(name, command, refused=True)
        except TargetUnreachable as exc:
            connection_refused = isinstance(exc.__cause__, ConnectionRefusedError)
            return CommandResult(name, command, connection_refused=connection_refused)
        except TargetLost:
            return CommandResult(name, command)
        seen = Observation(
            name, state.term, state.last, asked_at, state.role, state.primary
        )
        return CommandResult(name, command, seen)

    async def _run_command(self, command: Command) -> TargetStatus:
        if isinstance(command, ProbeCommand) and self._conn is not None:
            with suppress(TargetLost, TargetUnreachable):
                return await self._call(command, self._conn)
        if self._conn is None or self._conn.broken:
            self._close()
            self._conn = await self._connect()
        return await self._call(command, self._conn)

    async def _connect(self) -> TargetConn:
        """Open a connection; the timeout doubles with each failed attempt.

        A fixed timeout that is too short under load would lead to endless new
        attempts, which would keep that load up.
        """
        target = self._target
        limit_s = self._connect_timeout_s
        self._connect_timeout_s = min(2 * limit_s, MAX_CONNECT_TIMEOUT_S)
        conn = await connect(target.host, target.port, self._group, limit_s)
        self._connect_timeout_s = PROBE_TIMEOUT_S
        return conn

    @singledispatchmethod
    async def _call(self, command: Command, conn: TargetConn) -> TargetStatus:
        raise TypeError(command)

    @_call.register
    async def _(self, command: ProbeCommand, conn: TargetConn) -> TargetStatus:
        return await conn.state(PROBE_TIMEOUT_S)

    @_call.register
    async def _(self, command: SendAdopt, conn: TargetConn) -> TargetStatus:
        return await conn.adopt(command.term, COMMAND_TIMEOUT_S)

    @_call.register
    async def _(self, command: SendLead, conn: TargetConn) -> TargetStatus:
        return await conn.lead(command.term, command.followers, COMMAND_TIMEOUT_S)

    @_call.register
    async def _(self, command: SendFollow, conn: TargetConn) -> TargetStatus:
        primary = self._targets[command.primary]
        return await conn.follow(
            command.term, primary.name, primary.host, primary.port, COMMAND_TIMEOUT_S
        )

    def _close(self) -> None:
        if self._conn is not None:
            self._conn.close()
            self._conn = None
