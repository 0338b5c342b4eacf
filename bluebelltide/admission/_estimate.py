"""Estimates how long requests run and wait, from the requests observed."""

RUN_TIME_SMOOTHING = 0.05
"""The weight of one request in the mean run time and its deviation."""
UPPER_RUN_TIME_DEVIATIONS = 6.0
"""Mean deviations above the mean that give a high estimate."""
RATE_WINDOW_MS = 1000
"""The length of the windows in which sent requests are counted."""


class SendRate:
    """The rate at which requests left a queue in the last second or two."""

    def __init__(self) -> None:
        """Creates the rate of a queue that no request has left."""
        self._window_start_ms = 0
        self._sent_counts = [0, 0]

    def note_sent(self, now_ms: int) -> None:
        """Counts a request that left the queue."""
        self._advance_window(now_ms)
        self._sent_counts[1] += 1

    def count_sent(self, now_ms: int) -> tuple[int, int]:
        """Returns how many requests left the queue, and in how long.

        Args:
            now_ms: The current time.

        Returns:
            The number of requests, and the time in which they were counted.
        """
        self._advance_window(now_ms)
        elapsed_ms = now_ms - self._window_start_ms
        return sum(self._sent_counts), RATE_WINDOW_MS + elapsed_ms

    def _advance_window(self, now_ms: int) -> None:
        passed = (now_ms - self._window_start_ms) // RATE_WINDOW_MS
        if passed <= 0:
            return
        self._window_start_ms += passed * RATE_WINDOW_MS
        self._sent_counts = [self._sent_counts[1] if passed == 1 else 0, 0]


class WaitEstimator:
    """The smoothed run time of requests and the rate at which they are sent."""

    def __init__(self) -> None:
        """Creates an estimator that has observed no request."""
        self._mean_ms = 0.0
        self._deviation_ms = 0.0
        self._rate = SendRate()

    def note_run_time(self, run_ms: int) -> None:
        """Records how long a request ran."""
        if self._mean_ms == 0.0:
            self._mean_ms = float(run_ms)
            return
        error_ms = run_ms - self._mean_ms
        self._mean_ms += RUN_TIME_SMOOTHING * error_ms
        self._deviation_ms += RUN_TIME_SMOOTHING * (
            abs(error_ms) - self._deviation_ms
        )

    def note_sent(self, now_ms: int) -> None:
        """Counts a request that left the queue for a target."""
        self._rate.note_sent(now_ms)

    def upper_run_time_ms(self) -> int:
        """Returns a high estimate of the run time of a request."""
        return int(
            self._mean_ms + UPPER_RUN_TIME_DEVIATIONS * self._deviation_ms
        )

    def wait_ms(self, queued: int, running: int, now_ms: int) -> float:
        """Returns the expected wait of a request at the end of the queue.

        The wait is estimated by the number of running requests, which is too
        low after an outage, and by the rate of the last second, which is too
        low after a quiet period. The shorter of the two waits is returned,
        because a refusal cannot be undone.

        Args:
            queued: How many requests are queued before it.
            running: How many requests were sent and have not ended.
            now_ms: The current time.

        Returns:
            The expected wait, or 0 if there is no observation yet.
        """
        sent, span_ms = self._rate.count_sent(now_ms)
        if queued == 0 or self._mean_ms == 0.0:
            return 0.0
        by_running_ms = queued * self._mean_ms / max(1, running)
        if sent == 0:
            return by_running_ms
        return min(by_running_ms, queued * span_ms / sent)
