"""Refuses operators' orders that waited while a replica was paused.

An order has no version, so a copy that is handled late counts as a new one: it
would revert an order that another replica acknowledged meanwhile. Operators
move on after 1 s without an answer. An order that waited in the sockets of a
paused replica for longer is therefore refused; who still wants it sends it
again.

The caller passes in a clock that also counts the time of a suspended machine.
"""

MAXIMUM_GAP_MS = 1000
"""Time between two checks above which the replica counts as paused."""
REFUSE_MS = 300
"""How long after a pause orders are refused. What waited in the sockets is read
within this time."""


class OrderGate:
    """Tracks the pauses of one replica."""

    def __init__(self, now_ms: int) -> None:
        """Creates the gate of a replica that has just started.

        Args:
            now_ms: The current time.
        """
        self._last_check_ms = now_ms
        self._refuses_until_ms = now_ms

    def check(self, now_ms: int) -> bool:
        """Records that the replica runs at a time.

        Args:
            now_ms: The current time.

        Returns:
            Whether an order may be handled now.
        """
        if now_ms - self._last_check_ms > MAXIMUM_GAP_MS:
            self._refuses_until_ms = now_ms + REFUSE_MS
        self._last_check_ms = now_ms
        return now_ms >= self._refuses_until_ms
