"""Admission of one service on one instance: filters, queue, targets, retries.

The methods take events and return actions for the front to carry out. A
request is queued, then dispatched to a target, and it is running once its
first byte may have reached the target. Only a request that is not yet running
is refused or retried.
"""

from collections.abc import Iterable
import random
from typing import NamedTuple

from bluebelltide import _codes
from bluebelltide import _types
from bluebelltide.admission import _chooser
from bluebelltide.admission import _estimate
from bluebelltide.admission import _filters
from bluebelltide.admission import _limits
from bluebelltide.admission import _queue
from bluebelltide.catalogue import _entries
from bluebelltide.membership import _registry

RETRY_BASE_MS = 20
"""The mean delay before the first retry."""
RETRY_LIMIT_MS = 500
"""The upper bound of the mean delay before a retry."""


class Dispatch(NamedTuple):
    """Action: send a request to a target."""

    request_id: _queue.RequestId
    """The request."""
    target: _types.Target
    """The target."""


class Refuse(NamedTuple):
    """Action: notify the caller that the request did not run."""

    request_id: _queue.RequestId
    """The request."""
    code: _codes.RefusalCode
    """The reason."""


class Retry(NamedTuple):
    """Action: count a retry; the request is queued again after a delay."""

    request_id: _queue.RequestId
    """The request."""
    code: _codes.RetryCode
    """How the earlier target failed."""


Action = Dispatch | Refuse | Retry


class _Request(NamedTuple):
    queued: _queue.QueuedRequest
    target_id: _types.TargetId | None
    is_running: bool
    attempts: int
    sent_ms: int = 0


