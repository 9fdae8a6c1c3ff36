"""The clock on which leases and the age of the store's answers are measured."""

import time


def boot_time() -> float:
    """Return the time in seconds on a clock that advances during suspension.

    A lease measured on a clock that stops then would still look valid after its end.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
