"""Decides since when a control replica may count the silence of others.

A replica that was paused or cut off has received nothing meanwhile. Targets and
other replicas were not silent, so leases and the wait before a voter is
replaced run anew from the moment when the replica hears from a quorum again.
"""

MAXIMUM_GAP_MS = 1500
"""Time between two checks above which the replica counts as paused."""


class LeaseWatch:
    """Tracks the time during which a replica has heard from a quorum.

    Attributes:
        listening_since_ms: Since when the replica has heard from a quorum
            without a gap, or None if it does not hear from one.
    """

    def __init__(self) -> None:
        """Creates the watch of a replica that has heard from nobody."""
        self.listening_since_ms: int | None = None
        self._last_check_ms = 0

    def check(self, has_quorum: bool, now_ms: int) -> int | None:
        """Records whether a quorum is alive at present.

        Args:
            has_quorum: Whether the replica heard from a quorum just now.
            now_ms: The current time.

        Returns:
            The new value of `listening_since_ms`.
        """
        was_paused = now_ms - self._last_check_ms > MAXIMUM_GAP_MS
        self._last_check_ms = now_ms
        if not has_quorum:
            self.listening_since_ms = None
        elif self.listening_since_ms is None or was_paused:
            self.listening_since_ms = now_ms
        return self.listening_since_ms
