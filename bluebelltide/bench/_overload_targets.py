"""Stand-in targets of the overload experiment, and the requests they run."""

from collections import Counter
from collections import deque
from collections.abc import Callable

from bluebelltide import _types
from bluebelltide.bench import _clock
from bluebelltide.bench import _overload_users

BACKLOG_PER_SLOT = 1
"""How many requests wait inside a target, for each slot, before it sheds."""


class Request:
    """One request; its caller must get exactly one outcome."""

    def __init__(
        self,
        number: int,
        service: _overload_users.ServiceModel,
        caller: str,
        now_ms: float,
    ) -> None:
        self.number = number
        self.service = service
        self.caller = caller
        self.arrived_ms = now_ms
        self.service_ms = 0.0
        self.run_count = 0
        self.outcome = ""
        self.attempts = 0
        self.on_outcome: Callable[[str], None] | None = None

    def set_outcome(self, outcome: str, counts: Counter[str]) -> None:
        if self.outcome:
            counts["two_outcomes"] += 1
            return
        self.outcome = outcome


class Target:
    """A stand-in target with slots and a backlog."""

    def __init__(
        self,
        clock: _clock.FakeClock,
        service: _overload_users.ServiceModel,
        name: str,
        data_centre: int,
    ) -> None:
        self.clock = clock
        self.service = service
        self.name = name
        self.data_centre = data_centre
        self.is_up = True
        self.slowdown_factor = 1.0
        self.false_load_percent: int | None = None
        self.started_ms = 0.0
        self.has_started_cold = False
        self.busy_slots = 0
        self.busy_ms = 0.0
        self.sequence = 0
        self.backlog: deque[tuple[Request, Callable[[], None]]] = deque()
        self.running_requests: dict[int, Request] = {}

    def has_room(self) -> bool:
        capacity_with_backlog = self.service.slots * (1 + BACKLOG_PER_SLOT)
        return self.busy_slots + len(self.backlog) < capacity_with_backlog

    def run(self, request: Request, on_done: Callable[[], None]) -> None:
        """Runs a request that has arrived, or puts it into the backlog."""
        if not self.is_up:
            return
        if self.busy_slots >= self.service.slots:
            self.backlog.append((request, on_done))
            return
        self.busy_slots += 1
        request.run_count += 1
        self.running_requests[request.number] = request
        duration_ms = request.service_ms * self._slowdown()
        started_ms = self.clock.now_ms

        def finish() -> None:
            if not self.is_up:
                return
            self.busy_slots -= 1
            self.busy_ms += self.clock.now_ms - started_ms
            self.running_requests.pop(request.number, None)
            on_done()
            if self.backlog:
                self.run(*self.backlog.popleft())

        self.clock.after(duration_ms, finish)

    def _slowdown(self) -> float:
        if self.has_started_cold and self.clock.now_ms - self.started_ms < 5000:
            return 3.0
        return self.slowdown_factor

    def create_announcement(self) -> _types.Target:
        self.sequence += 1
        load = min(100, self.busy_slots * 100 // self.service.slots)
        is_cold = self.has_started_cold and (
            self.clock.now_ms - self.started_ms < 10_000
        )
        return _types.Target(
            self.name,
            self.service.name,
            _types.Address("127.0.0.1", 1),
            f"dc{self.data_centre}",
            1,
            self.sequence,
            _types.TargetState.COLD if is_cold else _types.TargetState.READY,
            self.service.slots,
            self.busy_slots,
            load
            if self.false_load_percent is None
            else self.false_load_percent,
            2000,
        )
