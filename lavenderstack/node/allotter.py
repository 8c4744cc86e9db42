"""Admission by equal static shares: each live node gets its part of every plan."""

import asyncio

from lavenderstack.core import clock
from lavenderstack.core.outcome import Reason, Refused


class Allotter:
    """Admits requests of this node against its part of each plan."""

    def __init__(self, name: str, relay, peers) -> None:
        self._relay = relay
        self._levels: dict[str, tuple[float, float]] = {}

    def handlers(self) -> dict:
        """Return nothing: static shares need no messages."""
        return {}

    async def admit(self, organisation: str, deadline: float) -> None:
        """Count one request, or refuse it."""
        plan = self._relay.view.plan_of(organisation)
        if plan is None:
            return
        nodes = max(1, len(self._relay.view.entry_vms()))
        now = clock.now()
        level, at = self._levels.get(organisation, (plan.burst / nodes, now))
        level = min(plan.burst / nodes, level + (now - at) * plan.rate / nodes)
        self._levels[organisation] = (level, now)
        if level < 1:
            wait_s = (1 - level) * nodes / plan.rate
            raise Refused(Reason.OVER_RATE, "the plan is used up", wait_s)
        self._levels[organisation] = (level - 1, now)

    async def retire(self) -> None:
        """Give nothing back: static shares are bound to the list of nodes."""

    async def run(self) -> None:
        """Do nothing until cancelled."""
        await asyncio.Event().wait()
