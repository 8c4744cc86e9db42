"""The clock on which leases, deadlines and view ages are measured.

It also counts time during which the VM was suspended, so a holder that was paused sees
after resuming that its lease has expired. Decision logic takes the time as an argument;
only tasks call this module.
"""

import time


def now() -> float:
    """Return seconds since the VM booted, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
