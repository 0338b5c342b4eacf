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
from bluebelltide.admission import _line
from bluebelltide.catalogue import _entries
from bluebelltide.membership import _registry

RETRY_BASE_MS = 20
"""The mean delay before the first retry."""
RETRY_LIMIT_MS = 500
"""The upper bound of the mean delay before a retry."""


class Dispatch(NamedTuple):
    """Action: try to reach a target with a request."""

    request_id: _line.RequestId
    """The request."""
    target: _types.Target
    """The target."""


class Refuse(NamedTuple):
    """Action: tell the caller that the request was not run."""

    request_id: _line.RequestId
    """The request."""
    code: _codes.RefusalCode
    """Why."""


class Retry(NamedTuple):
    """Action: count a retry; a Dispatch follows now or later."""

    request_id: _line.RequestId
    """The request."""
    code: _codes.RetryCode
    """What the earlier target did."""


Action = Dispatch | Refuse | Retry


class _Request(NamedTuple):
    waiting: _line.Waiting
    target_id: _types.TargetId | None
    is_running: bool
    attempts: int
    sent_ms: int = 0


class Admission:
    """The admission state of one service on one instance."""

    def __init__(
        self,
        entry: _entries.ServiceEntry,
        order: _line.Order,
        seed: int,
    ) -> None:
        """Creates the state; use `create_admission`."""
        self.entry = entry
        uses_slots = entry.admission_mode == _entries.AdmissionMode.SLOTS
        self._chooser = _chooser.TargetChooser(uses_slots, seed)
        self._filters = _filters.create_filters()
        self._line = _line.WaitingLine(order)
        self._budget = _limits.RetryBudget()
        self._random = random.Random(seed)
        self._requests: dict[_line.RequestId, _Request] = {}
        self._delayed: list[tuple[int, _line.Waiting]] = []
        self._share = _limits.Share(0, 1)
        self._estimate = _estimate.WaitEstimate()

    def update_entry(self, entry: _entries.ServiceEntry) -> None:
        """Takes a newer catalogue entry of the same service."""
        self.entry = entry
        self._chooser.uses_slots = (
            entry.admission_mode == _entries.AdmissionMode.SLOTS
        )

    def update(
        self,
        standings: Iterable[_registry.TargetAvailability],
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

    def arrive(
        self,
        request_id: _line.RequestId,
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
        self._budget.note_request(now_ms)
        arrival = _filters.Arrival(
            self.entry,
            True,
            is_stopping,
            self._share,
            len(self._requests),
            len(self._line),
            self._chooser.has_targets(now_ms),
            now_ms,
        )
        code = _filters.run_filters(self._filters, arrival)
        if code is None and not self._may_finish(now_ms):
            code = _codes.RefusalCode.OVERLOAD
        if code is not None:
            return [Refuse(request_id, code)]
        waiting = _line.Waiting(
            request_id,
            caller,
            now_ms,
            now_ms + self._patience_ms(),
            frozenset(),
            now_ms + self.entry.limits.deadline_ms,
        )
        self._requests[request_id] = _Request(waiting, None, False, 0)
        self._line.add(waiting)
        return self._dispatch_waiting(now_ms)

    def note_running(self, request_id: _line.RequestId) -> None:
        """Notes that a byte of the request may have reached its target."""
        request = self._requests[request_id]
        self._requests[request_id] = request._replace(is_running=True)

    def end(self, request_id: _line.RequestId, now_ms: int) -> list[Action]:
        """Ends a request, whatever its state; its slot is free again."""
        request = self._requests.pop(request_id, None)
        if request is None:
            return []
        self._line.remove(request_id)
        self._delayed = [
            item for item in self._delayed if item[1].request_id != request_id
        ]
        if request.target_id is not None:
            self._chooser.note_ended(request.target_id, False, now_ms)
            run_ms = now_ms - request.sent_ms
            self._estimate.note_run(run_ms)
            self._chooser.note_run(request.target_id, run_ms)
        return self._dispatch_waiting(now_ms)

    def fail(
        self,
        request_id: _line.RequestId,
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
        waiting = request.waiting._replace(
            excluded=request.waiting.excluded | {request.target_id}
        )
        actions: list[Action] = []
        percent = self.entry.limits.retry_percent
        if not self._budget.take(percent, now_ms):
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
            self._delayed.append((now_ms + delay_ms, waiting))
            actions.append(Retry(request_id, code))
        return actions + self._dispatch_waiting(now_ms)

    def tick(self, now_ms: int) -> list[Action]:
        """Runs timers: expired requests and delayed retries."""
        if not self._delayed and not len(self._line):
            return []
        actions: list[Action] = []
        due = [item for item in self._delayed if item[0] <= now_ms]
        self._delayed = [item for item in self._delayed if item[0] > now_ms]
        for _, waiting in due:
            self._line.add(waiting)
        for waiting in self._line.take_expired(now_ms):
            del self._requests[waiting.request_id]
            code = _codes.RefusalCode.DEADLINE
            actions.append(Refuse(waiting.request_id, code))
        return actions + self._dispatch_waiting(now_ms)

    def _dispatch_waiting(self, now_ms: int) -> list[Action]:
        actions: list[Action] = []
        while True:
            waiting = self._line.first(now_ms)
            if waiting is None:
                return actions
            choice = self._choose(waiting, now_ms)
            if choice is None:
                return actions
            waiting = self._suited(waiting, choice.target.target_id, now_ms)
            self._line.remove(waiting.request_id)
            request = self._requests[waiting.request_id]
            target_id = choice.target.target_id
            self._requests[waiting.request_id] = request._replace(
                target_id=target_id, sent_ms=now_ms
            )
            self._estimate.note_sent(now_ms)
            self._chooser.note_sent(target_id)
            actions.append(Dispatch(waiting.request_id, choice.target))

    def _suited(
        self, first: _line.Waiting, target_id: _types.TargetId, now_ms: int
    ) -> _line.Waiting:
        """Returns the request that a target's free slot should run.

        A slow target gets the newest request, which has most time left; the
        first in line would be late there and waits for a faster one.
        """
        ends_ms = now_ms + self._chooser.long_run_ms(target_id)
        newest = self._line.newest()
        if ends_ms <= first.late_ms or target_id in newest.excluded:
            return first
        return newest

    def _patience_ms(self) -> int:
        """Returns how long a request may wait and still finish in time."""
        limits = self.entry.limits
        return max(1, limits.deadline_ms - self._estimate.long_run_ms())

    def _may_finish(self, now_ms: int) -> bool:
        """Returns whether a new request is expected to finish in time."""
        limits = self.entry.limits
        allowed_ms = limits.deadline_ms * limits.wait_percent / 100
        allowed_ms = min(allowed_ms, self._patience_ms())
        waiting = len(self._line)
        running = len(self._requests) - waiting - len(self._delayed)
        wait_ms = self._estimate.wait_ms(waiting, running, now_ms)
        return wait_ms <= allowed_ms

    def _choose(
        self, waiting: _line.Waiting, now_ms: int
    ) -> _chooser.Choice | None:
        # A borrowed slot may turn out taken, which costs a retry; without one
        # left the request waits for a slot of this instance's own.
        percent = self.entry.limits.retry_percent
        may_borrow = self._budget.left(percent, now_ms) >= 1
        excluded = set(waiting.excluded)
        choice = self._chooser.choose(now_ms, excluded, may_borrow)
        if choice is None and waiting.excluded:
            # Every other target is busy or gone; a target that failed once
            # may have recovered by now.
            choice = self._chooser.choose(now_ms, set(), may_borrow)
        return choice

    def waiting_count(self) -> int:
        """Returns how many requests wait for a target."""
        return len(self._line)

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
    return Admission(entry, _line.order_first_come, seed)
