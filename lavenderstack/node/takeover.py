"""Decides which shards this VM should claim because their owner is gone.

A shard passes to another VM when its owner is no longer on the platform's list, or is
listed but hasn't answered for a while, since the list lags. The first few VMs that
follow on the shard's ring are its candidates. Each waits longer than the one before
it, since that one may be gone as well. A VM that comes back doesn't take a shard from
a working owner.

A candidate that is cut off from other nodes gets no answer from any owner, although it
may still reach the store. It would take shards from owners that work for all other
nodes, and they would claim them back. So a candidate first checks that it reaches a
majority of a sample of the VMs of every availability zone.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

from lavenderstack.core.messages import Ping
from lavenderstack.core.quota.shard import SHARDS, owner_candidates, recorded_owner
from lavenderstack.core.view import View
from lavenderstack.node.peers import CallVm
from lavenderstack.node.streams import NotSent, StreamLost

SILENT_AFTER_S = 2.0
CANDIDATE_DELAY_S = 2.0
PING_INTERVAL_S = 2.0
MAX_CANDIDATES = 4
MAX_PINGED_PER_ZONE = 6
PING_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class _TrackedShard:
    """A shard that this VM owns, or for which it is a candidate.

    ``rank`` is its place among the candidates; ``listed`` is set if the owner is on
    the platform's list.
    """

    shard: int
    owner: str | None
    listed: bool
    rank: int


@dataclass(slots=True)
class TakeoverPlanner:
    """What one VM has observed of the owners of shards. Times are in seconds.

    ``answered_at`` is the time of each owner's last answer, or of the first ping if
    it never answered; ``pinged_at`` is that of the last ping. ``unowned_since`` is
    when each shard was first seen without a listed owner.
    """

    vm: str
    call: CallVm
    answered_at: dict[str, float] = field(default_factory=dict)
    pinged_at: dict[str, float] = field(default_factory=dict)
    unowned_since: dict[int, float] = field(default_factory=dict)
    _tracked_shards: list[_TrackedShard] = field(default_factory=list)
    _vms: Mapping | None = None
    _ownerships: Mapping | None = None

    async def shards_to_claim(self, view: View, now: float) -> list[int]:
        """Return the shards that this VM should claim, those that it owns included."""
        self._update_tracked_shards(view)
        await self._ping_owners(now)
        claimable, silent = [], []
        for tracked in self._tracked_shards:
            if tracked.owner == self.vm:
                claimable.append(tracked.shard)
            elif not tracked.listed:
                since = self.unowned_since.setdefault(tracked.shard, now)
                if now - since >= tracked.rank * CANDIDATE_DELAY_S:
                    claimable.append(tracked.shard)
            elif self._silent_s(tracked.owner) >= _silence_limit_s(tracked.rank):
                silent.append(tracked.shard)
        if silent and await self._reaches_majority(view):
            claimable += silent
        return claimable

    def _update_tracked_shards(self, view: View) -> None:
        """Recompute the tracked shards if VMs or ownerships have changed."""
        if self._vms is view.vms and self._ownerships is view.duties:
            return
        self._vms, self._ownerships = view.vms, view.duties
        live = {vm.name for vm in view.entry_vms()}
        found = [self._track_shard(shard, view, live) for shard in range(SHARDS)]
        self._tracked_shards = [tracked for tracked in found if tracked is not None]
        owners = {tracked.owner for tracked in self._tracked_shards if tracked.listed}
        for name in set(self.answered_at) - owners:
            del self.answered_at[name]
            del self.pinged_at[name]
        unlisted = {
            tracked.shard for tracked in self._tracked_shards if not tracked.listed
        }
        for shard in set(self.unowned_since) - unlisted:
            del self.unowned_since[shard]

    def _track_shard(
        self, shard: int, view: View, live: set[str]
    ) -> _TrackedShard | None:
        owner = recorded_owner(shard, view)
        if owner == self.vm:
            return _TrackedShard(shard, owner, True, 0)
        candidates = owner_candidates(shard, view, MAX_CANDIDATES, leaving=owner or "")
        if self.vm not in candidates:
            return None
        return _TrackedShard(shard, owner, owner in live, candidates.index(self.vm))

    async def _ping_owners(self, now: float) -> None:
        """Ping the owners that are due; candidates further down ping less often."""
        ranks: dict[str, int] = {}
        for tracked in self._tracked_shards:
            if tracked.listed and tracked.owner != self.vm:
                rank = ranks.get(tracked.owner, tracked.rank)
                ranks[tracked.owner] = min(rank, tracked.rank)
        due = [name for name, rank in ranks.items() if self._is_due(name, rank, now)]
        answers = await asyncio.gather(*(self._ping(name) for name in due))
        for name, answered in zip(due, answers, strict=True):
            self.pinged_at[name] = now
            if answered or name not in self.answered_at:
                self.answered_at[name] = now

    def _is_due(self, owner: str, rank: int, now: float) -> bool:
        pinged_at = self.pinged_at.get(owner)
        return pinged_at is None or now - pinged_at >= rank * PING_INTERVAL_S

    def _silent_s(self, owner: str) -> float:
        """Return for how many seconds an owner has left pings unanswered."""
        return self.pinged_at[owner] - self.answered_at[owner]

    async def _ping(self, name: str) -> bool:
        try:
            await self.call(name, Ping(), PING_TIMEOUT_S)
        except (NotSent, StreamLost, TimeoutError):
            return False
        return True

    async def _reaches_majority(self, view: View) -> bool:
        """Return whether a majority of a sample of VMs is reachable, itself included.

        The sample has the first VMs by name of each zone. If exactly half are
        reachable, the half with the first VM by name counts as the majority, so that
        of two halves cut off from each other exactly one may take over.
        """
        zones: dict[str, list[str]] = {}
        for vm in sorted(view.entry_vms(), key=lambda vm: vm.name):
            zones.setdefault(vm.zone, []).append(vm.name)
        names = [n for zone in zones.values() for n in zone[:MAX_PINGED_PER_ZONE]]
        answers = await asyncio.gather(*(self._reachable(name) for name in names))
        reachable = [
            name for name, answered in zip(names, answers, strict=True) if answered
        ]
        if 2 * len(reachable) == len(names):
            return min(names) in reachable
        return 2 * len(reachable) > len(names)

    async def _reachable(self, name: str) -> bool:
        return name == self.vm or await self._ping(name)


def _silence_limit_s(rank: int) -> float:
    return SILENT_AFTER_S + rank * CANDIDATE_DELAY_S
