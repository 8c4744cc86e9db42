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
from collections.abc import Mapping
from dataclasses import dataclass, field

from lavenderstack.core.messages import Ping
from lavenderstack.core.shard import SHARDS, owner_candidates, recorded_owner
from lavenderstack.core.view import View
from lavenderstack.node.peers import Call
from lavenderstack.node.streams import NotSent, StreamLost

SILENT_AFTER_S = 2.0
HEIR_WAIT_S = 2.0
ASK_EVERY_S = 2.0
HEIRS = 4
WITNESSES_A_ZONE = 6
ASK_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class _Interest:
    """A shard that this VM holds, or of which it is an heir.

    ``rank`` is its place among the heirs; ``listed`` tells whether the holder is on
    the platform's list.
    """

    shard: int
    holder: str | None
    listed: bool
    rank: int


@dataclass(slots=True)
class TakeoverPlanner:
    """What one VM has noticed of the holders of shards.

    ``heard_at`` has the time of a holder's last answer, or of the first question;
    ``asked_at`` that of the last question; ``vacant_since`` the time at which a shard
    was first seen to have no holder.
    """

    vm: str
    call: Call
    heard_at: dict[str, float] = field(default_factory=dict)
    asked_at: dict[str, float] = field(default_factory=dict)
    vacant_since: dict[int, float] = field(default_factory=dict)
    _interests: list[_Interest] = field(default_factory=list)
    _vms: Mapping | None = None
    _duties: Mapping | None = None

    async def vacant(self, view: View, now: float) -> list[int]:
        """Return the shards that this VM should claim."""
        self._follow(view)
        await self._ask_holders(now)
        mine, silent = [], []
        for each in self._interests:
            if each.holder == self.vm:
                mine.append(each.shard)
            elif not each.listed:
                since = self.vacant_since.setdefault(each.shard, now)
                if now - since >= each.rank * HEIR_WAIT_S:
                    mine.append(each.shard)
            elif self._silent_s(each.holder) >= _patience_s(each.rank):
                silent.append(each.shard)
        if silent and await self._hears_most(view):
            mine += silent
        return mine

    def _follow(self, view: View) -> None:
        """Find out anew what is of interest if VMs or duties have changed."""
        if self._vms is view.vms and self._duties is view.duties:
            return
        self._vms, self._duties = view.vms, view.duties
        live = {vm.name for vm in view.entry_vms()}
        found = [self._interest(shard, view, live) for shard in range(SHARDS)]
        self._interests = [each for each in found if each is not None]
        holders = {each.holder for each in self._interests if each.listed}
        for name in set(self.heard_at) - holders:
            del self.heard_at[name]
            del self.asked_at[name]
        unlisted = {each.shard for each in self._interests if not each.listed}
        for shard in set(self.vacant_since) - unlisted:
            del self.vacant_since[shard]

    def _interest(self, shard: int, view: View, live: set[str]) -> _Interest | None:
        holder = recorded_owner(shard, view)
        if holder == self.vm:
            return _Interest(shard, holder, True, 0)
        names = owner_candidates(shard, view, HEIRS, leaving=holder or "")
        if self.vm not in names:
            return None
        return _Interest(shard, holder, holder in live, names.index(self.vm))

    async def _ask_holders(self, now: float) -> None:
        """Ask each holder whether it is there; later heirs ask less often."""
        first: dict[str, int] = {}
        for each in self._interests:
            if each.listed and each.holder != self.vm:
                rank = first.get(each.holder, each.rank)
                first[each.holder] = min(rank, each.rank)
        due = [name for name, rank in first.items() if self._is_due(name, rank, now)]
        answers = await asyncio.gather(*(self._ping(name) for name in due))
        for name, answered in zip(due, answers, strict=True):
            self.asked_at[name] = now
            if answered or name not in self.heard_at:
                self.heard_at[name] = now

    def _is_due(self, holder: str, rank: int, now: float) -> bool:
        asked_at = self.asked_at.get(holder)
        return asked_at is None or now - asked_at >= rank * ASK_EVERY_S

    def _silent_s(self, holder: str) -> float:
        """Return for how long a holder has been asked without an answer."""
        return self.asked_at[holder] - self.heard_at[holder]

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


def _patience_s(rank: int) -> float:
    return SILENT_AFTER_S + rank * HEIR_WAIT_S
