"""The lease of this node, its registration, and the groups that it claims.

The registration and the claims are bound to the lease, so the store removes those of a
node that has died. The lease's validity is counted from the moment at which its
renewal was sent, since the answer may be late.

If the store is restored from a copy, the lease and all that is bound to it are gone.
This node then stops acting on its claims at once and registers again after a random
delay, so that the nodes do not all write in the same moment.
"""

import asyncio
import random
from collections.abc import Mapping
from dataclasses import replace

import structlog

from lavenderstack.core import clock
from lavenderstack.core.failover.replica_set import ReplicaSet
from lavenderstack.core.store_era import CLAIM_HOLD_S
from lavenderstack.core.unique_id import process_name
from lavenderstack.core.view import Vm
from lavenderstack.node.backend import ClaimLost
from lavenderstack.platform import records
from lavenderstack.platform.store import (
    Condition,
    Conflict,
    EraChanged,
    LeaseEnded,
    Put,
    Store,
    StoreFailed,
)

log = structlog.get_logger()

# Nobody claims a group for as long after a restore of the store.
LEASE_TTL_S = CLAIM_HOLD_S
RENEWAL_INTERVAL_S = 0.9
RETRY_DELAY_S = 0.4
# Allows for the clocks of the store and of this node running at different speeds.
VALIDITY_MARGIN_S = 0.3
# Registrations after a restore of the store are spread over this time. Together with
# the renewal interval it is shorter than the time for which nothing is taken over from
# the restored store, so the first listing shows all nodes.
REGISTER_SPREAD_S = 1.2


