"""A fake clock with an event queue, for experiments and tests."""

from collections.abc import Callable
import heapq


class FakeClock:
    """Runs callbacks in the order of their due times."""

    def __init__(self) -> None:
        """Creates a clock that shows 0 ms."""
        self.now_ms = 0.0
        self._event_count = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Runs a callback after a delay."""
        self._event_count += 1
        event = (self.now_ms + delay_ms, self._event_count, callback)
        heapq.heappush(self._queue, event)

    def every(self, interval_ms: float, callback: Callable[[], None]) -> None:
        """Runs a callback at a fixed interval."""

        def run() -> None:
            callback()
            self.after(interval_ms, run)

        self.after(interval_ms, run)

    def run_until(self, end_ms: float) -> None:
        """Runs every callback that is due by a time, then sets the clock."""
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, callback = heapq.heappop(self._queue)
            callback()
        self.now_ms = end_ms
