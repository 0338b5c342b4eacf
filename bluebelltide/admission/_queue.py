"""The waiting line of one service and the orders it may be kept in."""

from collections.abc import Callable
from typing import NamedTuple

RequestId = int


class QueuedRequest(NamedTuple):
    """A request that waits for a target."""

    request_id: RequestId
    """The front's number of the request."""
    caller: str
    """The caller's IP number, the account of fair shares."""
    arrived_ms: int
    """When the request arrived."""
    dispatch_deadline_ms: int
    """When it may no longer be sent to a target."""
    excluded_targets: frozenset[str]
    """Targets that already failed the request."""
    answer_deadline_ms: int
    """When an answer would be late."""


Order = Callable[[QueuedRequest, int], float]
"""Returns the priority of a request at a time; the highest goes first."""


def order_first_come(waiting: QueuedRequest, now_ms: int) -> float:
    """Puts the request first that arrived first."""
    del now_ms
    return -float(waiting.arrived_ms)


class RequestQueue:
    """Requests that wait, taken by priority."""

    def __init__(self, order: Order) -> None:
        """Creates an empty line."""
        self._order = order
        self._waiting: dict[RequestId, QueuedRequest] = {}

    def __len__(self) -> int:
        """Returns how many requests wait."""
        return len(self._waiting)

    def add(self, waiting: QueuedRequest) -> None:
        """Adds a request."""
        self._waiting[waiting.request_id] = waiting

    def remove(self, request_id: RequestId) -> bool:
        """Removes a request; returns whether it was there."""
        return self._waiting.pop(request_id, None) is not None

    def remove_expired(self, now_ms: int) -> list[QueuedRequest]:
        """Removes and returns the requests whose deadline has passed."""
        expired = [
            waiting
            for waiting in self._waiting.values()
            if waiting.dispatch_deadline_ms <= now_ms
        ]
        for waiting in expired:
            del self._waiting[waiting.request_id]
        return expired

    def newest(self) -> QueuedRequest:
        """Returns the request that arrived last; the line must not be empty."""
        return next(reversed(self._waiting.values()))

    def first(self, now_ms: int) -> QueuedRequest | None:
        """Returns the request with the highest priority, or None."""
        if not self._waiting:
            return None
        if self._order is order_first_come:
            return next(iter(self._waiting.values()))
        return max(self._waiting.values(), key=lambda w: self._order(w, now_ms))