class Admission:
    """The admission state of one service on one instance."""

    def __init__(
        self,
        entry: _entries.ServiceEntry,
        order: _queue.Order,
        seed: int,
    ) -> None:
        """Creates the state; use `create_admission`."""
        self.entry = entry
        uses_slots = entry.admission_mode == _entries.AdmissionMode.SLOTS
        self._chooser = _chooser.TargetChooser(uses_slots, seed)
        self._filters = _filters.create_filters()
        self._queue = _queue.RequestQueue(order)
        self._retry_budget = _limits.RetryBudget()
        self._random = random.Random(seed)
        self._requests: dict[_queue.RequestId, _Request] = {}
        self._delayed_retries: list[tuple[int, _queue.QueuedRequest]] = []
        self._share = _limits.Share(0, 1)
        self._estimator = _estimate.WaitEstimator()

    def update_entry(self, entry: _entries.ServiceEntry) -> None:
        """Replaces the catalogue entry by a newer one of the same service."""
        self.entry = entry
        self._chooser.uses_slots = (
            entry.admission_mode == _entries.AdmissionMode.SLOTS
        )

    def update_targets(
        self,
        availabilities: Iterable[_registry.TargetAvailability],
        share: _limits.Share,
        now_ms: int,
    ) -> list[Action]:
        """Replaces the targets and this instance's share.

        Args:
            availabilities: The targets of the service and whether they accept
                requests.
            share: This instance's part of the limits and slots.
            now_ms: The current time.

        Returns:
            A `Dispatch` for each queued request that can be sent now.
        """
        self._share = share
        self._chooser.update(availabilities, share)
        return self._dispatch_queued(now_ms)

    def submit_request(
        self,
        request_id: _queue.RequestId,
        caller: str,
        is_stopping: bool,
        now_ms: int,
    ) -> list[Action]:
        """Dispatches, queues or refuses a new request.

        Args:
            request_id: The number that the front gave the request.
            caller: The caller's IP address.
            is_stopping: Whether the instance is being stopped.
            now_ms: The current time.

        Returns:
            A `Dispatch` or a `Refuse`; nothing if the request is queued.
        """
        self._retry_budget.note_request(now_ms)
        arrival = _filters.Arrival(
            self.entry,
            True,
            is_stopping,
            self._share,
            len(self._requests),
            len(self._queue),
            self._chooser.has_targets(now_ms),
            now_ms,
        )
        code = _filters.run_filters(self._filters, arrival)
        if code is None and not self._may_finish_in_time(now_ms):
            code = _codes.RefusalCode.OVERLOAD
        if code is not None:
            return [Refuse(request_id, code)]
        queued = _queue.QueuedRequest(
            request_id,
            caller,
            now_ms,
            now_ms + self._maximum_wait_ms(),
            frozenset(),
            now_ms + self.entry.limits.deadline_ms,
        )
        self._requests[request_id] = _Request(queued, None, False, 0)
        self._queue.add(queued)
        return self._dispatch_queued(now_ms)

    def note_running(self, request_id: _queue.RequestId) -> None:
        """Records that a byte of the request may have reached its target."""
        request = self._requests[request_id]
        self._requests[request_id] = request._replace(is_running=True)

    def end_request(
        self, request_id: _queue.RequestId, now_ms: int
    ) -> list[Action]:
        """Ends a request in any state and dispatches others to its slot."""
        request = self._requests.pop(request_id, None)
        if request is None:
            return []
        self._queue.remove(request_id)
        self._delayed_retries = [
            item
            for item in self._delayed_retries
            if item[1].request_id != request_id
        ]
        if request.target_id is not None:
            self._chooser.note_ended(request.target_id, False, now_ms)
            run_ms = now_ms - request.sent_ms
            self._estimator.note_run_time(run_ms)
            self._chooser.note_run_time(request.target_id, run_ms)
        return self._dispatch_queued(now_ms)

    def retry_or_refuse(
        self,
        request_id: _queue.RequestId,
        code: _codes.RetryCode,
        now_ms: int,
    ) -> list[Action]:
        """Retries or refuses a request of which no byte reached its target.

        Args:
            request_id: The request.
            code: How the target failed.
            now_ms: The current time.

        Returns:
            A `Retry` or a `Refuse`, and a `Dispatch` for each queued request
            that can be sent now.

        Raises:
            ValueError: If the request is running, so that it must not be
                retried, or was not sent to a target.
        """
        request = self._requests[request_id]
        if request.is_running or request.target_id is None:
            raise ValueError(
                "only a request that was sent and is not running may be retried"
            )
        if code == _codes.RetryCode.SHED:
            self._chooser.note_shed(request.target_id, now_ms)
        else:
            self._chooser.note_ended(request.target_id, True, now_ms)
        queued = request.queued._replace(
            excluded_targets=request.queued.excluded_targets
            | {request.target_id}
        )
        actions: list[Action] = []
        percent = self.entry.limits.retry_percent
        if not self._retry_budget.take(percent, now_ms):
            del self._requests[request_id]
            refusal = _codes.RefusalCode.CONNECT_FAILED
            actions.append(Refuse(request_id, refusal))
        else:
            attempts = request.attempts + 1
            self._requests[request_id] = _Request(queued, None, False, attempts)
            mean_ms = min(RETRY_LIMIT_MS, RETRY_BASE_MS * 2 ** (attempts - 1))
            delay_ms = int(self._random.uniform(0.5, 1.5) * mean_ms)
            self._delayed_retries.append((now_ms + delay_ms, queued))
            actions.append(Retry(request_id, code))
        return actions + self._dispatch_queued(now_ms)

    def tick(self, now_ms: int) -> list[Action]:
        """Queues the retries that are due and refuses expired requests."""
        if not self._delayed_retries and not len(self._queue):
            return []
        actions: list[Action] = []
        due = [item for item in self._delayed_retries if item[0] <= now_ms]
        self._delayed_retries = [
            item for item in self._delayed_retries if item[0] > now_ms
        ]
        for _, queued in due:
            self._queue.add(queued)
        for queued in self._queue.remove_expired(now_ms):
            del self._requests[queued.request_id]
            code = _codes.RefusalCode.DEADLINE
            actions.append(Refuse(queued.request_id, code))
        return actions + self._dispatch_queued(now_ms)

    def _dispatch_queued(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        while True:
            queued = self._queue.first(now_ms)
            if queued is None:
                return actions
            choice = self._choose_target(queued, now_ms)
            if choice is None:
                return actions
            queued = self._request_for_slot(
                queued, choice.target.target_id, now_ms
            )
            self._queue.remove(queued.request_id)
            request = self._requests[queued.request_id]
            target_id = choice.target.target_id
            self._requests[queued.request_id] = request._replace(
                target_id=target_id, sent_ms=now_ms
            )
            self._estimator.note_sent(now_ms)
            self._chooser.note_sent(target_id)
            actions.append(Dispatch(queued.request_id, choice.target))

    def _request_for_slot(
        self,
        first: _queue.QueuedRequest,
        target_id: _types.TargetId,
        now_ms: int,
    ) -> _queue.QueuedRequest:
        """Returns the request that gets a free slot of a target.

        If the first request would be late on a slow target, it waits for a
        faster one. The slow target gets the newest request, which has the
        most time left.
        """
        end_ms = now_ms + self._chooser.upper_run_time_ms(target_id)
        newest = self._queue.newest()
        if (
            end_ms <= first.answer_deadline_ms
            or target_id in newest.excluded_targets
        ):
            return first
        return newest

    def _maximum_wait_ms(self) -> int:
        """Returns how long a request may wait and still finish in time."""
        limits = self.entry.limits
        return max(1, limits.deadline_ms - self._estimator.upper_run_time_ms())

    def _may_finish_in_time(self, now_ms: int) -> bool:
        """Returns whether a new request is expected to finish in time."""
        limits = self.entry.limits
        allowed_ms = limits.deadline_ms * limits.wait_percent / 100
        allowed_ms = min(allowed_ms, self._maximum_wait_ms())
        queued = len(self._queue)
        running = len(self._requests) - queued - len(self._delayed_retries)
        wait_ms = self._estimator.wait_ms(queued, running, now_ms)
        return wait_ms <= allowed_ms

    def _choose_target(
        self, queued: _queue.QueuedRequest, now_ms: int
    ) -> _chooser.Choice | None:
        # A borrowed slot may turn out to be busy, which costs a retry. If the
        # retry budget is used up, the request waits for one of the slots that
        # this instance owns.
        percent = self.entry.limits.retry_percent
        may_borrow = self._retry_budget.remaining(percent, now_ms) >= 1
        excluded = set(queued.excluded_targets)
        choice = self._chooser.choose(now_ms, excluded, may_borrow)
        if choice is None and queued.excluded_targets:
            # All other targets are busy or gone. A target that failed this
            # request earlier may have recovered.
            choice = self._chooser.choose(now_ms, set(), may_borrow)
        return choice

    def queued_count(self) -> int:
        """Returns how many requests are queued."""
        return len(self._queue)

    def open_count(self) -> int:
        """Returns how many requests have not ended, queued ones included."""
        return len(self._requests)

    def outstanding(self) -> dict[_types.TargetId, int]:
        """Returns how many requests this instance has at each target."""
        return self._chooser.outstanding()


def create_admission(entry: _entries.ServiceEntry, seed: int) -> Admission:
    """Creates the admission of one service.

    Args:
        entry: The service's catalogue entry.
        seed: Seeds jitter and random choices.

    Returns:
        The admission, without targets until `Admission.update_targets`.
    """
    return Admission(entry, _queue.order_first_come, seed)
