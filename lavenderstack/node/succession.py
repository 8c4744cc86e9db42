"""Which shards this VM should take over, because nobody allots them any more.

A shard passes to another VM when its holder is not on the platform's list any more,
or when it is, but has not answered for a while: the list lags. Only one VM at a time
looks after a holder, the first choice among the others; it asks once a second. A
VM that comes back takes nothing from a holder that works.
"""

from dataclasses import dataclass, field

from lavenderstack.core.messages import Ping
from lavenderstack.core.shard import SHARDS, first_choice, holder_of
from lavenderstack.core.view import View
from lavenderstack.node.peers import Call
from lavenderstack.node.streams import NotSent, StreamLost

SILENT_AFTER_S = 3.0
ASK_TIMEOUT_S = 0.5


@dataclass(slots=True)
class Succession:
    """What one VM has heard of the holders that it looks after.

    ``heard_at`` has the time of each one's last answer, or of the first question.
    """

    vm: str
    call: Call
    heard_at: dict[str, float] = field(default_factory=dict)

    async def vacant(self, view: View, now: float) -> list[int]:
        """Return the shards that this VM should claim."""
        live = {vm.name for vm in view.entry_vms()}
        mine, looked_after = [], {}
        for shard in range(SHARDS):
            holder = holder_of(shard, view)
            if holder is None or holder not in live or holder == self.vm:
                if first_choice(shard, view) == self.vm or holder == self.vm:
                    mine.append(shard)
            elif first_choice(shard, view, leaving=holder) == self.vm:
                looked_after.setdefault(holder, []).append(shard)
        self._forget_others(looked_after)
        for holder, shards in looked_after.items():
            if await self._is_silent(holder, now):
                mine += shards
        return mine

    def _forget_others(self, looked_after: dict[str, list[int]]) -> None:
        for holder in set(self.heard_at) - set(looked_after):
            del self.heard_at[holder]

    async def _is_silent(self, holder: str, now: float) -> bool:
        self.heard_at.setdefault(holder, now)
        try:
            await self.call(holder, Ping(), ASK_TIMEOUT_S)
        except (NotSent, StreamLost, TimeoutError):
            return now - self.heard_at[holder] >= SILENT_AFTER_S
        self.heard_at[holder] = now
        return False
