"""Which shards this VM should take over, because nobody allots them any more.

A shard passes to another VM when its holder is not on the platform's list any more,
or when it is, but has not answered for a while: the list lags. The first few VMs that
follow on the shard's ring are its heirs. Each waits longer than the one before it,
since that one may be gone as well. A VM that comes back takes nothing from a holder
that works.

An heir that was cut off hears no holder either, and may reach the store all the same.
It would take duties away from holders that work for everybody else, and they would
take them back. So an heir first makes sure that it hears a majority of some VMs of
every availability zone.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

from lavenderstack.core.messages import Ping
from lavenderstack.core.shard import SHARDS, heirs, holder_of
from lavenderstack.core.view import View
from lavenderstack.node.peers import Call
from lavenderstack.node.streams import NotSent, StreamLost

SILENT_AFTER_S = 2.0
HEIR_WAIT_S = 2.0
HEIRS = 4
WITNESSES_A_ZONE = 6
ASK_TIMEOUT_S = 0.5


@dataclass(slots=True)
class Succession:
    """What one VM has noticed of the holders of shards.

    ``heard_at`` has the time of a holder's last answer, or of the first question;
    ``vacant_since`` the time at which a shard was first seen to have no holder.
    """

    vm: str
    call: Call
    heard_at: dict[str, float] = field(default_factory=dict)
    vacant_since: dict[int, float] = field(default_factory=dict)

    async def vacant(self, view: View, now: float) -> list[int]:
        """Return the shards that this VM should claim."""
        live = {vm.name for vm in view.entry_vms()}
        mine, silent = [], []
        asked: dict[str, bool] = {}
        for shard in range(SHARDS):
            holder = holder_of(shard, view)
            if holder == self.vm:
                mine.append(shard)
                continue
            rank = self._rank(shard, view, holder)
            if rank is None:
                self.vacant_since.pop(shard, None)
            elif holder is None or holder not in live:
                since = self.vacant_since.setdefault(shard, now)
                if now - since >= rank * HEIR_WAIT_S:
                    mine.append(shard)
            else:
                self.vacant_since.pop(shard, None)
                if holder not in asked:
                    asked[holder] = await self._answers(holder, now)
                wait_s = SILENT_AFTER_S + rank * HEIR_WAIT_S
                if not asked[holder] and now - self.heard_at[holder] >= wait_s:
                    silent.append(shard)
        self._forget_others(asked)
        if silent and await self._hears_most(view):
            mine += silent
        return mine

    def _rank(self, shard: int, view: View, holder: str | None) -> int | None:
        """Return this VM's place among the heirs of a shard, None if it is none."""
        names = heirs(shard, view, HEIRS, leaving=holder or "")
        return names.index(self.vm) if self.vm in names else None

    def _forget_others(self, asked: Iterable[str]) -> None:
        for holder in set(self.heard_at) - set(asked):
            del self.heard_at[holder]

    async def _answers(self, holder: str, now: float) -> bool:
        self.heard_at.setdefault(holder, now)
        if not await self._ping(holder):
            return False
        self.heard_at[holder] = now
        return True

    async def _ping(self, name: str) -> bool:
        try:
            await self.call(name, Ping(), ASK_TIMEOUT_S)
        except (NotSent, StreamLost, TimeoutError):
            return False
        return True

    async def _hears_most(self, view: View) -> bool:
        """Tell whether a majority of some VMs of each zone answers, this one's too.

        Of two halves it is the one with the first VM, so that one of them is.
        """
        zones: dict[str, list[str]] = {}
        for vm in sorted(view.entry_vms(), key=lambda vm: vm.name):
            zones.setdefault(vm.zone, []).append(vm.name)
        names = [n for zone in zones.values() for n in zone[:WITNESSES_A_ZONE]]
        answers = await asyncio.gather(*(self._heard(name) for name in names))
        heard = [name for name, ok in zip(names, answers, strict=True) if ok]
        if 2 * len(heard) == len(names):
            return min(names) in heard
        return 2 * len(heard) > len(names)

    async def _heard(self, name: str) -> bool:
        return name == self.vm or await self._ping(name)
