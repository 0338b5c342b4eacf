"""Estimates of how long requests run and wait, from own observations."""

RUN_TIME_SMOOTHING = 0.05
"""The weight of one run in the mean."""
UPPER_RUN_TIME_DEVIATIONS = 6.0
"""A long run is the mean and this many mean deviations."""
RATE_WINDOW_MS = 1000
"""Over which time the rate of sent requests is measured."""


class WaitEstimator:
    """Smoothed run time, and the rate at which the line is served."""

    def __init__(self) -> None:
        """Creates an estimate that expects nothing."""
        self._mean_ms = 0.0
        self._deviation_ms = 0.0
        self._window_start_ms = 0
        self._sent_counts = [0, 0]

    def note_run_time(self, run_ms: int) -> None:
        """Takes how long a request ran."""
        if self._mean_ms == 0.0:
            self._mean_ms = float(run_ms)
            return
        error_ms = run_ms - self._mean_ms
        self._mean_ms += RUN_TIME_SMOOTHING * error_ms
        self._deviation_ms += RUN_TIME_SMOOTHING * (
            abs(error_ms) - self._deviation_ms
        )

    def note_sent(self, now_ms: int) -> None:
        """Counts a request that left the line."""
        self._advance_window(now_ms)
        self._sent_counts[1] += 1

    def upper_run_time_ms(self) -> int:
        """Returns how long a request takes that runs rather long."""
        return int(
            self._mean_ms + UPPER_RUN_TIME_DEVIATIONS * self._deviation_ms
        )

    def wait_ms(self, waiting: int, running: int, now_ms: int) -> float:
        """Returns how long a request at the end of the line will wait.

        The rate of the last second is too low after a quiet time, and the
        running requests tell too little after an outage; the shorter wait of
        the two is taken, as a refusal cannot be taken back.

        Args:
            waiting: How many requests are before it.
            running: How many requests were sent and have not ended.
            now_ms: The present time.

        Returns:
            The expected wait; 0 while nothing is known.
        """
        self._advance_window(now_ms)
        if waiting == 0 or self._mean_ms == 0.0:
            return 0.0
        by_slots_ms = waiting * self._mean_ms / max(1, running)
        elapsed_ms = now_ms - self._window_start_ms
        sent = sum(self._sent_counts)
        if sent == 0:
            return by_slots_ms
        return min(by_slots_ms, waiting * (RATE_WINDOW_MS + elapsed_ms) / sent)

    def _advance_window(self, now_ms: int) -> None:
        passed = (now_ms - self._window_start_ms) // RATE_WINDOW_MS
        if passed <= 0:
            return
        self._window_start_ms += passed * RATE_WINDOW_MS
        self._sent_counts = [self._sent_counts[1] if passed == 1 else 0, 0]
