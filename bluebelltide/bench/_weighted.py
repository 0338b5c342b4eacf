"""A weighted order of the waiting line, measured against first come.

The sum follows the multi-factor job priority of "Job Priority Plugin" in the
Flux scheduler's notes. It was not kept; docs/design/0005-waiting-line.md has
the figures.
"""

import math

from bluebelltide.admission import _queue


class CallerUsage:
    """Decayed work of each caller, for fair shares with a half-life."""

    HALF_LIFE_MS = 5000
    """How long it takes until past work counts half."""
    MAXIMUM_CALLERS = 4096
    """How many callers are remembered."""

    def __init__(self) -> None:
        """Creates an empty record."""
        self._usage: dict[str, tuple[float, int]] = {}

    def note(self, caller: str, now_ms: int) -> None:
        """Counts one request that was sent to a target."""
        usage = self.usage(caller, now_ms) + 1
        self._usage.pop(caller, None)
        self._usage[caller] = (usage, now_ms)
        if len(self._usage) > self.MAXIMUM_CALLERS:
            del self._usage[next(iter(self._usage))]

    def usage(self, caller: str, now_ms: int) -> float:
        """Returns the decayed count of a caller's requests."""
        usage, since_ms = self._usage.get(caller, (0.0, now_ms))
        return usage * math.pow(0.5, (now_ms - since_ms) / self.HALF_LIFE_MS)


def create_weighted_order(
    usage: CallerUsage, wait_weight: float, fair_share_weight: float
) -> _queue.Order:
    """Creates an order by a weighted sum of normalised factors.

    Each factor lies between 0 and 1 and has a weight.

    Args:
        usage: The callers' decayed usage.
        wait_weight: Weight of the wait, as a part of the time to deadline.
        fair_share_weight: Weight of the caller's fair share.

    Returns:
        The order.
    """

    def order(waiting: _queue.QueuedRequest, now_ms: int) -> float:
        span_ms = max(1, waiting.dispatch_deadline_ms - waiting.arrived_ms)
        wait = min(1.0, (now_ms - waiting.arrived_ms) / span_ms)
        fair_share = math.pow(2.0, -usage.usage(waiting.caller, now_ms))
        return wait_weight * wait + fair_share_weight * fair_share

    return order
