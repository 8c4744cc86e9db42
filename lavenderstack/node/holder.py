"""The holders of this node: they run requests for targets, from any node.

A node becomes the holder of any target that another node sends it a request for. The
sender chooses the holder by rendezvous hashing. If two nodes hold one target, its
connections are used less efficiently, but the target still bounds their number.
"""

import asyncio
from collections.abc import Callable
from functools import singledispatchmethod

import structlog

from lavenderstack.border.operator_metrics import HeldTarget
from lavenderstack.border.target import (
    TargetLost,
    TargetRefused,
    TargetStatus,
    TargetUnreachable,
)
from lavenderstack.core import clock
from lavenderstack.core.failover.group_messages import ProbeReply, ProbeRequest
from lavenderstack.core.messages import (
    Begin,
    Begun,
    End,
    Execute,
    Executed,
    Failed,
    Message,
)
from lavenderstack.core.outcome import Reason, Refused, Unknown
from lavenderstack.core.view import Group, Target
from lavenderstack.node.target_holder import AdmissionState, Control, TargetHolder
from lavenderstack.node.transactions import parse

SWEEP_INTERVAL_S = 1.0

log = structlog.get_logger()

MakeHolder = Callable[[Target, Group], TargetHolder]


class Holders:
    """The holders of this node by target, each created on first use."""

    def __init__(self, control: Control, make: MakeHolder) -> None:
        self._control = control
        self._make = make
        self._holders: dict[str, TargetHolder] = {}

    def handlers(self) -> dict[type, Callable]:
        """Return the handler of each message type that the holders serve."""
        served = (Execute, Begin, End)
        handlers = dict.fromkeys(served, self.handle)
        return {**handlers, ProbeRequest: self.probe}

    async def handle(self, msg: Message) -> Message:
        """Answer a request; every failure is returned as a ``Failed`` message."""
        admission = AdmissionState()
        try:
            return await self._serve(msg, admission)
        except Refused as exc:
            return self._failed(msg, exc, admission, run=False)
        except Unknown as exc:
            return self._failed(msg, exc, admission, run=True)
        except Exception as exc:
            log.error("holder: request failed", request=msg.request, exc_info=exc)
            return Failed(run=True, reason=Reason.CONNECTION_LOST, detail="fault")

    @singledispatchmethod
    async def _serve(self, msg: Message, admission: AdmissionState) -> Message:
        raise TypeError(type(msg))

    @_serve.register
    async def _(self, msg: Execute, admission: AdmissionState) -> Executed:
        return await self._find(msg.group, msg.target).execute(msg, admission)

    @_serve.register
    async def _(self, msg: Begin, admission: AdmissionState) -> Begun:
        return await self._find(msg.group, msg.target).begin(msg)

    @_serve.register
    async def _(self, msg: End, admission: AdmissionState) -> Executed:
        location = parse(msg.transaction)
        return await self._find(location.group, location.target).end(msg)

    def _find(self, group_name: str, target_name: str) -> TargetHolder:
        group = self._control.view.groups.get(group_name)
        target = group.target(target_name) if group else None
        if target is None:
            raise Refused(Reason.UNKNOWN_GROUP, f"no target {target_name}", 0.5)
        holder = self._holders.get(target_name)
        if (
            holder is None
            or holder.target != target
            or holder.group.targets != group.targets
        ):
            return self._replace(target, group)
        return holder

    def _replace(self, target: Target, group: Group) -> TargetHolder:
        """Create the holder of a target, replacing one whose store entry changed."""
        old = self._holders.get(target.name)
        if old is not None:
            old.retire()
        holder = self._make(target, group)
        self._holders[target.name] = holder
        log.info("holder: target held", target=target.name, group=group.name)
        return holder

    def _failed(
        self, msg: Message, exc: Refused | Unknown, admission: AdmissionState, run: bool
    ) -> Failed:
        state = self._state_of(msg)
        return Failed(
            run=run,
            reason=exc.reason,
            detail=exc.detail,
            retry_after_s=getattr(exc, "retry_after_s", None),
            primary=state.primary if state else "",
            term=state.term if state else 0,
            admitted=admission.admitted,
        )

    def _state_of(self, msg: Message) -> TargetStatus | None:
        holder = self._holders.get(getattr(msg, "target", ""))
        return holder.state_cache.state if holder else None

    async def probe(self, msg: ProbeRequest) -> Message:
        """Answer with a state that the target reported after this message came."""
        try:
            state = await self._find(msg.group, msg.target).state_cache.refresh()
        except (Refused, TargetLost, TargetRefused, TargetUnreachable):
            return ProbeReply(answered=False)
        return ProbeReply(True, state.term, state.last, state.role, state.primary)

    def statuses(self) -> list[HeldTarget]:
        """Return the status of each held target for operators."""
        return [holder.status() for holder in self._holders.values()]

    def open_transactions(self) -> int:
        """Return how many transactions are open on this node."""
        return sum(len(holder.transactions) for holder in self._holders.values())

    async def run(self) -> None:
        """Close idle transactions and connections until cancelled, then close all."""
        try:
            while True:
                await asyncio.sleep(SWEEP_INTERVAL_S)
                now = clock.now()
                for holder in self._holders.values():
                    holder.sweep(now)
        finally:
            for holder in self._holders.values():
                holder.close()
