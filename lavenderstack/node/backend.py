"""What a node needs of the targets and of the platform, whatever they speak.

The adapters implement these; tasks and tests use them. A connection belongs to one
organisation for as long as it is open.
"""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START, Position
from lavenderstack.core.reply import Reply
from lavenderstack.core.statement import Statement
from lavenderstack.core.view import Target


class ConnectFailed(Exception):
    """No connection to the target could be opened; nothing was run."""

    def __init__(self, reason: Reason, detail: str = ""):
        super().__init__(reason, detail)
        self.reason = reason
        self.detail = detail


class ConnectionLost(Exception):
    """The connection ended before the answer; what was sent may have run."""


@dataclass(frozen=True, slots=True)
class Command:
    """A statement for a target; ``request`` is empty for the service's own.

    ``min_position`` is the position that the target's log must hold.
    """

    statement: Statement
    request: str = ""
    min_position: Position = START


@dataclass(frozen=True, slots=True)
class ReplicationStatus:
    """What a target says of itself: whether it leads, its term, what it received."""

    leads: bool
    term: int
    received: Position


class Connection(Protocol):
    """An open connection to a target."""

    position: Position
    closed: bool

    def send(self, commands: Sequence[Command]) -> list["asyncio.Future[Reply]"]:
        """Send statements in order; raises ``ConnectionLost`` if nothing was sent."""

    def close(self) -> None:
        """Close it; what is under way ends as ``ConnectionLost``."""


class Backend(Protocol):
    """How targets are reached."""

    async def connect(
        self, target: Target, group: str, organisation: str, timeout_s: float
    ) -> Connection:
        """Open a connection; raises ``ConnectFailed``."""

    def parse_replication_status(self, reply: Reply) -> ReplicationStatus | None:
        """Read the answer to a status question or to an order."""


class OrderRefused(Exception):
    """The platform refused an order under this epoch for good."""


class OrderUnanswered(Exception):
    """The platform did not answer; the order may still be carried out, also late."""


class Orders(Protocol):
    """How the platform is told to replace a primary."""

    async def promote(self, group: str, target: str, node: str, epoch: int) -> None:
        """Name the target that leads; raises ``OrderRefused``, ``OrderUnanswered``."""


class ClaimLost(Exception):
    """Another node holds the duty, or the claim could not be made."""


class ReserveStore(Protocol):
    """Where the reserves of the organisations' rates are recorded."""

    identity: str

    async def record(self, tokens: Mapping[str, float], revision: int) -> int:
        """Replace the record of this revision; return the new one.

        Raises ``ClaimLost`` if another node was first or the store did not answer.
        """


class Claims(Protocol):
    """How duties are claimed; a claim ends with this node's lease.

    What is in force is read from the directory, which also shows a claim whose answer
    was lost.
    """

    identity: str

    async def claim(self, duty: str) -> None:
        """Claim a free duty; raises ``ClaimLost`` if that can't be said to be done."""

    async def renew_epoch(self, duty: str, epoch: int) -> None:
        """Hold the duty on under a new epoch; raises ``ClaimLost``."""

    async def release(self, duty: str, epoch: int) -> None:
        """Give a duty up, so that another node may claim it."""

    def valid_until(self) -> float:
        """Return until when this node's lease is certain to hold."""
