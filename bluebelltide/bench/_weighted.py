"""A weighted order of the queue, compared with first come, first served.

The sum follows the multi-factor job priority of "Job Priority Plugin" in the
Flux scheduler's notes. Only the overload experiment uses it;
docs/design/0005-waiting-line.md has the figures that decided against it.
"""

import math

from bluebelltide.admission import _queue


class CallerUsage:
    """Each caller's request count with exponential decay, for fair shares."""

    HALF_LIFE_MS = 5000
    """The time after which a past request counts half."""
    MAXIMUM_CALLERS = 4096
    """How many callers are tracked at once."""

    def __init__(self) -> None:
        """Creates a record without callers."""
        self._usage: dict[str, tuple[float, int]] = {}

    def record_request(self, caller: str, now_ms: int) -> None:
        """Counts one request that was sent to a target."""
        usage = self.usage(caller, now_ms) + 1
        self._usage.pop(caller, None)
        self._usage[caller] = (usage, now_ms)
        if len(self._usage) > self.MAXIMUM_CALLERS:
            del self._usage[next(iter(self._usage))]

    def usage(self, caller: str, now_ms: int) -> float:
        """Returns the decayed count of a caller's requests."""
        usage, updated_ms = self._usage.get(caller, (0.0, now_ms))
        return usage * math.pow(0.5, (now_ms - updated_ms) / self.HALF_LIFE_MS)


def create_weighted_order(
    usage: CallerUsage, wait_weight: float, fair_share_weight: float
) -> _queue.Order:
    """Creates an order by a weighted sum of normalised factors.

    Each factor lies between 0 and 1 and has a weight.

    Args:
        usage: The decayed request counts of the callers.
        wait_weight: The weight of the wait, as a fraction of the time from
            arrival to deadline.
        fair_share_weight: The weight of the caller's fair share.

    Returns:
        The order.
    """

    def order(queued: _queue.QueuedRequest, now_ms: int) -> float:
        total_ms = max(1, queued.dispatch_deadline_ms - queued.arrived_ms)
        wait_factor = min(1.0, (now_ms - queued.arrived_ms) / total_ms)
        fair_share_factor = math.pow(2.0, -usage.usage(queued.caller, now_ms))
        return wait_weight * wait_factor + fair_share_weight * fair_share_factor

    return order
