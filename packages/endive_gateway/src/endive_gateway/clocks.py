"""The clock that leases are counted by."""

import time


def boot_time() -> float:
    """Return seconds that also pass while the machine is suspended.

    A lease counted by a clock that stands still then would outlast its end.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
