"""What the data path sees of the control parts of its node."""

from typing import Protocol

from lavenderstack.core import clock
from lavenderstack.core.view import View
from lavenderstack.node.admission import Admission


class ViewSource(Protocol):
    """The relay, as far as the data path needs it."""

    view: View

    def usable(self, now: float) -> bool:
        """Tell whether the view is proved recent enough for keyed work."""


class NodeControl:
    """Implements ``node.target_holder.Control``."""

    def __init__(self, relay: ViewSource, admission: Admission) -> None:
        self._relay = relay
        self._admission = admission

    @property
    def view(self) -> View:
        """The current view of the store."""
        return self._relay.view

    def usable(self, now: float) -> bool:
        """Tell whether the view is proved recent enough for keyed work."""
        return self._relay.usable(now)

    async def admit(self, organisation: str, deadline: float) -> None:
        """Count a request against its organisation's rate, or refuse it."""
        now = clock.now()
        if not organisation:
            self._admission.admit_open(now)
        elif not self._admission.try_admit(organisation, now):
            await self._admission.admit(organisation, deadline)
