"""An event loop on virtual time, for tests that simulate minutes.

The loop's clock jumps to the next timer, so a simulated minute takes much less.
"""

import asyncio
import selectors

MIN_STEP_S = 1e-6


class VirtualSelector(selectors.SelectSelector):
    """Advances the virtual clock by the time that it would have waited."""

    now = 1000.0

    def select(self, timeout=None):
        """Return the ready events at once; if there are none, advance the clock."""
        ready = super().select(0)
        VirtualSelector.now += MIN_STEP_S if ready or not timeout else timeout
        return ready


def clock():
    """Return the virtual time in seconds."""
    return VirtualSelector.now


def run_on_virtual_time(main):
    """Run a coroutine on an event loop of virtual time and return its result."""
    loop = asyncio.SelectorEventLoop(VirtualSelector())
    loop.time = clock
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(main)
