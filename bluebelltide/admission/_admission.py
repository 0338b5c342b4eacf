"""Admission of one service on one instance: filters, line, targets, retries.

Events go in, typed actions come out. A request is `waiting`, then `trying` a
target, then `running` once its first byte may have reached the target. Only a
request that is not yet running is refused or retried.
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
    """Action: try to reach a target with a request."""

    request_id: _queue.RequestId
    """The request."""
    target: _types.Target
    """The target."""


class Refuse(NamedTuple):
    """Action: tell the caller that the request was not run."""

    request_id: _queue.RequestId
    """The request."""
    code: _codes.RefusalCode
    """Why."""


class Retry(NamedTuple):
    """Action: count a retry; a Dispatch follows now or later."""

    request_id: _queue.RequestId
    """The request."""
    code: _codes.RetryCode
    """What the earlier target did."""


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
        """Takes a newer catalogue entry of the same service."""
        self.entry = entry
        self._chooser.uses_slots = (
            entry.admission_mode == _entries.AdmissionMode.SLOTS
        )

    def update_targets(
        self,
        standings: Iterable[_registry.Standing],
        share: _limits.Share,
        now_ms: int,
    ) -> list[Action]:
        """Takes the present targets and this instance's share.

        Args:
            standings: The targets of the service.
            share: This instance's part of the limits and slots.
            now_ms: The present time.

        Returns:
            Requests that can be sent now.
        """
        self._share = share
        self._chooser.update(standings, share)
        return self._dispatch_waiting(now_ms)

    def submit_request(
        self,
        request_id: _queue.RequestId,
        caller: str,
        is_stopping: bool,
        now_ms: int,
    ) -> list[Action]:
        """Takes a new request.

        Args:
            request_id: The front's number of the request.
            caller: The caller's IP number.
            is_stopping: Whether the instance is being stopped.
            now_ms: The present time.

        Returns:
            A Dispatch, a Refuse, or nothing if the request waits.
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
        waiting = _queue.QueuedRequest(
            request_id,
            caller,
            now_ms,
            now_ms + self._maximum_wait_ms(),
            frozenset(),
            now_ms + self.entry.limits.deadline_ms,
        )
        self._requests[request_id] = _Request(waiting, None, False, 0)
        self._queue.add(waiting)
        return self._dispatch_waiting(now_ms)

    def note_running(self, request_id: _queue.RequestId) -> None:
        """Notes that a byte of the request may have reached its target."""
        request = self._requests[request_id]
        self._requests[request_id] = request._replace(is_running=True)

    def end_request(
        self, request_id: _queue.RequestId, now_ms: int
    ) -> list[Action]:
        """Ends a request, whatever its state; its slot is free again."""
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
        return self._dispatch_waiting(now_ms)

    def retry_or_refuse(
        self,
        request_id: _queue.RequestId,
        code: _codes.RetryCode,
        now_ms: int,
    ) -> list[Action]:
        """Takes the failure of a target that took no byte of a request.

        Args:
            request_id: The request.
            code: What the target did.
            now_ms: The present time.

        Returns:
            A retry or a refusal, and requests that the free slot lets run.

        Raises:
            ValueError: If the request was running, as it may not be retried.
        """
        request = self._requests[request_id]
        if request.is_running or request.target_id is None:
            raise ValueError("only a request that no target took may fail")
        if code == _codes.RetryCode.SHED:
            self._chooser.note_shed(request.target_id, now_ms)
        else:
            self._chooser.note_ended(request.target_id, True, now_ms)
        waiting = request.queued._replace(
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
            self._requests[request_id] = _Request(
                waiting, None, False, attempts
            )
            mean_ms = min(RETRY_LIMIT_MS, RETRY_BASE_MS * 2 ** (attempts - 1))
            delay_ms = int(self._random.uniform(0.5, 1.5) * mean_ms)
            self._delayed_retries.append((now_ms + delay_ms, waiting))
            actions.append(Retry(request_id, code))
        return actions + self._dispatch_waiting(now_ms)

    def tick(self, now_ms: int) -> list[Action]:
        """Runs timers: expired requests and delayed retries."""
        if not self._delayed_retries and not len(self._queue):
            return []
        actions: list[Action] = []
        due = [item for item in self._delayed_retries if item[0] <= now_ms]
        self._delayed_retries = [
            item for item in self._delayed_retries if item[0] > now_ms
        ]
        for _, waiting in due:
            self._queue.add(waiting)
        for waiting in self._queue.remove_expired(now_ms):
            del self._requests[waiting.request_id]
            code = _codes.RefusalCode.DEADLINE
            actions.append(Refuse(waiting.request_id, code))
        return actions + self._dispatch_waiting(now_ms)

    def _dispatch_waiting(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        while True:
            waiting = self._queue.first(now_ms)
            if waiting is None:
                return actions
            choice = self._choose_target(waiting, now_ms)
            if choice is None:
                return actions
            waiting = self._request_for_slot(
                waiting, choice.target.target_id, now_ms
            )
            self._queue.remove(waiting.request_id)
            request = self._requests[waiting.request_id]
            target_id = choice.target.target_id
            self._requests[waiting.request_id] = request._replace(
                target_id=target_id, sent_ms=now_ms
            )
            self._estimator.note_sent(now_ms)
            self._chooser.note_sent(target_id)
            actions.append(Dispatch(waiting.request_id, choice.target))

    def _request_for_slot(
        self,
        first: _queue.QueuedRequest,
        target_id: _types.TargetId,
        now_ms: int,
    ) -> _queue.QueuedRequest:
        """Returns the request that a target's free slot should run.

        A slow target gets the newest request, which has most time left; the
        first in line would be late there and waits for a faster one.
        """
        ends_ms = now_ms + self._chooser.upper_run_time_ms(target_id)
        newest = self._queue.newest()
        if (
            ends_ms <= first.answer_deadline_ms
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
        waiting = len(self._queue)
        running = len(self._requests) - waiting - len(self._delayed_retries)
        wait_ms = self._estimator.wait_ms(waiting, running, now_ms)
        return wait_ms <= allowed_ms

    def _choose_target(
        self, waiting: _queue.QueuedRequest, now_ms: int
    ) -> _chooser.Choice | None:
        # A borrowed slot may turn out taken, which costs a retry; without one
        # left the request waits for a slot of this instance's own.
        percent = self.entry.limits.retry_percent
        may_borrow = self._retry_budget.remaining(percent, now_ms) >= 1
        excluded = set(waiting.excluded_targets)
        choice = self._chooser.choose(now_ms, excluded, may_borrow)
        if choice is None and waiting.excluded_targets:
            # Every other target is busy or gone; a target that failed once
            # may have recovered by now.
            choice = self._chooser.choose(now_ms, set(), may_borrow)
        return choice

    def waiting_count(self) -> int:
        """Returns how many requests wait for a target."""
        return len(self._queue)

    def open_count(self) -> int:
        """Returns how many requests are waiting, trying or running."""
        return len(self._requests)

    def outstanding(self) -> dict[_types.TargetId, int]:
        """Returns this instance's open requests of each target."""
        return self._chooser.outstanding()


def create_admission(entry: _entries.ServiceEntry, seed: int) -> Admission:
    """Creates the admission of one service.

    Args:
        entry: The service's catalogue entry.
        seed: Seeds jitter and random choices.

    Returns:
        The admission, without targets until `update`.
    """
    return Admission(entry, _queue.order_first_come, seed)
