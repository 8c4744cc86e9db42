"""Protocols for access to targets and the platform, independent of wire formats.

Adapters and test fakes implement them. A connection belongs to one organisation for as
long as it is open.
"""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from lavenderstack.core.failover.replica_set import ReplicaSet
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START, Position
from lavenderstack.core.reply import Reply
from lavenderstack.core.statement import Statement
from lavenderstack.core.view import Target


class ConnectFailed(Exception):
    """No connection to the target could be opened; no statement has run.

    ``timed_out`` tells that the target gave no answer, not even a refusal.
    """

    def __init__(self, reason: Reason, detail: str = "", timed_out: bool = False):
        super().__init__(reason, detail)
        self.reason = reason
        self.detail = detail
        self.timed_out = timed_out


class ConnectionLost(Exception):
    """The connection ended before the answer; statements sent on it may have run."""


@dataclass(frozen=True, slots=True)
class Command:
    """A statement for a target.

    ``request`` is the caller's request id, empty for statements that the service sends
    itself. ``min_position`` is the position that the target's log must have reached.
    """

    statement: Statement
    request: str = ""
    min_position: Position = START


@dataclass(frozen=True, slots=True)
class ReplicationStatus:
    """Replication state that a target reports about itself.

    ``leads`` tells whether it is the primary, ``received`` is the end of its log.
    ``paused_term`` is the term under which it is paused, 0 if it is not.
    """

    leads: bool
    term: int
    received: Position
    paused_term: int = 0


class Connection(Protocol):
    """An open connection to a target; ``position`` is the last one it reported."""

    position: Position
    closed: bool

    def send(self, commands: Sequence[Command]) -> list["asyncio.Future[Reply]"]:
        """Send statements in order and return the futures of their answers.

        Raises ``ConnectionLost`` if nothing was sent.
        """

    def close(self) -> None:
        """Close the connection; pending answers fail with ``ConnectionLost``."""


class Backend(Protocol):
    """Opens connections to targets and parses their status answers."""

    async def connect(
        self, target: Target, group: str, organisation: str, timeout_s: float
    ) -> Connection:
        """Open a connection within ``timeout_s`` seconds; raises ``ConnectFailed``."""

    def parse_replication_status(self, reply: Reply) -> ReplicationStatus | None:
        """Parse the answer to a status request or an order; None if it is invalid."""


class OrderRefused(Exception):
    """The platform refused an order permanently.

    A later epoch was used, or the target is not running.
    """


class OrderUnanswered(Exception):
    """The platform did not answer; it may still carry out the order, even late."""


class Orders(Protocol):
    """Sends orders to the platform to replace a primary."""

    async def promote(self, group: str, target: str, node: str, epoch: int) -> None:
        """Make ``target`` the primary of ``group``, under the claim's epoch.

        Raises ``OrderRefused`` or ``OrderUnanswered``.
        """


class ClaimLost(Exception):
    """Another node holds the claim, or the store did not confirm the change."""


class ReserveStore(Protocol):
    """Stores the reserves of the organisations' rates.

    ``identity`` names this node and its current run as the owner of the record.
    """

    identity: str

    async def record(self, tokens: Mapping[str, float], revision: int) -> int:
        """Replace the record that has this revision; return the new revision.

        ``tokens`` maps organisations to reserved tokens. Raises ``ClaimLost`` if
        another node changed the record first or the store did not answer.
        """


class Claims(Protocol):
    """Claims ownership of groups for this node; claims end with its lease.

    Claims in force are read from the directory, which also shows a claim whose answer
    was lost.
    """

    identity: str

    async def claim(self, group: str) -> None:
        """Claim an unowned group.

        Raises ``ClaimLost`` if another node was first or the claim is not confirmed.
        """

    async def renew_epoch(self, group: str, epoch: int) -> None:
        """Keep the claim under a new epoch; raises ``ClaimLost``."""

    async def record_replicas(
        self, group: str, epoch: int, replicas: ReplicaSet, revision: int
    ) -> int:
        """Record the group's replica set; return the position of the record.

        ``revision`` is that of the record which it replaces, 0 if there is none. Raises
        ``ClaimLost`` if the claim is not in force under ``epoch`` any more, the record
        has changed or the store did not confirm the change.
        """

    async def release(self, group: str, epoch: int) -> None:
        """Release the claim, so that another node may claim the group."""

    def valid_until(self) -> float:
        """Return the clock time in seconds until which the lease is certainly valid."""
