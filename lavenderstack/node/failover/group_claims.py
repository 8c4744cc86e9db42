"""Claims of groups: which node supervises the primary of which group."""

from collections import defaultdict
from dataclasses import dataclass

import structlog

from lavenderstack.core import clock
from lavenderstack.core.catalog import RecordedOwnership, TargetState
from lavenderstack.core.hash_ring import CachedByIdentity, HashRing, hash_position
from lavenderstack.node.backend import ClaimLost, Claims
from lavenderstack.node.directory import Directory
from lavenderstack.node.peers import Peers

log = structlog.get_logger()

# Delay between the nodes of the hash ring that try in turn to claim an unowned group.
CLAIM_STEP_S = 0.6
CLAIM_RETRY_S = 0.5
# An owner in the primary's own zone hands the group over, because it would be cut off
# together with the primary. It waits this long after an order or a handover.
HAND_OVER_HOLDOFF_S = 6.0
# A node that has given up a group doesn't claim it for this long.
GIVEN_UP_S = 5.0


@dataclass(slots=True)
class _ClaimStatus:
    """When this node last did something about a group's claim, in seconds."""

    claimed_at: float = 0.0
    unowned_since: float | None = None
    handed_over_at: float = 0.0
    given_up_at: float = float("-inf")


class GroupClaims:
    """Claims unowned groups in turn with other nodes, and hands groups over."""

    def __init__(self, directory: Directory, peers: Peers, claims: Claims) -> None:
        self._directory = directory
        self._peers = peers
        self._claims = claims
        self._groups: dict[str, _ClaimStatus] = defaultdict(_ClaimStatus)
        self._ring_cache: CachedByIdentity[HashRing] = CachedByIdentity(
            lambda vms: HashRing(vm.name for vm in vms.values() if vm.state == "live")
        )

    async def own(self, group: str) -> RecordedOwnership | None:
        """Return this node's claim in force, None if another node or none owns it.

        Claims an unowned group when it is this node's turn; the new claim is returned
        by a later call, once the directory shows it.
        """
        status = self._groups[group]
        claim = self._directory.ownerships.get(group)
        if claim is not None:
            status.unowned_since = None
            return claim if claim.node == self._claims.identity else None
        now = clock.now()
        if status.unowned_since is None:
            status.unowned_since = now
        turn_at = status.unowned_since + self._candidates_before(group) * CLAIM_STEP_S
        if now < turn_at or now - status.claimed_at < CLAIM_RETRY_S:
            return None
        if now - status.given_up_at < GIVEN_UP_S:
            return None
        status.claimed_at = now
        try:
            await self._claims.claim(group)
        except ClaimLost as exc:
            log.info("replacer: ownership not claimed", group=group, error=str(exc))
        return None

    def _candidates_before(self, group: str) -> int:
        """Return how many nodes try to claim an unowned group before this one."""
        ring = self._ring_cache.value_for(self._directory.view.vms)
        primary = self._directory.primary(group)
        zone = primary.target.zone if primary else ""
        vms = self._directory.view.vms
        names = list(ring.nodes_after(hash_position(f"primary/{group}")))
        names.sort(key=lambda name: vms[name].zone == zone)
        name = self._directory.name
        return names.index(name) if name in names else len(names)

    async def give_up(self, group: str) -> None:
        """Release a group that this node can't watch, and leave it to other nodes."""
        claim = self._directory.ownerships.get(group)
        if claim is None or claim.node != self._claims.identity:
            return
        self._groups[group].given_up_at = clock.now()
        log.info("replacer: ownership given up", group=group)
        await self._claims.release(group, claim.epoch)

    async def hand_over(
        self, primary: TargetState, claim: RecordedOwnership, acted_at: float
    ) -> None:
        """Release the group to a node outside the primary's zone, if there is one.

        ``acted_at`` is when this node last ordered something for the group, in seconds
        on the clock.
        """
        group, status = primary.group, self._groups[primary.group]
        if primary.target.zone != self._directory.zone:
            return
        now = clock.now()
        if now - max(acted_at, status.handed_over_at) < HAND_OVER_HOLDOFF_S:
            return
        vms = self._peers.live()
        if all(vm.zone == self._directory.zone for vm in vms):
            return
        status.handed_over_at = now
        log.info(
            "replacer: ownership handed over", group=group, zone=primary.target.zone
        )
        await self._claims.release(group, claim.epoch)
