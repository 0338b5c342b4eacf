"""Plays the return of all callers after an outage.

Callers repeat their opening packets, give up and try again; targets have
slots and a queue, and shed what finds it full.
"""

from collections import deque
from collections.abc import Callable
import functools
import heapq
import random
from typing import NamedTuple

from bluebelltide.placement import _held_packets
from bluebelltide.placement import _placer
from bluebelltide.placement import create_placer
from bluebelltide.placement.tests import load_simulation

ATTEMPT_TIMEOUT_MS = 1400
"""When a caller's attempt ends without an answer."""
MAXIMUM_ATTEMPTS = 3
"""How often a caller tries."""
RELEASE_INTERVAL_MS = 10
"""Time between two looks at held openings."""
LOCAL_REPORT_MS = 10
"""Time between load reports inside a data centre."""
REMOTE_REPORT_MS = 35
"""Time between load reports to other data centres."""


_PlaceFunction = Callable[[bool], bool]
"""Places an opening; takes whether it may wait, returns whether it did."""


class RecoveryPlan(NamedTuple):
    """What is played."""

    holds_late_packets: bool
    """Whether late openings wait for free slots."""
    outage_ms: int = 1700
    """How long no instance answers."""
    after_ms: int = 3000
    """How long requests begin after the outage."""
    instances: int = 8
    """Entry instances, in turn one in each data centre."""
    data_centres: int = 4
    """Data centres."""
    targets: int = 7
    """Targets, in turn one in each data centre."""
    slots: int = 2
    """Requests that a target runs at once."""
    queue: int = 8
    """Requests that wait at a target before it sheds."""
    flows_per_s: float = 190.0
    """New requests a second."""
    work_ms: float = 32.0
    """The mean time that a request takes."""
    latency_budget_ms: int = 200
    """The latency that callers want."""


class RecoveryResult(NamedTuple):
    """What callers saw."""

    new_in_budget: float
    """The share of requests begun after the outage that were served in aim."""
    served: float
    """The share of all requests that were served at all."""
    shed: int
    """How many attempts a full target rejected."""


class _Request:
    def __init__(self, number: int, began_ms: float) -> None:
        self.number = number
        self.began_ms = began_ms
        self.attempt = 0
        self.attempt_ms = 0.0
        self.served_ms: float | None = None


class _Target:
    def __init__(self) -> None:
        self.busy = 0
        self.line: deque[Callable[[], None]] = deque()


