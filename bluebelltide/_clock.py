"""The clock of the programs; decision logic gets the time as a parameter."""

import time


def now_ms() -> int:
    """Returns the monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000
