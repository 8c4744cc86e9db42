"""Sends messages to other nodes on behalf of this node's components.

A message to this node itself uses no stream: its handler is called directly. A node
that can't be reached is not chosen for a short time.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable, Mapping
from functools import partial

from lavenderstack.core import clock
from lavenderstack.core.members import Members
from lavenderstack.core.messages import Failed, Message, understood
from lavenderstack.core.view import Target, View, Vm
from lavenderstack.node.streams import (
    InvalidRequest,
    NotSent,
    NotSupported,
    StillConnecting,
    StreamLost,
    StreamPool,
)

CallVm = Callable[[str, Message, float], Awaitable[Message]]
# Returns the VM to which the placement assigns a target, None if the ring decides.
AssignedTo = Callable[[Target], str | None]


def _by_ring(_: Target) -> None:
    return None


class Peers:
    """Sends messages to nodes at their addresses in the platform's list of VMs.

    ``assigned_to`` tells the placement of targets; without one the ring decides.
    """

    def __init__(
        self, name: str, view: Callable[[], View], pool: StreamPool, members: Members
    ) -> None:
        self.name = name
        self.pool = pool
        self._view = view
        self._members = members
        self._handlers: Mapping[type, Callable] = {}
        self.assigned_to: AssignedTo = _by_ring

    def set_handlers(self, handlers: Mapping[type, Callable]) -> None:
        """Set the handlers of messages that this node sends to itself."""
        self._handlers = handlers

    async def ask(self, vm: Vm, msg: Message, timeout_s: float) -> Message:
        """Send a message and return its answer.

        Raises ``NotSent`` if the message never left this node, ``StreamLost`` if the
        stream failed after that, or ``TimeoutError`` after ``timeout_s`` seconds.
        """
        if vm.name == self.name:
            answer = await self._handlers[type(msg)](msg)
        else:
            answer = await self._ask_other(vm, msg, timeout_s)
        return understood(answer) if isinstance(answer, Failed) else answer

    async def _ask_other(self, vm: Vm, msg: Message, timeout_s: float) -> Message:
        try:
            return await self.pool.call((vm.host, vm.port), msg, timeout_s)
        except StillConnecting as exc:
            self._members.suspect(vm.name, clock.now())
            exc.opening.add_done_callback(partial(self._finish_connecting, vm.name))
            raise
        except (NotSupported, InvalidRequest):
            # Nothing is wrong with the node: its build is another one, or the request
            # is too long for any node.
            raise
        except (NotSent, StreamLost):
            self._members.suspect(vm.name, clock.now())
            raise

    def _finish_connecting(self, name: str, opening: asyncio.Task) -> None:
        """Trust a node whose connection opened later than usual."""
        if not opening.cancelled() and opening.exception() is None:
            self.trust(name)

    def suspect(self, name: str) -> None:
        """Exclude a node that did not answer from the choices for a short time."""
        self._members.suspect(name, clock.now())

    def trust(self, name: str) -> None:
        """Make a node that has answered eligible again."""
        self._members.trust(name)

    async def call(self, name: str, msg: Message, timeout_s: float) -> Message:
        """Send a message to a VM by name; raises the same errors as ``ask``."""
        vm = self._view().vms.get(name)
        if vm is None:
            raise NotSent("the VM is not on the platform's list")
        return await self.ask(vm, msg, timeout_s)

    def live(self) -> list[Vm]:
        """Return the entry VMs that are considered live."""
        return self._members.live(self._view(), clock.now())

    def holders(self, target: Target) -> list[Vm]:
        """Return the VMs that may hold a target's connections, preferred first."""
        assigned = self.assigned_to(target)
        return self._members.holders(self._view(), target, clock.now(), assigned)

    def first_choice(self, target: Target) -> Vm | None:
        """Return the first choice as a target's holder, even if it didn't answer.

        It depends only on what the store holds, not on this node's streams.
        """
        assigned = self.assigned_to(target)
        # No suspicion lasts until then.
        found = self._members.holders(self._view(), target, math.inf, assigned)
        return found[0] if found else None
