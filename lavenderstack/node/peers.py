"""Messages to VMs by their names, also to this one.

A message for this VM is handed to its handler directly, so the parts that send it
need not know where a duty is held.
"""

from collections.abc import Awaitable, Callable, Mapping

from lavenderstack.core.messages import Message
from lavenderstack.core.view import View
from lavenderstack.node.streams import Handler, NotSent, StreamPool

Call = Callable[[str, Message, float], Awaitable[Message]]


class Peers:
    """Calls a VM by name; ``serve`` adds handlers for messages to this one.

    >>> peers = Peers("vm-1", StreamPool(), View)
    >>> peers.serve({})
    """

    def __init__(self, vm: str, pool: StreamPool, view: Callable[[], View]):
        self.vm = vm
        self.handlers: dict[type, Handler] = {}
        self._pool = pool
        self._view = view

    def serve(self, handlers: Mapping[type, Handler]) -> None:
        """Answer these messages when this VM is called."""
        self.handlers.update(handlers)

    async def call(self, name: str, body: Message, timeout_s: float) -> Message:
        """Send a message to a VM and return its answer.

        Raises ``NotSent``, ``StreamLost`` or ``TimeoutError`` as a stream does; a VM
        that isn't on the list is provably not reached.
        """
        if name == self.vm:
            return await self.handlers[type(body)](body)
        vm = self._view().vms.get(name)
        if vm is None:
            raise NotSent("the VM is not on the list")
        return await self._pool.call((vm.host, vm.port), body, timeout_s)
