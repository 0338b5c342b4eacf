"""The clock of the programs; decision logic gets the time as a parameter."""

import time


def now_ms() -> int:
    """Returns the monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def boot_ms() -> int:
    """Returns the monotonic clock that also counts while the machine sleeps."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