class Registration:
    """Implements ``Claims`` and ``ReserveStore`` of ``node.backend``."""

    def __init__(self, store: Store, vm: Vm) -> None:
        self.identity = process_name(vm.name)
        self._store = store
        self._vm = vm
        self._lease = 0
        self._lease_era: int | None = None
        self._valid_until = float("-inf")
        self._registered = False
        self._ended = False

    def _lease_is_of_older_era(self) -> bool:
        return self._lease_era is not None and self._lease_era != self._store.era.number

    def valid_until(self) -> float:
        """Return the clock time in seconds until which the lease is certainly valid.

        A lease of an older era of the store is not valid any more.
        """
        return float("-inf") if self._lease_is_of_older_era() else self._valid_until

    def _forget_lease(self) -> None:
        self._lease = 0
        self._lease_era = None
        self._valid_until = float("-inf")
        self._registered = False

    async def run(self) -> None:
        """Renew the lease, and the registration if needed, until it is ended."""
        while not self._ended:
            try:
                if self._lease_is_of_older_era():
                    await self._leave_older_era()
                await self._renew()
                await asyncio.sleep(RENEWAL_INTERVAL_S)
            except LeaseEnded:
                log.info("registration: lease ended")
                self._forget_lease()
            except EraChanged as exc:
                log.info("registration: not renewed", error=str(exc))
                await self._leave_older_era()
            except StoreFailed as exc:
                log.info("registration: not renewed", error=str(exc))
                await asyncio.sleep(RETRY_DELAY_S)

    async def _leave_older_era(self) -> None:
        """Forget the lease of an older era, and wait before registering again."""
        self._forget_lease()
        await asyncio.sleep(random.uniform(0.0, REGISTER_SPREAD_S))

    async def _renew(self) -> None:
        sent_at = clock.now()
        if not self._lease:
            self._lease, ttl_s = await self._store.create_lease(LEASE_TTL_S)
            self._lease_era = self._store.era.number
        else:
            ttl_s = await self._store.renew_lease(self._lease)
        self._valid_until = sent_at + ttl_s - VALIDITY_MARGIN_S
        if not self._registered:
            await self._register(self._vm)
            self._registered = True

    async def _register(self, vm: Vm) -> None:
        key = records.NODES_PREFIX + vm.name
        data = records.encode_node(vm, self._store.era.number, self.identity)
        put = Put(key, data, self._lease)
        try:
            await self._store.change(puts=[put])
        except Conflict as exc:
            raise StoreFailed("registration conflicts") from exc

    async def leave(self) -> None:
        """Register this node as leaving, so that others send it no new work."""
        vm = self._vm
        self._vm = replace(vm, state="leaving")
        if not self._lease or self._lease_is_of_older_era():
            # ``run`` registers the node as leaving with its next lease.
            self._registered = False
            return
        try:
            await self._register(self._vm)
        except (StoreFailed, LeaseEnded) as exc:
            log.warning("registration: leaving not recorded", error=str(exc))

    async def end(self) -> None:
        """End the lease, and so the registration and all claims.

        A lease of an older era is gone; its number may belong to another node by now.
        """
        self._ended = True
        if not self._lease or self._lease_is_of_older_era():
            return
        try:
            await self._store.end_lease(self._lease)
        except (StoreFailed, LeaseEnded) as exc:
            log.info("registration: lease not ended", error=str(exc))

    async def record(self, tokens: Mapping[str, float], revision: int) -> int:
        """Replace the record of the reserved tokens; return its new position.

        Raises ``ClaimLost`` if the record no longer has the position ``revision`` or
        the store did not confirm the change.
        """
        if self._store.era.number is None:
            raise ClaimLost("the store has not answered yet")
        key = records.RESERVE_KEY
        data = records.encode_reserve(self.identity, tokens, self._store.era.number)
        put = Put(key, data)
        try:
            return await self._store.change([Condition(key, revision)], [put])
        except (Conflict, StoreFailed, LeaseEnded) as exc:
            raise ClaimLost(repr(exc)) from exc

    async def claim(self, group: str) -> None:
        """Claim an unowned group; raises ``ClaimLost`` if that is not confirmed.

        After a restore of the store, an owner that does not know of it yet may act
        until its lease ends, so nobody claims before that.
        """
        wait_s = self._store.era.claim_wait_s(clock.now())
        if wait_s > 0:
            raise ClaimLost(f"the store was restored, wait {wait_s:.1f} s more")
        try:
            await self._write_claim(group, 0)
        except ClaimLost:
            void_at = await self._void_claim(group)
            if void_at is None:
                raise
            await self._write_claim(group, void_at)

    async def _void_claim(self, group: str) -> int | None:
        """Return the position of a claim that came back with a copy of the store.

        Returns None if there is no such claim or the store did not answer.
        """
        if not self._store.era.number:
            # The store was never restored.
            return None
        key = records.ownership_key(group)
        try:
            item = await self._store.get(key)
            void = item is not None and records.is_void(key, item.data, item.rev)
        except (StoreFailed, ValueError) as exc:
            log.info("registration: claim not read", duty=group, error=repr(exc))
            return None
        return item.rev if void else None

    async def renew_epoch(self, group: str, epoch: int) -> None:
        """Keep the claim under a new epoch; raises ``ClaimLost``."""
        await self._write_claim(group, epoch)

    async def record_replicas(
        self, group: str, epoch: int, replicas: ReplicaSet, revision: int
    ) -> int:
        """Record the group's replica set; return the position of the record.

        ``revision`` is that of the record which it replaces, 0 if there is none. A
        record that is void or not understood is replaced as well. Raises ``ClaimLost``
        if the claim has another epoch by now, the record has changed or the store did
        not confirm the change.
        """
        number = self._store.era.number
        if number is None or self._lease_is_of_older_era():
            raise ClaimLost("no lease")
        key = records.replicas_key(group)
        put = Put(key, records.encode_replica_set(replicas, number, group))
        owned = Condition(records.ownership_key(group), epoch)
        try:
            invalid_at = 0 if revision else await self._invalid_record(key)
            unchanged = Condition(key, revision or invalid_at)
            return await self._store.change([owned, unchanged], [put])
        except (Conflict, StoreFailed, LeaseEnded) as exc:
            raise ClaimLost(repr(exc)) from exc

    async def _invalid_record(self, key: str) -> int:
        """Return the position of a replica set that counts as none, 0 if none does."""
        item = await self._store.get(key)
        if item is None:
            return 0
        try:
            data = item.data
        except ValueError:
            return item.rev
        void = records.is_void(key, data, item.rev)
        if void or records.decode_replica_set(key, data) is None:
            return item.rev
        return 0

    async def release(self, group: str, epoch: int) -> None:
        """Release the claim, so that another node may claim the group."""
        key = records.ownership_key(group)
        try:
            await self._store.change([Condition(key, epoch)], deletes=[key])
        except (Conflict, StoreFailed, LeaseEnded) as exc:
            log.info(
                "registration: ownership not released", duty=group, error=repr(exc)
            )

    async def _write_claim(self, group: str, expected_rev: int) -> None:
        if not self._lease or self._lease_is_of_older_era():
            raise ClaimLost("no lease")
        key, era = records.ownership_key(group), self._store.era
        number = era.number
        data = records.encode_ownership(self.identity, number, group)
        puts = [Put(key, data, self._lease)]
        if not era.settled:
            # Nodes that start later need not wait for owners of the older era.
            puts.append(Put(records.ERA_KEY, records.encode_era(number)))
        try:
            await self._store.change([Condition(key, expected_rev)], puts)
        except (Conflict, StoreFailed, LeaseEnded) as exc:
            raise ClaimLost(repr(exc)) from exc
        era.settle(number)
