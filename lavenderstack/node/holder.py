"""The holders of this node: requests for targets, from this node or from others.

A node holds any target that another asks it for. Which node is asked is decided by
rendezvous hashing at the asking end; two holders of one target share its
connections only less well, because the target itself bounds them.
"""

import asyncio
from collections.abc import Callable
from functools import singledispatchmethod

import structlog

from lavenderstack.border.figures import HeldTarget
from lavenderstack.border.target import (
    State,
    TargetLost,
    TargetRefused,
    TargetUnreachable,
)
from lavenderstack.core import clock
from lavenderstack.core.group_messages import ProbeReply, ProbeRequest
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
from lavenderstack.node.target_holder import Control, Gate, TargetHolder
from lavenderstack.node.transactions import parse

SWEEP_INTERVAL_S = 1.0

log = structlog.get_logger()

Make = Callable[[Target, Group], TargetHolder]


class Holders:
    """The targets that this node holds, each made on first use."""

    def __init__(self, control: Control, make: Make) -> None:
        self._control = control
        self._make = make
        self._held: dict[str, TargetHolder] = {}

    def handlers(self) -> dict[type, Callable]:
        """Return what answers each message type that this part serves."""
        served = (Execute, Begin, End)
        answers = dict.fromkeys(served, self.handle)
        return {**answers, ProbeRequest: self.look}

    async def handle(self, msg: Message) -> Message:
        """Answer a request; every failure becomes a message."""
        gate = Gate()
        try:
            return await self._serve(msg, gate)
        except Refused as exc:
            return self._failed(msg, exc, gate, run=False)
        except Unknown as exc:
            return self._failed(msg, exc, gate, run=True)
        except Exception as exc:
            log.error("holder: request failed", request=msg.request, exc_info=exc)
            return Failed(run=True, reason=Reason.CONNECTION_LOST, detail="fault")

    @singledispatchmethod
    async def _serve(self, msg: Message, gate: Gate) -> Message:
        raise TypeError(type(msg))

    @_serve.register
    async def _(self, msg: Execute, gate: Gate) -> Executed:
        return await self._find(msg.group, msg.target).execute(msg, gate)

    @_serve.register
    async def _(self, msg: Begin, gate: Gate) -> Begun:
        return await self._find(msg.group, msg.target).begin(msg)

    @_serve.register
    async def _(self, msg: End, gate: Gate) -> Executed:
        where = parse(msg.transaction)
        return await self._find(where.group, where.target).end(msg)

    def _find(self, group_name: str, target_name: str) -> TargetHolder:
        group = self._control.view.groups.get(group_name)
        target = group.target(target_name) if group else None
        if target is None:
            raise Refused(Reason.UNKNOWN_GROUP, f"no target {target_name}", 0.5)
        held = self._held.get(target_name)
        if held is None or held.target != target or held.group.targets != group.targets:
            return self._renew(target, group)
        return held

    def _renew(self, target: Target, group: Group) -> TargetHolder:
        """Hold a target for the first time, or anew because its entry changed."""
        old = self._held.get(target.name)
        if old is not None:
            old.retire()
        held = self._make(target, group)
        self._held[target.name] = held
        log.info("holder: target held", target=target.name, group=group.name)
        return held

    def _failed(
        self, msg: Message, exc: Refused | Unknown, gate: Gate, run: bool
    ) -> Failed:
        state = self._state_of(msg)
        return Failed(
            run=run,
            reason=exc.reason,
            detail=exc.detail,
            retry_after_s=getattr(exc, "retry_after_s", None),
            primary=state.primary if state else "",
            term=state.term if state else 0,
            admitted=gate.admitted,
        )

    def _state_of(self, msg: Message) -> State | None:
        held = self._held.get(getattr(msg, "target", ""))
        return held.known.state if held else None

    async def look(self, msg: ProbeRequest) -> Message:
        """Answer what a target says of itself, asked after this message came."""
        try:
            state = await self._find(msg.group, msg.target).known.look()
        except (Refused, TargetLost, TargetRefused, TargetUnreachable):
            return ProbeReply(answered=False)
        return ProbeReply(True, state.term, state.last, state.role, state.primary)

    def figures(self) -> list[HeldTarget]:
        """Return what operators are shown of the targets held."""
        return [held.figures() for held in self._held.values()]

    def open_transactions(self) -> int:
        """Return how many transactions are open on this node."""
        return sum(len(held.transactions) for held in self._held.values())

    async def run(self) -> None:
        """Look after what is held until cancelled, then close it."""
        try:
            while True:
                await asyncio.sleep(SWEEP_INTERVAL_S)
                now = clock.now()
                for held in self._held.values():
                    held.sweep(now)
        finally:
            for held in self._held.values():
                held.close()
