"""Rate limits, open-flow limits and the retry budget of one instance.

A limit holds for a whole data centre. There is no central counter: each
instance enforces `limit / live instances`, and the fabric spreads flows
evenly. When an instance joins, the others reduce their shares as soon as gossip
tells them, which may be shortly after it has begun to use its own. When an
instance dies, the others increase their shares only after it is declared dead.
So the sum of the shares exceeds the limit for a gossip round after a join, and
while live instances declare each other dead.
"""

from typing import NamedTuple

BURST_MS = 250
"""The largest burst of a rate limit, as time at the limited rate."""


class Share(NamedTuple):
    """An instance's share of a service's limits and slots."""

    position: int
    """The instance's index in the sorted list of live instances."""
    live_instances: int
    """How many instances of the data centre are live."""


def share_of(limit: int, share: Share) -> int:
    """Returns this instance's part of a limit.

    The parts of all instances add up to the limit exactly.

    Args:
        limit: The limit of the data centre.
        share: This instance's share.

    Returns:
        The part.
    """
    count = max(1, share.live_instances)
    base, remainder = divmod(limit, count)
    return base + (1 if share.position < remainder else 0)


class TokenBucket:
    """A token bucket that limits a rate and allows a small burst."""

    def __init__(self) -> None:
        """Creates a bucket that is full when it is first used."""
        self._tokens = 0.0
        self._updated_ms: int | None = None

    def take(self, rate_per_s: float, now_ms: int) -> bool:
        """Takes one token if there is one.

        Args:
            rate_per_s: The current rate limit; it may change between calls.
            now_ms: The current time.

        Returns:
            Whether there was a token.
        """
        burst = max(1.0, rate_per_s * BURST_MS / 1000)
        if self._updated_ms is None:
            self._tokens = burst
            self._updated_ms = now_ms
        elapsed_ms = now_ms - self._updated_ms
        self._updated_ms = now_ms
        gained = elapsed_ms * rate_per_s / 1000
        self._tokens = min(burst, self._tokens + gained)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RetryBudget:
    """Bounds retries to a percentage of requests."""

    MINIMUM_RETRIES = 3
    """Retries that are always allowed in a window, even without requests."""
    WINDOW_MS = 10_000
    """The length of a window in which requests and retries are counted.

    The budget covers the current window and the one before.
    """

    def __init__(self) -> None:
        """Creates a budget without counted requests."""
        self._window_start_ms = 0
        self._requests = [0, 0]
        self._retries = [0, 0]

    def note_request(self, now_ms: int) -> None:
        """Counts one request."""
        self._advance_window(now_ms)
        self._requests[1] += 1

    def remaining(self, percent: int, now_ms: int) -> float:
        """Returns how many retries the budget still allows.

        Args:
            percent: How many retries a hundred requests allow.
            now_ms: The current time.

        Returns:
            The remaining retries; may be a fraction.
        """
        self._advance_window(now_ms)
        allowed = max(
            float(self.MINIMUM_RETRIES if percent else 0),
            sum(self._requests) * percent / 100,
        )
        return allowed - sum(self._retries)

    def take(self, percent: int, now_ms: int) -> bool:
        """Takes one retry if the budget allows it."""
        if self.remaining(percent, now_ms) < 1:
            return False
        self._retries[1] += 1
        return True

    def _advance_window(self, now_ms: int) -> None:
        passed = (now_ms - self._window_start_ms) // self.WINDOW_MS
        if passed <= 0:
            return
        self._window_start_ms += passed * self.WINDOW_MS
        shift = 1 if passed == 1 else 2
        self._requests = [*self._requests, 0, 0][shift : shift + 2]
        self._retries = [*self._retries, 0, 0][shift : shift + 2]
        if passed > 1:
            self._requests = [0, 0]
            self._retries = [0, 0]