class _Simulation:
    def __init__(self, plan: RecoveryPlan, seed: int) -> None:
        self.plan = plan
        self.random = random.Random(seed)
        self.now_ms = float(-plan.outage_ms)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = 0
        self.requests: list[_Request] = []
        self.shed = 0
        self.targets = {n: _Target() for n in range(1, plan.targets + 1)}
        views = load_simulation.make_targets(
            plan.targets, plan.data_centres, plan.slots
        )
        self.placers = []
        self.held: list[_held_packets.HeldPacketQueue[_PlaceFunction]] = []
        self.reports: list[dict[int, dict[int, int]]] = []
        for number in range(plan.instances):
            name = f"dc-{number % plan.data_centres}"
            placer = create_placer(name, self.random.random)
            placer.use_targets(views)
            self.placers.append(placer)
            self.held.append(_held_packets.HeldPacketQueue())
            self.reports.append({})

    def after(self, wait_ms: float, action: Callable[[], None]) -> None:
        self.order += 1
        event = (self.now_ms + wait_ms, self.order, action)
        heapq.heappush(self.events, event)

    def run(self) -> RecoveryResult:
        self.after(0, self.begin_request)
        for number in range(self.plan.instances):
            self.after(
                self.plan.outage_ms, functools.partial(self.tick, number)
            )
            for near in (True, False):
                self.after(
                    self.plan.outage_ms + self.random.uniform(0, 10),
                    functools.partial(self.report, number, near),
                )
        while self.events:
            self.now_ms, _, action = heapq.heappop(self.events)
            action()
        fresh = [r for r in self.requests if r.began_ms >= 0]
        in_aim = sum(
            r.served_ms is not None
            and r.served_ms - r.began_ms <= self.plan.latency_budget_ms
            for r in fresh
        )
        served = sum(r.served_ms is not None for r in self.requests)
        return RecoveryResult(
            in_aim / len(fresh), served / len(self.requests), self.shed
        )

    def begin_request(self) -> None:
        if self.now_ms > self.plan.after_ms:
            return
        wait_ms = self.random.expovariate(self.plan.flows_per_s / 1000)
        self.after(wait_ms, self.begin_request)
        request = _Request(len(self.requests), self.now_ms)
        self.requests.append(request)
        self.try_again(request)

    def try_again(self, request: _Request) -> None:
        if request.attempt == MAXIMUM_ATTEMPTS:
            return
        request.attempt += 1
        request.attempt_ms = self.now_ms
        attempt = request.attempt
        instance = self.random.randrange(self.plan.instances)
        placed: list[bool] = []

        def send(copy: int) -> None:
            if not placed and request.attempt == attempt and self.now_ms >= 0:
                self.arrive(instance, request, copy, placed)

        for copy, waited_ms in enumerate(_placer.TRANSMISSION_TIMES_MS):
            self.after(waited_ms, functools.partial(send, copy))

        def give_up() -> None:
            if not placed and request.attempt == attempt:
                self.held[instance].remove(self.key(request))
                self.try_again(request)

        self.after(ATTEMPT_TIMEOUT_MS, give_up)

    def key(self, request: _Request) -> bytes:
        return f"{request.number}/{request.attempt}".encode()

    def arrive(
        self, instance: int, request: _Request, copy: int, placed: list[bool]
    ) -> None:
        may_wait = self.plan.holds_late_packets

        def try_place(may_wait: bool) -> bool:
            return self.place(instance, request, copy, placed, may_wait)

        if may_wait and copy and len(self.held[instance]):
            # Others wait already.
            pass
        elif self.place(instance, request, copy, placed, may_wait):
            return
        if not placed:
            self.held[instance].hold(
                _held_packets.HeldPacket(
                    self.key(request),
                    _placer.TRANSMISSION_TIMES_MS[copy],
                    copy,
                    int(self.now_ms),
                    try_place,
                )
            )

    def place(
        self,
        instance: int,
        request: _Request,
        copy: int,
        placed: list[bool],
        may_wait: bool,
    ) -> bool:
        placer = self.placers[instance]
        key = self.key(request)
        waited_ms = int(self.now_ms - request.attempt_ms)
        patience = _placer.LatencyBudget(waited_ms, self.plan.latency_budget_ms)
        placement = placer.place(
            key,
            "service",
            copy,
            int(self.now_ms),
            patience if may_wait else None,
        )
        if placement.outcome == _placer.PlacementOutcome.WAIT:
            return False
        placed.append(True)
        token = placement.token
        is_near = (token - instance) % self.plan.data_centres == 0
        hop_ms = 0.2 if is_near else 3.5
        self.after(
            3 * hop_ms, lambda: self.enter(instance, request, key, token)
        )
        return True

    def enter(
        self, instance: int, request: _Request, key: bytes, token: int
    ) -> None:
        placer = self.placers[instance]
        placer.observations.note_packet_with_token(key, token, int(self.now_ms))
        target = self.targets[token]

        def close() -> None:
            flow = placer.observations.note_flow_end(
                key, token, int(self.now_ms)
            )
            placer.update_flow_duration("service", flow, int(self.now_ms))
            self.release(instance)

        def finish() -> None:
            request.served_ms = self.now_ms
            target.busy -= 1
            if target.line:
                target.line.popleft()()
            self.after(3.0, close)

        def start() -> None:
            target.busy += 1
            work_ms = self.random.lognormvariate(-0.11, 0.47)
            self.after(work_ms * self.plan.work_ms, finish)

        if target.busy < self.plan.slots:
            start()
        elif len(target.line) < self.plan.queue:
            target.line.append(start)
        else:
            self.shed += 1
            self.after(3.0, close)
            self.after(3.0, lambda: self.try_again(request))

    def release(self, instance: int) -> None:
        placer = self.placers[instance]
        left = placer.release_allowance("service", int(self.now_ms))

        def try_place(
            opening: _held_packets.HeldPacket[_PlaceFunction], may_wait: bool
        ) -> bool:
            nonlocal left
            if may_wait and left <= 0:
                return False
            if not may_wait and not opening.is_last_retransmission:
                return False
            left -= 1
            return opening.context(may_wait)

        self.held[instance].release(try_place, int(self.now_ms))

    def tick(self, instance: int) -> None:
        self.release(instance)
        if self.now_ms < self.plan.after_ms + 2000:
            self.after(RELEASE_INTERVAL_MS, lambda: self.tick(instance))

    def report(self, sender: int, near: bool) -> None:
        flows = dict(self.placers[sender].observations.open_flows)
        for receiver in range(self.plan.instances):
            is_near = (receiver - sender) % self.plan.data_centres == 0
            if receiver != sender and is_near == near:
                self.after(
                    0.2 if near else 3.5,
                    functools.partial(self.merge, receiver, sender, flows),
                )
        if self.now_ms < self.plan.after_ms + 2000:
            wait_ms = LOCAL_REPORT_MS if near else REMOTE_REPORT_MS
            self.after(wait_ms, lambda: self.report(sender, near))

    def merge(self, receiver: int, sender: int, flows: dict[int, int]) -> None:
        self.reports[receiver][sender] = flows
        total: dict[int, int] = {}
        for other in self.reports[receiver].values():
            for token, count in other.items():
                total[token] = total.get(token, 0) + count
        self.placers[receiver].peer_flows = total
        self.placers[receiver].peer_count = len(self.reports[receiver])


def simulate_recovery(plan: RecoveryPlan, seed: int) -> RecoveryResult:
    """Plays a plan.

    Args:
        plan: The plan.
        seed: Fixes arrivals, work and draws.

    Returns:
        What callers saw.
    """
    return _Simulation(plan, seed).run()
