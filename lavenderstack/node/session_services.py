"""The components of a node that its sessions use."""

from dataclasses import dataclass, field

from lavenderstack.core.outcome import STALE_RETRY_S
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.dispatch import Dispatcher
from lavenderstack.node.peers import Peers
from lavenderstack.node.planned_stop import PlannedStop
from lavenderstack.node.quota.admitter import Admitter


def outdated_detail(unproved: str) -> str:
    """Return the detail of a refusal by a node that can't know ``unproved`` now."""
    retry_ms = int(STALE_RETRY_S * 1000)
    return f"this node can't check for {unproved} now, retry after {retry_ms} ms"


@dataclass(slots=True)
class Services:
    """Components of the node that sessions use."""

    directory: Directory
    dispatcher: Dispatcher
    admitter: Admitter
    peers: Peers
    counters: Counters
    stop: PlannedStop = field(default_factory=PlannedStop)
