"""The clock on which leases, deadlines and freshness are measured.

It counts the time during which the VM was suspended, so a holder that was paused
sees on waking that its lease has lapsed. Pure decisions take the time as an
argument; only tasks call this module.
"""

import time


def now() -> float:
    """Return seconds since the VM booted, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
