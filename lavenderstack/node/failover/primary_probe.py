"""Asks the connection holders of a primary whether it answers, and for its position."""

import asyncio

from lavenderstack.core.catalog import TargetState
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.view import Vm
from lavenderstack.core.work_messages import PrimaryPosition, PrimaryPositionRequest
from lavenderstack.node.peers import Peers
from lavenderstack.node.streams import NotSent, StreamLost

FIRST_PROBE_TIMEOUT_S = 0.25
PROBE_TIMEOUT_S = 0.35
# A holder may answer with a position that it observed this recently.
MAX_POSITION_AGE_S = 0.15
MAX_HOLDERS_PROBED = 4


class PrimaryProbe:
    """Probes primaries through their holders, in different availability zones."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers

    async def ask(
        self, primary: TargetState, max_age_s: float = MAX_POSITION_AGE_S
    ) -> PrimaryPosition | Failed | None:
        """Ask the first holder of the primary, then several others in parallel.

        Returns the primary's position, at most ``max_age_s`` seconds old, a failure if
        it refused a connection because it has too many, or None if no holder gets an
        answer.
        """
        holders = self._peers.holders(primary.target)
        if not holders:
            return None
        msg = PrimaryPositionRequest(primary.group, primary.target.name, max_age_s)
        answer = await self._ask_through(holders[0], msg, FIRST_PROBE_TIMEOUT_S)
        if isinstance(answer, PrimaryPosition):
            return answer
        others = holders[1 : 1 + MAX_HOLDERS_PROBED]
        answers = await asyncio.gather(
            *(self._ask_through(vm, msg, PROBE_TIMEOUT_S) for vm in others)
        )
        found = [one for one in [answer, *answers] if one is not None]
        # A position tells more than a refusal by another holder.
        found.sort(key=lambda one: not isinstance(one, PrimaryPosition))
        return found[0] if found else None

    async def _ask_through(
        self, vm: Vm, msg: PrimaryPositionRequest, timeout_s: float
    ) -> PrimaryPosition | Failed | None:
        try:
            answer = await self._peers.ask(vm, msg, timeout_s)
        except (NotSent, StreamLost, TimeoutError):
            return None
        if isinstance(answer, PrimaryPosition):
            return answer
        is_full = isinstance(answer, Failed) and answer.reason == Reason.NO_CONNECTION
        return answer if is_full else None
