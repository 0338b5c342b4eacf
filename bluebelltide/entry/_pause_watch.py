"""Notices that an instance was paused, so that its view may be out of date.

A process can be stopped, or its whole machine suspended, for any time. Routes
and targets may have changed meanwhile, and packets that waited in its sockets
belong to callers that have given up. After a pause the instance therefore opens
no flows until it has heard from a replica again.

The caller passes in a clock that also counts the time of a suspended machine.
"""

MAXIMUM_GAP_MS = 1000
"""Time between two checks above which the instance counts as paused."""
RESUME_AFTER_MS = 500
"""How long after a pause flows are opened again even if no replica has
answered. An instance that is cut off from all replicas serves what it can."""


class PauseWatch:
    """Tracks the pauses of one instance."""

    def __init__(self, now_ms: int) -> None:
        """Creates the watch of an instance that has just started.

        Args:
            now_ms: The current time.
        """
        self._last_check_ms = now_ms
        self._noticed_ms = now_ms

    def check(self, now_ms: int) -> int:
        """Records that the instance runs at a time.

        Args:
            now_ms: The current time.

        Returns:
            How long the instance was paused just before, or 0.
        """
        gap_ms = now_ms - self._last_check_ms
        self._last_check_ms = now_ms
        if gap_ms <= MAXIMUM_GAP_MS:
            return 0
        self._noticed_ms = now_ms
        return gap_ms

    def must_resume(self, now_ms: int) -> bool:
        """Returns whether to wait no longer for the answer of a replica."""
        return now_ms - self._noticed_ms >= RESUME_AFTER_MS
