"""The evacuated zones that a node acts on, from its view of the store.

The view is looked at again for each decision, so a request counts from the moment at
which this node has applied it. The task of this module takes over requests also while
no statement needs a decision, so that the grace period starts then and not later.
"""

import math
from collections.abc import Mapping
from typing import Protocol

from lavenderstack.core import clock
from lavenderstack.core.documents import EVACUATIONS_FOLDER, Snapshot
from lavenderstack.core.evacuation.evacuation import Evacuation, Use, may_send
from lavenderstack.core.evacuation.evacuation_routing import EVACUATED_RETRY_S
from lavenderstack.core.evacuation.evacuations import Evacuations
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.view import View
from lavenderstack.core.view_freshness import ViewFreshness
from lavenderstack.node.evacuation.evacuation_log import log_evacuated, log_returned

POLL_INTERVAL_S = 1.0
LONG_AGO = -math.inf


class SnapshotSource(Protocol):
    """The part of the relay that this module uses."""

    snapshot: Snapshot
    freshness: ViewFreshness

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until the snapshot or its proof changes, at most ``timeout_s``."""


class ZoneEvacuations:
    """The evacuations in the node's current view; ``refusals`` counts statements."""

    def __init__(self, relay: SnapshotSource) -> None:
        self.refusals = 0
        self._relay = relay
        self._known = Evacuations()
        self._applied: View | None = None
        self._proved_at = LONG_AGO

    def in_force(self) -> Mapping[str, Evacuation]:
        """Return the evacuations in force, by zone."""
        self._take_over()
        return self._known.in_force

    def may_send(self, zone: str, use: Use) -> bool:
        """Return whether a statement may be sent to a target in a zone now."""
        return may_send(self.in_force().get(zone), use, clock.now(), limit_s=None)

    def refusal(self, detail: str) -> Refused:
        """Return the refusal of a statement because of an evacuation, and count it."""
        self.refusals += 1
        return Refused(Reason.EVACUATED, detail, EVACUATED_RETRY_S)

    def metrics(self) -> dict[str, int]:
        """Return the gauge of evacuated zones and the counter of refusals."""
        zones = len(self.in_force())
        return {"evacuated_zones": zones, "evacuation_refusals": self.refusals}

    async def run(self) -> None:
        """Take over the requests of each new view until cancelled."""
        while True:
            self._take_over()
            await self._relay.wait_for_change(POLL_INTERVAL_S)

    def _take_over(self) -> None:
        snapshot = self._relay.snapshot
        view = snapshot.view
        if view is self._applied or not snapshot.revision:
            return
        is_first = self._applied is None
        self._applied = view
        # Requests in the first view were made at an unknown time before.
        learned_at = LONG_AGO if is_first else clock.now()
        for zone in self._known.in_force.keys() - view.evacuations.keys():
            # The view's revision may be later than that of a request still on its way.
            self._known.drop(zone, self._known.in_force[zone].revision)
            log_returned(zone, view.revision)
        for zone in view.evacuations:
            revision = snapshot.entries[EVACUATIONS_FOLDER + zone].revision
            if self._known.put(zone, revision, learned_at, self._proved_at):
                _log_evacuated(view, zone, revision)
        self._proved_at = self._relay.freshness.current_at


def _log_evacuated(view: View, zone: str, revision: int) -> None:
    targets = sum(
        target.zone == zone
        for group in view.groups.values()
        for target in group.targets
    )
    nodes = sum(vm.zone == zone for vm in view.vms.values())
    log_evacuated(zone, revision, targets, nodes)
