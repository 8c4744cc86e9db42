"""The lease of this node, its registration, and the duties that it claims.

Everything here ends with the lease, so a node that dies is forgotten without anyone's
doing. How long the lease holds is counted from the moment at which its renewal was
sent.
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
    Conflict,
    Expect,
    LeaseEnded,
    Put,
    Store,
    StoreFailed,
)

log = structlog.get_logger()

TTL_S = 3.0
KEEP_EVERY_S = 0.9
RETRY_S = 0.4
# Covers clocks that run at slightly different speeds.
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
        """Return until when the lease is certain to hold."""
        return self._valid_until

    async def run(self) -> None:
        """Keep the lease and the registration until cancelled."""
        while True:
            try:
                await self._keep()
                await asyncio.sleep(KEEP_EVERY_S)
            except LeaseEnded:
                log.info("registration: lease ended")
                self._lease = 0
                self._registered = False
            except StoreFailed as exc:
                log.info("registration: not renewed", error=str(exc))
                await asyncio.sleep(RETRY_S)

    async def _keep(self) -> None:
        asked_at = clock.now()
        if not self._lease:
            self._lease, ttl_s = await self._store.lease(TTL_S)
        else:
            ttl_s = await self._store.keep(self._lease)
        self._valid_until = asked_at + ttl_s - VALIDITY_MARGIN_S
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
        """Tell the others that this node is stopping, and start nothing new here."""
        vm = self._vm
        self._vm = Vm(vm.name, vm.zone, vm.host, vm.port, state="leaving")
        try:
            await self._register(self._vm)
        except (StoreFailed, LeaseEnded) as exc:
            log.warning("registration: leaving not recorded", error=str(exc))

    async def end(self) -> None:
        """End the lease, and with it the registration and all claims."""
        if not self._lease:
            return
        try:
            await self._store.end_lease(self._lease)
        except (StoreFailed, LeaseEnded) as exc:
            log.info("registration: lease not ended", error=str(exc))

    async def record(self, tokens: Mapping[str, float], revision: int) -> int:
        """Replace the record of the reserves; return its new revision."""
        key = documents.RESERVE_KEY
        put = Put(key, documents.encode_reserve(self.identity, tokens))
        try:
            return await self._store.change([Expect(key, revision)], [put])
        except (Conflict, StoreFailed, LeaseEnded) as exc:
            raise ClaimLost(repr(exc)) from exc

    async def claim(self, duty: str) -> None:
        """Claim a free duty; raises ``ClaimLost`` if that can't be said to be done."""
        await self._write_duty(duty, 0)

    async def renew_epoch(self, duty: str, epoch: int) -> None:
        """Hold the duty on under a new epoch; raises ``ClaimLost``."""
        await self._write_duty(duty, epoch)

    async def release(self, duty: str, epoch: int) -> None:
        """Give a duty up, so that another node may claim it."""
        key = documents.DUTIES_PREFIX + duty
        try:
            await self._store.change([Expect(key, epoch)], deletes=[key])
        except (Conflict, StoreFailed, LeaseEnded) as exc:
            log.info("registration: ownership not released", duty=duty, error=repr(exc))

    async def _write_duty(self, duty: str, before: int) -> None:
        if not self._lease:
            raise ClaimLost("no lease")
        key = documents.DUTIES_PREFIX + duty
        put = Put(key, documents.encode_duty(self.identity), self._lease)
        try:
            await self._store.change([Expect(key, before)], [put])
        except (Conflict, StoreFailed, LeaseEnded) as exc:
            raise ClaimLost(repr(exc)) from exc
