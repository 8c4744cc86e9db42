"""What the data path sees of the control parts of its node."""

from typing import Protocol

from lavenderstack.core.view import View


class ViewSource(Protocol):
    """The relay, as far as the data path needs it."""

    view: View

    def usable(self, now: float) -> bool:
        """Tell whether the view is proved recent enough for keyed work."""


class Admission(Protocol):
    """The node's side of the allotment of rate and burst."""

    async def admit(self, organisation: str, deadline: float) -> None:
        """Count a request against its organisation's rate, or refuse it."""


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
        await self._admission.admit(organisation, deadline)
