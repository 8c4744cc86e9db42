"""The lease of this node, its registration, and the groups that it claims.

The registration and the claims are bound to the lease, so the store removes those of a
node that has died. The lease's validity is counted from the moment at which its
renewal was sent, since the answer may be late.
"""

import asyncio
import secrets
from collections.abc import Mapping

import structlog

from lavenderstack.core import clock
from lavenderstack.core.view import Vm
from lavenderstack.node.backend import ClaimLost
from lavenderstack.platform import documents
from lavenderstack.platform.store import (
    Condition,
    Conflict,
    LeaseEnded,
    Put,
    Store,
    StoreFailed,
)

log = structlog.get_logger()

LEASE_TTL_S = 3.0
RENEWAL_INTERVAL_S = 0.9
RETRY_DELAY_S = 0.4
# Allows for the clocks of the store and of this node running at different speeds.
VALIDITY_MARGIN_S = 0.3


class Registration:
    """Implements ``Claims`` and ``ReserveStore`` of ``node.backend``."""

    def __init__(self, store: Store, vm: Vm) -> None:
        self.identity = f"{vm.name}#{secrets.token_hex(4)}"
        self._store = store
        self._vm = vm
        self._lease = 0
        self._valid_until = float("-inf")
        self._registered = False

    def valid_until(self) -> float:
        """Return the clock time in seconds until which the lease is certainly valid."""
        return self._valid_until

    async def run(self) -> None:
        """Renew the lease, and the registration if needed, until cancelled."""
        while True:
            try:
                await self._renew()
                await asyncio.sleep(RENEWAL_INTERVAL_S)
            except LeaseEnded:
                log.info("registration: lease ended")
                self._lease = 0
                self._registered = False
            except StoreFailed as exc:
                log.info("registration: not renewed", error=str(exc))
                await asyncio.sleep(RETRY_DELAY_S)

    async def _renew(self) -> None:
        sent_at = clock.now()
        if not self._lease:
            self._lease, ttl_s = await self._store.create_lease(LEASE_TTL_S)
        else:
            ttl_s = await self._store.renew_lease(self._lease)
        self._valid_until = sent_at + ttl_s - VALIDITY_MARGIN_S
        if not self._registered:
            await self._register(self._vm)
            self._registered = True

    async def _register(self, vm: Vm) -> None:
        key = documents.NODES_PREFIX + vm.name
        put = Put(key, documents.encode_node(vm), self._lease)
        try:
            await self._store.change(puts=[put])
        except Conflict as exc:
            raise StoreFailed("registration conflicts") from exc

    async def leave(self) -> None:
        """Register this node as leaving, so that others send it no new work."""
        vm = self._vm
        self._vm = Vm(vm.name, vm.zone, vm.host, vm.port, state="leaving")
        try:
            await self._register(self._vm)
        except (StoreFailed, LeaseEnded) as exc:
            log.warning("registration: leaving not recorded", error=str(exc))

    async def end(self) -> None:
        """End the lease, and so the registration and all claims."""
        if not self._lease:
            return
        try:
            await self._store.end_lease(self._lease)
        except (StoreFailed, LeaseEnded) as exc:
            log.info("registration: lease not ended", error=str(exc))

    async def record(self, tokens: Mapping[str, float], revision: int) -> int:
        """Replace the record of the reserved tokens; return its new revision.

        Raises ``ClaimLost`` if the record no longer has ``revision`` or the store did
        not confirm the change.
        """
        key = documents.RESERVE_KEY
        put = Put(key, documents.encode_reserve(self.identity, tokens))
        try:
            return await self._store.change([Condition(key, revision)], [put])
        except (Conflict, StoreFailed, LeaseEnded) as exc:
            raise ClaimLost(repr(exc)) from exc

    async def claim(self, group: str) -> None:
        """Claim an unowned group; raises ``ClaimLost`` if that is not confirmed."""
        await self._write_claim(group, 0)

    async def renew_epoch(self, group: str, epoch: int) -> None:
        """Keep the claim under a new epoch; raises ``ClaimLost``."""
        await self._write_claim(group, epoch)

    async def release(self, group: str, epoch: int) -> None:
        """Release the claim, so that another node may claim the group."""
        key = documents.OWNERSHIP_PREFIX + group
        try:
            await self._store.change([Condition(key, epoch)], deletes=[key])
        except (Conflict, StoreFailed, LeaseEnded) as exc:
            log.info(
                "registration: ownership not released", duty=group, error=repr(exc)
            )

    async def _write_claim(self, group: str, expected_rev: int) -> None:
        if not self._lease:
            raise ClaimLost("no lease")
        key = documents.OWNERSHIP_PREFIX + group
        put = Put(key, documents.encode_ownership(self.identity), self._lease)
        try:
            await self._store.change([Condition(key, expected_rev)], [put])
        except (Conflict, StoreFailed, LeaseEnded) as exc:
            raise ClaimLost(repr(exc)) from exc
