"""The evacuations that a directory knows, and whether statements may still be sent.

``core/evacuation/evacuation.py`` explains the rules.
"""

from collections.abc import Mapping

from lavenderstack.core import clock
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.evacuation import evacuation, evacuation_routing
from lavenderstack.core.evacuation.evacuation import Evacuation, Use
from lavenderstack.core.evacuation.evacuations import Evacuations, Turns
from lavenderstack.core.view import View
from lavenderstack.core.view_proof import ViewProof
from lavenderstack.node.evacuation.evacuation_log import log_evacuated, log_returned

DEFAULT_ORDERS_PER_S = 50.0


class EvacuatedZones:
    """The part of a directory that concerns evacuations.

    ``evacuation_limit_s`` is the time in seconds after its acknowledgement by which an
    evacuation must be in force, None if there is no such limit. ``orders_per_s`` is how
    many promotions the platform accepts from all nodes.
    """

    proof: ViewProof
    view: View
    targets: dict[str, TargetState]

    def __init__(self) -> None:
        self.evacuation_limit_s: float | None = None
        self.orders_per_s = DEFAULT_ORDERS_PER_S
        self.turns = Turns()
        # When the last evacuation of each zone ended, in seconds on the clock.
        self.returned_at: dict[str, float] = {}
        self._evacuations = Evacuations()

    @property
    def evacuations(self) -> Mapping[str, Evacuation]:
        """The evacuations in force, by zone."""
        return self._evacuations.in_force

    def put_evacuation(self, zone: str, revision: int) -> None:
        """Record a request to evacuate a zone that was written at ``revision``."""
        if not self._evacuations.put(zone, revision, clock.now(), self.proof.at):
            return
        targets = sum(one.target.zone == zone for one in self.targets.values())
        nodes = sum(vm.zone == zone for vm in self.view.vms.values())
        log_evacuated(zone, revision, targets, nodes)
        self._signal_change()

    def drop_evacuation(self, zone: str, revision: int) -> None:
        """Record that the request to evacuate a zone was deleted at ``revision``."""
        if self._evacuations.drop(zone, revision):
            self.returned_at[zone] = clock.now()
            log_returned(zone, revision)
            self._signal_change()

    def is_evacuated(self, zone: str) -> bool:
        """Return whether a zone is evacuated."""
        return zone in self.evacuations

    def is_view_recent(self, now: float) -> bool:
        """Return whether this node would know of an evacuation that is in force."""
        age_s = self.proof.age_s(now)
        return evacuation_routing.is_proof_recent(age_s, self.evacuation_limit_s)

    def may_send(self, zone: str, use: Use, now: float) -> bool:
        """Return whether a caller's statement may be sent to a target of a zone now."""
        known = self.evacuations.get(zone)
        return evacuation.may_send(known, use, now, self.evacuation_limit_s)

    def _signal_change(self) -> None:
        """Wake the tasks that wait for a change of the directory."""
        raise NotImplementedError
