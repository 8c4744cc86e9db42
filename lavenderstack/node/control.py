"""The interface of the node's control modules for the data path."""

from typing import Protocol

from lavenderstack.core import clock
from lavenderstack.core.view import View
from lavenderstack.node.evacuation.zone_evacuations import ZoneEvacuations
from lavenderstack.node.quota.admission import Admission


class ViewSource(Protocol):
    """The part of the relay's interface that the data path uses."""

    view: View

    def usable(self, now: float) -> bool:
        """Return whether the view is proved recent enough for requests with a key."""


class NodeControl:
    """Implements ``node.target_holder.Control``."""

    def __init__(
        self, relay: ViewSource, admission: Admission, evacuations: ZoneEvacuations
    ) -> None:
        self.evacuations = evacuations
        self._relay = relay
        self._admission = admission

    @property
    def view(self) -> View:
        """The node's current view of the store."""
        return self._relay.view

    def usable(self, now: float) -> bool:
        """Return whether the view is proved recent enough for requests with a key."""
        return self._relay.usable(now)

    async def admit(self, organisation: str, deadline: float) -> None:
        """Count a request against its organisation's rate, or raise ``Refused``.

        An empty organisation means an open route. ``deadline`` is a time of this
        node's clock, in seconds.
        """
        now = clock.now()
        if not organisation:
            self._admission.admit_open(now)
        elif not self._admission.try_admit(organisation, now):
            await self._admission.admit(organisation, deadline)
