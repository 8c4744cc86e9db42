"""The evacuated zones that a node acts on, from its view of the store.

The view is looked at again for each decision, so a request counts from the moment at
which this node has applied it. The task of this module takes over requests also while
no statement needs a decision, so that the grace period starts then and not later.
"""

from typing import Protocol

import structlog

from lavenderstack.core import clock
from lavenderstack.core.documents import EVACUATIONS_FOLDER, Snapshot
from lavenderstack.core.evacuation import Evacuation, Use, may_send
from lavenderstack.core.known_evacuations import KnownEvacuations
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.view import View
from lavenderstack.core.view_freshness import ViewFreshness

# Told to callers as the time to retry: the primary is replaced within about this time.
EVACUATED_RETRY_S = 1.0
POLL_INTERVAL_S = 1.0

log = structlog.get_logger()


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
        self._known = KnownEvacuations()
        self._applied: View | None = None

    def of(self, zone: str) -> Evacuation | None:
        """Return the evacuation of a zone, None if it isn't evacuated."""
        self._take_over()
        return self._known.of(zone)

    def zones(self) -> frozenset[str]:
        """Return the evacuated zones."""
        self._take_over()
        return self._known.zones()

    def may_send(self, zone: str, use: Use) -> bool:
        """Return whether a statement may be sent to a target in a zone now."""
        return may_send(self.of(zone), use, clock.now(), limit_s=None)

    def refusal(self, zone: str) -> Refused:
        """Return the refusal of a statement for an evacuated zone, and count it."""
        self.refusals += 1
        detail = f"zone {zone} is evacuated"
        return Refused(Reason.EVACUATED, detail, EVACUATED_RETRY_S)

    def metrics(self) -> dict[str, int]:
        """Return the gauge of evacuated zones and the counter of refusals."""
        zones = len(self.zones())
        return {"evacuated_zones": zones, "evacuation_refusals": self.refusals}

    async def run(self) -> None:
        """Take over the requests of each new view until cancelled."""
        while True:
            self._take_over()
            await self._relay.wait_for_change(POLL_INTERVAL_S)

    def _take_over(self) -> None:
        snapshot = self._relay.snapshot
        view, applied = snapshot.view, self._applied
        if view is applied or not snapshot.revision:
            return
        self._applied = view
        entries = snapshot.entries
        revisions = {
            zone: entries[EVACUATIONS_FOLDER + zone].revision
            for zone in view.evacuations
        }
        proved_at = self._relay.freshness.current_at
        changes = self._known.update(revisions, clock.now(), proved_at)
        for evacuation in changes.evacuated:
            _log_evacuated(view, evacuation)
        for zone in changes.returned:
            log.info("evacuation: zone returned", zone=zone, revision=view.revision)


def _log_evacuated(view: View, evacuation: Evacuation) -> None:
    zone = evacuation.zone
    targets = [
        target.name
        for group in view.groups.values()
        for target in group.targets
        if target.zone == zone
    ]
    if targets or any(vm.zone == zone for vm in view.vms.values()):
        log.info(
            "evacuation: zone evacuated",
            zone=zone,
            revision=evacuation.revision,
            targets=len(targets),
        )
    else:
        log.warning("evacuation: zone unknown", zone=zone, revision=evacuation.revision)
