"""The request queue of one service and its order."""

from collections.abc import Callable
from typing import NamedTuple

RequestId = int


class QueuedRequest(NamedTuple):
    """A request that waits for a target."""

    request_id: RequestId
    """The number that the front gave the request."""
    caller: str
    """The caller's IP address, by which capacity can be shared fairly."""
    arrived_ms: int
    """When the request arrived."""
    dispatch_deadline_ms: int
    """When the request may no longer be sent to a target."""
    excluded_targets: frozenset[str]
    """Targets that failed this request."""
    answer_deadline_ms: int
    """When an answer would be late."""


Order = Callable[[QueuedRequest, int], float]
"""Returns the priority of a request at a time; the highest leaves first."""


def order_first_come(request: QueuedRequest, now_ms: int) -> float:
    """Gives the highest priority to the request that arrived first."""
    del now_ms
    return -float(request.arrived_ms)


class RequestQueue:
    """The requests that wait for a target, in order of priority."""

    def __init__(self, order: Order) -> None:
        """Creates an empty queue."""
        self._order = order
        self._requests: dict[RequestId, QueuedRequest] = {}

    def __len__(self) -> int:
        """Returns how many requests are queued."""
        return len(self._requests)

    def add(self, request: QueuedRequest) -> None:
        """Adds a request."""
        self._requests[request.request_id] = request

    def remove(self, request_id: RequestId) -> bool:
        """Removes a request; returns whether it was queued."""
        return self._requests.pop(request_id, None) is not None

    def remove_expired(self, now_ms: int) -> list[QueuedRequest]:
        """Removes and returns the requests that may no longer be sent."""
        expired = [
            request
            for request in self._requests.values()
            if request.dispatch_deadline_ms <= now_ms
        ]
        for request in expired:
            del self._requests[request.request_id]
        return expired

    def newest(self) -> QueuedRequest:
        """Returns the request that was added last; there must be one."""
        return next(reversed(self._requests.values()))

    def first(self, now_ms: int) -> QueuedRequest | None:
        """Returns the request with the highest priority, or None."""
        if not self._requests:
            return None
        if self._order is order_first_come:
            return next(iter(self._requests.values()))
        return max(
            self._requests.values(),
            key=lambda request: self._order(request, now_ms),
        )
